// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETCONNECTIONPOOL_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETCONNECTIONPOOL_H_HEADER_GUARD

#include <base/clock.h>
#include <base/runner.h>
#include <relay/targetconnection.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

/// Pool of idle connections to targets. A connection belongs to one incarnation of a target, so that a target that took
/// over an address or restarted never gets a connection of its predecessor. Loop thread only.
class TargetConnectionPool
{
public:
	TargetConnectionPool(boost::asio::io_context& _loop, const ClockI& _clock);
	~TargetConnectionPool();

	/// @param _runsOnce id of the request if it must not run twice: it is not sent over a connection that answered it
	/// before. Empty for all others.
	/// @returns a connection for one exchange: an idle one, or a new one that is not connected yet.
	std::unique_ptr<TargetConnection> acquire(const RunnerRecord& _target, const std::string& _runsOnce);

	/// Returns a connection to the pool if it can be reused, or closes it otherwise.
	/// @param _maxIdle idle connections that the pool may keep to the target.
	void release(const RunnerRecord& _target, std::unique_ptr<TargetConnection> _connection, uint32_t _maxIdle);

private:
	/// A connection that no request uses.
	struct IdleConnection
	{
		std::unique_ptr<TargetConnection> connection;
		Time usableUntil;
	};

	void remove(const TargetIncarnation& _incarnation, const TargetConnection* _connection);
	bool isUsable(const IdleConnection& _idle) const;
	void dropOtherIncarnations(const TargetIncarnation& _incarnation);

	boost::asio::io_context& loop_;
	const ClockI& clock_;
	std::map<TargetIncarnation, std::vector<IdleConnection>> idle_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETCONNECTIONPOOL_H_HEADER_GUARD
