// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/ordertracker.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

constexpr const char* kPhaseNames[] = {"ordered", "begun", "held", "unanswered", "refused", "shown", "given_up"};
static_assert(OrderPhase::Count == sizeof(kPhaseNames) / sizeof(kPhaseNames[0]), "each phase needs its name");

/// Concurrent loads slow each other down proportionally. A target that takes more than this many times the expected
/// time is considered hung.
constexpr double kMaxSlowdown = 4;

/// An order ends after this many times its expected time, even if its target keeps reporting that it is busy.
constexpr int64_t kMaxOverrun = 4;

/// How many nodes query the state of an order whose author does not report it, one after the other: the first of them
/// may have failed together with the author.
constexpr std::size_t kMaxInquirers = 3;

/// Delay between the queries of two such nodes. A response takes milliseconds, its timeout is 1.5 s.
constexpr Duration kInquirerDelay = Duration::fromMillis(600);

/// How long an order is in effect if its progress is not tracked, which serves as a baseline for comparison.
constexpr Duration kFixedTime = Duration::fromMillis(6000);

bool isSame(const TargetIncarnation& _a, const TargetIncarnation& _b)
{
	return IncarnationOrder::Same == compareIncarnations(_a, _b, ReportTiming::Unknown);
}

} // namespace

const char* nameOf(OrderPhase::Enum _phase)
{
	return kPhaseNames[_phase];
}

OrderTracker::OrderTracker(bool _tracksProgress) : tracksProgress_(_tracksProgress)
{
}

/// @returns the time from the order's record until the registry is expected to show its layers.
Duration OrderTracker::expectedTime(const TrackedOrder& _order) const
{
	const double slowdown = std::max(1.0, *std::max_element(slowdowns_.begin(), slowdowns_.end()));
	const Duration alone = _order.loadTime + kRegistryLag;
	return Duration{static_cast<int64_t>(static_cast<double>(alone.micros) * slowdown)};
}

void OrderTracker::onOrdered(const TargetIncarnation& _incarnation, LayerSpan _layers, Offset _fence,
                             Duration _loadTime, bool _issuedHere, Time _now)
{
	TrackedOrder order;
	order.incarnation = _incarnation;
	order.layers = _layers;
	order.fence = _fence;
	order.orderedAt = _now;
	order.loadTime = 0 < _loadTime.micros ? _loadTime : kDefaultLoadTime;
	order.sentHere = _issuedHere;
	order.queryFrom = _now + order.loadTime + kRegistryLag;
	const Duration inEffectFor = tracksProgress_ ? expectedTime(order) : kFixedTime;
	order.dueAt = _now + inEffectFor;
	order.inEffectUntil = tracksProgress_ ? order.dueAt + kGraceTime : order.dueAt;
	if (nullptr == find(_incarnation, _fence))
	{
		add(order);
		setPhase(*find(_incarnation, _fence), OrderPhase::Ordered, _now);
	}
}

void OrderTracker::onReported(const TrackedOrder& _reported, Duration _left, Time _now)
{
	TrackedOrder* known = find(_reported.incarnation, _reported.fence);
	// If this node knew the order, the refusal is retained from now on. Otherwise this node may have dropped it
	// already, so its expiry follows from the order's age. Without that, nodes would report a refusal to each other
	// forever.
	const Time refusedFrom = nullptr == known ? std::min(_reported.orderedAt, _now) : _now;
	const bool isRefusal = OrderPhase::Refused == _reported.phase;
	if (isRefusal && !(_now < refusedFrom + kRefusalTime))
	{
		return;
	}
	if (nullptr == known)
	{
		TrackedOrder order = _reported;
		order.loadTime = 0 < _reported.loadTime.micros ? _reported.loadTime : kDefaultLoadTime;
		order.queryFrom = _reported.orderedAt + order.loadTime + kRegistryLag;
		order.dueAt = _reported.orderedAt + expectedTime(order);
		order.phase = OrderPhase::Ordered;
		add(order);
		known = find(_reported.incarnation, _reported.fence);
		setPhase(*known, _reported.isActive() ? _reported.phase : OrderPhase::Ordered, _now);
	}
	if (!known->isActive())
	{
		return;
	}
	if (isRefusal)
	{
		refuse(*known, _reported.reason, refusedFrom, _now);
		return;
	}
	// The bound is computed locally, so that no other node can keep an order in effect forever.
	extend(*known, _left, _now);
}

