// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/hubchoice.h>

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
	order_.clear();
	for (const HubCandidate& candidate : _candidates)
	{
		if (order_.size() < kMostAsked || self_ == candidate.name)
		{
			order_.push_back(candidate);
		}
	}
}

Hub HubChoice::choose(Time _now) const
{
	Hub answering;
	for (const HubCandidate& candidate : order_)
	{
		if (pausedNow(silent_, candidate.name, _now))
		{
			continue;
		}
		if (!pausedNow(unread_, candidate.name, _now))
		{
			return Hub{candidate.name, true};
		}
		answering.name = answering.name.empty() ? candidate.name : answering.name;
	}
	return answering;
}

void HubChoice::onAnswer(const std::string& _node, bool _reads, Time _now)
{
	silent_.erase(_node);
	if (_reads)
	{
		unread_.erase(_node);
		return;
	}
	lengthen(unread_, _node, _now);
}

void HubChoice::onSilent(const std::string& _node, Time _now)
{
	lengthen(silent_, _node, _now);
}

void HubChoice::onStore(bool _answered, Time _now)
{
	storeAnswers_ = _answered;
	if (_answered)
	{
		unread_.erase(self_);
		return;
	}
	const Duration span = ownPlace() < kOftenTrying ? kTryStore : kTryStoreRarely;
	unread_[self_] = Pause{_now + span, span};
}

bool HubChoice::pausedNow(const Pauses& _pauses, const std::string& _node, Time _now)
{
	const auto pause = _pauses.find(_node);
	return _pauses.end() != pause && _now < pause->second.until;
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
