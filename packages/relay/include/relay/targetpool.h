// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETPOOL_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETPOOL_H_HEADER_GUARD

#include <aio/clientconnection.h>
#include <base/clock.h>
#include <base/runner.h>

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

/// Connections to targets that are kept between requests. A connection belongs to one start of a target, so
/// that a target that took over an address or started again gets none of its predecessor's. Loop thread only.
class TargetPool
{
public:
	TargetPool(boost::asio::io_context& _loop, const ClockI& _clock);
	~TargetPool();

	/// @returns a connection for one exchange: a kept one, or one that is not connected yet.
	std::unique_ptr<ClientConnection> take(const RunnerRecord& _target);

	/// Keeps a connection for another request if it can be used again, else closes it.
	void giveBack(const RunnerRecord& _target, std::unique_ptr<ClientConnection> _connection);

private:
	/// A connection that rests.
	struct Kept
	{
		std::unique_ptr<ClientConnection> connection;
		Time usableUntil;
	};

	void drop(const TargetLife& _life, const ClientConnection* _connection);
	void dropOtherLives(const TargetLife& _life);

	boost::asio::io_context& loop_;
	const ClockI& clock_;
	std::map<TargetLife, std::vector<Kept>> kept_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETPOOL_H_HEADER_GUARD
