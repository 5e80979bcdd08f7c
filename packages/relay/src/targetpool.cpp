// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <relay/targetpool.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// A kept connection is not used in the last part of the time that its target keeps it: a request that crosses the
/// target's close may be lost.
constexpr Duration kCloseMargin = Duration::fromMillis(1000);

} // namespace

TargetPool::TargetPool(boost::asio::io_context& _loop, const ClockI& _clock) : loop_(_loop), clock_(_clock)
{
}

TargetPool::~TargetPool() = default;

std::unique_ptr<ClientConnection> TargetPool::take(const RunnerRecord& _target)
{
	dropOtherLives(_target.life());
	std::vector<Kept>& kept = kept_[_target.life()];
	while (!kept.empty())
	{
		Kept last = std::move(kept.back());
		kept.pop_back();
		if (last.connection->reusable() && clock_.now() < last.usableUntil)
		{
			last.connection->onIdleEnd(nullptr);
			return std::move(last.connection);
		}
	}
	return std::make_unique<ClientConnection>(loop_, _target.address);
}

void TargetPool::giveBack(const RunnerRecord& _target, std::unique_ptr<ClientConnection> _connection)
{
	const Time until = clock_.now() + _connection->keptIdle();
	const Time usableUntil{until.micros - kCloseMargin.micros};
	if (!_connection->reusable() || usableUntil < clock_.now())
	{
		return;
	}
	const TargetLife life = _target.life();
	const ClientConnection* const raw = _connection.get();
	_connection->onIdleEnd(
	    [this, life, raw]
	    {
		    drop(life, raw);
	    });
	kept_[life].push_back(Kept{std::move(_connection), usableUntil});
}

/// Closes what leads to other starts of a target: it would rest for good where the network ended it unnoticed.
void TargetPool::dropOtherLives(const TargetLife& _life)
{
	auto row = kept_.lower_bound(TargetLife{_life.instance, BirthTime{INT64_MIN}});
	while (kept_.end() != row && row->first.instance == _life.instance)
	{
		row = row->first == _life ? std::next(row) : kept_.erase(row);
	}
}

void TargetPool::drop(const TargetLife& _life, const ClientConnection* _connection)
{
	const auto row = kept_.find(_life);
	if (kept_.end() == row)
	{
		return;
	}
	std::vector<Kept>& kept = row->second;
	const auto isIt = [_connection](const Kept& _kept)
	{
		return _connection == _kept.connection.get();
	};
	kept.erase(std::remove_if(kept.begin(), kept.end(), isIt), kept.end());
	if (kept.empty())
	{
		kept_.erase(row);
	}
}

} // namespace sedgecart
