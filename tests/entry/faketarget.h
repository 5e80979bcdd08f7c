// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_FAKETARGET_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_FAKETARGET_H_HEADER_GUARD

#include <aio/server.h>
#include <aio/serverconnection.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

/// What a fake target does with a request, on its own thread.
using TargetScript = std::function<void(const std::shared_ptr<ServerConnection>&, const ServerRequest&)>;

/// A target on loopback that does what a test says, and remembers what it was sent.
class FakeTarget : public ServerHandlerI
{
public:
	explicit FakeTarget(TargetScript _script);
	~FakeTarget() override;

	/// @returns "ip:port".
	std::string address() const;

	/// @returns requests so far.
	std::vector<ServerRequest> requests() const;

	/// @returns how many callers left before their answer was complete.
	uint32_t gone() const;

	/// Runs something on its thread.
	void post(std::function<void()> _call);

	/// The same, after a while.
	void postAfter(std::chrono::milliseconds _wait, std::function<void()> _call);

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override;
	void onCallerDisconnected(const ServerConnection& _connection) override;
	uint16_t onBadRequest(ReadState::Enum _why) override;
	void onClosedUnread(uint32_t _count) override;
	ReaderLimits limits() const override;
	Duration readTimeout() const override;
	Duration idleTimeout() const override;
	bool closing() const override;

private:
	boost::asio::io_context loop_;
	boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
	TargetScript script_;
	mutable std::mutex mutex_;
	std::vector<ServerRequest> requests_;
	std::atomic<uint32_t> gone_{0};
	std::unique_ptr<Server> server_;
	std::thread thread_;
};

/// @returns headers that a sound answer to the request carries.
HeaderList signedHeaders(const ServerRequest& _request);

/// Answers with a status and a body, signed.
void answerWhole(ServerConnection& _caller, const ServerRequest& _request, uint16_t _status, const std::string& _body);

/// Says that the request was not run.
void answerNotRun(ServerConnection& _caller, const ServerRequest& _request, const std::string& _atFault = "");

/// Begins a signed stream and sends events with these ids.
void startStream(ServerConnection& _caller, const ServerRequest& _request, uint64_t _first, uint64_t _last);

/// @returns the event as targets send it.
std::string eventText(uint64_t _id);

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_FAKETARGET_H_HEADER_GUARD
