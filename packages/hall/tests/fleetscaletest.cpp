// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "plaindocuments.h"

#include "../src/capacityrows_p.h"

#include <fleet/skippedrecords.h>
#include <hall/capacityhub.h>
#include <hall/halllog.h>
#include <hall/hubfollower.h>
#include <hall/reportresponder.h>
#include <hall/topiccache.h>
#include <loads/loadaggregator.h>
#include <loads/loadrows.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr std::size_t kHalls = 5;
constexpr std::size_t kTargetsPerNode = 3;
constexpr std::size_t kStages = 10;        //!< Targets of the path of a stream.
constexpr std::size_t kStreamsPerNode = 2; //!< In progress at the same time.
constexpr Duration kReportPause = Duration::fromMillis(150);
constexpr Duration kRenewal = Duration::fromMillis(3000); //!< Interval at which a target renews its record.
constexpr Duration kStreamTime = Duration::fromMillis(5000);
constexpr Duration kReadPause = Duration::fromMillis(900); //!< Between two reads of the targets' topic by the hub.
constexpr int64_t kSecond = 1000;

/// Maximum bytes per second that a node spends on control.
constexpr double kMaxNodeRate = 12000;

/// Demands and capacities of a prioritized service may add this part of the other bytes.
constexpr double kMaxCapacityGrowth = 1.1;

/// A hub's bytes per second grow with the nodes of its hall, and by no more than this factor beside.
constexpr double kMaxGrowth = 1.1;

/// A clock whose time changes only when the test sets it.
class ManualClock : public ClockI
{
public:
	Time now() const override
	{
		return at;
	}

	Time at{60000000};
};

/// A store that is never reached.
class NoStore : public KeyedLogI
{
public:
	void setAddress(const std::string&) override
	{
	}
	void readNewest(KeyedTopic::Enum, const std::string&, PageCallback) override
	{
	}
	void read(KeyedTopic::Enum, Offset, Duration, PageCallback) override
	{
	}
	void append(KeyedTopic::Enum, const std::string&, const std::string&, std::optional<Offset>,
	            AppendCallback) override
	{
	}
};

/// Bytes per second of control traffic in both directions.
struct Traffic
{
	double node = 0; //!< Of a node that is not the hub.
	double hub = 0;
	double start = 0; //!< Bytes of the first answer that a node receives, with all targets and loads.
};

/// One hall of a fleet at rest: the hub reads the store, the other nodes report their streams to it. Virtual time.
class HallAtRest
{
public:
	/// @param _hasCapacities nodes report demands of a prioritized service and are lent capacity.
	explicit HallAtRest(std::size_t _fleetNodes, bool _hasCapacities = false)
	    : hasCapacities_(_hasCapacities),
	      nodes_(_fleetNodes / kHalls),
	      targets_(_fleetNodes * kTargetsPerNode),
	      cache_(documents_),
	      log_(store_, clock_, cache_, "hub"),
	      follower_("hub", 1, clock_, log_),
	      settings_(hubSettings()),
	      capacity_(settings_, clock_, skipped_),
	      responder_(settings_, clock_, follower_, aggregator_, cache_)
	{
		responder_.setCapacityHub(capacity_);
		capacity_.setHub(true, {kService});
		follower_.setCandidates({HubCandidate{"hub", 1}});
		follower_.update();
		std::vector<KeyedRecord> records;
		for (std::size_t target = 0; target < targets_; ++target)
		{
			records.push_back(nextRecord(target));
		}
		cache_.setSnapshot(KeyedTopic::Runners, records, Offset{nextOffset_}, clock_.at);
		for (std::size_t node = 0; node < nodes_.size(); ++node)
		{
			nodes_[node].number = node;
			for (std::size_t stream = 0; stream < kStreamsPerNode; ++stream)
			{
				nodes_[node].streams.push_back(newStream());
			}
		}
	}

	/// @param _seconds how long the traffic is measured.
	Traffic measure(int64_t _seconds)
	{
		Traffic traffic;
		aggregator_.updateTotals(LoadTable{}, clock_.at);
		traffic.start = static_cast<double>(exchange(nodes_.front(), true));
		run(5 * kSecond); // until each node has received all loads
		toNodes_ = 0;
		run(_seconds * kSecond);
		const auto total = static_cast<double>(toNodes_);
		traffic.hub = total / static_cast<double>(_seconds);
		traffic.node = traffic.hub / static_cast<double>(nodes_.size());
		return traffic;
	}

