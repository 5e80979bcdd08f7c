// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/hubselector.h>

#include <base/digest.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

/// First time that a node is avoided or not probed: a retry costs one message, or one call to the store. Doubled each
/// time in a row up to the longest, which bounds the cost of a node that is gone permanently.
constexpr Duration kFirstAvoidance = Duration::fromMillis(400);
constexpr Duration kMaxAvoidance = Duration::fromMillis(6400);

/// A node that has not answered a probe for this long, two reports, counts as one that does not answer. The probe asks
/// for nothing, so that it is answered faster than a report may be.
constexpr Duration kProbeTimeout = Duration::fromMillis(300);

/// Interval at which the first nodes of a hall probe a store that does not answer. A key is accepted for 4.5 s after it
/// was last confirmed, so a shorter outage of the store is hardly noticed.
constexpr Duration kProbeInterval = Duration::fromMillis(300);

/// The other nodes probe rarely, in case the store refuses only the first ones.
constexpr Duration kRareProbeInterval = Duration::fromMillis(2000);

/// Nodes of a hall that probe often: one more than the hub, in case the store refuses the hub.
constexpr std::size_t kFrequentProbers = 2;

/// Interval at which the nodes of a hall of at most `kMaxSearchers` probe the store in turn when it has just stopped
/// answering the hub: the store may serve a single node, which must be found within the two seconds in which a change
/// must be known. A larger hall cannot be searched in this time by the calls that a hall may make.
constexpr Duration kSearchStep = Duration::fromMillis(100);
constexpr std::size_t kMaxSearchers = 16;

/// Time before the first of these probes: if the store serves the next candidate, the others learn it before.
constexpr Duration kSearchDelay = Duration::fromMillis(250);

/// Interval at which the first nodes of a hall of more than `kMaxFrequentHall` probe the store during a search, so that
/// the hall makes no more calls than after it.
constexpr Duration kSearchProbeInterval = Duration::fromMillis(900);
constexpr std::size_t kMaxFrequentHall = 6;

/// Nodes that are queried before a node reads the store itself. Each costs one report interval, or three if it does not
/// answer, and a change must be known within two seconds.
constexpr std::size_t kMaxQueried = 3;

/// Validity of a node's report on the availability of the store: six of its answers.
constexpr Duration kReportValidity = Duration::fromMillis(1000);

/// How long a node that can read the store again waits for the hub to read through it: the announcement takes one
/// report interval, and so does the hub's first report. If the hub does not, it can mostly read the store itself again.
constexpr Duration kDirectReadTime = Duration::fromMillis(450);

/// Erases the rows of a map whose key fulfils a condition.
template <typename Map, typename Condition> void dropIf(Map& _map, const Condition& _condition)
{
	for (auto row = _map.begin(); _map.end() != row;)
	{
		row = _condition(row->first) ? _map.erase(row) : std::next(row);
	}
}

} // namespace

void sortHubCandidates(std::vector<HubCandidate>& _candidates)
{
	std::sort(_candidates.begin(), _candidates.end(),
	          [](const HubCandidate& _a, const HubCandidate& _b)
	          {
		          return _a.cpuShare == _b.cpuShare ? _a.name < _b.name : _b.cpuShare < _a.cpuShare;
	          });
}

HubSelector::HubSelector(const std::string& _self, double _cpuShare) : self_(_self), cpuShare_(_cpuShare)
{
	setCandidates({});
}

void HubSelector::setCandidates(std::vector<HubCandidate> _candidates)
{
	const auto isSelf = [this](const HubCandidate& _candidate)
	{
		return self_ == _candidate.name;
	};
	if (std::none_of(_candidates.begin(), _candidates.end(), isSelf))
	{
		_candidates.push_back(HubCandidate{self_, cpuShare_});
	}
	const auto isGone = [&_candidates](const std::string& _node)
	{
		return std::none_of(_candidates.begin(), _candidates.end(),
		                    [&_node](const HubCandidate& _candidate)
		                    {
			                    return _node == _candidate.name;
		                    });
	};
	dropIf(unresponsive_, isGone); // nodes that left the hall are not probed any more
	dropIf(suspected_, isGone);
	sortHubCandidates(_candidates);
	hallSize_ = _candidates.size();
	probePlace_ = 0;
	order_.clear();
	for (const HubCandidate& candidate : _candidates)
	{
		// Ordered by hash, since nodes with similar names may share a switch and thus the path to the store.
		probePlace_ += hash64(candidate.name) < hash64(self_) ? 1 : 0;
		if (order_.size() < kMaxQueried || self_ == candidate.name)
		{
			order_.push_back(candidate);
		}
	}
}

Hub HubSelector::choose(Time _now) const
{
	return isStoreUnavailable(_now) ? chooseDuringOutage(_now) : chooseInOrder(_now);
}

Hub HubSelector::chooseInOrder(Time _now) const
{
	if (_now < readsDirectlyUntil_)
	{
		return Hub{self_, true};
	}
	for (const HubCandidate& candidate : order_)
	{
		if (!isPassedOver(candidate.name) && !isAvoided(withoutStore_, candidate.name, _now))
		{
			return Hub{candidate.name, true};
		}
	}
	return Hub{firstResponsive()};
}

