// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <relay/requestingress.h>

#include "admissionqueue_p.h"
#include "relayplan_p.h"
#include "requestrelay_p.h"

#include <base/clock.h>
#include <base/random.h>
#include <core/resumeadmission.h>
#include <core/serviceresponsetimes.h>
#include <crash/crashdetector.h>
#include <fleet/fleetview.h>
#include <logging/logging.h>
#include <metrics/metrics.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// A key is not accepted if the proof of its validity expires within this time: the request still has to reach its
/// target.
constexpr Duration kKeyProofMargin = Duration::fromMillis(500);

/// Time budget of a request if neither its caller nor its route sets one.
constexpr Duration kDefaultBudget = Duration::fromMillis(60000);

/// Retry-After for callers that are refused while this node's desired state is outdated.
constexpr Duration kRetryAfter = Duration::fromMillis(300);

/// Least time between two log lines on connections that are closed unread.
constexpr Duration kClosedLogInterval = Duration::fromMillis(1000);

constexpr int64_t kMillisPerSecond = 1000;

constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kBodyTooLarge = 413;
constexpr uint16_t kHeaderTooLarge = 431;

/// Identifies a request by its customer, or by the bearer key (which may be empty) if no customer is known.
RequestIdentity identityOf(const std::string& _customer, const ServerRequest& _request, const CallerRequest& _caller)
{
	const std::string& customer = _customer.empty() ? _caller.key : _customer;
	return identifyCaller(
	    RequestParts{customer, _request.head.method, _caller.host, _request.head.target, _request.body});
}

/// @returns the time after its arrival at which a request gets its final answer in any case.
Duration timeLimitOf(const HostRoute& _route, const CallerRequest& _caller)
{
	const Duration budget = _caller.budget.value_or(kDefaultBudget);
	return 0 < _route.timeout.micros ? std::min(_route.timeout, budget) : budget;
}

/// @returns the time after which a request has a complete answer in any case; none for a stream, which its time limit
/// breaks off.
std::optional<Duration> answerLimitOf(const HostRoute& _route, const CallerRequest& _caller)
{
	const bool isStream = RequestKind::Stream == _route.kind;
	return isStream ? std::nullopt : std::optional<Duration>(timeLimitOf(_route, _caller));
}

} // namespace

RequestIngress::RequestIngress(const RelayContext& _context, const EntrySettings& _settings)
    : context_(_context),
      settings_(_settings),
      startWait_(_context.clock.now()),
      startQueue_(std::make_unique<AdmissionQueue>(
          _context.loop, _context.clock,
          []
          {
	          return false; // `onReady` releases all requests
          },
          [this](QueuedRequest&& _queued)
          {
	          admit(std::move(_queued));
          })),
      resumeQueue_(std::make_unique<AdmissionQueue>(
          _context.loop, _context.clock,
          [this]
          {
	          return closing() || context_.resumes.admits(context_.clock.now());
          },
          [this](QueuedRequest&& _queued)
          {
	          _queued.wasQueued = true;
	          admit(std::move(_queued));
	          active_.fetch_sub(1, std::memory_order_release); // last: at 0 a stopping process exits
          }))
{
}

RequestIngress::~RequestIngress() = default;

CallerLimits RequestIngress::callerLimits() const
{
	const RcuCell<FleetView>::Reader view(context_.cell.view);
	return view->routes ? view->routes->state().limits : CallerLimits{};
}

ReaderLimits RequestIngress::limits() const
{
	const CallerLimits limits = callerLimits();
	ReaderLimits reader;
	reader.headerBytes = limits.headerBytes;
	reader.bodyBytes = limits.bodyBytes;
	return reader;
}

Duration RequestIngress::readTimeout() const
{
	return callerLimits().headerTime;
}

Duration RequestIngress::idleTimeout() const
{
	return callerLimits().idleTime;
}

bool RequestIngress::closing() const
{
	return closing_.load(std::memory_order_acquire);
}

void RequestIngress::stop(const StopWindow& _window)
{
	stopWindow_ = _window;
	closing_.store(true, std::memory_order_release);
}

void RequestIngress::onStopping()
{
	startQueue_->releaseAll();
}

void RequestIngress::endUnanswered()
{
	std::vector<std::shared_ptr<RequestRelay>> relays; // each that ends is removed from the map
	for (const auto& row : relays_)
	{
		relays.push_back(row.second);
	}
	for (const auto& relay : relays)
	{
		relay->endUnanswered();
	}
}

void RequestIngress::logCutOff() const
{
	for (const auto& row : relays_)
	{
		row.second->logCutOff(stopWindow_.signalAt());
	}
}

