// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/orderbook.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

constexpr const char* kPhaseNames[] = {"ordered", "begun", "held", "unanswered", "refused", "shown", "given_up"};
static_assert(OrderPhase::Count == sizeof(kPhaseNames) / sizeof(kPhaseNames[0]), "each phase needs its name");

/// Loads beside others take longer in proportion; more than so many times is no load, but a target that hangs.
constexpr double kMostSlowness = 4;

/// An order is given up after so many times its time, however often its target says that it is busy.
constexpr int64_t kMostTimes = 4;

/// How many nodes ask what became of an order whose author does not tell, one after the other: the first may have died
/// with the author.
constexpr std::size_t kAskers = 3;

/// Between two of them: one answer that does not come is 1.5 s, a sound one takes milliseconds.
constexpr Duration kAskerPause = Duration::fromMillis(600);

/// A fixed life, for comparison: what counted before lives were known.
constexpr Duration kFixedLife = Duration::fromMillis(6000);

bool isSame(const TargetLife& _a, const TargetLife& _b)
{
	return LifeOrder::Same == compareLives(_a, _b, LifeEvidence::Unknown);
}

} // namespace

const char* nameOf(OrderPhase::Enum _phase)
{
	return kPhaseNames[_phase];
}

OrderBook::OrderBook(bool _hasLives) : hasLives_(_hasLives)
{
}

/// @returns how long after its record an order should be shown.
Duration OrderBook::expected(const HoldOrder& _order) const
{
	const double slowness = std::max(1.0, *std::max_element(slowness_.begin(), slowness_.end()));
	const Duration alone = _order.load + kRegistryLag;
	return Duration{static_cast<int64_t>(static_cast<double>(alone.micros) * slowness)};
}

void OrderBook::take(const TargetLife& _life, LayerSpan _layers, Offset _fence, Duration _load, bool _own, Time _now)
{
	HoldOrder order;
	order.life = _life;
	order.layers = _layers;
	order.fence = _fence;
	order.orderedAt = _now;
	order.load = 0 < _load.micros ? _load : kUsualLoad;
	order.own = _own;
	order.askFrom = _now + order.load + kRegistryLag;
	const Duration counts = hasLives_ ? expected(order) : kFixedLife;
	order.dueAt = _now + counts;
	order.countsUntil = hasLives_ ? order.dueAt + kSettleTime : order.dueAt;
	if (nullptr == find(_life, _fence))
	{
		add(order);
		set(*find(_life, _fence), OrderPhase::Ordered, _now);
	}
}

void OrderBook::takeTold(const HoldOrder& _told, Duration _left, Time _now)
{
	HoldOrder* known = find(_told.life, _told.fence);
	// Who counted on the order keeps its refusal from now on. Whoever did not may have forgotten it: it lasts by the
	// order's age, so that nodes do not tell it to each other for ever.
	const Time refusedFrom = nullptr == known ? std::min(_told.orderedAt, _now) : _now;
	const bool isRefusal = OrderPhase::Refused == _told.phase;
	if (isRefusal && !(_now < refusedFrom + kRefusedFor))
	{
		return;
	}
	if (nullptr == known)
	{
		HoldOrder order = _told;
		order.load = 0 < _told.load.micros ? _told.load : kUsualLoad;
		order.askFrom = _told.orderedAt + order.load + kRegistryLag;
		order.dueAt = _told.orderedAt + expected(order);
		order.phase = OrderPhase::Ordered;
		add(order);
		known = find(_told.life, _told.fence);
		set(*known, _told.isUnderWay() ? _told.phase : OrderPhase::Ordered, _now);
	}
	if (!known->isUnderWay())
	{
		return;
	}
	if (isRefusal)
	{
		refuse(*known, _told.reason, refusedFrom, _now);
		return;
	}
	// Nobody may keep an order counted for ever: the bound is this node's own.
	extend(*known, _left, _now);
}

HoldOrder* OrderBook::find(const TargetLife& _life, Offset _fence)
{
	const auto row = orders_.find(_life.instance.text);
	if (orders_.end() == row)
	{
		return nullptr;
	}
	for (HoldOrder& order : row->second)
	{
		if (order.fence == _fence && isSame(order.life, _life))
		{
			return &order;
		}
	}
	return nullptr;
}

void OrderBook::add(const HoldOrder& _order)
{
	Orders& orders = orders_[_order.life.instance.text];
	const auto behind = std::find_if(orders.begin(), orders.end(),
	                                 [&_order](const HoldOrder& _other)
	                                 {
		                                 return _order.fence < _other.fence;
	                                 });
	orders.insert(behind, _order);
}

void OrderBook::set(HoldOrder& _order, OrderPhase::Enum _phase, Time _now)
{
	_order.phase = _phase;
	_order.age = _now - _order.orderedAt;
	events_.push_back(_order);
}

/// Counts on an order for longer, within what any load can take.
void OrderBook::extend(HoldOrder& _order, Duration _by, Time _now)
{
	const Duration most{expected(_order).micros * kMostTimes};
	const Time until = std::min(_now + _by, _order.orderedAt + most);
	if (hasLives_ && _order.countsUntil < until)
	{
		_order.countsUntil = until;
		_order.dueAt = std::max(_order.dueAt, Time{until.micros - kSettleTime.micros});
	}
}