TrackedOrder* OrderTracker::find(const TargetIncarnation& _incarnation, Offset _fence)
{
	const auto row = orders_.find(_incarnation.instance.text);
	if (orders_.end() == row)
	{
		return nullptr;
	}
	for (TrackedOrder& order : row->second)
	{
		if (order.fence == _fence && isSame(order.incarnation, _incarnation))
		{
			return &order;
		}
	}
	return nullptr;
}

void OrderTracker::add(const TrackedOrder& _order)
{
	Orders& orders = orders_[_order.incarnation.instance.text];
	const auto position = std::find_if(orders.begin(), orders.end(),
	                                   [&_order](const TrackedOrder& _other)
	                                   {
		                                   return _order.fence < _other.fence;
	                                   });
	orders.insert(position, _order);
}

void OrderTracker::setPhase(TrackedOrder& _order, OrderPhase::Enum _phase, Time _now)
{
	_order.phase = _phase;
	_order.age = _now - _order.orderedAt;
	events_.push_back(_order);
}

/// Extends the time that an order is in effect, up to the longest time that a load can take.
void OrderTracker::extend(TrackedOrder& _order, Duration _by, Time _now)
{
	const Duration most{expectedTime(_order).micros * kMaxOverrun};
	const Time until = std::min(_now + _by, _order.orderedAt + most);
	if (tracksProgress_ && _order.inEffectUntil < until)
	{
		_order.inEffectUntil = until;
		_order.dueAt = std::max(_order.dueAt, Time{until.micros - kGraceTime.micros});
	}
}

void OrderTracker::onSent(const TrackedOrder& _order, Time _now)
{
	TrackedOrder* const order = find(_order.incarnation, _order.fence);
	if (nullptr != order)
	{
		order->awaitingAnswer = true;
		order->resendAt = _now + kResendDelay;
		++order->sendCount;
	}
}

void OrderTracker::postpone(const TrackedOrder& _order, Time _now)
{
	TrackedOrder* const order = find(_order.incarnation, _order.fence);
	if (nullptr != order)
	{
		order->resendAt = _now + kResendDelay;
	}
}

void OrderTracker::stopResending(const TrackedOrder& _order)
{
	TrackedOrder* const order = find(_order.incarnation, _order.fence);
	if (nullptr != order)
	{
		order->neverResent = true;
	}
}

void OrderTracker::giveUp(const TrackedOrder& _order, Time _now)
{
	TrackedOrder* const order = find(_order.incarnation, _order.fence);
	if (nullptr != order && order->isActive())
	{
		setPhase(*order, OrderPhase::GivenUp, _now);
	}
}

void OrderTracker::onAnswer(const TargetIncarnation& _incarnation, Offset _fence, LayoutOrderState::Enum _state,
                            Time _now)
{
	TrackedOrder* const order = find(_incarnation, _fence);
	if (nullptr == order || !order->isActive())
	{
		return;
	}
	order->awaitingAnswer = false;
	order->resendAt = _now + kResendDelay;
	const bool isLate = order->dueAt < _now;
	switch (_state)
	{
	case LayoutOrderState::Begun:
		order->queryFrom = _now + order->loadTime + kRegistryLag;
		extend(*order, expectedTime(*order) + kGraceTime, _now);
		setPhase(*order, OrderPhase::Begun, _now);
		break;
	case LayoutOrderState::Held:
		order->queryFrom = _now + kRegistryLag;
		extend(*order, kRegistryLag + kGraceTime, _now);
		setPhase(*order, OrderPhase::Held, _now);
		break;
	case LayoutOrderState::Unknown:
		onUnanswered(*order, _now);
		return;
	case LayoutOrderState::Unfit:
		onBusy(*order, _now);
		break;
	default:
		refuse(*order, _state, _now, _now);
	}
	hasUnpublished_ = hasUnpublished_ || (tracksProgress_ && isLate && order->isActive());
}

