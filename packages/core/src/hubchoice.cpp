// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/hubchoice.h>

#include <base/digest.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// How long a node is passed over at first: asking it again costs one message, or one call to the store. Doubled each
/// time in a row up to the longest, which bounds what a node that is gone for good costs.
constexpr Duration kFirstPause = Duration::fromMillis(400);
constexpr Duration kLongestPause = Duration::fromMillis(6400);

/// The first nodes of a hall try a store that does not answer this often. Keys are in use for 4.5 s on one proof, so
/// that a store that was away for less is hardly noticed.
constexpr Duration kTryStore = Duration::fromMillis(300);

/// The others leave that to the first ones and try rarely, in case only those are turned away.
constexpr Duration kTryStoreRarely = Duration::fromMillis(2000);

/// Nodes of a hall that try often: one more than the hub, in case the store turns that one away.
constexpr std::size_t kOftenTrying = 2;

/// Nodes that are asked before a node reads itself. Each costs a report, or three where it is silent, and a change must
/// be known within two seconds.
constexpr std::size_t kMostAsked = 3;

/// What a node says of the store, and of its way to it, holds for so long: six of its answers.
constexpr Duration kWordKept = Duration::fromMillis(1000);

/// How long a node that found a way to the store waits for the hub to come by it: to tell it takes a report's pause,
/// and so does the hub's first report. If the hub does not, it mostly has a way of its own again.
constexpr Duration kOwnWay = Duration::fromMillis(450);

} // namespace

void sortHubCandidates(std::vector<HubCandidate>& _candidates)
{
	std::sort(_candidates.begin(), _candidates.end(),
	          [](const HubCandidate& _a, const HubCandidate& _b)
	          {
		          return _a.cpuShare == _b.cpuShare ? _a.name < _b.name : _b.cpuShare < _a.cpuShare;
	          });
}

HubChoice::HubChoice(const std::string& _self) : self_(_self)
{
	setCandidates({});
}

void HubChoice::setCandidates(std::vector<HubCandidate> _candidates)
{
	const auto isSelf = [this](const HubCandidate& _candidate)
	{
		return self_ == _candidate.name;
	};
	if (std::none_of(_candidates.begin(), _candidates.end(), isSelf))
	{
		_candidates.push_back(HubCandidate{self_, 0});
	}
	sortHubCandidates(_candidates);
	hallNodes_ = _candidates.size();
	tryPlace_ = 0;
	order_.clear();
	for (const HubCandidate& candidate : _candidates)
	{
		// Mixed: nodes whose names are alike may share a switch, and with it the way to the store.
		tryPlace_ += hash64(candidate.name) < hash64(self_) ? 1 : 0;
		if (order_.size() < kMostAsked || self_ == candidate.name)
		{
			order_.push_back(candidate);
		}
	}
}

Hub HubChoice::choose(Time _now) const
{
	return storeIsOut(_now) ? chooseWhileOut(_now) : chooseInOrder(_now);
}

Hub HubChoice::chooseInOrder(Time _now) const
{
	if (_now < ownWayUntil_)
	{
		return Hub{self_, true};
	}
	for (const HubCandidate& candidate : order_)
	{
		if (!pausedNow(silent_, candidate.name, _now) && !pausedNow(unread_, candidate.name, _now))
		{
			return Hub{candidate.name, true};
		}
	}
	return Hub{firstAnswering(_now)};
}

Hub HubChoice::chooseWhileOut(Time _now) const
{
	const bool due = !(_now < tryAt_);
	if (_now < readerUntil_ && !pausedNow(silent_, reader_, _now))
	{
		return Hub{reader_, true, due, true};
	}
	const std::string hub = firstAnswering(_now);
	return Hub{hub, due && self_ == hub, due};
}

std::string HubChoice::firstAnswering(Time _now) const
{
	for (const HubCandidate& candidate : order_)
	{
		if (!pausedNow(silent_, candidate.name, _now))
		{
			return candidate.name;
		}
	}
	return self_;
}

bool HubChoice::storeIsOut(Time _now) const
{
	const bool outForHub = !storeAnswers_ && self_ == firstAnswering(_now);
	return sharesTries_ && (outForHub || _now < outUntil_);
}

void HubChoice::takeAsOutIf(bool _isOut, Time _now)
{
	if (!_isOut)
	{
		return;
	}
	if (!storeIsOut(_now))
	{
		const bool first = ownPlace() < kOftenTrying;
		tryAt_ = first ? _now : _now + Duration{kTryStep.micros * static_cast<int64_t>(tryPlace_)};
	}
	outUntil_ = _now + kWordKept;
}

