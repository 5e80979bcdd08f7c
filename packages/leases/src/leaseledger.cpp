// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <leases/leaseledger.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Maximum number of nodes: several times as many as a hall has.
constexpr std::size_t kMaxNodes = 2000;

/// Answers to one node within a term: reports are at least 15 ms apart.
constexpr std::size_t kMaxAnswers = 64;

/// How long a silent node is remembered: longer than its lease and its loads count. A node that has restarted counts
/// its reports from one, and gets no lease until its earlier run is forgotten, since what it reports cannot be told
/// from a late report of that run.
constexpr Duration kRowLifetime = Duration::fromMillis(1200);

/// Most tokens that a node can admit between two reports, far more than a hall holds. Sums over all nodes stay exact.
constexpr uint64_t kMaxUsedBetween = 1000ULL * 1000 * 1000 * 1000;

/// Part of the free capacity, as its divisor, that is lent only to nodes with waiting requests: a node with a sudden
/// burst gets it with its next report, before other nodes have returned what they do not need.
constexpr uint64_t kReserveDivisor = 8;

/// Part of the headroom, as its divisor, that is lent to all nodes equally: a node without recent requests can admit a
/// burst until its next report. With a quarter the first requests after a quiet time drew most of the headroom to the
/// nodes that they came to, and the other nodes waited two reports until it was returned.
constexpr uint64_t kEqualDivisor = 2;

/// Part of the granted tokens, as its divisor, that each urgency with waiting requests gets.
constexpr int64_t kUrgencyDivisor = 10;

/// Waiting requests of a node that are covered at once even if its fair part is smaller: many small parts of the free
/// capacity would cover no request at all.
constexpr uint64_t kMinRequests = 2;

/// Part of the tokens of the last second, as its divisor, that is expected until the next reports.
constexpr uint64_t kReportsPerSecond = 5;

uint64_t lessOrZero(uint64_t _a, uint64_t _b)
{
	return _a - std::min(_a, _b);
}

/// @returns the part of a sum in proportion to a share of the whole; no value here exceeds what a double holds exactly.
uint64_t partOf(uint64_t _sum, double _share, double _whole)
{
	return _whole <= 0 ? 0 : static_cast<uint64_t>(static_cast<double>(_sum) * std::min(1.0, _share / _whole));
}

} // namespace

void LeaseLedger::onBecameHub(Time _now)
{
	rows_.clear();
	waiting_ = UrgencyTokens{};
	recent_ = UrgencyTokens{};
	credit_ = {};
	grantsFrom_ = _now + kLeaseTerm;
}

bool LeaseLedger::onReport(const std::string& _node, uint64_t _number, const ServiceDemand& _demand, Time _now)
{
	auto found = rows_.find(_node);
	if (rows_.end() == found)
	{
		if (kMaxNodes <= rows_.size())
		{
			return false;
		}
		found = rows_.emplace(_node, Row{}).first;
		found->second.counted = _demand.leaseUsed;
		found->second.countedNext = _demand.leaseUsed;
	}
	Row& row = found->second;
	const uint64_t usedBefore = std::max(row.demand.leaseUsed, row.counted);
	if (_number <= row.number || _demand.leaseUsed < usedBefore || kMaxUsedBetween < _demand.leaseUsed - usedBefore)
	{
		return false;
	}
	count(row.demand, -1);
	count(_demand, 1);
	row.number = _number;
	row.demand = _demand;
	row.reportedAt = _now;
	row.isAnswered = false;
	while (!row.answers.empty() && row.answers.front().number <= _demand.leaseAnswer)
	{
		row.answers.pop_front();
	}
	return true;
}

void LeaseLedger::count(const ServiceDemand& _demand, int64_t _sign)
{
	for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		waiting_[urgency] += static_cast<uint64_t>(_sign) * _demand.waiting[urgency];
		recent_[urgency] += static_cast<uint64_t>(_sign) * _demand.recent[urgency];
	}
}

