// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/orderdispatcher.h>

#include "spantext_p.h"

#include <fleet/fleetcontroller.h>
#include <fleet/targetrecordcheck.h>
#include <logging/logging.h>
#include <metrics/metrics.h>

#include <algorithm>
#include <array>

namespace sedgecart
{

namespace
{

constexpr double kMicrosPerSecond = 1e6;

/// Maximum number of regular phase changes that are logged at once, of orders that other nodes send.
constexpr uint32_t kMaxRegularLines = 20;

/// Maximum load time in seconds, one hour; larger configured values are capped so that sums of times cannot overflow.
constexpr double kMaxLoadSeconds = 3600;

/// Counter of each order phase.
constexpr std::array<Counter::Enum, OrderPhase::Count> kCounters = {
    Counter::OrdersKnown,   Counter::OrdersBegun, Counter::OrdersHeld,    Counter::OrdersUnanswered,
    Counter::OrdersRefused, Counter::OrdersShown, Counter::OrdersGivenUp,
};

uint32_t overlapOf(LayerSpan _a, LayerSpan _b)
{
	return LayerSpan{std::max(_a.begin, _b.begin), std::min(_a.end, _b.end)}.size();
}

} // namespace

OrderDispatcher::OrderDispatcher(RunnerOrdersI& _orders, const ClockI& _clock, const FleetController& _fleet,
                                 const Mechanisms& _mechanisms)
    : orders_(_orders),
      clock_(_clock),
      fleet_(_fleet),
      mechanisms_(_mechanisms),
      tracker_(_mechanisms.isEnabled(Mechanism::OrderLives))
{
}

void OrderDispatcher::apply(const LayoutRecord& _record, Offset _offset, OrderRole::Enum _role)
{
	const Time now = clock_.now();
	// Fences start at 1, since a target interprets 0 as no fence.
	const Offset fence{_offset.value + 1};
	const bool sends = OrderRole::Send == _role;
	if (mechanisms_.isEnabled(Mechanism::OrderLives))
	{
		for (const ReportedOrder& reported : _record.reportedOrders)
		{
			take(reported, _role);
		}
	}
	for (const LayoutHoldRecord& hold : _record.holds)
	{
		TrackedOrder order;
		order.incarnation = TargetIncarnation{hold.target, hold.startTime};
		order.layers = hold.layers;
		order.fence = fence;
		tracker_.onOrdered(order.incarnation, order.layers, fence, loadTimeOf(hold), sends, now);
		if (OrderRole::TrackOnly == _role)
		{
			tracker_.stopResending(order);
		}
		if (sends && maySend(order))
		{
			send(order);
		}
	}
	reportEvents();
}

void OrderDispatcher::take(const ReportedOrder& _reported, OrderRole::Enum _role)
{
	const Time now = clock_.now();
	TrackedOrder order;
	order.incarnation = TargetIncarnation{_reported.hold.target, _reported.hold.startTime};
	order.layers = _reported.hold.layers;
	order.fence = _reported.fence;
	order.orderedAt = Time{now.micros - _reported.age.micros};
	order.loadTime = _reported.loadTime;
	order.phase = _reported.phase;
	order.reason = _reported.reason;
	order.neverResent = OrderRole::TrackOnly == _role;
	tracker_.onReported(order, _reported.timeLeft, now);
}

/// @returns the time that a target needs to load the layers that it does not hold yet when no other load runs, by the
/// operator's setting; 0 if the setting or the target is missing.
Duration OrderDispatcher::loadTimeOf(const LayoutHoldRecord& _hold) const
{
	const auto target = fleet_.runners().find(_hold.target.text);
	const ServiceSpec* const service = fleet_.runners().end() != target ? serviceOf(target->second) : nullptr;
	if (nullptr == service || !isValidSpan(*service, _hold.layers))
	{
		return Duration{};
	}
	const uint32_t newLayers = _hold.layers.size() - overlapOf(_hold.layers, target->second.layers);
	const double allSeconds = std::min(kMaxLoadSeconds, service->engine.loadSeconds);
	return Duration{static_cast<int64_t>(allSeconds * kMicrosPerSecond * newLayers / service->engine.layers)};
}

const ServiceSpec* OrderDispatcher::serviceOf(const RunnerRecord& _target) const
{
	const ServiceSpec* const service = fleet_.routes() ? fleet_.routes()->findService(_target.service) : nullptr;
	return nullptr != service && service->hasEngine ? service : nullptr;
}

void OrderDispatcher::update(std::size_t _nodeIndex, const OrderCheck& _isSafe)
{
	const Time now = clock_.now();
	for (const auto& row : fleet_.runners())
	{
		tracker_.onRegistryRecord(row.second, now);
	}
	tracker_.expire(now);
	for (const TrackedOrder& order : tracker_.dueForResend(_nodeIndex, now))
	{
		resend(order, _isSafe);
	}
	reportEvents();
}

void OrderDispatcher::resend(const TrackedOrder& _order, const OrderCheck& _isSafe)
{
	if (!maySend(_order))
	{
		tracker_.postpone(_order, clock_.now());
		return;
	}
	if (!_order.isAccepted() && !_isSafe(_order))
	{
		tracker_.giveUp(_order, clock_.now());
		return;
	}
	send(_order);
}

void OrderDispatcher::addKnownOrders(LayoutRecord& _record)
{
	isPublishing_ = tracker_.hasUnpublished();
	tracker_.setUnpublished(false); // changes that arrive while the record is being stored are unpublished again
	const Time now = clock_.now();
	for (const TrackedOrder& order : tracker_.ordersToPublish())
	{
		ReportedOrder reported;
		reported.hold = LayoutHoldRecord{order.incarnation.instance, order.incarnation.startTime, order.layers};
		reported.fence = order.fence;
		reported.phase = order.phase;
		reported.reason = order.reason;
		reported.age = now - order.orderedAt;
		reported.timeLeft = order.inEffectUntil - now;
		reported.loadTime = order.loadTime;
		_record.reportedOrders.push_back(reported);
	}
}

void OrderDispatcher::onStored(bool _done)
{
	if (!_done && isPublishing_)
	{
		tracker_.setUnpublished(true);
	}
	isPublishing_ = false;
}

LayerSpan OrderDispatcher::effectiveLayers(const RunnerRecord& _target, const ServiceSpec& _service) const
{
	const TrackedOrder* const order = tracker_.inEffect(_target.incarnation(), clock_.now());
	return nullptr != order && isValidSpan(_service, order->layers) ? order->layers : _target.layers;
}

bool OrderDispatcher::isTrackedOnly(const RunnerRecord& _target) const
{
	const TrackedOrder* const order = tracker_.inEffect(_target.incarnation(), clock_.now());
	return nullptr != order && order->neverResent;
}

bool OrderDispatcher::isOutdated(const RunnerRecord& _target) const
{
	const auto load = fleet_.loads().find(_target.instance.text);
	if (fleet_.loads().end() == load)
	{
		return false;
	}
	const bool ended = load->second->ended.load(std::memory_order_relaxed);
	return ended || load->second->lacksLayers(_target.layers, clock_.now());
}

bool OrderDispatcher::hasRefused(const RunnerRecord& _target) const
{
	return tracker_.hasRefused(_target.incarnation(), clock_.now());
}

bool OrderDispatcher::isRefused(const RunnerRecord& _target, LayerSpan _layers) const
{
	return tracker_.isRefused(_target.incarnation(), _layers, clock_.now());
}

/// @returns false if the target has left or restarted since the order was issued, its registry record is outdated, or
/// its model does not have the layers, or it lacks the memory for them.
bool OrderDispatcher::maySend(const TrackedOrder& _order) const
{
	const auto row = fleet_.runners().find(_order.incarnation.instance.text);
	if (fleet_.runners().end() == row)
	{
		return false;
	}
	const IncarnationOrder::Enum which =
	    compareIncarnations(row->second.incarnation(), _order.incarnation, ReportTiming::Unknown);
	if (IncarnationOrder::Same != which || isOutdated(row->second))
	{
		logEvent(LogPart::Layout, LogLevel::Info,
		         "Order is not sent, its target has restarted or its record is outdated.",
		         {{"target", _order.incarnation.instance.text},
		          {"born", std::to_string(_order.incarnation.startTime.unixMillis)}});
		return false;
	}
	const ServiceSpec* const service = serviceOf(row->second);
	if (nullptr == service || !isValidSpan(*service, _order.layers))
	{
		return false;
	}
	if (!fitsMemory(*service, row->second, _order.layers))
	{
		logEvent(LogPart::Layout, LogLevel::Error, "Order is not sent, its target lacks the memory for the layers.",
		         {{"target", _order.incarnation.instance.text},
		          {"service", service->name},
		          {"card", row->second.accelerator},
		          {"layers", spanText(_order.layers)}});
		return false;
	}
	return true;
}

void OrderDispatcher::send(const TrackedOrder& _order)
{
	const RunnerRecord& target = fleet_.runners().at(_order.incarnation.instance.text);
	logEvent(LogPart::Layout, LogLevel::Info, "Target is ordered to hold layers.",
	         {{"target", _order.incarnation.instance.text},
	          {"born", std::to_string(_order.incarnation.startTime.unixMillis)},
	          {"layers", spanText(_order.layers)},
	          {"held", spanText(target.layers)},
	          {"fence", std::to_string(_order.fence.value)},
	          {"sends", std::to_string(_order.sendCount + 1)}});
	tracker_.onSent(_order, clock_.now());
	if (nullptr != metrics_)
	{
		metrics_->add(Counter::OrdersSent);
	}
	orders_.holdLayers(target, _order.layers, _order.fence,
	                   [this, _order](LayoutOrderState::Enum _state)
	                   {
		                   onAnswered(_order, _state);
	                   });
}

void OrderDispatcher::onAnswered(const TrackedOrder& _order, LayoutOrderState::Enum _state)
{
	const Time now = clock_.now();
	const auto target = fleet_.runners().find(_order.incarnation.instance.text);
	const bool known = fleet_.runners().end() != target && target->second.incarnation() == _order.incarnation;
	if (known && LayoutOrderState::OtherTarget == _state && mechanisms_.isEnabled(Mechanism::RefusalEvidence))
	{
		fleet_.loads()
		    .at(_order.incarnation.instance.text)
		    ->recordMissingLayers(target->second.layers, now + kMissingLayersTimeout);
	}
	const bool accepted = LayoutOrderState::Begun == _state || LayoutOrderState::Held == _state;
	logEvent(LogPart::Layout, accepted ? LogLevel::Debug : LogLevel::Warning, "Target answered an order.",
	         {{"target", _order.incarnation.instance.text}, {"outcome", nameOf(_state)}});
	tracker_.onAnswer(_order.incarnation, _order.fence, _state, now);
	reportEvents();
}

/// Counts each phase change of an order, whichever node sends it, and logs it with the time since it was issued. Of the
/// regular changes of orders that other nodes send only some are logged: a first layout has thousands.
void OrderDispatcher::reportEvents()
{
	uint32_t lines = 0;
	uint32_t omitted = 0;
	for (const TrackedOrder& event : tracker_.takeEvents())
	{
		count(event);
		const bool isBad = OrderPhase::Refused == event.phase || OrderPhase::Unanswered == event.phase ||
		                   OrderPhase::GivenUp == event.phase;
		if (!isBad && !event.sentHere && kMaxRegularLines < ++lines)
		{
			++omitted;
			continue;
		}
		logEvent(LogPart::Layout, isBad ? LogLevel::Warning : LogLevel::Info, "Order of the layout goes on.",
		         {{"phase", nameOf(event.phase)},
		          {"reason", OrderPhase::Refused == event.phase ? nameOf(event.reason) : ""},
		          {"target", event.incarnation.instance.text},
		          {"born", std::to_string(event.incarnation.startTime.unixMillis)},
		          {"hall", hallOf(event.incarnation.instance.text)},
		          {"layers", spanText(event.layers)},
		          {"fence", std::to_string(event.fence.value)},
		          {"ms", std::to_string(event.age.millis())},
		          {"load_ms", std::to_string(event.loadTime.millis())},
		          {"sent_here", event.sentHere ? "true" : "false"}});
	}
	if (0 < omitted)
	{
		logEvent(LogPart::Layout, LogLevel::Info, "More orders of the layout go on.",
		         {{"orders", std::to_string(omitted)}});
	}
}

/// @returns the data hall of a target, empty if the target has left the registry.
std::string OrderDispatcher::hallOf(const std::string& _target) const
{
	const auto row = fleet_.runners().find(_target);
	return fleet_.runners().end() == row ? std::string() : row->second.hall;
}

void OrderDispatcher::count(const TrackedOrder& _event) const
{
	if (nullptr == metrics_)
	{
		return;
	}
	metrics_->add(kCounters[_event.phase]);
	if (OrderPhase::Shown == _event.phase)
	{
		metrics_->observe(Timing::OrderShown, _event.age);
	}
}

} // namespace sedgecart