void RequestIngress::onReady()
{
	ready_ = true;
	if (0 < startQueue_->size())
	{
		logEvent(LogPart::Requests, LogLevel::Info, "Requests queued during startup are admitted.",
		         {{"requests", std::to_string(startQueue_->size())}});
	}
	startQueue_->releaseAll();
}

uint32_t RequestIngress::active() const
{
	return active_.load(std::memory_order_acquire); // makes the writes of finished requests visible
}

uint16_t RequestIngress::onBadRequest(ReadState::Enum _why)
{
	logEvent(LogPart::Requests, LogLevel::Warning, "Caller sent an invalid or oversized request.",
	         {{"cause", ReadState::HeaderTooLarge == _why ? "header too large"
	                    : ReadState::BodyTooLarge == _why ? "body too large"
	                                                      : "malformed"}});
	if (ReadState::HeaderTooLarge == _why)
	{
		return kHeaderTooLarge;
	}
	return ReadState::BodyTooLarge == _why ? kBodyTooLarge : kBadRequest;
}

void RequestIngress::onEvicted(uint32_t _count)
{
	context_.metrics.add(Counter::EvictedCallers, _count);
	logEvent(LogPart::Requests, LogLevel::Info, "Silent connections of callers are closed to make room for others.",
	         {{"connections", std::to_string(_count)}, {"active", std::to_string(active())}});
}

/// Half of the descriptors: each request may need one more, to its target.
std::size_t RequestIngress::maxConnections() const
{
	constexpr uint32_t kDescriptorsPerCaller = 2;
	return settings_.maxDescriptors / kDescriptorsPerCaller;
}

void RequestIngress::onClosedUnread(uint32_t _count)
{
	context_.metrics.add(Counter::ClosedUnread, _count);
	closedUnread_ += _count;
	const Time now = context_.clock.now();
	if (now < closedLoggedAt_ + kClosedLogInterval)
	{
		return;
	}
	logEvent(LogPart::Requests, LogLevel::Warning, "Connections are closed unread.",
	         {{"connections", std::to_string(closedUnread_)}, {"active", std::to_string(active())}});
	closedLoggedAt_ = now;
	closedUnread_ = 0;
}

bool RequestIngress::isViewFresh() const
{
	if (!settings_.keyBoundStrict)
	{
		return true;
	}
	const Time proven{context_.cell.provenAt.load(std::memory_order_relaxed)};
	const Time bound = context_.clock.now() + kKeyProofMargin;
	return bound < proven + settings_.keyBound;
}

bool RequestIngress::matchRoute(const RouteTable& _routes, const ServerRequest& _request, const CallerRequest& _caller,
                                RouteMatch& _match, ErrorKind::Enum& _fault) const
{
	_match.route = _routes.findRoute(_caller.host, _request.head.target);
	// A route or key that an outdated view lacks may have been added since: a node that was cut off for 7 s denied
	// routes that were 5 s old.
	const bool fresh = isViewFresh();
	if (nullptr == _match.route)
	{
		_fault = fresh ? ErrorKind::UnknownRoute : ErrorKind::CatchingUp;
		return false;
	}
	if (_match.route->authExempt || !_routes.state().keysRequired)
	{
		return true;
	}
	_match.holder = _routes.findCustomer(_caller.key);
	if (nullptr == _match.holder)
	{
		_fault = fresh ? ErrorKind::BadKey : ErrorKind::CatchingUp;
		return false;
	}
	_fault = ErrorKind::CatchingUp;
	return fresh;
}

bool RequestIngress::isAdmittedDuringStop(const RouteMatch& _match, const CallerRequest& _caller) const
{
	static const ServiceResponseTimes kNoObservations;
	const ServiceResponseTimes& observed =
	    context_.mechanisms.isEnabled(Mechanism::StopPace) ? context_.answerDurations : kNoObservations;
	const std::optional<Duration> limit = answerLimitOf(*_match.route, _caller);
	const ResponseTimeEstimate needed =
	    observed.estimate(_match.route->services, _match.route->kind, _caller.maxTokens, EstimateBound::Typical);
	const StopAdmission::Enum admission = stopWindow_.decide(limit, needed.total, context_.clock.now());
	logStopAdmission(admission, limit, needed, _caller);
	return isAdmitted(admission);
}

