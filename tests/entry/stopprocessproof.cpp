// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"
#include "nodeprocess.h"
#include "nodestop.h"
#include "stopsite.h"
#include "stoptally.h"

#include <boost/system/system_error.hpp>

#include <harness/casefolder.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr std::size_t kNodes = 3;
constexpr Millis kCallersConnect{500}; //!< Before the first stop.
constexpr Millis kPlayInterval{1};
constexpr int kCallersAtStart = 16;
constexpr uint32_t kAllowedShare = 100; //!< One in so many.

/// Times between two stops of a rolling restart: less than a stop takes.
constexpr int64_t kShortestGapMs = 1500;
constexpr int64_t kLongestGapMs = 4000;

uint64_t numberFromEnvironment(const char* _name, uint64_t _usual)
{
	const char* const text = std::getenv(_name);
	return nullptr == text ? _usual : std::stoull(text);
}

} // namespace

/// Real processes get SIGTERM while callers send requests over connections that were opened before, up to the end of
/// the process, and answers are longer than any that the nodes have seen. SEDGECART_STOP_SEED: first seed;
/// SEDGECART_STOP_ROUNDS: how many seeds; SEDGECART_STOP_SITES: halls side by side; SEDGECART_STOP_KEEP: logs stay.
class StopProcessProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StopProcessProof);
	CPPUNIT_TEST(aStopOfOneNodeLeavesNoLateRequestUnanswered);
	CPPUNIT_TEST(moreSignalsOnTheWayLeaveNoLateRequestUnanswered);
	CPPUNIT_TEST(stopsOfAllNodesThatOverlapLeaveNoLateRequestUnanswered);
	CPPUNIT_TEST(earlyRequestsAreNotCutWhereOtherNodesAreIn);
	CPPUNIT_TEST(connectionsToANodeThatStartsAreNotClosedUnread);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against late requests that are admitted by what earlier ones took, and cut at the end of the stop.
	void aStopOfOneNodeLeavesNoLateRequestUnanswered()
	{
		check("one node", 1, false);
	}

	/// Guards against a SIGHUP that changes the stop under way, and a second SIGTERM that ends it early.
	void moreSignalsOnTheWayLeaveNoLateRequestUnanswered()
	{
		check("one node, more signals", 1, true);
	}

	/// Guards against nodes that count on others which stop as well.
	void stopsOfAllNodesThatOverlapLeaveNoLateRequestUnanswered()
	{
		check("all nodes", kNodes, false);
	}

	/// Guards against streams that are admitted in the first seconds of a stop and cut at its end, though other nodes
	/// could have served them whole: at most one in a hundred.
	void earlyRequestsAreNotCutWhereOtherNodesAreIn()
	{
		StopTally tally;
		play(numberFromEnvironment("SEDGECART_STOP_SEED", 1), 1, false, tally);
		std::cout << '\n' << tally.text() << std::flush;
		const uint32_t cut = tally.early(StopOutcome::Cut);
		const uint32_t whole = tally.early(StopOutcome::Served) + tally.early(StopOutcome::Refused);
		CPPUNIT_ASSERT(0 < cut + whole);
		CPPUNIT_ASSERT(kAllowedShare * cut <= cut + whole);
	}

	/// Guards against connections that a starting process accepts and closes: callers arrive at once where no node is
	/// in.
	void connectionsToANodeThatStartsAreNotClosedUnread()
	{
		StopTally tally;
		const CaseFolder folder("starts");
		StopSite site(1, folder.path());
		std::atomic<bool> over{false};
		std::vector<std::thread> callers;
		const Clock::time_point startAt = Clock::now();
		for (int caller = 0; caller < kCallersAtStart; ++caller)
		{
			callers.emplace_back(
			    [&, caller]
			    {
				    callWithNewConnections(site, "c" + std::to_string(caller), startAt, over, tally);
			    });
		}
		site.start();
		const bool isReady = site.awaitReady();
		std::this_thread::sleep_for(kCallersConnect);
		over = true;
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		CPPUNIT_ASSERT(isReady);
		CPPUNIT_ASSERT(0 < tally.all(StopOutcome::Served));
		CPPUNIT_ASSERT_EQUAL(uint32_t(0), tally.all(StopOutcome::Unread));
	}

