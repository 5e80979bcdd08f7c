// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `relay`: handles a caller's request within a node, on the request loop.
///
/// `RequestIngress` receives a request, resolves its route and customer, and admits it, queues it (`AdmissionQueue`) or
/// refuses it. `RequestRelay` executes one request: `core/relaymachine` decides what to do, the relay performs the I/O.
/// `RequestPath` chooses targets (`targetchooser`) and adds the request to their load; `RelaySend` is one exchange with
/// the head of a path; `AnswerForwarder` forwards events to the caller as they arrive. When a target of the path dies,
/// `PathChange` replaces the remaining stages, or the request is resent elsewhere and resumes after its last event. A
/// stream that has begun waits if no target has free capacity (`CapacityWait`). In prioritized services new and begun
/// streams wait in one queue instead, the most urgent first (`AdmissionController`).
///
/// Each request gets exactly one final answer. "Not run" is answered only if no target has begun the request, and a
/// request that must not be repeated is sent once.

#ifndef SEDGECART_RELAY_REQUESTINGRESS_H_HEADER_GUARD
#define SEDGECART_RELAY_REQUESTINGRESS_H_HEADER_GUARD

#include <aio/bodymemory.h>
#include <aio/serverconnection.h>
#include <base/errorkind.h>
#include <core/startwait.h>
#include <core/stopwindow.h>
#include <relay/relaycontext.h>
#include <settings/entrysettings.h>

#include <atomic>
#include <memory>
#include <optional>
#include <unordered_map>

namespace sedgecart
{

class RequestRelay;
class RouteTable;
class AdmissionQueue;
struct CallerLimits;
struct CallerRequest;
struct QueuedRequest;
struct HostRoute;
struct KeyHolder;
struct RelayPlan;
struct ResponseTimeEstimate;

/// Receives callers' requests, resolves route and customer, and admits, queues or refuses them. Used on the loop thread
/// only, except for `stop` and `active`.
class RequestIngress : public ServerHandlerI
{
public:
	RequestIngress(const RelayContext& _context, const EntrySettings& _settings);
	~RequestIngress() override;

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override;
	void onCallerDisconnected(const ServerConnection& _connection) override;

	/// Handles a request that another node handed over. It may run on one target only: the other node counts its runs.
	void onHandover(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request);
	uint16_t onBadRequest(ReadState::Enum _why) override;
	void onClosedUnread(uint32_t _count) override;
	void onEvicted(uint32_t _count) override;
	std::size_t maxConnections() const override;
	BodyMemory* bodyMemory() override;
	void onNoBodyMemory(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& _head) override;
	ReaderLimits limits() const override;
	Duration readTimeout() const override;
	Duration idleTimeout() const override;
	bool closing() const override;

	/// Refuses a request whose body was not read, because there is no memory for it.
	void refuseUnread(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& _head,
	                  bool _wasHandedOver);

	/// Applies changed settings. Loop thread.
	void setSettings(const EntrySettings& _settings)
	{
		settings_ = _settings;
	}

	/// Marks the node as ready, with a known desired state, and admits the requests that waited for it. Loop thread.
	void onReady();

	/// Begins shutdown: each connection is closed after its current answer, and only requests that the window allows
	/// are admitted.
	void stop(const StopWindow& _window);

	/// Admits or refuses the requests that wait for this node to become ready. After `stop`; loop thread.
	void onStopping();

	/// Sends an error response for each request whose answer has not begun. After `stop`; loop thread.
	void endUnanswered();

	/// Logs each unfinished request as cut off by shutdown. Loop thread.
	void logCutOff() const;

	/// @returns the number of admitted, unfinished requests, including queued resumed streams.
	uint32_t active() const;

private:
	/// Route and key holder of a request that may be admitted.
	struct RouteMatch
	{
		const HostRoute* route = nullptr;
		const KeyHolder* holder = nullptr; //!< Null if the route needs no key.
	};

	static uint64_t bodyMemoryLimit(const EntrySettings& _settings);
	bool matchRoute(const RouteTable& _routes, const ServerRequest& _request, const CallerRequest& _caller,
	                RouteMatch& _match, ErrorKind::Enum& _fault) const;
	bool isViewFresh() const;
	bool isAdmittedDuringStop(const RouteMatch& _match, const CallerRequest& _caller) const;
	void logStopAdmission(StopAdmission::Enum _admission, std::optional<Duration> _limit,
	                      const ResponseTimeEstimate& _needed, const CallerRequest& _caller) const;
	void admit(QueuedRequest&& _queued);
	bool queueUntilReady(QueuedRequest& _queued, const CallerRequest& _caller);
	bool queueResumed(QueuedRequest& _queued, const CallerRequest& _caller);
	RelayPlan makePlan(const RouteTable& _routes, const RouteMatch& _match, QueuedRequest&& _queued,
	                   CallerRequest&& _caller) const;
	void refuse(const QueuedRequest& _queued, ErrorKind::Enum _kind, const std::string& _id);
	void refuseBlocked(ServerConnection& _connection, const RelayPlan& _plan, Duration _left);
	void remove(const ServerConnection* _connection);
	CallerLimits callerLimits() const;

	RelayContext context_;
	EntrySettings settings_;
	BodyMemory bodyMemory_{context_.loop, bodyMemoryLimit(settings_)};
	std::unordered_map<const ServerConnection*, std::shared_ptr<RequestRelay>> relays_;
	StartWait startWait_;
	uint32_t closedUnread_ = 0;                   //!< Connections closed unread since the last log line on them.
	Time closedLoggedAt_{INT64_MIN / 2};          //!< Of that line.
	std::unique_ptr<AdmissionQueue> startQueue_;  //!< Requests that arrived before this node was ready.
	std::unique_ptr<AdmissionQueue> resumeQueue_; //!< Resumed streams, while the prompts of others are processed.
	bool ready_ = false;
	std::atomic<uint32_t> active_{0};
	StopWindow stopWindow_{Time{}, Duration{}}; //!< Set before `closing_`.
	std::atomic<bool> closing_{false};
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_REQUESTINGRESS_H_HEADER_GUARD
