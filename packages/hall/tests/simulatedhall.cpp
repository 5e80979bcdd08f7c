// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "simulatedhall.h"

#include <base/digest.h>
#include <hall/hubfollower.h>
#include <hall/reportresponder.h>
#include <loads/loadaggregator.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <array>
#include <map>

namespace sedgecart
{

namespace
{

constexpr Duration kReportPause = Duration::fromMillis(150);     //!< Same as in HallExchange.
constexpr Duration kEarlyReportPause = Duration::fromMillis(15); //!< Same as in HallExchange.
constexpr Duration kLinkDelay = Duration::fromMillis(2);

/// Pauses after failed reads, same as in Follower.
constexpr Duration kFirstRetry = Duration::fromMillis(100);
constexpr Duration kLastRetry = Duration::fromMillis(400);

/// Wait of a topic's reads and pause between them, same as in EntryControl.
struct TopicPlan
{
	Duration wait;
	Duration pause;
};

constexpr TopicPlan kPlans[] = {
    {Duration::fromMillis(1000), Duration{}},                 // Operator
    {Duration{}, Duration::fromMillis(900)},                  // Runners
    {Duration::fromMillis(20000), Duration::fromMillis(500)}, // Nodes
    {Duration::fromMillis(20000), Duration{}},                // Layout
    {Duration::fromMillis(20000), Duration{}},                // Blocked
};
static_assert(KeyedTopic::Count == sizeof(kPlans) / sizeof(kPlans[0]), "each topic needs a plan");

constexpr double kCpuShare = 0.25;

} // namespace

/// One node: does what HallExchange, Follower and EntryControl do, without their timers and sockets.
class SimulatedHall::Node : public HubListenerI
{
public:
	Node(SimulatedHall& _hall, const std::string& _name, uint64_t _seed)
	    : hall_(_hall),
	      storeClient_(_hall.store_, _name),
	      log_(storeClient_, _hall.loop_, cache_, _name),
	      follower_(_name, kCpuShare, _hall.loop_, log_),
	      settings_(settingsOf(_name)),
	      responder_(settings_, _hall.loop_, follower_, aggregator_, cache_),
	      random_(static_cast<std::minstd_rand::result_type>(_seed))
	{
	}

	void start(const std::vector<HubCandidate>& _candidates)
	{
		follower_.setListener(*this);
		follower_.setCandidates(_candidates);
		follower_.update(); // before the first reads
		std::uniform_int_distribution<int64_t> offset(0, kReportPause.micros);
		scheduleTick(Duration{offset(random_)});
		for (uint32_t topic = 0; topic < KeyedTopic::Count; ++topic)
		{
			cache_.setSnapshot(static_cast<KeyedTopic::Enum>(topic), {}, Offset{}, hall_.loop_.now()); // loaded
			topics_[topic].provenAt = hall_.loop_.now();
			read(static_cast<KeyedTopic::Enum>(topic));
		}
	}

	void onHubChanged() override
	{
		const Duration since = hall_.loop_.now() - lastTickAt_;
		scheduleTick(std::max(Duration{}, kEarlyReportPause - since));
	}

	uint64_t choices() const
	{
		return choices_;
	}

	/// @returns when a topic was read up to an offset, milliseconds; negative if it was not yet.
	int64_t readAt(KeyedTopic::Enum _topic, Offset _end) const
	{
		const std::map<uint64_t, int64_t>& readAt = topics_[_topic].readAt;
		const auto found = readAt.lower_bound(_end.value);
		return readAt.end() == found ? -1 : found->second;
	}

	/// From now on the node does nothing, as after a kill.
	void end()
	{
		hasEnded_ = true;
	}

	bool hasEnded() const
	{
		return hasEnded_;
	}

	Time provenAt() const
	{
		return topics_[KeyedTopic::Operator].provenAt;
	}

private:
	struct Topic
	{
		Offset next;
		Time provenAt;
		Duration retry = kFirstRetry;
		bool failing = false;
		uint64_t reading = 0;               //!< Number of the read in progress.
		std::map<uint64_t, int64_t> readAt; //!< Time at which an end was first read, milliseconds, by end.
	};

