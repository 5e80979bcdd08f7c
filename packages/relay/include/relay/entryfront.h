// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `relay`: the way of a caller's request through a node, on the request loop.
///
/// `EntryFront` takes it, finds route and customer, and lets it in, lets it wait (`WaitQueue`), or refuses it at once.
/// `RequestRelay` carries one request: `core/relaymachine` decides, the relay acts. `RequestPath` chooses targets
/// (`TargetChooser`) and counts the request where it is; `RelaySend` is one exchange with a path's first target;
/// `AnswerPasser` hands events on as they come. When a target of the path dies, `PathChange` has the rest of the path
/// replaced, or the request goes on elsewhere behind its last event; a begun stream without a place waits
/// (`PlaceWait`).
///
/// One final answer for each request; "not run" only if no target has begun it; what may not be repeated is sent once.

#ifndef SEDGECART_RELAY_ENTRYFRONT_H_HEADER_GUARD
#define SEDGECART_RELAY_ENTRYFRONT_H_HEADER_GUARD

#include <aio/serverconnection.h>
#include <base/errorkind.h>
#include <core/startwait.h>
#include <core/stopwindow.h>
#include <relay/relaycontext.h>
#include <settings/entrysettings.h>

#include <atomic>
#include <memory>
#include <unordered_map>

namespace sedgecart
{

class RequestRelay;
class RouteTable;
class WaitQueue;
struct CallerLimits;
struct CallerRequest;
struct HeldRequest;
struct HostRoute;
struct KeyHolder;
struct RelayPlan;

/// Takes callers' requests: finds route and customer, and lets them in or answers at once. Loop thread only, but for
/// `stop` and `active`.
class EntryFront : public ServerHandlerI
{
public:
	EntryFront(const RelayContext& _context, const EntrySettings& _settings);
	~EntryFront() override;

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override;
	void onCallerGone(const ServerConnection& _connection) override;
	uint16_t onBadRequest(ReadState::Enum _why) override;
	ReaderLimits limits() const override;
	Duration readBound() const override;
	Duration idleBound() const override;
	bool closing() const override;

	/// Takes changed settings. Loop thread.
	void setSettings(const EntrySettings& _settings)
	{
		settings_ = _settings;
	}

	/// The node knows what it serves: what waited for that is let in. Loop thread.
	void onReady();

	/// From now on connections are closed after the answer under way, and only what can end in time is let in.
	void stop(const StopWindow& _window);

	/// Tells of each request that is under way still: the stop ends it. Loop thread.
	void tellCutOff() const;

	/// @returns requests under way.
	uint32_t active() const;

private:
	/// What is known of a request once it may be let in.
	struct Entry
	{
		const HostRoute* route = nullptr;
		const KeyHolder* holder = nullptr; //!< Null if the route needs no key.
	};

	bool findEntry(const RouteTable& _routes, const ServerRequest& _request, const CallerRequest& _caller,
	               Entry& _entry, ErrorKind::Enum& _fault) const;
	bool viewIsFresh() const;
	bool endsInTime(const Entry& _entry, const CallerRequest& _caller) const;
	void letIn(HeldRequest&& _held);
	bool holdForStart(HeldRequest& _held, const CallerRequest& _caller);
	bool holdResumed(HeldRequest& _held, const CallerRequest& _caller);
	RelayPlan makePlan(const Entry& _entry, ServerRequest&& _request, CallerRequest&& _caller, Time _arrivedAt) const;
	void answer(ServerConnection& _connection, ErrorKind::Enum _kind, const std::string& _id);
	void refuseBlocked(ServerConnection& _connection, const RelayPlan& _plan, Duration _left);
	void remove(const ServerConnection* _connection);
	CallerLimits callerLimits() const;

	RelayContext context_;
	EntrySettings settings_;
	std::unordered_map<const ServerConnection*, std::shared_ptr<RequestRelay>> relays_;
	StartWait startWait_;
	std::unique_ptr<WaitQueue> startQueue_;  //!< Requests that came before this node was ready.
	std::unique_ptr<WaitQueue> resumeQueue_; //!< Streams that their callers resume, while others are read again.
	bool ready_ = false;
	std::atomic<uint32_t> active_{0};
	StopWindow stopWindow_{Time{}, Duration{}}; //!< Set before `closing_`.
	std::atomic<bool> closing_{false};
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_ENTRYFRONT_H_HEADER_GUARD