void RequestIngress::logStopAdmission(StopAdmission::Enum _admission, std::optional<Duration> _limit,
                                      const ResponseTimeEstimate& _needed, const CallerRequest& _caller) const
{
	const Time now = context_.clock.now();
	logEvent(LogPart::Requests, LogLevel::Info,
	         isAdmitted(_admission) ? "Request is admitted during shutdown." : "Request is refused during shutdown.",
	         {{"after_signal_ms", std::to_string((now - stopWindow_.signalAt()).millis())},
	          {"by", nameOf(_admission)},
	          {"limit_ms", _limit ? std::to_string(_limit->millis()) : "none"},
	          {"most_tokens", std::to_string(_caller.maxTokens)},
	          {"needed_ms", std::to_string(_needed.total.millis())},
	          {"first_event_ms", std::to_string(_needed.firstEvent.millis())},
	          {"events", std::to_string(_needed.events)},
	          {"gap_us", std::to_string(_needed.gap.micros)},
	          {"whole_stream_ms", std::to_string(_needed.wholeStream.millis())},
	          {"observations", std::to_string(_needed.observations)},
	          {"left_ms", std::to_string((stopWindow_.deadline() - now).millis())}},
	         _caller.id);
}

RelayPlan RequestIngress::makePlan(const RouteTable& _routes, const RouteMatch& _match, QueuedRequest&& _queued,
                                   CallerRequest&& _caller) const
{
	const HostRoute& route = *_match.route;
	RelayPlan plan;
	const WeightedService* const service = pickService(route, context_.random.next());
	plan.service = nullptr == service ? std::string() : service->service;
	plan.customer = nullptr == _match.holder ? std::string() : _match.holder->name;
	plan.pauseObjective = route.pauseObjective;
	plan.objective = route.objective;
	plan.isPrioritized = RequestKind::Stream == route.kind && _routes.isPrioritized(plan.service);
	plan.urgency = plan.isPrioritized ? _routes.rankOf(plan.service, route, _match.holder)
	                                  : RouteTable::urgencyOf(route, _match.holder);
	plan.facts.kind = route.kind;
	plan.facts.resumable = route.resumable;
	plan.facts.maxRuns = route.maxRuns;
	plan.facts.resumeAfter = _caller.resumeAfter;
	plan.identity = identityOf(plan.customer, _queued.request, _caller);
	for (const std::string& part : _caller.sharedParts)
	{
		plan.promptParts.push_back(identifyPromptPart(plan.service, part));
	}
	if (context_.crashes.isSuspected(plan.identity, plan.promptParts))
	{
		plan.facts.maxRuns = 1; // until it is known whether it crashes its target as well
	}
	plan.wasHandedOver = _queued.wasHandedOver;
	plan.facts.maxRuns = _queued.wasHandedOver ? 1 : plan.facts.maxRuns;
	plan.arrivedAt = _queued.arrivedAt;
	plan.deadline = plan.arrivedAt + timeLimitOf(route, _caller);
	plan.request = std::make_shared<const ServerRequest>(std::move(_queued.request));
	plan.caller = std::move(_caller);
	return plan;
}

void RequestIngress::onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	context_.metrics.add(Counter::Requests);
	admit(QueuedRequest{_connection, std::move(_request), context_.clock.now(), Time{}, false, false});
}

void RequestIngress::onHandover(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	context_.metrics.add(Counter::HandoversTaken);
	QueuedRequest queued{_connection, std::move(_request), context_.clock.now(), Time{}, false, true};
	if (closing())
	{
		refuse(queued, ErrorKind::Stopping, std::string()); // the other node can choose one that stays
		return;
	}
	if (!ready_ || context_.cell.isCutOff.load(std::memory_order_relaxed))
	{
		refuse(queued, ErrorKind::NoTargets, std::string());
		return;
	}
	admit(std::move(queued));
}

/// @returns true if the request was queued until the node is ready.
bool RequestIngress::queueUntilReady(QueuedRequest& _queued, const CallerRequest& _caller)
{
	if (ready_ || closing() || !context_.mechanisms.isEnabled(Mechanism::StartWaits))
	{
		return false;
	}
	const Time now = context_.clock.now();
	_queued.releaseAt = startWait_.until(_caller.budget.value_or(kDefaultBudget), _queued.arrivedAt);
	return now < _queued.releaseAt && startQueue_->push(std::move(_queued));
}

/// @returns true if a resumed stream was queued until the prompts of others have been processed.
bool RequestIngress::queueResumed(QueuedRequest& _queued, const CallerRequest& _caller)
{
	const bool resumes = _caller.resumeAfter.has_value() && context_.mechanisms.isEnabled(Mechanism::ResumePace);
	if (!resumes || _queued.wasQueued || closing())
	{
		return false;
	}
	const Time now = context_.clock.now();
	const bool isQueueEmpty = 0 == resumeQueue_->size();
	if (isQueueEmpty && context_.resumes.admits(now))
	{
		return false;
	}
	const Duration budget = _caller.budget.value_or(kDefaultBudget);
	_queued.releaseAt = now + std::min(ResumeAdmission::kMaxDelay, Duration{budget.micros / 2});
	if (!resumeQueue_->push(std::move(_queued)))
	{
		return false;
	}
	active_.fetch_add(1, std::memory_order_relaxed);
	context_.metrics.add(Counter::ResumesHeld);
	return true;
}

