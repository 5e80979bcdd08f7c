// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <relay/targetconnectionpool.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// An idle connection is not reused within this time before its target closes it: a request that crosses the close may
/// be lost.
constexpr Duration kCloseMargin = Duration::fromMillis(1000);

} // namespace

TargetConnectionPool::TargetConnectionPool(boost::asio::io_context& _loop, const ClockI& _clock)
    : loop_(_loop),
      clock_(_clock)
{
}

TargetConnectionPool::~TargetConnectionPool() = default;

std::unique_ptr<ClientConnection> TargetConnectionPool::acquire(const RunnerRecord& _target)
{
	dropOtherIncarnations(_target.incarnation());
	std::vector<IdleConnection>& idle = idle_[_target.incarnation()];
	while (!idle.empty())
	{
		IdleConnection last = std::move(idle.back());
		idle.pop_back();
		if (last.connection->reusable() && clock_.now() < last.usableUntil)
		{
			last.connection->setOnIdleClosed(nullptr);
			return std::move(last.connection);
		}
	}
	return std::make_unique<ClientConnection>(loop_, _target.address);
}

void TargetConnectionPool::release(const RunnerRecord& _target, std::unique_ptr<ClientConnection> _connection,
                                   uint32_t _maxIdle)
{
	const Time until = clock_.now() + _connection->keepAliveTimeout();
	const Time usableUntil{until.micros - kCloseMargin.micros};
	if (!_connection->reusable() || usableUntil < clock_.now())
	{
		return;
	}
	const TargetIncarnation incarnation = _target.incarnation();
	const auto idle = idle_.find(incarnation);
	if (idle_.end() != idle && _maxIdle <= idle->second.size())
	{
		return;
	}
	const ClientConnection* const raw = _connection.get();
	_connection->setOnIdleClosed(
	    [this, incarnation, raw]
	    {
		    remove(incarnation, raw);
	    });
	idle_[incarnation].push_back(IdleConnection{std::move(_connection), usableUntil});
}

/// Closes idle connections to other incarnations of a target: if the network has dropped one silently, it would never
/// be removed otherwise.
void TargetConnectionPool::dropOtherIncarnations(const TargetIncarnation& _incarnation)
{
	auto row = idle_.lower_bound(TargetIncarnation{_incarnation.instance, StartTime{INT64_MIN}});
	while (idle_.end() != row && row->first.instance == _incarnation.instance)
	{
		row = row->first == _incarnation ? std::next(row) : idle_.erase(row);
	}
}

void TargetConnectionPool::remove(const TargetIncarnation& _incarnation, const ClientConnection* _connection)
{
	const auto row = idle_.find(_incarnation);
	if (idle_.end() == row)
	{
		return;
	}
	std::vector<IdleConnection>& idle = row->second;
	const auto isMatch = [_connection](const IdleConnection& _idle)
	{
		return _connection == _idle.connection.get();
	};
	idle.erase(std::remove_if(idle.begin(), idle.end(), isMatch), idle.end());
	if (idle.empty())
	{
		idle_.erase(row);
	}
}

} // namespace sedgecart
