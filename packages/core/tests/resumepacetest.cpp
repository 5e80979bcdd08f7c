// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/resumepace.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr uint32_t kNodes = 20; // of one hall
constexpr int64_t kEndMs = 4000;
constexpr int64_t kLastFreshMs = 3400; // so that all are read before the end
constexpr int64_t kStartSpreadMs = 300;
constexpr int64_t kCutStreams = 240; // that come back as soon as their node is up
constexpr int64_t kFreshEveryMs = 12;
constexpr int64_t kReadMs = 5; // of one prompt, one after the other
constexpr Duration kPauseObjective = Duration::fromMillis(250);
constexpr Duration kFirstObjective = Duration::fromMillis(500);

Time at(int64_t _millis)
{
	return Time{_millis * 1000};
}

/// A hall that comes back: nodes that start within a moment, their cut streams, new requests, and one chain that reads
/// prompts in the order in which they are sent.
class Return
{
public:
	explicit Return(bool _paced) : paced_(_paced), nodes_(kNodes)
	{
		for (uint32_t node = 0; node < kNodes; ++node)
		{
			nodes_[node].readyAt = at(node * kStartSpreadMs / kNodes);
		}
		for (int64_t stream = 0; stream < kCutStreams; ++stream)
		{
			Node& node = nodes_[static_cast<std::size_t>(stream) % kNodes];
			node.held.push_back(node.readyAt);
		}
	}

	void play()
	{
		for (int64_t millis = 0; millis < kEndMs; ++millis)
		{
			const Time now = at(millis);
			const bool calls = kStartSpreadMs <= millis && millis <= kLastFreshMs;
			if (calls && 0 == millis % kFreshEveryMs)
			{
				unread_.push_back(Sent{now, nullptr});
				++fresh;
			}
			for (Node& node : nodes_)
			{
				sendResumed(node, now);
			}
			if (0 == millis % kReadMs && !unread_.empty())
			{
				read(now);
			}
		}
	}

	uint32_t fresh = 0;
	uint32_t freshInTime = 0;
	uint32_t resumed = 0; //!< Read.
	Duration longestHold;

private:
	struct Node
	{
		Time readyAt;
		ResumePace pace{Time{}};
		std::deque<Time> held; //!< When they came.
	};

	struct Sent
	{
		Time at;
		Node* node; //!< Null for a new request.
	};

	void sendResumed(Node& _node, Time _now)
	{
		while (!_node.held.empty() && !(_now < _node.held.front()))
		{
			const Duration waited = _now - _node.held.front();
			const bool due = !(waited < ResumePace::kLongestHold);
			if (paced_ && !due && !_node.pace.admits(_now))
			{
				return;
			}
			longestHold = std::max(longestHold, waited);
			_node.held.pop_front();
			_node.pace.onSent();
			unread_.push_back(Sent{_now, &_node});
		}
	}

	void read(Time _now)
	{
		const Sent sent = unread_.front();
		unread_.pop_front();
		if (nullptr == sent.node)
		{
			freshInTime += kFirstObjective < _now - sent.at ? 0 : 1;
			return;
		}
		++resumed;
		sent.node->pace.noteFirst(_now - sent.at, kPauseObjective, _now);
		sent.node->pace.onRead();
	}

	bool paced_;
	std::vector<Node> nodes_;
	std::deque<Sent> unread_;
};

} // namespace

class ResumePaceTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ResumePaceTest);
	CPPUNIT_TEST(newRequestsDoNotWaitBehindStreamsThatWereCut);
	CPPUNIT_TEST(theReplayMakesThemLateWithoutIt);
	CPPUNIT_TEST(aNodeThatHasBeenUpHoldsNone);
	CPPUNIT_TEST(lateReadingClosesIt);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Whoever calls once nodes are ready can be served in time, whatever comes back with him.
	void newRequestsDoNotWaitBehindStreamsThatWereCut()
	{
		Return paced(true);
		paced.play();
		CPPUNIT_ASSERT_EQUAL(paced.fresh, paced.freshInTime);
		CPPUNIT_ASSERT_EQUAL(static_cast<uint32_t>(kCutStreams), paced.resumed);
		CPPUNIT_ASSERT(!(ResumePace::kLongestHold < paced.longestHold));
	}

	/// The load is the one that it is for.
	void theReplayMakesThemLateWithoutIt()
	{
		Return unpaced(false);
		unpaced.play();
		CPPUNIT_ASSERT(unpaced.freshInTime < unpaced.fresh);
	}

	/// One lost node or hall leaves some streams behind, which may still go on in time.
	void aNodeThatHasBeenUpHoldsNone()
	{
		ResumePace pace(Time{});
		const Time later = Time{} + ResumePace::kWatchfulFor + Duration::fromMillis(1);
		constexpr uint32_t kMany = 1000;
		for (uint32_t sent = 0; sent < kMany; ++sent)
		{
			CPPUNIT_ASSERT(pace.admits(later));
			pace.onSent();
		}
	}

	/// Streams that are read late show that more would only make all late.
	void lateReadingClosesIt()
	{
		ResumePace pace(Time{});
		const Time later = Time{} + ResumePace::kWatchfulFor + Duration::fromMillis(1);
		constexpr uint32_t kSent = 8;
		for (uint32_t sent = 0; sent < kSent; ++sent)
		{
			pace.onSent();
		}
		pace.noteFirst(kPauseObjective + Duration::fromMillis(1), kPauseObjective, later);
		pace.onRead();
		CPPUNIT_ASSERT(!pace.admits(later));
		for (uint32_t read = 1; read < kSent; ++read)
		{
			pace.noteFirst(kPauseObjective, kPauseObjective, later);
			pace.onRead();
		}
		CPPUNIT_ASSERT(pace.admits(later));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumePaceTest);

} // namespace sedgecart
