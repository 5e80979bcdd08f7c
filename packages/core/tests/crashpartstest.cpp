// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Requests that share a prompt part crash each target that begins to answer them, while racks crash for other reasons.
// The part must be blocked soon, and no part of sound requests, which share all others with them. The tests simulate
// requests of several nodes on targets step by step and report the crashes and responses to one ledger.

#include <core/crashledger.h>
#include <core/recentidentities.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr Duration kStep = Duration::fromMillis(10);
constexpr uint32_t kSteps = 6000; // one minute
constexpr uint32_t kTargets = 12;
constexpr uint32_t kRack = 3;
constexpr uint32_t kNodes = 3;
constexpr uint32_t kRestartSteps = 300;
constexpr uint32_t kPrefillSteps = 14;
constexpr uint32_t kRunSteps = 200;
constexpr uint32_t kMaxSends = 4;        // two for each attempt; the caller retries once
constexpr uint32_t kObjectionSteps = 35; // until all nodes know a suspect and the hub knows their objections
constexpr uint32_t kHoldSteps = 100;     // for which a node holds a suspect that it has had no response to
constexpr uint32_t kKnownSteps = 15;     // until it knows the suspect
constexpr uint32_t kArrivalSteps = 3;    // between two requests
constexpr uint32_t kBadOneIn = 20;       // requests that have the crashing part
constexpr uint32_t kBadFromStep = 1000;
constexpr uint32_t kDocuments = 300; // parts that few requests share
constexpr uint32_t kSeeds = 40;

/// Time from the third crash to the block.
constexpr uint32_t kMaxBlockSteps = 100;

const RequestIdentity kCrashingPart = identifyPromptPart("engine", "bad");

/// Crashes for other reasons.
struct Scenario
{
	uint32_t rackCrashInterval = 0; //!< Mean number of steps between two crashes of a rack; 0: none.
	bool hasCrashingPart = true;
};

class PartsRun
{
public:
	PartsRun(const Scenario& _scenario, uint32_t _seed) : scenario_(_scenario), random_(_seed), targets_(kTargets)
	{
	}

	void simulate()
	{
		for (step_ = 1; step_ <= kSteps; ++step_)
		{
			crashRack();
			arrive();
			run();
			object();
			for (const RequestIdentity& blocked : ledger_.blockProven(now()))
			{
				blocked_.insert(blocked);
				blockedAt_ = kCrashingPart == blocked ? step_ : blockedAt_;
			}
			ledger_.expire(now());
		}
	}

	bool isCrashingPartBlocked() const
	{
		return 0 < blocked_.count(kCrashingPart);
	}

	/// @returns steps from the third crash to the block.
	uint32_t blockSteps() const
	{
		return blockedAt_ - std::min(blockedAt_, thirdCrashAt_);
	}

	/// @returns the number of blocked parts and requests that crash no target.
	std::size_t innocentsBlocked() const
	{
		return static_cast<std::size_t>(std::count_if(blocked_.begin(), blocked_.end(),
		                                              [this](const RequestIdentity& _blocked)
		                                              {
			                                              return !(kCrashingPart == _blocked) &&
			                                                     0 == crashingRequests_.count(_blocked);
		                                              }));
	}

	uint32_t crashes() const
	{
		return crashes_;
	}

private:
	struct Run
	{
		RequestIdentity request;
		std::vector<RequestIdentity> parts;
		uint32_t node = 0;
		uint32_t sends = 1;
		uint32_t age = 0;
		bool crashesTarget = false;
	};

	struct Target
	{
		uint32_t incarnation = 0;
		uint32_t upAt = 0;
		std::vector<Run> runs;
	};

	Time now() const
	{
		return Time{static_cast<int64_t>(step_) * kStep.micros};
	}

	uint32_t draw(uint32_t _bound)
	{
		return static_cast<uint32_t>(random_() % _bound);
	}