/// A missing response does not replace the state known from an earlier one.
void OrderTracker::onUnanswered(TrackedOrder& _order, Time _now)
{
	if (OrderPhase::Ordered == _order.phase)
	{
		setPhase(_order, OrderPhase::Unanswered, _now);
	}
}

/// A target runs one load at a time. If it may have accepted this order earlier, a busy response does not tell whether
/// it did, as this order may be the one it is executing. Only the response to the first attempt counts as a refusal.
void OrderTracker::onBusy(TrackedOrder& _order, Time _now)
{
	const bool mayBeAccepted = 1 < _order.sendCount || !_order.sentHere;
	if (!mayBeAccepted)
	{
		refuse(_order, LayoutOrderState::Unfit, _now, _now);
		return;
	}
	_order.queryFrom = OrderPhase::Unanswered == _order.phase ? _order.queryFrom : _now + kRegistryLag;
	extend(_order, kGraceTime + kRegistryLag, _now);
}

/// @param _from start of the refusal's validity.
void OrderTracker::refuse(TrackedOrder& _order, LayoutOrderState::Enum _reason, Time _from, Time _now)
{
	_order.reason = _reason;
	hasUnpublished_ = hasUnpublished_ || (tracksProgress_ && 0 < _order.sendCount);
	if (!tracksProgress_)
	{
		const OrderPhase::Enum before = _order.phase;
		setPhase(_order, OrderPhase::Refused, _now);
		_order.phase = before; // without tracking, the order stays in effect for its fixed time
		return;
	}
	// A higher fence belongs to a later order, which the plan already knows, so there is no need to wait.
	_order.publishedUntil = _from + kRefusalTime;
	_order.refusedUntil = LayoutOrderState::Fenced == _reason ? _now : _order.publishedUntil;
	setPhase(_order, OrderPhase::Refused, _now);
}

void OrderTracker::onRegistryRecord(const RunnerRecord& _record, Time _now)
{
	const auto row = orders_.find(_record.instance.text);
	if (orders_.end() == row)
	{
		return;
	}
	Orders& orders = row->second;
	for (TrackedOrder& order : orders)
	{
		const IncarnationOrder::Enum relation =
		    compareIncarnations(order.incarnation, _record.incarnation(), ReportTiming::Unknown);
		if (!order.isActive())
		{
			continue;
		}
		if (IncarnationOrder::Newer == relation)
		{
			setPhase(order, OrderPhase::GivenUp, _now);
		}
		else if (tracksProgress_ && IncarnationOrder::Same == relation && order.layers == _record.layers &&
		         !mayPredateOrder(orders, order, _now))
		{
			recordSlowdown(order, _now);
			setPhase(order, OrderPhase::Shown, _now);
			endEarlier(orders, order, _now);
		}
	}
}

/// @returns true if the layers that the registry shows may date from before an earlier order: if a target is ordered to
/// other layers and back, the registry shows the original layers throughout.
bool OrderTracker::mayPredateOrder(const Orders& _orders, const TrackedOrder& _order, Time _now)
{
	const bool hasEarlier = std::any_of(_orders.begin(), _orders.end(),
	                                    [&_order](const TrackedOrder& _other)
	                                    {
		                                    return _other.fence < _order.fence && _other.isActive();
	                                    });
	return hasEarlier && _now < _order.orderedAt + kRegistryLag;
}

/// Ends the earlier orders of a target: a later one was executed, and its fence blocks them.
void OrderTracker::endEarlier(Orders& _orders, const TrackedOrder& _by, Time _now)
{
	for (TrackedOrder& order : _orders)
	{
		if (order.fence < _by.fence && order.isActive())
		{
			setPhase(order, OrderPhase::GivenUp, _now);
		}
	}
}

/// Records how much longer than a single load an order took, so that the expected time of later orders accounts for it.
void OrderTracker::recordSlowdown(const TrackedOrder& _order, Time _now)
{
	const Duration alone = _order.loadTime + kRegistryLag;
	const double ratio = static_cast<double>((_now - _order.orderedAt).micros) / static_cast<double>(alone.micros);
	slowdowns_[samples_ % kSampleCount] = std::min(kMaxSlowdown, ratio);
	++samples_;
}