	static EntrySettings settingsOf(const std::string& _name)
	{
		EntrySettings settings;
		settings.name = _name;
		settings.linkMbps = 20;
		return settings;
	}

	void tick()
	{
		if (hasEnded_)
		{
			return;
		}
		const Hub hub = follower_.update();
		recordChoice();
		if (follower_.isHub())
		{
			aggregator_.updateTotals(LoadTable{}, hall_.loop_.now());
			notifyNodes();
		}
		if (settings_.name != hub.name)
		{
			report(hub.name);
		}
		for (const std::string& node : follower_.takeDueProbes())
		{
			hall_.loop_.after(kLinkDelay,
			                  [this, node]
			                  {
				                  hall_.nodeOf(node).answerProbe(*this);
			                  });
		}
		lastTickAt_ = hall_.loop_.now();
		scheduleTick(kReportPause);
	}

	void answerProbe(Node& _sender)
	{
		if (hasEnded_)
		{
			return;
		}
		hall_.loop_.after(kLinkDelay,
		                  [this, &_sender]
		                  {
			                  _sender.follower_.onProbeAnswered(settings_.name);
		                  });
	}

	/// Replaces the step that was scheduled before.
	void scheduleTick(Duration _pause)
	{
		hall_.loop_.after(_pause,
		                  [this, number = ++ticks_]
		                  {
			                  if (number == ticks_)
			                  {
				                  tick();
			                  }
		                  });
	}

	void notifyNodes()
	{
		for (const std::string& node : follower_.nodesToNotify())
		{
			hall_.loop_.after(kLinkDelay,
			                  [this, node]
			                  {
				                  hall_.nodeOf(node).follower_.onReader(settings_.name);
			                  });
		}
	}

	void report(const std::string& _hub)
	{
		wire::HallReport report;
		follower_.fillReport(report);
		hall_.loop_.after(kLinkDelay,
		                  [this, _hub, report]
		                  {
			                  hall_.nodeOf(_hub).answer(report, *this);
		                  });
	}

	void answer(const wire::HallReport& _report, Node& _sender)
	{
		if (hasEnded_)
		{
			return;
		}
		wire::HallAnswer answer;
		responder_.answer(_report, answer);
		if (follower_.isHub())
		{
			follower_.onFollower(_report.node());
		}
		hall_.loop_.after(kLinkDelay,
		                  [&_sender, answer]
		                  {
			                  _sender.follower_.applyAnswer(answer);
			                  _sender.recordChoice();
		                  });
	}

	void read(KeyedTopic::Enum _topic)
	{
		if (hasEnded_)
		{
			return;
		}
		Topic& topic = topics_[_topic];
		const Time sentAt = hall_.loop_.now();
		const Duration wait = topic.failing ? Duration{} : kPlans[_topic].wait;
		const uint64_t number = ++topic.reading;
		log_.read(_topic, topic.next, wait,
		          [this, _topic, sentAt, number](KeyedPage&& _page)
		          {
			          if (number == topics_[_topic].reading)
			          {
				          onRead(_topic, _page, sentAt);
			          }
			          recordChoice();
		          });
	}

	void onRead(KeyedTopic::Enum _topic, const KeyedPage& _page, Time _sentAt)
	{
		if (StoreState::Gone == _page.state)
		{
			load(_topic);
			return;
		}
		Topic& topic = topics_[_topic];
		const bool wasFailing = topic.failing;
		topic.failing = StoreState::Done != _page.state;
		if (topic.failing)
		{
			std::uniform_int_distribution<int64_t> spread(topic.retry.micros / 2, topic.retry.micros * 3 / 2);
			topic.retry = std::min(kLastRetry, topic.retry + topic.retry);
			readAfter(_topic, Duration{spread(random_)});
			return;
		}
		topic.retry = kFirstRetry;
		topic.next = std::max(topic.next, _page.end);
		topic.provenAt = Time{_sentAt.micros - _page.proofAge.micros};
		topic.readAt.emplace(topic.next.value, hall_.loop_.millis());
		if (wasFailing && KeyedTopic::Operator == _topic)
		{
			renewLongReads();
		}
		readAfter(_topic, _page.forwarded ? Duration{} : kPlans[_topic].pause);
	}