Hub HubSelector::chooseDuringOutage(Time _now) const
{
	const bool due = !(_now < probeAt_);
	if (_now < readerValidUntil_ && !isUnresponsive(reader_))
	{
		return Hub{reader_, true, due, true};
	}
	const std::string hub = firstResponsive();
	return Hub{hub, due && self_ == hub, due};
}

std::string HubSelector::firstResponsive() const
{
	for (const HubCandidate& candidate : order_)
	{
		if (!isPassedOver(candidate.name))
		{
			return candidate.name;
		}
	}
	return self_;
}

bool HubSelector::isStoreUnavailable(Time _now) const
{
	const bool outForHub = !storeAnswers_ && self_ == firstResponsive();
	return sharesProbes_ && (outForHub || _now < unavailableUntil_);
}

void HubSelector::markUnavailableIf(bool _isOut, Time _now)
{
	if (!_isOut)
	{
		return;
	}
	if (!isStoreUnavailable(_now))
	{
		startSearch(_now);
	}
	unavailableUntil_ = _now + kReportValidity;
}

/// Sets when this node probes the store for the first time.
void HubSelector::startSearch(Time _now)
{
	if (ownIndex() < kFrequentProbers)
	{
		probeAt_ = _now;
	}
	else
	{
		probeAt_ = isSearchable() ? _now + kSearchDelay + stepsOf(kSearchStep, probePlace_)
		                          : _now + stepsOf(kProbeStep, probePlace_);
	}
	searchUntil_ = isSearchable() ? _now + kSearchDelay + stepsOf(kSearchStep, hallSize_) : Time{};
}

/// After a search, the nodes that probed at short intervals in it probe at the usual ones.
Time HubSelector::nextProbe(Time _now) const
{
	const bool searches = _now < searchUntil_;
	if (ownIndex() < kFrequentProbers)
	{
		const bool isSlowed = searches && kMaxFrequentHall < hallSize_;
		const Duration interval = isSlowed ? kSearchProbeInterval : kProbeInterval;
		return _now + (_now < readerValidUntil_ ? kRareProbeInterval : interval);
	}
	const Time inTurn = searches ? searchUntil_ + kSearchProbeInterval + stepsOf(kProbeStep, probePlace_)
	                             : _now + stepsOf(kProbeStep, hallSize_);
	return std::max(_now + kRareProbeInterval, inTurn);
}

bool HubSelector::isSearchable() const
{
	return hallSize_ <= kMaxSearchers;
}

Duration HubSelector::stepsOf(Duration _step, std::size_t _count)
{
	return Duration{_step.micros * static_cast<int64_t>(_count)};
}

void HubSelector::onAnswer(const std::string& _node, bool _reads, Time _now)
{
	if (!_reads)
	{
		avoid(_node, _now);
		markUnavailableIf(isAnotherAvoided(outdated_, _node, _now), _now);
		return;
	}
	onProbeAnswered(_node);
	withoutStore_.erase(_node);
	outdated_.erase(_node);
	unavailableUntil_ = Time{};
}

void HubSelector::avoid(const std::string& _node, Time _now)
{
	onProbeAnswered(_node);
	extend(withoutStore_, _node, _now);
	readerValidUntil_ = reader_ == _node ? Time{} : readerValidUntil_;
}

void HubSelector::onNoAnswer(const std::string& _node, Time _now)
{
	extend(unresponsive_, _node, _now);
	suspected_.erase(_node);
	suspectOthers(_node, _now);
}

/// A suspected node is passed over while there is a better choice: another one that has answered, or this node if it is
/// among the first candidates. The others would be too many to read the store at once.
bool HubSelector::isPassedOver(const std::string& _node) const
{
	const bool hasBetter = suspectAnswered_ || ownIndex() < kMaxQueried;
	return isUnresponsive(_node) || (hasBetter && 0 < suspected_.count(_node));
}

/// Nodes that are known not to answer are probed anyway.
void HubSelector::suspectOthers(const std::string& _node, Time _now)
{
	for (const HubCandidate& candidate : order_)
	{
		if (self_ != candidate.name && _node != candidate.name && !isUnresponsive(candidate.name))
		{
			suspected_.emplace(candidate.name, _now);
		}
	}
}

void HubSelector::expireSuspicions(Time _now)
{
	for (auto row = suspected_.begin(); suspected_.end() != row;)
	{
		if (_now < row->second + kProbeTimeout)
		{
			++row;
			continue;
		}
		extend(unresponsive_, row->first, _now);
		row = suspected_.erase(row);
	}
	suspectAnswered_ = suspectAnswered_ && !suspected_.empty();
}

std::vector<std::string> HubSelector::takeDueProbes(Time _now)
{
	expireSuspicions(_now);
	std::vector<std::string> due;
	for (const auto& row : suspected_)
	{
		due.push_back(row.first);
	}
	for (const auto& row : unresponsive_)
	{
		if (!(_now < row.second.until))
		{
			due.push_back(row.first);
		}
	}
	for (const std::string& node : due)
	{
		if (isUnresponsive(node))
		{
			extend(unresponsive_, node, _now);
		}
	}
	return due;
}