void HubChoice::onAnswer(const std::string& _node, bool _reads, Time _now)
{
	if (!_reads)
	{
		passOver(_node, _now);
		takeAsOutIf(anotherPaused(stale_, _node, _now), _now);
		return;
	}
	silent_.erase(_node);
	unread_.erase(_node);
	stale_.erase(_node);
	outUntil_ = Time{};
}

void HubChoice::passOver(const std::string& _node, Time _now)
{
	silent_.erase(_node);
	lengthen(unread_, _node, _now);
	readerUntil_ = reader_ == _node ? Time{} : readerUntil_;
}

void HubChoice::onSilent(const std::string& _node, Time _now)
{
	lengthen(silent_, _node, _now);
}

/// One node's way to the store may hang while others have theirs. If the next one that is asked does not read either,
/// the store is taken as out: that one notices as soon as this node, and looks for itself.
void HubChoice::onStale(const std::string& _node, Time _now)
{
	passOver(_node, _now);
	lengthen(stale_, _node, _now);
	takeAsOutIf(storeIsOut(_now) || anotherPaused(unread_, _node, _now), _now);
}

void HubChoice::onStoreOut(const std::string& _node, Time _now)
{
	passOver(_node, _now);
	takeAsOutIf(true, _now);
}

/// A hub that went from one reader to another with each word would lose the answers that are on their way.
void HubChoice::onReader(const std::string& _node, Time _now)
{
	const bool hasOther = _node != reader_ && _now < readerUntil_ && !pausedNow(silent_, reader_, _now);
	if (hasOther)
	{
		return;
	}
	reader_ = _node;
	readerUntil_ = _now + kWordKept;
}

/// Those that come before this node go by it because the store does not answer them; while they do, asking them would
/// lead nowhere.
void HubChoice::onFollowed(const std::string& _node, Time _now)
{
	const bool before = std::any_of(order_.begin(), order_.begin() + static_cast<int64_t>(ownPlace()),
	                                [&_node](const HubCandidate& _candidate)
	                                {
		                                return _node == _candidate.name;
	                                });
	const Hub hub = choose(_now);
	if (sharesTries_ && before && storeAnswers_ && self_ == hub.name)
	{
		ownWayUntil_ = _now + kWordKept;
	}
}

void HubChoice::onStore(bool _answered, Time _now)
{
	const bool wasOut = storeIsOut(_now);
	storeAnswers_ = _answered;
	if (_answered)
	{
		unread_.erase(self_);
		outUntil_ = Time{};
		if (wasOut)
		{
			ownWayUntil_ = _now + kOwnWay;
			unread_.clear(); // who was passed over may have found its way meanwhile
		}
		return;
	}
	ownWayUntil_ = Time{};
	const bool first = ownPlace() < kOftenTrying;
	const Duration span = first && !(_now < readerUntil_) ? kTryStore : kTryStoreRarely;
	unread_[self_] = Pause{_now + span, span};
	const Duration round{kTryStep.micros * static_cast<int64_t>(hallNodes_)};
	tryAt_ = _now + (first ? span : std::max(span, round));
	outUntil_ = wasOut ? _now + kWordKept : outUntil_;
}

std::vector<std::string> HubChoice::firstNodes() const
{
	std::vector<std::string> names;
	for (const HubCandidate& candidate : order_)
	{
		if (names.size() < kOftenTrying && self_ != candidate.name)
		{
			names.push_back(candidate.name);
		}
	}
	return names;
}

bool HubChoice::pausedNow(const Pauses& _pauses, const std::string& _node, Time _now)
{
	const auto pause = _pauses.find(_node);
	return _pauses.end() != pause && _now < pause->second.until;
}

bool HubChoice::anotherPaused(const Pauses& _pauses, const std::string& _node, Time _now)
{
	return std::any_of(_pauses.begin(), _pauses.end(),
	                   [&_node, _now](const Pauses::value_type& _row)
	                   {
		                   return _node != _row.first && _now < _row.second.until;
	                   });
}

void HubChoice::lengthen(Pauses& _pauses, const std::string& _node, Time _now)
{
	Pause& pause = _pauses[_node];
	if (_now < pause.until)
	{
		return; // it is passed over already
	}
	pause.span = 0 == pause.span.micros ? kFirstPause : std::min(kLongestPause, pause.span + pause.span);
	pause.until = _now + pause.span;
}

std::size_t HubChoice::ownPlace() const
{
	const auto own = std::find_if(order_.begin(), order_.end(),
	                              [this](const HubCandidate& _candidate)
	                              {
		                              return self_ == _candidate.name;
	                              });
	return static_cast<std::size_t>(own - order_.begin());
}

} // namespace sedgecart