void OrderTracker::expire(Time _now)
{
	for (auto row = orders_.begin(); orders_.end() != row;)
	{
		Orders& orders = row->second;
		for (TrackedOrder& order : orders)
		{
			if (order.isActive() && order.inEffectUntil < _now)
			{
				setPhase(order, OrderPhase::GivenUp, _now);
			}
			else if (OrderPhase::Refused == order.phase && !(_now < order.publishedUntil))
			{
				order.phase = OrderPhase::GivenUp; // no event: the refusal was already reported
			}
		}
		const auto ended = std::remove_if(orders.begin(), orders.end(),
		                                  [_now](const TrackedOrder& _order)
		                                  {
			                                  return !_order.isActive() && !(_now < _order.refusedUntil) &&
			                                         _order.inEffectUntil < _now;
		                                  });
		orders.erase(ended, orders.end());
		row = orders.empty() ? orders_.erase(row) : std::next(row);
	}
}

const TrackedOrder* OrderTracker::inEffect(const TargetIncarnation& _incarnation, Time _now) const
{
	const auto row = orders_.find(_incarnation.instance.text);
	if (orders_.end() == row)
	{
		return nullptr;
	}
	const auto newest = std::find_if(row->second.rbegin(), row->second.rend(),
	                                 [&_incarnation, _now](const TrackedOrder& _order)
	                                 {
		                                 return _order.isActive() && !(_order.inEffectUntil < _now) &&
		                                        isSame(_incarnation, _order.incarnation);
	                                 });
	return row->second.rend() == newest ? nullptr : &*newest;
}

bool OrderTracker::isRefused(const TargetIncarnation& _incarnation, LayerSpan _layers, Time _now) const
{
	const auto row = orders_.find(_incarnation.instance.text);
	return orders_.end() != row && std::any_of(row->second.begin(), row->second.end(),
	                                           [&_incarnation, _layers, _now](const TrackedOrder& _order)
	                                           {
		                                           return OrderPhase::Refused == _order.phase &&
		                                                  _now < _order.refusedUntil && _layers == _order.layers &&
		                                                  isSame(_incarnation, _order.incarnation);
	                                           });
}

bool OrderTracker::hasRefused(const TargetIncarnation& _incarnation, Time _now) const
{
	const auto row = orders_.find(_incarnation.instance.text);
	return orders_.end() != row && std::any_of(row->second.begin(), row->second.end(),
	                                           [&_incarnation, _now](const TrackedOrder& _order)
	                                           {
		                                           return OrderPhase::Refused == _order.phase &&
		                                                  _now < _order.refusedUntil &&
		                                                  isSame(_incarnation, _order.incarnation);
	                                           });
}

std::vector<TrackedOrder> OrderTracker::dueForResend(std::size_t _nodeIndex, Time _now) const
{
	std::vector<TrackedOrder> due;
	if (!tracksProgress_)
	{
		return due;
	}
	const Duration delay{kInquirerDelay.micros * static_cast<int64_t>(std::min(_nodeIndex, kMaxInquirers))};
	for (const auto& row : orders_)
	{
		// An earlier order could revert the latest one, or would be rejected by its fence.
		const TrackedOrder& order = row.second.back();
		const bool isUnanswered = order.sentHere && OrderPhase::Unanswered == order.phase;
		const bool isLate = order.queryFrom + delay < _now && (order.sentHere || _nodeIndex < kMaxInquirers);
		const bool maySend = order.isActive() && !order.awaitingAnswer && !(_now < order.resendAt);
		if (maySend && !order.neverResent && (isUnanswered || isLate))
		{
			due.push_back(order);
		}
	}
	return due;
}

std::vector<TrackedOrder> OrderTracker::ordersToPublish() const
{
	std::vector<TrackedOrder> orders;
	if (!tracksProgress_)
	{
		return orders;
	}
	for (const auto& row : orders_)
	{
		std::copy_if(row.second.begin(), row.second.end(), std::back_inserter(orders),
		             [](const TrackedOrder& _order)
		             {
			             return _order.isActive() || OrderPhase::Refused == _order.phase;
		             });
	}
	return orders;
}

std::vector<TrackedOrder> OrderTracker::takeEvents()
{
	std::vector<TrackedOrder> events;
	events.swap(events_);
	return events;
}

} // namespace sedgecart
