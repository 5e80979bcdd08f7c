// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/crashledger.h>
#include <core/recentidentities.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace sedgecart
{

namespace
{

constexpr Time kStart{1000000};

RequestIdentity request(uint64_t _number)
{
	return RequestIdentity{1, 2, _number};
}

TargetIncarnation incarnation(uint32_t _number)
{
	return TargetIncarnation{InstanceId{"i-" + std::to_string(_number)}, StartTime{}};
}

Time after(int64_t _millis)
{
	return kStart + Duration::fromMillis(_millis);
}

} // namespace

class CrashLedgerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CrashLedgerTest);
	CPPUNIT_TEST(theThirdCrashBlocks);
	CPPUNIT_TEST(oneCrashSeenTwiceCountsOnce);
	CPPUNIT_TEST(requestsBesideABlockedOneAreNotBlocked);
	CPPUNIT_TEST(requestWithMoreCrashesIsBlockedFirst);
	CPPUNIT_TEST(equivalentSuspectsAreNotBlocked);
	CPPUNIT_TEST(responseOfOneEquivalentSuspectBlocksTheOther);
	CPPUNIT_TEST(equivalentSuspectWithMoreProgressIsNotBlocked);
	CPPUNIT_TEST(equivalentSuspectsBeyondChanceAreBlocked);
	CPPUNIT_TEST(crashesAtDifferentProgressDoNotCountTogether);
	CPPUNIT_TEST(crashesAtTheSameProgressBlock);
	CPPUNIT_TEST(manyCrashesAtAnyProgressBlock);
	CPPUNIT_TEST(simultaneousCrashesOfManyRunsDoNotBlock);
	CPPUNIT_TEST(responseClearsEarlierCrashes);
	CPPUNIT_TEST(responseClearsReportsInTransit);
	CPPUNIT_TEST(responseReportedByAnotherNodeClears);
	CPPUNIT_TEST(responseUnblocks);
	CPPUNIT_TEST(expiredBlockAllowsOneMoreCrash);
	CPPUNIT_TEST(oldCrashesExpire);
	CPPUNIT_TEST(releaseDiscardsEverything);
	CPPUNIT_TEST(reportedVerdictsApply);
	CPPUNIT_TEST(updatesAreSelectedBySource);
	CPPUNIT_TEST(varyingRequestsDoNotEvictBlockedOnes);
	CPPUNIT_TEST(promptPartIsBlockedOnceNodesHadTimeToObject);
	CPPUNIT_TEST(responseToAPromptPartClearsIt);
	CPPUNIT_TEST(blockedRequestDoesNotExcuseItsPromptPart);
	CPPUNIT_TEST(noRequestIsBlockedWhileItsPromptPartIsPending);
	CPPUNIT_TEST(oneOfTwoPromptPartsThatOccurTogetherIsBlocked);
	CPPUNIT_TEST(recentIdentitiesAreBounded);
	CPPUNIT_TEST_SUITE_END();