/// @returns what a node may use beyond what the free capacity includes: up to the highest limit that it has or may
/// still receive.
uint64_t LeaseLedger::held(const Row& _row, Time _now)
{
	uint64_t limit = _row.demand.leaseUsed;
	if (_now < _row.reportedAt + kLeaseTerm)
	{
		limit = std::max(limit, _row.demand.leaseLimit);
	}
	for (const Answer& answer : _row.answers)
	{
		limit = _now < answer.expiresAt ? std::max(limit, answer.limit) : limit;
	}
	return lessOrZero(limit, _row.counted);
}

uint64_t LeaseLedger::outstanding(Time _now) const
{
	uint64_t sum = 0;
	for (const auto& row : rows_)
	{
		sum += held(row.second, _now);
	}
	return sum;
}

UrgencyTokens LeaseLedger::waiting() const
{
	return waiting_;
}

UrgencyTokens LeaseLedger::recent() const
{
	return recent_;
}

void LeaseLedger::beginStep()
{
	for (auto& row : rows_)
	{
		row.second.countedNext = row.second.demand.leaseUsed;
	}
}

void LeaseLedger::endStep(Time _now)
{
	for (auto row = rows_.begin(); rows_.end() != row;)
	{
		row->second.counted = row->second.countedNext;
		const bool isSilent = row->second.reportedAt + kRowLifetime < _now;
		if (isSilent)
		{
			count(row->second.demand, -1);
		}
		row = isSilent ? rows_.erase(row) : std::next(row);
	}
}

ServiceCapacity LeaseLedger::grant(const std::string& _node, uint64_t _number, uint64_t _freeTokens, Time _now)
{
	ServiceCapacity capacity;
	capacity.leaseTerm = kLeaseTerm;
	const auto found = rows_.find(_node);
	if (rows_.end() == found || _number != found->second.number || found->second.isAnswered)
	{
		return capacity;
	}
	Row& row = found->second;
	row.isAnswered = true;
	if (_now < grantsFrom_)
	{
		return capacity;
	}
	const uint64_t uncounted = lessOrZero(row.demand.leaseUsed, row.counted);
	const uint64_t others = outstanding(_now) - held(row, _now);
	const uint64_t available = lessOrZero(_freeTokens, others + uncounted);
	const uint64_t forWaiting = waitingPart(row, available);
	const uint64_t headroom = std::min(available - forWaiting, headroomPart(row, _freeTokens));
	capacity.leaseLimit = row.demand.leaseUsed + forWaiting + headroom;
	capacity.maxUrgency = maxUrgency(_freeTokens);
	recordAnswer(row, capacity.leaseLimit, _now);
	return capacity;
}

/// Beyond the limit on their number the oldest answers are merged, which counts no less than before.
void LeaseLedger::recordAnswer(Row& _row, uint64_t _limit, Time _now)
{
	_row.answers.push_back(Answer{_row.number, _limit, _now + kLeaseTerm});
	if (kMaxAnswers < _row.answers.size())
	{
		const uint64_t oldest = _row.answers.front().limit;
		_row.answers.pop_front();
		_row.answers.front().limit = std::max(_row.answers.front().limit, oldest);
	}
}

