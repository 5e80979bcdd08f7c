// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <leases/leaseaccount.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Part of the recent rate that is admitted without a lease: the rest of the hall may have lost capacity.
constexpr uint64_t kFloorPercent = 80;
constexpr uint64_t kPercent = 100;
constexpr Duration kSecond = Duration::fromMillis(1000);

/// A floor that was not used for a while admits no more than this at once.
constexpr Duration kFloorBurst = Duration::fromMillis(250);

/// Use that a node keeps capacity for while capacity is short: until the answer to its next report, which is sent after
/// 150 ms.
constexpr Duration kKeptUse = Duration::fromMillis(300);

/// Part of a lease, as its divisor, that requests behind the most urgent ones may always use.
constexpr uint64_t kLessUrgentDivisor = 10;

/// Shortest time between two early reports.
constexpr Duration kNotifyPause = Duration::fromMillis(15);

/// The same while capacity is short: half of the interval of reports.
constexpr Duration kShortNotifyPause = Duration::fromMillis(75);

} // namespace

bool LeaseAccount::isActive(Time) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return active_;
}

std::optional<LeaseGrant> LeaseAccount::tryTake(uint64_t _tokens, uint32_t _urgency, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const uint32_t urgency = std::min<uint32_t>(_urgency, kUrgencies - 1);
	checkExpiry(_now);
	const bool isFloor = active_ && !hasLease_;
	if (active_ && !(isFloor ? takeFloor(_tokens, _now) : takeLease(_tokens, urgency)))
	{
		++events_.refusals;
		notifyLow(_now);
		return std::nullopt;
	}
	recent_.add(_tokens, urgency, _now);
	const LeaseGrant::Source covering = active_ ? LeaseGrant::Source::Lease : LeaseGrant::Source::None;
	return LeaseGrant{_tokens, urgency, isFloor ? LeaseGrant::Source::Floor : covering};
}

/// A lease ends at its term even if nobody asked in the meantime. The rate of the floor is that of the time before.
void LeaseAccount::checkExpiry(Time _now)
{
	if (!hasLease_ || _now < leaseUntil_)
	{
		return;
	}
	hasLease_ = false;
	limit_ = used_;
	++events_.expiries;
	const uint64_t before = totalTokens(recent_.sum(RecentTokens::kWindow, _now));
	const auto windows = static_cast<uint64_t>(RecentTokens::kWindow.micros / kSecond.micros);
	floorRate_ = std::max(usualTokens_, before / windows * kFloorPercent / kPercent);
	floorLeft_ = 1; // the first request is admitted at once
	floorAt_ = _now;
}

/// A request is admitted while the budget is above zero, so that large ones are admitted as well.
bool LeaseAccount::takeFloor(uint64_t _tokens, Time _now)
{
	refillFloor(_now);
	if (floorLeft_ <= 0)
	{
		return false;
	}
	floorLeft_ -= static_cast<int64_t>(_tokens);
	++events_.floorAdmissions;
	return true;
}

void LeaseAccount::refillFloor(Time _now)
{
	const int64_t micros = std::clamp<int64_t>((_now - floorAt_).micros, 0, 10 * kSecond.micros);
	const auto rate = static_cast<int64_t>(std::max(floorRate_, usualTokens_));
	const int64_t more = rate * micros / kSecond.micros;
	if (0 < more)
	{
		floorLeft_ = std::min(floorLeft_ + more, std::max<int64_t>(1, rate * kFloorBurst.micros / kSecond.micros));
		floorAt_ = _now;
	}
}

bool LeaseAccount::takeLease(uint64_t _tokens, uint32_t _urgency)
{
	const bool isBehind = maxUrgency_ < _urgency;
	if (limit_ - used_ < _tokens || (isBehind && lessUrgentLeft_ <= 0))
	{
		return false;
	}
	used_ += _tokens;
	lessUrgentLeft_ -= isBehind ? static_cast<int64_t>(_tokens) : 0;
	return true;
}