	void crashRack()
	{
		if (0 < scenario_.rackCrashInterval && kBadFromStep / 2 < step_ && 0 == draw(scenario_.rackCrashInterval))
		{
			const uint32_t rack = draw(kTargets / kRack);
			crash({rack * kRack, rack * kRack + 1, rack * kRack + 2});
		}
	}

	void crash(const std::vector<uint32_t>& _targets)
	{
		std::vector<Run> lost;
		for (const uint32_t number : _targets)
		{
			Target& target = targets_[number];
			if (step_ < target.upAt)
			{
				continue;
			}
			const TargetIncarnation incarnation{InstanceId{std::to_string(number)}, StartTime{target.incarnation}};
			for (const Run& run : target.runs)
			{
				record(run, incarnation);
			}
			lost.insert(lost.end(), target.runs.begin(), target.runs.end());
			target.runs.clear();
			++target.incarnation;
			target.upAt = step_ + kRestartSteps;
		}
		for (Run& run : lost)
		{
			++run.sends;
			run.age = 0;
			run.node = draw(kNodes);
			send(run);
		}
	}

	/// Records the crash as a node does that lost the run.
	void record(const Run& _run, const TargetIncarnation& _target)
	{
		const bool hasBegun = kPrefillSteps < _run.age;
		const ResponseProgress progress{hasBegun ? _run.age : 0, hasBegun ? _run.age : 0};
		ledger_.recordCrash(CrashRow{_run.request, _target, progress}, CrashSource::Hall, now());
		for (const RequestIdentity& part : _run.parts)
		{
			if (!hasBegun && !begun_[_run.node].recordedWithin(part, CrashLedger::kCrashLifetime, now()))
			{
				ledger_.recordCrash(CrashRow{part, _target, ResponseProgress{}}, CrashSource::Hall, now());
				suspectedAt_.emplace(part, step_);
			}
		}
	}

	void arrive()
	{
		if (0 != step_ % kArrivalSteps)
		{
			return;
		}
		Run run;
		run.request = RequestIdentity{1, ++last_, last_};
		run.node = draw(kNodes);
		run.parts = {identifyPromptPart("engine", "all"),
		             identifyPromptPart("engine", "customer" + std::to_string(draw(10))),
		             identifyPromptPart("engine", "document" + std::to_string(draw(kDocuments)))};
		run.crashesTarget = scenario_.hasCrashingPart && kBadFromStep < step_ && 0 == draw(kBadOneIn);
		if (run.crashesTarget)
		{
			run.parts.back() = kCrashingPart;
			crashingRequests_.insert(run.request);
		}
		send(run);
	}

	void send(const Run& _run)
	{
		const bool isBlocked = 0 < blocked_.count(_run.request) || std::any_of(_run.parts.begin(), _run.parts.end(),
		                                                                       [this](const RequestIdentity& _part)
		                                                                       {
			                                                                       return 0 < blocked_.count(_part);
		                                                                       });
		if (isBlocked || isHeld(_run) || kMaxSends < _run.sends)
		{
			return;
		}
		const uint32_t first = draw(kTargets);
		for (uint32_t next = 0; next < kTargets; ++next)
		{
			Target& target = targets_[(first + next) % kTargets];
			if (target.upAt <= step_)
			{
				target.runs.push_back(_run);
				return;
			}
		}
	}

	/// @returns true if the node of the run holds a part of it, as CrashDetector does.
	bool isHeld(const Run& _run) const
	{
		const std::vector<CrashSuspect> suspects = ledger_.suspects(now());
		return std::any_of(suspects.begin(), suspects.end(),
		                   [this, &_run](const CrashSuspect& _suspect)
		                   {
			                   const bool isOfRun = _run.parts.end() !=
			                                        std::find(_run.parts.begin(), _run.parts.end(), _suspect.request);
			                   const auto at = suspectedAt_.find(_suspect.request);
			                   return isOfRun && suspectedAt_.end() != at && at->second + kKnownSteps < step_ &&
			                          step_ < at->second + kKnownSteps + kHoldSteps &&
			                          !begun_[_run.node].recordedWithin(_suspect.request, CrashLedger::kCrashLifetime,
			                                                            now());
		                   });
	}