public:
	void theThirdCrashBlocks()
	{
		crashes(1, {1, 2});
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.suspects(kStart).size()); // it is reported
		crashes(1, {3});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
		CPPUNIT_ASSERT(isBlocked(1, kStart));
	}

	void oneCrashSeenTwiceCountsOnce()
	{
		CPPUNIT_ASSERT(
		    ledger_.recordCrash(CrashRow{request(1), incarnation(1), ResponseProgress{}}, CrashSource::Own, kStart));
		CPPUNIT_ASSERT(
		    !ledger_.recordCrash(CrashRow{request(1), incarnation(1), ResponseProgress{}}, CrashSource::Hall, kStart));
		CPPUNIT_ASSERT(ledger_.suspects(kStart).empty());
	}

	/// An innocent request ran three times beside one that crashes targets and has crashed another one as well.
	void requestsBesideABlockedOneAreNotBlocked()
	{
		crashes(1, {1, 2, 3, 4});
		crashes(2, {1, 2, 3});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
		CPPUNIT_ASSERT(isBlocked(1, kStart));
		CPPUNIT_ASSERT(!isBlocked(2, kStart));
		crashes(2, {5}); // one more that the other does not explain
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
	}

	void requestWithMoreCrashesIsBlockedFirst()
	{
		crashes(1, {1, 2, 3});
		crashes(2, {1, 2, 3, 4, 5});
		crashes(3, {6, 7, 8});
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), ledger_.blockProven(kStart).size());
		CPPUNIT_ASSERT(!isBlocked(1, kStart));
		CPPUNIT_ASSERT(isBlocked(2, kStart));
		CPPUNIT_ASSERT(isBlocked(3, kStart));
	}

	void equivalentSuspectsAreNotBlocked()
	{
		crashes(1, {1, 2, 3});
		crashes(2, {1, 2, 3});
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
	}

	void responseOfOneEquivalentSuspectBlocksTheOther()
	{
		equivalentSuspectsAreNotBlocked();
		ledger_.recordResponse(request(2), CrashSource::Own, kStart);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
		CPPUNIT_ASSERT(isBlocked(1, kStart));
	}

	/// The request had run for long on its first target, and was then restarted beside the other one.
	void equivalentSuspectWithMoreProgressIsNotBlocked()
	{
		crashes(1, {1, 2, 3});
		ledger_.recordCrash(CrashRow{request(2), incarnation(1), ResponseProgress{30, 30}}, CrashSource::Own, kStart);
		ledger_.recordCrash(CrashRow{request(2), incarnation(2), ResponseProgress{30, 0}}, CrashSource::Own, kStart);
		ledger_.recordCrash(CrashRow{request(2), incarnation(3), ResponseProgress{30, 0}}, CrashSource::Own, kStart);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
		CPPUNIT_ASSERT(isBlocked(1, kStart));
	}

	void equivalentSuspectsBeyondChanceAreBlocked()
	{
		for (uint32_t number = 1; number <= CrashLedger::kCrashesBeyondChance; ++number)
		{
			crashes(1, {number}, after(number * 2000));
			crashes(2, {number}, after(number * 2000));
		}
		CPPUNIT_ASSERT(!ledger_.blockProven(kStart).empty());
	}

	/// A target that crashes for another reason interrupts responses at any position.
	void crashesAtDifferentProgressDoNotCountTogether()
	{
		crashAt(1, 1, 0);
		crashAt(1, 2, 17);
		CPPUNIT_ASSERT(ledger_.suspects(kStart).empty());
		crashAt(1, 3, 40);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.suspects(kStart).size());
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
	}

	/// The last events may be lost in transit. One more crash is needed than for runs that produced no event.
	void crashesAtTheSameProgressBlock()
	{
		crashAt(1, 1, 17);
		crashAt(1, 2, 19);
		crashAt(1, 3, 18);
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
		crashAt(1, 4, 19);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
	}

	void manyCrashesAtAnyProgressBlock()
	{
		for (uint32_t number = 1; number < CrashLedger::kCrashesBeyondChance; ++number)
		{
			crashAt(1, number, 10 * number, after(number * 2000));
			CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
		}
		crashAt(1, 100, 1000, after(20000));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
	}

	/// A data hall fails while all callers send the same request, which runs on all of its targets.
	void simultaneousCrashesOfManyRunsDoNotBlock()
	{
		for (uint32_t number = 0; number < 12; ++number)
		{
			crashAt(1, number, number / 3 * 10);
		}
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
	}

	void responseClearsEarlierCrashes()
	{
		crashes(1, {1, 2});
		CPPUNIT_ASSERT(ledger_.recordResponse(request(1), CrashSource::Own, kStart));
		crashes(1, {3, 4, 5}, after(CrashLedger::kClearingPeriod.millis() + 1));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1),
		                     ledger_.blockProven(after(20000)).size()); // only the three later crashes count
	}

	void responseClearsReportsInTransit()
	{
		crashes(1, {1, 2});
		ledger_.recordResponse(request(1), CrashSource::Own, kStart);
		CPPUNIT_ASSERT(!ledger_.recordCrash(CrashRow{request(1), incarnation(3), ResponseProgress{}}, CrashSource::Hall,
		                                    after(100)));
		CPPUNIT_ASSERT(ledger_.suspects(after(100)).empty());
	}

	/// The response is reported to the hub before the crash is.
	void responseReportedByAnotherNodeClears()
	{
		CPPUNIT_ASSERT(ledger_.recordResponse(request(1), CrashSource::Hall, kStart));
		CPPUNIT_ASSERT(!ledger_.recordResponse(request(1), CrashSource::Hall, after(150))); // reported again
		CPPUNIT_ASSERT(!ledger_.recordCrash(CrashRow{request(1), incarnation(3), ResponseProgress{}},
		                                    CrashSource::Fleet, after(200)));
	}

	void responseUnblocks()
	{
		crashes(1, {1, 2, 3});
		ledger_.blockProven(kStart);
		CPPUNIT_ASSERT(ledger_.recordResponse(request(1), CrashSource::Hall, kStart));
		CPPUNIT_ASSERT(!isBlocked(1, kStart));
		ledger_.recordBlocked(request(1), {}, after(100)); // outdated record
		CPPUNIT_ASSERT(!isBlocked(1, after(100)));
	}

	void expiredBlockAllowsOneMoreCrash()
	{
		crashes(1, {1, 2, 3, 4});
		ledger_.blockProven(kStart);
		const Time end = kStart + CrashLedger::kBlockDuration;
		CPPUNIT_ASSERT(ledger_.expire(Time{end.micros - 1}).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.expire(end).size());
		CPPUNIT_ASSERT(!isBlocked(1, end));
		CPPUNIT_ASSERT(ledger_.blockProven(end).empty());
		crashes(1, {9}, end);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(end).size());
	}

	void oldCrashesExpire()
	{
		crashes(1, {1, 2});
		ledger_.expire(kStart + CrashLedger::kCrashLifetime);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.size());
		ledger_.expire(Time{(kStart + CrashLedger::kCrashLifetime).micros + 1});
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger_.size());
	}

	void releaseDiscardsEverything()
	{
		crashes(1, {1, 2, 3});
		ledger_.blockProven(kStart);
		ledger_.release(request(1));
		CPPUNIT_ASSERT(ledger_.suspects(kStart).empty());
	}

	void reportedVerdictsApply()
	{
		ledger_.applyReported(CrashSuspect{request(1), 2, false, Duration{}}, kStart);
		CPPUNIT_ASSERT_EQUAL(2U, ledger_.suspects(kStart).front().crashes);
		ledger_.applyReported(CrashSuspect{request(1), 3, true, Duration::fromMillis(5000)}, kStart);
		CPPUNIT_ASSERT(isBlocked(1, after(4999)));
		CPPUNIT_ASSERT_EQUAL(int64_t(1000), ledger_.suspects(after(4000)).front().blockedFor.millis());
		ledger_.expire(after(5000));
		CPPUNIT_ASSERT(!isBlocked(1, after(5000)));
	}

	void updatesAreSelectedBySource()
	{
		ledger_.recordCrash(CrashRow{request(1), incarnation(1), ResponseProgress{}}, CrashSource::Own, after(10));
		ledger_.recordCrash(CrashRow{request(1), incarnation(2), ResponseProgress{}}, CrashSource::Hall, after(20));
		ledger_.recordCrash(CrashRow{request(1), incarnation(3), ResponseProgress{}}, CrashSource::Fleet, after(30));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.crashesSince(kStart, {CrashSource::Own}).size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(2),
		                     ledger_.crashesSince(kStart, {CrashSource::Own, CrashSource::Hall}).size());
		CPPUNIT_ASSERT(ledger_.crashesSince(after(10), {CrashSource::Own}).empty());
		ledger_.reportOwnAgain(after(50)); // for another hub
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.crashesSince(after(10), {CrashSource::Own}).size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.suspectsSince(after(20), after(50)).size());
		CPPUNIT_ASSERT(ledger_.suspectsSince(after(30), after(50)).empty());
	}

	/// Guards against a caller that varies its request body with each attempt.
	void varyingRequestsDoNotEvictBlockedOnes()
	{
		crashes(1, {1, 2, 3});
		ledger_.blockProven(kStart);
		crashes(2, {4, 5});
		for (uint64_t number = 0; number < 3 * CrashLedger::kMaxCases; ++number)
		{
			ledger_.recordCrash(CrashRow{request(100 + number), incarnation(6), ResponseProgress{}}, CrashSource::Hall,
			                    kStart);
			CPPUNIT_ASSERT(ledger_.size() <= CrashLedger::kMaxCases);
		}
		CPPUNIT_ASSERT(isBlocked(1, kStart));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), ledger_.suspects(kStart).size());
	}

	void promptPartIsBlockedOnceNodesHadTimeToObject()
	{
		partCrashes("a", {1, 2, 3});
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
		const Time decided = kStart + CrashLedger::kObjectionTime;
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(decided).size());
		CPPUNIT_ASSERT(isPartBlocked("a", decided));
	}

	/// All requests have it: it was at each crash.
	void responseToAPromptPartClearsIt()
	{
		partCrashes("all", {1, 2, 3, 4});
		partCrashes("a", {1, 2, 3});
		ledger_.recordResponse(part("all"), CrashSource::Hall, kStart);
		const Time decided = kStart + CrashLedger::kObjectionTime;
		ledger_.blockProven(decided);
		CPPUNIT_ASSERT(isPartBlocked("a", decided));
		CPPUNIT_ASSERT(!isPartBlocked("all", decided));
	}

	/// Its caller sent it again, so that it had three crashes before the part had.
	void blockedRequestDoesNotExcuseItsPromptPart()
	{
		crashes(1, {1, 2, 3});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(kStart).size());
		partCrashes("a", {1, 2, 3});
		const Time decided = kStart + CrashLedger::kObjectionTime;
		ledger_.blockProven(decided);
		CPPUNIT_ASSERT(isPartBlocked("a", decided));
	}

	/// A sound request that ran beside three with the part would be blocked in its place.
	void noRequestIsBlockedWhileItsPromptPartIsPending()
	{
		partCrashes("a", {1, 2, 3});
		crashes(1, {1, 2, 3});
		CPPUNIT_ASSERT(ledger_.blockProven(kStart).empty());
		const Time decided = kStart + CrashLedger::kObjectionTime;
		ledger_.blockProven(decided);
		CPPUNIT_ASSERT(!isBlocked(1, decided));
	}

	void oneOfTwoPromptPartsThatOccurTogetherIsBlocked()
	{
		const Time decided = kStart + CrashLedger::kObjectionTime;
		partCrashes("a", {1, 2, 3, 4});
		partCrashes("b", {1, 2, 3, 4});
		CPPUNIT_ASSERT(ledger_.blockProven(decided).empty());
		partCrashes("a", {5});
		partCrashes("b", {5});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger_.blockProven(decided).size());
	}

	void recentIdentitiesAreBounded()
	{
		RecentIdentities recent;
		recent.record(request(1), kStart);
		recent.record(request(1), after(5000));
		CPPUNIT_ASSERT(recent.recordedWithin(request(1), Duration::fromMillis(1000), after(5500)));
		CPPUNIT_ASSERT(!recent.recordedWithin(request(1), Duration::fromMillis(1000), after(6000)));
		CPPUNIT_ASSERT(!recent.recordedWithin(request(2), Duration::fromMillis(1000), after(5500)));
		for (uint64_t number = 0; number < 2 * RecentIdentities::kMaxRequests; ++number)
		{
			recent.record(request(10 + number), after(6000));
		}
		CPPUNIT_ASSERT_EQUAL(RecentIdentities::kMaxRequests, recent.size());
		CPPUNIT_ASSERT(!recent.recordedWithin(request(1), Duration::fromMillis(100000), after(6000)));
	}