	/// Loads the newest record, because this node is too far behind to read the records since.
	void load(KeyedTopic::Enum _topic)
	{
		const Time sentAt = hall_.loop_.now();
		const uint64_t number = ++topics_[_topic].reading;
		log_.readNewest(_topic, std::string(),
		                [this, _topic, sentAt, number](KeyedPage&& _page)
		                {
			                if (number == topics_[_topic].reading)
			                {
				                onRead(_topic, _page, sentAt);
			                }
		                });
	}

	void renewLongReads()
	{
		for (const KeyedTopic::Enum topic : {KeyedTopic::Nodes, KeyedTopic::Layout, KeyedTopic::Blocked})
		{
			read(topic);
		}
	}

	/// Reads a topic after a pause, unless it has been read again before.
	void readAfter(KeyedTopic::Enum _topic, Duration _pause)
	{
		hall_.loop_.after(_pause,
		                  [this, _topic, number = topics_[_topic].reading]
		                  {
			                  if (number == topics_[_topic].reading)
			                  {
				                  read(_topic);
			                  }
		                  });
	}

	void recordChoice()
	{
		const Hub& hub = follower_.hub();
		choices_ += hub.name != last_.name || hub.readsStore != last_.readsStore ? 1 : 0;
		last_ = hub;
	}

	SimulatedHall& hall_;
	SimulatedStoreClient storeClient_;
	TopicCache cache_;
	HallLog log_;
	HubFollower follower_;
	EntrySettings settings_;
	LoadAggregator aggregator_;
	ReportResponder responder_;
	std::minstd_rand random_;
	std::array<Topic, KeyedTopic::Count> topics_;
	Hub last_;
	Time lastTickAt_;
	bool hasEnded_ = false;
	uint64_t ticks_ = 0; //!< Scheduled so far.
	uint64_t choices_ = 0;
};

SimulatedHall::SimulatedHall(std::size_t _nodes, uint64_t _seed)
{
	std::vector<HubCandidate> candidates;
	for (std::size_t index = 0; index < _nodes; ++index)
	{
		candidates.push_back(HubCandidate{nameOf(index), kCpuShare});
		nodes_.push_back(std::make_unique<Node>(*this, nameOf(index), hash64(nameOf(index), _seed)));
	}
	for (const std::unique_ptr<Node>& node : nodes_)
	{
		node->start(candidates);
	}
}

SimulatedHall::~SimulatedHall() = default;

std::string SimulatedHall::nameOf(std::size_t _index)
{
	constexpr std::size_t kFirstNumber = 100; // makes names sort like their numbers
	return "n" + std::to_string(kFirstNumber + _index);
}

SimulatedHall::Node& SimulatedHall::nodeOf(const std::string& _name)
{
	std::size_t index = 0;
	while (nameOf(index) != _name)
	{
		++index;
	}
	return *nodes_.at(index);
}

void SimulatedHall::endFirst(std::size_t _nodes)
{
	for (std::size_t index = 0; index < _nodes; ++index)
	{
		nodes_[index]->end();
	}
}

void SimulatedHall::runTo(int64_t _millis)
{
	loop_.runTo(_millis);
}

uint64_t SimulatedHall::hubChanges() const
{
	uint64_t sum = 0;
	for (const std::unique_ptr<Node>& node : nodes_)
	{
		sum += node->choices();
	}
	return sum;
}

int64_t SimulatedHall::allReadAt(Offset _end, KeyedTopic::Enum _topic) const
{
	int64_t last = 0;
	for (const std::unique_ptr<Node>& node : nodes_)
	{
		const int64_t at = node->readAt(_topic, _end);
		if (at < 0)
		{
			return at;
		}
		last = std::max(last, at);
	}
	return last;
}

int64_t SimulatedHall::maxProofAge() const
{
	Time oldest = loop_.now();
	for (const std::unique_ptr<Node>& node : nodes_)
	{
		oldest = node->hasEnded() ? oldest : std::min(oldest, node->provenAt());
	}
	return (loop_.now() - oldest).millis();
}

} // namespace sedgecart