/// The most urgent first. An urgency yields to the more urgent requests of all nodes, but each that waits gets a tenth
/// of what is granted, counted as credit until it suffices for a request. A node keeps what it holds for its waiting
/// requests, and collects more in its turn until its largest request fits.
/// @returns what the waiting requests of a node get.
uint64_t LeaseLedger::waitingPart(Row& _row, uint64_t _available)
{
	uint64_t left = _available;
	// It may be collected for a large request.
	const uint64_t kept = lessOrZero(_row.demand.leaseLimit, _row.demand.leaseUsed);
	uint64_t moreUrgent = 0; // waiting at other nodes
	for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		const uint64_t wanted = _row.demand.waiting[urgency];
		const uint64_t least = std::min(wanted, kept + kMinRequests * usualTokens_);
		const uint64_t fair =
		    partOf(left, static_cast<double>(wanted), static_cast<double>(std::max<uint64_t>(1, waiting_[urgency])));
		const uint64_t part = std::min(wanted, std::max(fair, least));
		const uint64_t yielded = lessOrZero(left, moreUrgent);
		const uint64_t ahead = 0 < credit_[urgency] ? left : yielded;
		const uint64_t inTurn = lessOrZero(ahead, owedBefore(_row, urgency));
		const uint64_t given = std::min(part, std::max(inTurn, std::min(std::max(fair, kept), ahead)));
		moreUrgent += lessOrZero(waiting_[urgency], wanted);
		if (0 == given || given < std::min(wanted, usualTokens_))
		{
			continue;
		}
		left -= given;
		recordGiven(urgency, given);
	}
	_row.servedAt = kept < _available - left ? ++served_ : _row.servedAt;
	return _available - left;
}

/// Counts a tenth as credit of each less urgent class that waits.
void LeaseLedger::recordGiven(std::size_t _urgency, uint64_t _tokens)
{
	const auto most = static_cast<int64_t>(kMinRequests * usualTokens_);
	const auto tokens = static_cast<int64_t>(_tokens);
	for (std::size_t behind = _urgency + 1; behind < kUrgencies; ++behind)
	{
		credit_[behind] = 0 < waiting_[behind] ? std::min(most, credit_[behind] + tokens / kUrgencyDivisor) : 0;
	}
	credit_[_urgency] = std::max<int64_t>(0, credit_[_urgency] - tokens);
}

/// Nodes report in about the same order after each step. Without turns the first of them got all that had become free.
/// @returns what nodes that were served less recently get first.
uint64_t LeaseLedger::owedBefore(const Row& _row, std::size_t _urgency) const
{
	uint64_t owed = 0;
	for (const auto& row : rows_)
	{
		const bool isBefore = row.second.servedAt < _row.servedAt;
		owed += isBefore ? std::min(row.second.demand.waiting[_urgency], kMinRequests * usualTokens_) : 0;
	}
	return owed;
}

/// @returns what all nodes used since the loads were counted that the free capacity is computed from.
uint64_t LeaseLedger::uncounted() const
{
	uint64_t sum = 0;
	for (const auto& row : rows_)
	{
		sum += lessOrZero(row.second.demand.leaseUsed, row.second.counted);
	}
	return sum;
}

/// @returns a node's part of what no request waits for.
uint64_t LeaseLedger::headroomPart(const Row& _row, uint64_t _freeTokens) const
{
	const uint64_t left = lessOrZero(_freeTokens, uncounted());
	const uint64_t headroom = lessOrZero(left, std::max(left / kReserveDivisor, totalTokens(waiting_)));
	const uint64_t equal = headroom / kEqualDivisor;
	const uint64_t allRecent = totalTokens(recent_);
	const double share = 0 < allRecent ? static_cast<double>(totalTokens(_row.demand.recent)) : 1;
	const double whole = 0 < allRecent ? static_cast<double>(allRecent) : static_cast<double>(rows_.size());
	return equal / rows_.size() + partOf(headroom - equal, share, whole);
}

/// @returns the least urgent requests that may use headroom: all, unless requests wait and the free capacity does not
/// cover what is expected until the next reports.
uint32_t LeaseLedger::maxUrgency(uint64_t _freeTokens) const
{
	if (0 == totalTokens(waiting_))
	{
		return kUrgencies - 1;
	}
	uint64_t demand = 0;
	uint32_t most = kUrgencies - 1;
	bool any = false;
	for (uint32_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		const uint64_t more = waiting_[urgency] + recent_[urgency] / kReportsPerSecond;
		demand += more;
		if (_freeTokens < demand)
		{
			return any ? most : urgency;
		}
		most = 0 < more || !any ? urgency : most;
		any = any || 0 < more;
	}
	return kUrgencies - 1;
}

} // namespace sedgecart