void OrderBook::onSent(const HoldOrder& _order, Time _now)
{
	HoldOrder* const order = find(_order.life, _order.fence);
	if (nullptr != order)
	{
		order->asking = true;
		order->askAgainAt = _now + kAskPause;
		++order->sends;
	}
}

void OrderBook::putOff(const HoldOrder& _order, Time _now)
{
	HoldOrder* const order = find(_order.life, _order.fence);
	if (nullptr != order)
	{
		order->askAgainAt = _now + kAskPause;
	}
}

void OrderBook::onlyCount(const HoldOrder& _order)
{
	HoldOrder* const order = find(_order.life, _order.fence);
	if (nullptr != order)
	{
		order->onlyCounted = true;
	}
}

void OrderBook::giveUp(const HoldOrder& _order, Time _now)
{
	HoldOrder* const order = find(_order.life, _order.fence);
	if (nullptr != order && order->isUnderWay())
	{
		set(*order, OrderPhase::GivenUp, _now);
	}
}

void OrderBook::onAnswer(const TargetLife& _life, Offset _fence, LayoutOrderState::Enum _state, Time _now)
{
	HoldOrder* const order = find(_life, _fence);
	if (nullptr == order || !order->isUnderWay())
	{
		return;
	}
	order->asking = false;
	order->askAgainAt = _now + kAskPause;
	const bool isLate = order->dueAt < _now;
	switch (_state)
	{
	case LayoutOrderState::Begun:
		order->askFrom = _now + order->load + kRegistryLag;
		extend(*order, expected(*order) + kSettleTime, _now);
		set(*order, OrderPhase::Begun, _now);
		break;
	case LayoutOrderState::Held:
		order->askFrom = _now + kRegistryLag;
		extend(*order, kRegistryLag + kSettleTime, _now);
		set(*order, OrderPhase::Held, _now);
		break;
	case LayoutOrderState::Unknown:
		noteUnanswered(*order, _now);
		return;
	case LayoutOrderState::Unfit:
		settleBusy(*order, _now);
		break;
	default:
		refuse(*order, _state, _now, _now);
	}
	hasNews_ = hasNews_ || (hasLives_ && isLate && order->isUnderWay());
}

/// What an earlier answer told stays known.
void OrderBook::noteUnanswered(HoldOrder& _order, Time _now)
{
	if (OrderPhase::Ordered == _order.phase)
	{
		set(_order, OrderPhase::Unanswered, _now);
	}
}

/// A target is busy with one load at a time. What it answers to an order that it may have taken before says nothing of
/// whether it has; the first answer to the first try is a refusal.
void OrderBook::settleBusy(HoldOrder& _order, Time _now)
{
	const bool mayBeTaken = 1 < _order.sends || !_order.own;
	if (!mayBeTaken)
	{
		refuse(_order, LayoutOrderState::Unfit, _now, _now);
		return;
	}
	_order.askFrom = OrderPhase::Unanswered == _order.phase ? _order.askFrom : _now + kRegistryLag;
	extend(_order, kSettleTime + kRegistryLag, _now);
}

/// @param _from the refusal lasts from then on.
void OrderBook::refuse(HoldOrder& _order, LayoutOrderState::Enum _reason, Time _from, Time _now)
{
	_order.reason = _reason;
	hasNews_ = hasNews_ || (hasLives_ && 0 < _order.sends);
	if (!hasLives_)
	{
		const OrderPhase::Enum before = _order.phase;
		set(_order, OrderPhase::Refused, _now);
		_order.phase = before; // it counts on all the same
		return;
	}
	// A higher fence is a later order's, which the plan knows: nothing to wait for.
	_order.toldUntil = _from + kRefusedFor;
	_order.refusedUntil = LayoutOrderState::Fenced == _reason ? _now : _order.toldUntil;
	set(_order, OrderPhase::Refused, _now);
}

void OrderBook::onShown(const RunnerRecord& _record, Time _now)
{
	const auto row = orders_.find(_record.instance.text);
	if (orders_.end() == row)
	{
		return;
	}
	Orders& orders = row->second;
	for (HoldOrder& order : orders)
	{
		const LifeOrder::Enum which = compareLives(order.life, _record.life(), LifeEvidence::Unknown);
		if (!order.isUnderWay())
		{
			continue;
		}
		if (LifeOrder::Newer == which)
		{
			set(order, OrderPhase::GivenUp, _now);
		}
		else if (hasLives_ && LifeOrder::Same == which && order.layers == _record.layers &&
		         !isFromBefore(orders, order, _now))
		{
			noteTook(order, _now);
			set(order, OrderPhase::Shown, _now);
			dropBefore(orders, order, _now);
		}
	}
}

