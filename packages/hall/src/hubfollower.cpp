// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/hubfollower.h>

#include "topicupdate_p.h"

#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// A hub that has not answered for this long, three reports, is avoided. Together with the maximum age of an update
/// (HallLog) this keeps the delay of a change below two seconds when a hub dies.
constexpr Duration kHubTimeout = Duration::fromMillis(450);

/// Number of the first answer of a hub whose updates must be recent. A node that has just become hub has outdated state
/// in its first answer, because its own read is still in flight.
constexpr uint64_t kFirstFreshAnswer = 2;

} // namespace

HubFollower::HubFollower(const std::string& _self, double _cpuShare, const ClockI& _clock, HallLog& _log)
    : self_(_self),
      clock_(_clock),
      log_(_log),
      choice_(_self, _cpuShare)
{
	_log.setReadListener(*this);
}

void HubFollower::setCandidates(std::vector<HubCandidate> _candidates)
{
	choice_.setCandidates(std::move(_candidates));
}

const Hub& HubFollower::update()
{
	const Time now = clock_.now();
	checkSilence(now);
	applyHub(choice_.choose(now));
	return hub_;
}

void HubFollower::checkSilence(Time _now)
{
	if (0 != answerDueSince_.micros && answerDueSince_ + kHubTimeout < _now)
	{
		choice_.onNoAnswer(hub_.name, _now);
		answerDueSince_ = Time{};
	}
}

void HubFollower::applyHub(const Hub& _hub)
{
	const bool changed = hub_.name != _hub.name || hub_.readsStore != _hub.readsStore;
	const bool isSelf = self_ == _hub.name;
	if (changed)
	{
		logEvent(LogPart::Store, LogLevel::Info, "Hub of the hall is chosen.",
		         {{"hub", _hub.name}, {"before", hub_.name}, {"reads", _hub.readsStore ? "true" : "false"}});
		answerDueSince_ = Time{};
		lastAnswered_ = lastReport_; // later answers of the former hub are ignored
		answerCount_ = 0;
		storeProven_ = false;
		reads_.store(false);
	}
	hub_ = _hub;
	isHub_.store(isSelf || _hub.announced);
	reads_.store(isSelf ? _hub.readsStore && choice_.storeAnswers() : _hub.announced && reads_.load());
	if (isSelf && _hub.readsStore && choice_.storeAnswers())
	{
		log_.setReadMode(HallLog::ReadMode::Store);
		return;
	}
	const bool triesStore = _hub.probesStore || (isSelf && _hub.readsStore);
	log_.setReadMode(triesStore ? HallLog::ReadMode::Try : HallLog::ReadMode::Hub);
}

void HubFollower::fillReport(wire::HallReport& _report)
{
	answerDueSince_ = 0 == answerDueSince_.micros ? clock_.now() : answerDueSince_;
	_report.set_node(self_);
	_report.set_number(++lastReport_);
	for (const HallLog::TopicQuery& query : log_.pendingQueries(lastReport_))
	{
		wire::TopicQuestion* const out = _report.add_questions();
		out->set_topic(query.topic);
		out->set_from(query.from.value);
		out->set_whole(query.snapshot);
	}
}

/// An answer that arrives after the next report was sent is valid too: a hub that sends much at once is late, not
/// silent.
bool HubFollower::applyAnswer(const wire::HallAnswer& _answer)
{
	if (hub_.name != _answer.node() || _answer.number() <= lastAnswered_ || lastReport_ < _answer.number())
	{
		return false;
	}
	lastAnswered_ = _answer.number();
	answerDueSince_ = lastReport_ == lastAnswered_ ? Time{} : clock_.now();
	++answerCount_;
	evaluateAnswer(_answer);
	return true;
}

void HubFollower::evaluateAnswer(const wire::HallAnswer& _answer)
{
	const Time now = clock_.now();
	const std::string& node = _answer.node();
	if (_answer.reads())
	{
		const bool fresh = applyUpdates(_answer);
		reads_.store(hub_.announced && fresh);
		if (fresh)
		{
			choice_.onAnswer(node, true, now);
		}
		else if (kFirstFreshAnswer <= answerCount_)
		{
			choice_.onOutdated(node, now);
		}
		return;
	}
	if (_answer.is_hub())
	{
		choice_.onStoreUnavailable(node, now);
		return;
	}
	choice_.onAnswer(node, false, now);
}

/// The next step takes the change into account.
void HubFollower::onReader(const std::string& _node)
{
	const Time now = clock_.now();
	choice_.onReaderAnnounced(_node, now);
	if (hub_.name != choice_.choose(now).name)
	{
		notifyListener();
	}
}

void HubFollower::onProbeAnswered(const std::string& _node)
{
	choice_.onProbeAnswered(_node);
	if (hub_.name != choice_.choose(clock_.now()).name)
	{
		notifyListener();
	}
}

void HubFollower::notifyListener()
{
	if (nullptr != listener_)
	{
		listener_->onHubChanged();
	}
}

void HubFollower::onFollower(const std::string& _node)
{
	choice_.onUsedAsHub(_node, clock_.now());
}

std::vector<std::string> HubFollower::nodesToNotify() const
{
	return reads_.load() && storeProven_ ? choice_.announcementRecipients() : std::vector<std::string>();
}

/// Applies the updates of an answer.
/// @returns false if one of them is too old to be applied.
bool HubFollower::applyUpdates(const wire::HallAnswer& _answer)
{
	bool fresh = true;
	for (const wire::TopicNews& update : _answer.news())
	{
		fresh = !isKnownTopic(update.topic()) || log_.onUpdate(topicUpdateOf(update), _answer.number()) ? fresh : false;
	}
	if (fresh)
	{
		log_.sendOverdueToStore(); // otherwise all nodes of the hall would read a store that has just recovered
	}
	return fresh;
}

void HubFollower::onStoreRead(bool _answered)
{
	const Time now = clock_.now();
	const std::string before = hub_.name;
	const bool wasProven = storeProven_;
	choice_.onStoreResult(_answered, now);
	applyHub(choice_.choose(now));
	storeProven_ = _answered && self_ == hub_.name;
	if (before != hub_.name || wasProven != storeProven_)
	{
		notifyListener();
	}
}

} // namespace sedgecart