private:
	static void callWithNewConnections(StopSite& _site, const std::string& _caller, Clock::time_point _startAt,
	                                   const std::atomic<bool>& _over, StopTally& _tally)
	{
		for (int number = 0; !_over; ++number)
		{
			StopRequest request;
			request.id = _caller + '-' + std::to_string(number);
			const Clock::time_point sentAt = Clock::now();
			StopAnswer answer;
			try
			{
				TestCaller caller(_site.node(0).callerAddress());
				answer = sendRest(caller, request, request.text(), _site);
			}
			catch (const boost::system::system_error&)
			{
				// Nobody listens yet.
			}
			_tally.add(answer, request, std::chrono::duration_cast<Millis>(sentAt - _startAt));
			std::this_thread::sleep_for(kPlayInterval);
		}
	}

	/// Plays the case with each seed and prints what was seen.
	/// @param _stops nodes of each hall that are stopped.
	static void check(const std::string& _case, std::size_t _stops, bool _isDisturbed)
	{
		const uint64_t first = numberFromEnvironment("SEDGECART_STOP_SEED", 1);
		const uint64_t rounds = numberFromEnvironment("SEDGECART_STOP_ROUNDS", 1);
		StopTally tally;
		for (uint64_t seed = first; seed < first + rounds; ++seed)
		{
			play(seed, _stops, _isDisturbed, tally);
		}
		std::cout << '\n' << _case << ", seeds from " << first << ": " << tally.text() << std::flush;
		CPPUNIT_ASSERT_EQUAL(uint32_t(0), tally.late(StopOutcome::Cut));
		CPPUNIT_ASSERT_EQUAL(uint32_t(0), tally.late(StopOutcome::Held));
		CPPUNIT_ASSERT_EQUAL(uint32_t(0), tally.brokenPromises());
		CPPUNIT_ASSERT_EQUAL(uint32_t(0), tally.killed());
	}

	static void play(uint64_t _seed, std::size_t _stops, bool _isDisturbed, StopTally& _tally)
	{
		const CaseFolder folder(std::to_string(_seed));
		std::vector<std::unique_ptr<StopSite>> sites;
		for (uint64_t site = 0; site < numberFromEnvironment("SEDGECART_STOP_SITES", 1); ++site)
		{
			const std::string place = folder.path() + "/h" + std::to_string(site);
			std::filesystem::create_directories(place);
			sites.push_back(std::make_unique<StopSite>(kNodes, place));
			sites.back()->start();
		}
		CPPUNIT_ASSERT_EQUAL(uint32_t(0), answerBefore(sites));
		std::mt19937_64 random(_seed);
		const Clock::time_point firstAt = Clock::now() + kCallersConnect * sites.size();
		std::vector<std::unique_ptr<NodeStop>> stops;
		for (const auto& site : sites)
		{
			addStops(*site, firstAt, _stops, _isDisturbed, random, stops, _tally);
		}
		playToTheEnd(stops);
	}

	/// Lets all halls answer requests at the same time, and slows their targets down.
	/// @returns requests that were not served.
	static uint32_t answerBefore(const std::vector<std::unique_ptr<StopSite>>& _sites)
	{
		std::atomic<uint32_t> notServed{0};
		std::vector<std::thread> threads;
		for (const auto& site : _sites)
		{
			CPPUNIT_ASSERT(site->awaitReady());
		}
		for (const auto& site : _sites)
		{
			threads.emplace_back(
			    [&notServed, &site]
			    {
				    notServed += site->answerBefore();
				    site->slowDown();
			    });
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
		return notServed;
	}

	/// Adds stops of the first nodes of a hall, one after the other.
	static void addStops(StopSite& _site, Clock::time_point _firstAt, std::size_t _count, bool _isDisturbed,
	                     std::mt19937_64& _random, std::vector<std::unique_ptr<NodeStop>>& _stops, StopTally& _tally)
	{
		Clock::time_point termAt = _firstAt;
		for (std::size_t node = 0; node < _count; ++node)
		{
			_stops.push_back(std::make_unique<NodeStop>(_site, node, termAt, _isDisturbed, _random(), _tally));
			termAt += Millis(std::uniform_int_distribution<int64_t>(kShortestGapMs, kLongestGapMs)(_random));
		}
	}

	static void playToTheEnd(const std::vector<std::unique_ptr<NodeStop>>& _stops)
	{
		bool haveEnded = false;
		while (!haveEnded)
		{
			haveEnded = true;
			for (const auto& stop : _stops)
			{
				haveEnded = stop->play() && haveEnded;
			}
			std::this_thread::sleep_for(kPlayInterval);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopProcessProof);

} // namespace sedgecart
