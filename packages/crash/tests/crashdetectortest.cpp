// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Guards against blocking a request that has run only once. When many targets restart together, several stages of the
// request's path can crash during that one run, within milliseconds of each other; if each of them counts as a crash,
// the request is blocked and the caller's next attempt is refused although the request caused none of the crashes.

#include <base/steadyclock.h>
#include <crash/crashdetector.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

/// Simulates targets that have all crashed: every probe is refused.
class CrashedTargets : public RunnerOrdersI
{
public:
	void holdLayers(const RunnerRecord&, LayerSpan, Offset, OrderCallback) override
	{
	}
	void probe(const std::string&, Duration, ProbeCallback _call) override
	{
		calls_.push_back(std::move(_call));
	}
	void poll(const std::string&, Duration, ProbeCallback) override
	{
	}
	void repath(const std::string&, const std::string&, const std::vector<StageEndpoint>&, RepathCallback) override
	{
	}

	void answerAll()
	{
		ProbeAnswer refused;
		refused.refused = true;
		std::vector<ProbeCallback> calls;
		calls.swap(calls_);
		for (const ProbeCallback& call : calls)
		{
			call(refused);
		}
	}

private:
	std::vector<ProbeCallback> calls_;
};

class RecordingListener : public CrashListenerI
{
public:
	void onCrash(const LostRuns& _runs, const TargetIncarnation&) override
	{
		crashes += _runs.size();
	}
	void onAnswered(const RequestIdentity&) override
	{
	}

	std::size_t crashes = 0; //!< Number of pairs of request and target.
};

const RequestIdentity kRequest{1, 2, 3};

const RequestIdentity kPart = identifyPromptPart("engine", "a1");
const RequestIdentity kSoundPart = identifyPromptPart("engine", "b2");

/// Longer than a refusal needs to count.
constexpr std::chrono::milliseconds kSettled{100};

} // namespace

class CrashDetectorTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CrashDetectorTest);
	CPPUNIT_TEST(oneRunOverTargetsThatEndTogetherCountsOnce);
	CPPUNIT_TEST(eachRunCounts);
	CPPUNIT_TEST(nodeThatReachesNoTargetCountsNoCrash);
	CPPUNIT_TEST(promptPartsAreSuspectedUntilAResponseBegins);
	CPPUNIT_TEST(suspectedPromptPartIsHeldOnlyWhereItNeverBegan);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		auto view = std::make_unique<FleetView>();
		auto service = std::make_shared<FleetService>();
		for (int number = 0; number < 3; ++number)
		{
			FleetTarget target;
			target.record.instance = InstanceId{"i-" + std::to_string(number)};
			target.record.service = "engine";
			target.load = std::make_shared<TargetLoad>();
			service->targets.push_back(target);
		}
		targets_ = service->targets;
		view->services["engine"] = service;
		cell_.view.publish(std::move(view));
	}

	void oneRunOverTargetsThatEndTogetherCountsOnce()
	{
		const uint64_t run = watch_.beginRun();
		for (const FleetTarget& target : targets_)
		{
			watch_.onRunLost(kRequest, {}, run, ResponseProgress{}, target);
		}
		refuseAll();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), sink_.crashes);
	}

	void eachRunCounts()
	{
		for (const FleetTarget& target : targets_)
		{
			watch_.onRunLost(kRequest, {}, watch_.beginRun(), ResponseProgress{}, target);
			refuseAll();
		}
		CPPUNIT_ASSERT_EQUAL(targets_.size(), sink_.crashes);
	}

	/// Its link is cut: the targets run on, and their requests are innocent.
	void nodeThatReachesNoTargetCountsNoCrash()
	{
		for (const FleetTarget& target : targets_)
		{
			watch_.onRunLost(kRequest, {}, watch_.beginRun(), ResponseProgress{}, target);
		}
		orders_.answerAll();
		cell_.isCutOff = true;
		loop_.run_for(kSettled);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), sink_.crashes);
	}

	void promptPartsAreSuspectedUntilAResponseBegins()
	{
		watch_.onBegun({kSoundPart});
		watch_.onRunLost(kRequest, {kSoundPart, kPart}, watch_.beginRun(), ResponseProgress{}, targets_[0]);
		refuseAll();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), sink_.crashes); // the request and the other part
		watch_.onRunLost(kRequest, {kSoundPart, kPart}, watch_.beginRun(), ResponseProgress{5, 5}, targets_[1]);
		refuseAll();
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), sink_.crashes); // the request alone: its response had begun
	}

	/// Nodes that have had responses to it know better than to wait for the hub.
	void suspectedPromptPartIsHeldOnlyWhereItNeverBegan()
	{
		const Time later = clock_.now() + Duration::fromMillis(1000);
		auto table = std::make_unique<SuspectTable>();
		table->rows[kPart] = Suspect{2, false, Time{}, later};
		table->rows[kSoundPart] = Suspect{2, false, Time{}, later};
		cell_.suspects.publish(std::move(table));
		watch_.onBegun({kSoundPart});
		CPPUNIT_ASSERT(watch_.blockedFor(kRequest, {kPart}));
		CPPUNIT_ASSERT(!watch_.blockedFor(kRequest, {kSoundPart}));
		CPPUNIT_ASSERT(watch_.isSuspected(kRequest, {kSoundPart}));
	}

private:
	/// Refuses all open probes, and waits until they count.
	void refuseAll()
	{
		orders_.answerAll();
		loop_.restart();
		loop_.run_for(kSettled);
	}

	boost::asio::io_context loop_;
	SteadyClock clock_;
	CrashedTargets orders_;
	FleetCell cell_;
	RecordingListener sink_;
	CrashDetector watch_{loop_, clock_, orders_, cell_, sink_};
	std::vector<FleetTarget> targets_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);

} // namespace sedgecart