std::vector<std::string> HubSelector::probedNodes() const
{
	std::vector<std::string> names;
	for (const auto& row : suspected_)
	{
		names.push_back(row.first);
	}
	for (const auto& row : unresponsive_)
	{
		names.push_back(row.first);
	}
	return names;
}

void HubSelector::onProbeAnswered(const std::string& _node)
{
	unresponsive_.erase(_node);
	suspectAnswered_ = suspectAnswered_ || 0 < suspected_.count(_node);
	suspected_.erase(_node);
	suspectAnswered_ = suspectAnswered_ && !suspected_.empty();
}

/// One node's path to the store may hang while others can read it. If the next node that is queried cannot read it
/// either, the store counts as unavailable: that node detects this as soon as this one, and probes by itself.
void HubSelector::onOutdated(const std::string& _node, Time _now)
{
	avoid(_node, _now);
	extend(outdated_, _node, _now);
	markUnavailableIf(isStoreUnavailable(_now) || isAnotherAvoided(withoutStore_, _node, _now), _now);
}

void HubSelector::onStoreUnavailable(const std::string& _node, Time _now)
{
	avoid(_node, _now);
	markUnavailableIf(true, _now);
}

/// A hub that changed its reader with each announcement would lose the answers in flight.
void HubSelector::onReaderAnnounced(const std::string& _node, Time _now)
{
	const bool hasOtherReader = _node != reader_ && _now < readerValidUntil_ && !isUnresponsive(reader_);
	if (hasOtherReader)
	{
		return;
	}
	reader_ = _node;
	readerValidUntil_ = _now + kReportValidity;
}

/// Nodes that precede this one in the order use it as their hub because the store does not answer them; meanwhile,
/// querying them would lead back to this node.
void HubSelector::onUsedAsHub(const std::string& _node, Time _now)
{
	const bool precedes = std::any_of(order_.begin(), order_.begin() + static_cast<int64_t>(ownIndex()),
	                                  [&_node](const HubCandidate& _candidate)
	                                  {
		                                  return _node == _candidate.name;
	                                  });
	const Hub hub = choose(_now);
	if (sharesProbes_ && precedes && storeAnswers_ && self_ == hub.name)
	{
		readsDirectlyUntil_ = _now + kReportValidity;
	}
}

void HubSelector::onStoreResult(bool _answered, Time _now)
{
	const bool wasOut = isStoreUnavailable(_now);
	storeAnswers_ = _answered;
	if (_answered)
	{
		withoutStore_.erase(self_);
		unavailableUntil_ = Time{};
		if (wasOut)
		{
			readsDirectlyUntil_ = _now + kDirectReadTime;
			withoutStore_.clear(); // avoided nodes may be able to read the store again
		}
		return;
	}
	readsDirectlyUntil_ = Time{};
	const bool probesOften = ownIndex() < kFrequentProbers;
	const Duration span = probesOften && !(_now < readerValidUntil_) ? kProbeInterval : kRareProbeInterval;
	withoutStore_[self_] = Avoidance{_now + span, span};
	if (!wasOut)
	{
		startSearch(_now);
	}
	probeAt_ = nextProbe(_now);
	unavailableUntil_ = wasOut ? _now + kReportValidity : unavailableUntil_;
}

std::vector<std::string> HubSelector::announcementRecipients() const
{
	std::vector<std::string> names;
	for (const HubCandidate& candidate : order_)
	{
		if (names.size() < kFrequentProbers && self_ != candidate.name)
		{
			names.push_back(candidate.name);
		}
	}
	return names;
}

bool HubSelector::isAvoided(const Avoidances& _pauses, const std::string& _node, Time _now)
{
	const auto pause = _pauses.find(_node);
	return _pauses.end() != pause && _now < pause->second.until;
}

bool HubSelector::isAnotherAvoided(const Avoidances& _pauses, const std::string& _node, Time _now)
{
	return std::any_of(_pauses.begin(), _pauses.end(),
	                   [&_node, _now](const Avoidances::value_type& _row)
	                   {
		                   return _node != _row.first && _now < _row.second.until;
	                   });
}

void HubSelector::extend(Avoidances& _pauses, const std::string& _node, Time _now)
{
	Avoidance& pause = _pauses[_node];
	if (_now < pause.until)
	{
		return; // already avoided
	}
	pause.span = 0 == pause.span.micros ? kFirstAvoidance : std::min(kMaxAvoidance, pause.span + pause.span);
	pause.until = _now + pause.span;
}

std::size_t HubSelector::ownIndex() const
{
	const auto own = std::find_if(order_.begin(), order_.end(),
	                              [this](const HubCandidate& _candidate)
	                              {
		                              return self_ == _candidate.name;
	                              });
	return static_cast<std::size_t>(own - order_.begin());
}

} // namespace sedgecart
