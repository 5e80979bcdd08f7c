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

std::unique_ptr<TargetConnection> TargetConnectionPool::acquire(const RunnerRecord& _target,
                                                                const std::string& _runsOnce)
{
	dropOtherIncarnations(_target.incarnation());
	std::vector<IdleConnection>& idle = idle_[_target.incarnation()];
	for (std::size_t at = idle.size(); 0 < at; --at)
	{
		const auto row = idle.begin() + static_cast<std::ptrdiff_t>(at - 1);
		if (!isUsable(*row))
		{
			idle.erase(row);
		}
		else if (_runsOnce.empty() || !row->connection->hasAnswered(_runsOnce))
		{
			std::unique_ptr<TargetConnection> connection = std::move(row->connection);
			idle.erase(row);
			connection->client().setOnIdleClosed(nullptr);
			return connection;
		}
	}
	if (!idle.empty())
	{
		idle.erase(idle.begin()); // the new one replaces it, since targets limit the number of connections
	}
	return std::make_unique<TargetConnection>(std::make_unique<ClientConnection>(loop_, _target.address));
}

bool TargetConnectionPool::isUsable(const IdleConnection& _idle) const
{
	return _idle.connection->client().reusable() && clock_.now() < _idle.usableUntil;
}

void TargetConnectionPool::release(const RunnerRecord& _target, std::unique_ptr<TargetConnection> _connection,
                                   uint32_t _maxIdle)
{
	const Time until = clock_.now() + _connection->client().keepAliveTimeout();
	const Time usableUntil{until.micros - kCloseMargin.micros};
	if (!_connection->client().reusable() || usableUntil < clock_.now())
	{
		return;
	}
	const TargetIncarnation incarnation = _target.incarnation();
	const auto idle = idle_.find(incarnation);
	if (idle_.end() != idle && _maxIdle <= idle->second.size())
	{
		return;
	}
	const TargetConnection* const raw = _connection.get();
	_connection->client().setOnIdleClosed(
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

void TargetConnectionPool::remove(const TargetIncarnation& _incarnation, const TargetConnection* _connection)
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