	/// @returns the answer to a node of a version that does not know changes of totals and omitted records.
	wire::HallAnswer answerToEarlierVersion()
	{
		run(3 * kSecond);
		wire::HallReport report;
		report.set_node("earlier");
		report.set_number(1);
		wire::TopicQuestion& query = *report.add_questions();
		query.set_topic(KeyedTopic::Runners);
		query.set_from(nextOffset_ - 1);
		wire::HallAnswer answer;
		responder_.answer(report, answer);
		return answer;
	}

	uint64_t nextOffset() const
	{
		return nextOffset_;
	}

private:
	struct Stream
	{
		std::vector<std::size_t> path; //!< Targets.
		Time endsAt;
	};

	struct Node
	{
		std::size_t number = 0;
		uint64_t report = 0;
		uint64_t version = 0; //!< Of the totals that it has.
		Offset next;          //!< Of the targets' topic.
		std::vector<Stream> streams;
		wire::ServiceCapacity lent;
		uint64_t answered = 0; //!< Number of the report that `lent` answers.
	};

	static EntrySettings hubSettings()
	{
		EntrySettings settings;
		settings.name = "hub";
		settings.linkMbps = 1000;
		return settings;
	}

	KeyedRecord nextRecord(std::size_t _target)
	{
		const std::string address =
		    "10.0." + std::to_string(_target / 256) + '.' + std::to_string(_target % 256) + ":80";
		const std::string value = address + " 0 10 " + std::to_string(nextOffset_);
		return KeyedRecord{nameOf(_target), value, false, Offset{nextOffset_++}};
	}

	static std::string nameOf(std::size_t _target)
	{
		return "i-7f3a" + std::to_string(10000 + _target);
	}

	/// Paths stay in the hall, which has the first targets.
	Stream newStream()
	{
		const std::size_t hallTargets = targets_ / kHalls;
		Stream stream;
		for (std::size_t stage = 0; stage < kStages; ++stage)
		{
			stream.path.push_back(random_() % hallTargets);
		}
		std::uniform_int_distribution<int64_t> lasts(kStreamTime.micros / 2, kStreamTime.micros * 3 / 2);
		stream.endsAt = clock_.at + Duration{lasts(random_)};
		return stream;
	}

	void run(int64_t _millis)
	{
		for (const Time end = clock_.at + Duration::fromMillis(_millis); clock_.at < end;)
		{
			clock_.at = clock_.at + kReportPause;
			if (readAt_ < clock_.at)
			{
				readTargets();
			}
			capacity_.beginStep(0, {});
			aggregator_.updateTotals(LoadTable{}, clock_.at);
			capacity_.endStep({{kService, HallServiceState{{2000000, 1000000}, 800, 0}}}, kHalls - 1);
			for (Node& node : nodes_)
			{
				renewStreams(node);
				toNodes_ += exchange(node, false);
			}
		}
	}

	/// The hub reads what targets have written since its last read: the renewals of a part of them.
	void readTargets()
	{
		readAt_ = clock_.at + kReadPause;
		KeyedPage page;
		page.state = StoreState::Done;
		const Offset from{nextOffset_};
		const auto count =
		    static_cast<std::size_t>(static_cast<double>(targets_) * static_cast<double>(kReadPause.micros) /
		                             static_cast<double>(kRenewal.micros));
		for (std::size_t renewal = 0; renewal < count; ++renewal)
		{
			page.records.push_back(nextRecord(renewing_++ % targets_));
		}
		page.end = Offset{nextOffset_};
		cache_.addPage(KeyedTopic::Runners, from, page, clock_.at);
	}

	void renewStreams(Node& _node)
	{
		for (Stream& stream : _node.streams)
		{
			stream = stream.endsAt < clock_.at ? newStream() : stream;
		}
	}

	/// A node reports and receives the answer.
	/// @param _isFirst it has no targets yet.
	/// @returns the bytes of both.
	std::size_t exchange(Node& _node, bool _isFirst)
	{
		wire::PeerMessage report;
		wire::HallReport& content = *report.mutable_hall_report();
		content.set_node("front-kakkanad-" + std::to_string(_node.number));
		content.set_number(++_node.report);
		content.set_takes_changes(true);
		content.set_totals_version(_node.version);
		putLoadRows(loadsOf(_node), clock_.at, *content.mutable_loads());
		wire::TopicQuestion& query = *content.add_questions();
		query.set_topic(KeyedTopic::Runners);
		query.set_from(_node.next.value);
		query.set_whole(_isFirst);
		if (hasCapacities_)
		{
			putDemand(kService, demandOf(_node), *content.add_demands());
		}
		wire::PeerMessage reply;
		wire::HallAnswer& answer = *reply.mutable_hall_answer();
		responder_.answer(content, answer);
		_node.version = answer.totals_version();
		if (0 < answer.capacities_size())
		{
			_node.lent = answer.capacities(0);
			_node.answered = answer.number();
		}
		_node.next = 0 < answer.news_size() ? Offset{answer.news(0).end()} : _node.next;
		return report.ByteSizeLong() + reply.ByteSizeLong();
	}