/// Asks for an early report once after each answer, less often while the hub says that capacity is short: it lends what
/// becomes free, and reports of all nodes each 15 ms would be ten times as many.
void LeaseAccount::notifyLow(Time _now)
{
	const bool isShort = maxUrgency_ < kUrgencies - 1;
	const Duration pause = isShort ? kShortNotifyPause : kNotifyPause;
	if (!hasLease_ || !mayNotify_ || nullptr == listener_ || _now < notifiedAt_ + pause)
	{
		return;
	}
	notifiedAt_ = _now;
	mayNotify_ = false;
	listener_->onLeaseLow();
}

void LeaseAccount::giveBack(const LeaseGrant& _grant)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	recent_.subtract(_grant.tokens, _grant.urgency);
	if (LeaseGrant::Source::Floor == _grant.source)
	{
		floorLeft_ += static_cast<int64_t>(_grant.tokens);
		return;
	}
	if (LeaseGrant::Source::None == _grant.source)
	{
		return;
	}
	used_ -= std::min(_grant.tokens, used_ - reportedUsed_);
	limit_ = hasLease_ ? limit_ : used_;
	lessUrgentLeft_ += maxUrgency_ < _grant.urgency ? static_cast<int64_t>(_grant.tokens) : 0;
}

void LeaseAccount::fillDemand(ServiceDemand& _demand, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	checkExpiry(_now);
	waiting_ = _demand.waiting;
	_demand.recent = recent_.sum(kSecond, _now);
	const bool isShort = maxUrgency_ < kUrgencies - 1;
	if (hasLease_ && isShort)
	{
		const uint64_t kept = totalTokens(recent_.sum(kKeptUse, _now)) + totalTokens(waiting_);
		limit_ = used_ + std::min(limit_ - used_, kept);
	}
	limit_ = hasLease_ ? limit_ : used_;
	reportedUsed_ = used_;
	_demand.leaseUsed = used_;
	_demand.leaseLimit = limit_;
	_demand.leaseAnswer = answered_;
}

void LeaseAccount::apply(const ServiceCapacity& _capacity, uint64_t _report, Time _sentAt, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	checkExpiry(_now);
	if (_report <= answered_)
	{
		return; // overtaken by a later answer
	}
	answered_ = _report;
	mayNotify_ = true;
	const Time until = _sentAt + _capacity.leaseTerm;
	if (0 < _capacity.leaseLimit && _now < until)
	{
		setLease(_capacity, until, _now);
	}
}

void LeaseAccount::setLease(const ServiceCapacity& _capacity, Time _until, Time _now)
{
	active_ = true;
	hasLease_ = true;
	leaseUntil_ = _until;
	limit_ = std::max(used_, _capacity.leaseLimit);
	maxUrgency_ = std::min<uint32_t>(_capacity.maxUrgency, kUrgencies - 1);
	const auto left = static_cast<int64_t>(limit_ - used_);
	const UrgencyTokens recent = recent_.sum(kKeptUse, _now);
	int64_t urgent = 0; // needed by requests that are not behind
	for (uint32_t urgency = 0; urgency <= maxUrgency_; ++urgency)
	{
		urgent += static_cast<int64_t>(waiting_[urgency] + recent[urgency]);
	}
	const int64_t tenth = left / static_cast<int64_t>(kLessUrgentDivisor);
	lessUrgentLeft_ = std::max(std::min(lessUrgentLeft_, left) + tenth, left - urgent);
}

void LeaseAccount::deactivate()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	active_ = false;
	hasLease_ = false;
	limit_ = used_;
}

void LeaseAccount::onHubChanged()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	answered_ = 0;
}

void LeaseAccount::setUsualTokens(uint64_t _tokens)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	usualTokens_ = _tokens;
}

void LeaseAccount::setListener(LeaseListenerI* _listener)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	listener_ = _listener;
}

LeaseEvents LeaseAccount::takeEvents(Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	checkExpiry(_now);
	LeaseEvents events = events_;
	events.hasLease = hasLease_;
	events.isActive = active_;
	events_ = LeaseEvents{};
	return events;
}

} // namespace sedgecart