void RequestIngress::admit(QueuedRequest&& _queued)
{
	const std::shared_ptr<ServerConnection> connection = _queued.connection;
	CallerRequest caller;
	if (!context_.wire.parseRequest(_queued.request, caller))
	{
		refuse(_queued, ErrorKind::BadRequest, caller.id);
		return;
	}
	if (queueUntilReady(_queued, caller))
	{
		return;
	}
	std::shared_ptr<const RouteTable> routes;
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		routes = view->routes;
	}
	RouteMatch match;
	ErrorKind::Enum fault = ErrorKind::CatchingUp;
	if (!routes || !matchRoute(*routes, _queued.request, caller, match, fault))
	{
		refuse(_queued, fault, caller.id);
		return;
	}
	if (closing() && !isAdmittedDuringStop(match, caller))
	{
		refuse(_queued, ErrorKind::Stopping, caller.id);
		return;
	}
	if (queueResumed(_queued, caller))
	{
		return;
	}
	RelayPlan plan = makePlan(*routes, match, std::move(_queued), std::move(caller));
	const std::optional<Duration> blocked = context_.crashes.blockedFor(plan.identity, plan.promptParts);
	if (blocked)
	{
		refuseBlocked(*connection, plan, *blocked);
		return;
	}
	const ServerConnection* const key = connection.get();
	const auto relay = std::make_shared<RequestRelay>(context_, std::move(plan), connection,
	                                                  [this, key]
	                                                  {
		                                                  remove(key);
	                                                  });
	relays_[key] = relay;
	active_.fetch_add(1, std::memory_order_relaxed);
	relay->begin();
}

void RequestIngress::refuse(const QueuedRequest& _queued, ErrorKind::Enum _kind, const std::string& _id)
{
	const ErrorResponse& row = responseOf(_kind);
	context_.metrics.addError(_kind);
	const int64_t proven = context_.cell.provenAt.load(std::memory_order_relaxed);
	const bool known = INT64_MIN != proven;
	logEvent(LogPart::Requests, LogLevel::Info, "Request is not let in.",
	         {{"cause", row.name},
	          {"config_age_ms", known ? std::to_string((context_.clock.now() - Time{proven}).millis()) : "none"}},
	         _id);
	ResponseStart start;
	start.status = row.status;
	// Once the balancer has removed this node, a new connection leads to another one: there is nothing to wait for.
	const bool isElsewhere = ErrorKind::Stopping == _kind && !stopWindow_.callersMayArrive(context_.clock.now());
	start.headers = context_.wire.routerHeaders(_id, row.retry && !isElsewhere ? kRetryAfter : Duration{});
	if (_queued.wasHandedOver)
	{
		context_.wire.addNotExecuted(start.headers); // a node with a newer desired state may still take it
	}
	_queued.connection->start(start, std::string_view());
	_queued.connection->finish();
}

/// @param _left time until the block ends, sent as Retry-After: an earlier retry would be refused as well.
void RequestIngress::refuseBlocked(ServerConnection& _connection, const RelayPlan& _plan, Duration _left)
{
	const ErrorResponse& row = responseOf(ErrorKind::CrashesTargets);
	context_.metrics.addError(row.kind);
	logEvent(LogPart::Requests, LogLevel::Info, "Request is not let in.",
	         {{"cause", row.name},
	          {"identity", _plan.identity.text()},
	          {"customer", _plan.customer},
	          {"service", _plan.service},
	          {"blocked_s", std::to_string(_left.millis() / kMillisPerSecond)}},
	         _plan.caller.id);
	ResponseStart start;
	start.status = row.status;
	start.headers = context_.wire.routerHeaders(_plan.caller.id, _left);
	_connection.start(start, std::string_view());
	_connection.finish();
}

void RequestIngress::onCallerDisconnected(const ServerConnection& _connection)
{
	startQueue_->remove(_connection);
	if (resumeQueue_->remove(_connection))
	{
		active_.fetch_sub(1, std::memory_order_release);
	}
	const auto row = relays_.find(&_connection);
	if (relays_.end() != row)
	{
		const std::shared_ptr<RequestRelay> relay = row->second;
		relay->onCallerGone();
	}
}

void RequestIngress::remove(const ServerConnection* _connection)
{
	const auto row = relays_.find(_connection);
	if (relays_.end() == row)
	{
		return;
	}
	// The relay may be on the call stack, so it is destroyed from the loop.
	boost::asio::post(context_.loop, [relay = row->second] {});
	relays_.erase(row);
	active_.fetch_sub(1, std::memory_order_release);
}

} // namespace sedgecart