/// @returns true if the layers that the registry shows may be those from before an earlier order: a target that is
/// ordered away and back shows them all the time.
bool OrderBook::isFromBefore(const Orders& _orders, const HoldOrder& _order, Time _now)
{
	const bool hasEarlier = std::any_of(_orders.begin(), _orders.end(),
	                                    [&_order](const HoldOrder& _other)
	                                    {
		                                    return _other.fence < _order.fence && _other.isUnderWay();
	                                    });
	return hasEarlier && _now < _order.orderedAt + kRegistryLag;
}

/// Ends older orders of a start of a target: a later one is carried out, and its fence keeps them off.
void OrderBook::dropBefore(Orders& _orders, const HoldOrder& _by, Time _now)
{
	for (HoldOrder& order : _orders)
	{
		if (order.fence < _by.fence && order.isUnderWay())
		{
			set(order, OrderPhase::GivenUp, _now);
		}
	}
}

/// Remembers how much longer than alone an order took, so that the next ones are given their time.
void OrderBook::noteTook(const HoldOrder& _order, Time _now)
{
	const Duration alone = _order.load + kRegistryLag;
	const double times = static_cast<double>((_now - _order.orderedAt).micros) / static_cast<double>(alone.micros);
	slowness_[seen_ % kSeen] = std::min(kMostSlowness, times);
	++seen_;
}

void OrderBook::pass(Time _now)
{
	for (auto row = orders_.begin(); orders_.end() != row;)
	{
		Orders& orders = row->second;
		for (HoldOrder& order : orders)
		{
			if (order.isUnderWay() && order.countsUntil < _now)
			{
				set(order, OrderPhase::GivenUp, _now);
			}
			else if (OrderPhase::Refused == order.phase && !(_now < order.toldUntil))
			{
				order.phase = OrderPhase::GivenUp; // no event: its end has been told
			}
		}
		const auto ended = std::remove_if(orders.begin(), orders.end(),
		                                  [_now](const HoldOrder& _order)
		                                  {
			                                  return !_order.isUnderWay() && !(_now < _order.refusedUntil) &&
			                                         _order.countsUntil < _now;
		                                  });
		orders.erase(ended, orders.end());
		row = orders.empty() ? orders_.erase(row) : std::next(row);
	}
}

const HoldOrder* OrderBook::counting(const TargetLife& _life, Time _now) const
{
	const auto row = orders_.find(_life.instance.text);
	if (orders_.end() == row)
	{
		return nullptr;
	}
	const auto newest =
	    std::find_if(row->second.rbegin(), row->second.rend(),
	                 [&_life, _now](const HoldOrder& _order)
	                 {
		                 return _order.isUnderWay() && !(_order.countsUntil < _now) && isSame(_life, _order.life);
	                 });
	return row->second.rend() == newest ? nullptr : &*newest;
}

bool OrderBook::isRefused(const TargetLife& _life, LayerSpan _layers, Time _now) const
{
	const auto row = orders_.find(_life.instance.text);
	return orders_.end() != row && std::any_of(row->second.begin(), row->second.end(),
	                                           [&_life, _layers, _now](const HoldOrder& _order)
	                                           {
		                                           return OrderPhase::Refused == _order.phase &&
		                                                  _now < _order.refusedUntil && _layers == _order.layers &&
		                                                  isSame(_life, _order.life);
	                                           });
}

bool OrderBook::hasRefused(const TargetLife& _life, Time _now) const
{
	const auto row = orders_.find(_life.instance.text);
	return orders_.end() != row && std::any_of(row->second.begin(), row->second.end(),
	                                           [&_life, _now](const HoldOrder& _order)
	                                           {
		                                           return OrderPhase::Refused == _order.phase &&
		                                                  _now < _order.refusedUntil && isSame(_life, _order.life);
	                                           });
}

std::vector<HoldOrder> OrderBook::dueAgain(std::size_t _place, Time _now) const
{
	std::vector<HoldOrder> due;
	if (!hasLives_)
	{
		return due;
	}
	const Duration turn{kAskerPause.micros * static_cast<int64_t>(std::min(_place, kAskers))};
	for (const auto& row : orders_)
	{
		const HoldOrder& order = row.second.back(); // an earlier one could undo it, or meets its fence
		const bool isOpen = order.own && OrderPhase::Unanswered == order.phase;
		const bool isLate = order.askFrom + turn < _now && (order.own || _place < kAskers);
		const bool mayAsk = order.isUnderWay() && !order.asking && !(_now < order.askAgainAt);
		if (mayAsk && !order.onlyCounted && (isOpen || isLate))
		{
			due.push_back(order);
		}
	}
	return due;
}

std::vector<HoldOrder> OrderBook::told() const
{
	std::vector<HoldOrder> orders;
	if (!hasLives_)
	{
		return orders;
	}
	for (const auto& row : orders_)
	{
		std::copy_if(row.second.begin(), row.second.end(), std::back_inserter(orders),
		             [](const HoldOrder& _order)
		             {
			             return _order.isUnderWay() || OrderPhase::Refused == _order.phase;
		             });
	}
	return orders;
}

std::vector<HoldOrder> OrderBook::takeEvents()
{
	std::vector<HoldOrder> events;
	events.swap(events_);
	return events;
}

} // namespace sedgecart