private:
	void crashes(uint64_t _request, const std::vector<uint32_t>& _incarnations, Time _now = kStart)
	{
		for (const uint32_t number : _incarnations)
		{
			ledger_.recordCrash(CrashRow{request(_request), incarnation(number), ResponseProgress{}}, CrashSource::Own,
			                    _now);
		}
	}

	static RequestIdentity part(const char* _name)
	{
		return identifyPromptPart("engine", _name);
	}

	void partCrashes(const char* _name, const std::vector<uint32_t>& _incarnations)
	{
		for (const uint32_t number : _incarnations)
		{
			ledger_.recordCrash(CrashRow{part(_name), incarnation(number), ResponseProgress{}}, CrashSource::Own,
			                    kStart);
		}
	}

	bool isPartBlocked(const char* _name, Time _now) const
	{
		const std::vector<CrashSuspect> suspects = ledger_.suspects(_now);
		return std::any_of(suspects.begin(), suspects.end(),
		                   [_name](const CrashSuspect& _suspect)
		                   {
			                   return part(_name) == _suspect.request && _suspect.blocked;
		                   });
	}

	void crashAt(uint64_t _request, uint32_t _incarnation, uint64_t _events, Time _now = kStart)
	{
		ledger_.recordCrash(CrashRow{request(_request), incarnation(_incarnation), ResponseProgress{_events, _events}},
		                    CrashSource::Own, _now);
	}

	bool isBlocked(uint64_t _request, Time _now) const
	{
		for (const CrashSuspect& suspect : ledger_.suspects(_now))
		{
			if (suspect.request == request(_request))
			{
				return suspect.blocked;
			}
		}
		return false;
	}

	CrashLedger ledger_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);

} // namespace sedgecart