	/// With requests of three urgencies, none of which wait.
	static ServiceDemand demandOf(const Node& _node)
	{
		ServiceDemand demand;
		demand.leaseUsed = 8000000 + 600 * _node.report;
		demand.leaseLimit = std::max<uint64_t>(demand.leaseUsed, _node.lent.lease_limit());
		demand.leaseAnswer = _node.answered;
		demand.recent = {2400, 1600, 800};
		demand.released = {800, 1600, 800, 2400, 800, 0, 800, 1600, 800, 800};
		return demand;
	}

	static LoadTable loadsOf(const Node& _node)
	{
		LoadTable loads;
		for (const Stream& stream : _node.streams)
		{
			for (const std::size_t target : stream.path)
			{
				LoadAmount& amount = loads[TargetIncarnation{InstanceId{nameOf(target)}, StartTime{1764777600000}}];
				amount.tokenLayers += 12000;
				amount.requests += stream.path.front() == target ? 1 : 0;
			}
		}
		return loads;
	}

	static constexpr const char* kService = "chat-70b";

	bool hasCapacities_;
	ManualClock clock_;
	std::minstd_rand random_{7};
	std::vector<Node> nodes_;
	std::size_t targets_;
	PlainDocuments documents_;
	NoStore store_;
	TopicCache cache_;
	HallLog log_;
	HubFollower follower_;
	EntrySettings settings_;
	LoadAggregator aggregator_;
	SkippedRecords skipped_;
	CapacityHub capacity_;
	ReportResponder responder_;
	uint64_t nextOffset_ = 0;
	std::size_t renewing_ = 0;
	Time readAt_;
	std::size_t toNodes_ = 0; //!< Bytes between the hub and the other nodes.
};

} // namespace

/// Control traffic of fleets of 300 to 2,000 nodes with three targets for each. A node received all loads with each
/// answer and each renewal of each target: 700 kB/s at 1,000 nodes.
class FleetScaleTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(FleetScaleTest);
	CPPUNIT_TEST(trafficOfANodeDoesNotGrowWithTheFleet);
	CPPUNIT_TEST(demandsAndCapacitiesAddLittle);
	CPPUNIT_TEST(aNodeOfAnEarlierVersionIsAnswered);
	CPPUNIT_TEST_SUITE_END();

public:
	void trafficOfANodeDoesNotGrowWithTheFleet()
	{
		const Traffic small = HallAtRest(300).measure(10);
		const Traffic large = HallAtRest(1000).measure(10);
		const Traffic larger = HallAtRest(2000).measure(10);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxGrowth * small.node, large.node);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxGrowth * large.node, larger.node);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxNodeRate, large.node);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxGrowth * 1000 / 300 * small.hub, large.hub);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxGrowth * 1000 / 300 * small.start, large.start); // one record of each target
	}

	/// Messages grow by at most a tenth at 986 nodes, and stay within the bounds of all control traffic.
	void demandsAndCapacitiesAddLittle()
	{
		const Traffic without = HallAtRest(986).measure(10);
		const Traffic with = HallAtRest(986, true).measure(10);
		CPPUNIT_ASSERT(without.node < with.node);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxCapacityGrowth * without.node, with.node);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxNodeRate, with.node);
		CPPUNIT_ASSERT_LESSEQUAL(kMaxGrowth * HallAtRest(300, true).measure(10).node, with.node);
	}

	/// It expects the loads of all targets, and an answer that ends with its last record.
	void aNodeOfAnEarlierVersionIsAnswered()
	{
		HallAtRest hall(30);
		const wire::HallAnswer answer = hall.answerToEarlierVersion();
		CPPUNIT_ASSERT(0 < answer.totals_size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), answer.totals_version());
		CPPUNIT_ASSERT_EQUAL(1, answer.news_size());
		CPPUNIT_ASSERT(answer.news(0).known());
		CPPUNIT_ASSERT_EQUAL(0, answer.news(0).records_size());
		CPPUNIT_ASSERT_EQUAL(hall.nextOffset() - 1, answer.news(0).end());
		CPPUNIT_ASSERT_EQUAL(0, answer.capacities_size()); // its report has no demands
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetScaleTest);

} // namespace sedgecart