	void run()
	{
		for (uint32_t number = 0; number < kTargets; ++number)
		{
			bool hasCrashed = false;
			std::vector<Run>& runs = targets_[number].runs;
			for (Run& one : runs)
			{
				++one.age;
				hasCrashed = hasCrashed || (one.crashesTarget && kPrefillSteps == one.age);
				if (!one.crashesTarget && kPrefillSteps + 1 == one.age)
				{
					begin(one);
				}
			}
			const auto isDone = [](const Run& _one)
			{
				return kPrefillSteps + kRunSteps <= _one.age;
			};
			runs.erase(std::remove_if(runs.begin(), runs.end(), isDone), runs.end());
			if (hasCrashed)
			{
				++crashes_;
				thirdCrashAt_ = 3 == crashes_ ? step_ : thirdCrashAt_;
				crash({number});
			}
		}
	}

	void begin(const Run& _run)
	{
		for (const RequestIdentity& part : _run.parts)
		{
			begun_[_run.node].record(part, now());
			ledger_.recordResponse(part, CrashSource::Hall, now());
		}
	}

	/// Nodes object to suspected parts that they have had responses to.
	void object()
	{
		if (0 != step_ % kObjectionSteps)
		{
			return;
		}
		for (const CrashSuspect& suspect : ledger_.suspects(now()))
		{
			for (const RecentIdentities& begun : begun_)
			{
				if (begun.recordedWithin(suspect.request, CrashLedger::kCrashLifetime, now()))
				{
					ledger_.recordResponse(suspect.request, CrashSource::Hall, now());
				}
			}
		}
	}

	Scenario scenario_;
	std::minstd_rand random_;
	std::vector<Target> targets_;
	std::array<RecentIdentities, kNodes> begun_;
	CrashLedger ledger_;
	std::set<RequestIdentity> blocked_;
	std::set<RequestIdentity> crashingRequests_;
	std::map<RequestIdentity, uint32_t> suspectedAt_; //!< Step of the first crash of a part.
	uint32_t step_ = 0;
	uint64_t last_ = 0;
	uint32_t crashes_ = 0; //!< By the crashing part.
	uint32_t thirdCrashAt_ = 0;
	uint32_t blockedAt_ = 0;
};

} // namespace

class CrashPartsTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CrashPartsTest);
	CPPUNIT_TEST(crashingPartIsBlocked);
	CPPUNIT_TEST(crashingPartIsBlockedWhileRacksCrash);
	CPPUNIT_TEST(noPartIsBlockedWhileRacksCrash);
	CPPUNIT_TEST_SUITE_END();

public:
	void crashingPartIsBlocked()
	{
		simulateAll(Scenario{0, true});
	}

	void crashingPartIsBlockedWhileRacksCrash()
	{
		simulateAll(Scenario{1000, true});
	}

	void noPartIsBlockedWhileRacksCrash()
	{
		simulateAll(Scenario{200, false});
	}

private:
	static void simulateAll(const Scenario& _scenario)
	{
		for (uint32_t seed = 1; seed <= kSeeds; ++seed)
		{
			PartsRun run(_scenario, seed);
			run.simulate();
			const std::string where = "seed " + std::to_string(seed) + ", crashes " + std::to_string(run.crashes());
			CPPUNIT_ASSERT_EQUAL_MESSAGE(where, _scenario.hasCrashingPart, run.isCrashingPartBlocked());
			CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t{0}, run.innocentsBlocked());
			CPPUNIT_ASSERT_MESSAGE(where, run.blockSteps() <= kMaxBlockSteps);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashPartsTest);

} // namespace sedgecart
