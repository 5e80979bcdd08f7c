// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "leaseplay.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace sedgecart
{

namespace
{

/// A hall whose messages take up to 120 ms or are lost. The draws come from a seed: draws of rapidcheck itself are
/// small at first, which would lose all messages.
class RandomPlay
{
public:
	explicit RandomPlay(uint64_t _seed) : random_(_seed), losses_(hall_.nodes.size())
	{
		hall_.steps(kLearning);
	}

	/// @returns the highest load of all targets in so many steps of 10 ms.
	uint64_t maxLoad(int _steps)
	{
		uint64_t highest = 0;
		for (int step = 0; step < _steps; ++step)
		{
			hall_.now = hall_.now + Duration::fromMillis(10);
			if (0 == step % 15)
			{
				hall_.hub->step(kCapacity, hall_.now);
			}
			change();
			report(static_cast<std::size_t>(step) % hall_.nodes.size());
			deliverReports();
			deliverAnswers();
			highest = std::max(highest, hall_.load());
		}
		return highest;
	}

private:
	using Messages = std::multimap<int64_t, LeaseMessage>; //!< By arrival.

	bool happens(uint64_t _oneIn)
	{
		return 0 == random_() % _oneIn;
	}

	Time arrival()
	{
		return hall_.now + Duration::fromMillis(static_cast<int64_t>(random_() % 120));
	}

	void change()
	{
		PlayedNode& node = hall_.nodes[random_() % hall_.nodes.size()];
		if (happens(150))
		{
			node.restart();
		}
		if (happens(150))
		{
			hall_.setHub();
		}
		for (uint64_t most = random_() % 40; 0 < most && node.take(kUsual, 0, hall_.now); --most)
		{
		}
		node.end(happens(4) ? node.load() / 3 : 0);
	}

	void report(std::size_t _node)
	{
		UrgencyTokens waiting{};
		waiting[0] = random_() % (50 * kUsual);
		const LeaseMessage message = hall_.nodes[_node].report(waiting, hall_.now);
		const bool isLost = losses_[_node] < 2 && happens(4);
		losses_[_node] = isLost ? losses_[_node] + 1 : 0;
		for (int copies = isLost ? 0 : 1 + (happens(7) ? 1 : 0); 0 < copies; --copies)
		{
			reports_.emplace(arrival().micros, message);
		}
	}

	void deliverReports()
	{
		for (; !reports_.empty() && reports_.begin()->first <= hall_.now.micros; reports_.erase(reports_.begin()))
		{
			const LeaseMessage& message = reports_.begin()->second;
			if (message.hub + 1 == hall_.hubs)
			{
				const LeaseMessage answer = hall_.hub->answer(message, hall_.now);
				for (int copies = happens(5) ? 0 : 1 + (happens(7) ? 1 : 0); 0 < copies; --copies)
				{
					answers_.emplace(arrival().micros, answer);
				}
			}
		}
	}

	void deliverAnswers()
	{
		for (; !answers_.empty() && answers_.begin()->first <= hall_.now.micros; answers_.erase(answers_.begin()))
		{
			const LeaseMessage& answer = answers_.begin()->second;
			hall_.nodes[std::stoul(answer.node.substr(answer.node.find('-') + 1))].apply(answer, hall_.now);
		}
	}

	LeaseHall hall_{4};
	std::mt19937_64 random_;
	std::vector<int> losses_; //!< Reports of a node that were lost in a row.
	Messages reports_;
	Messages answers_;
};

} // namespace

class LeaseMessagesTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LeaseMessagesTest);
	CPPUNIT_TEST(messagesLostLateRepeatedAndReordered);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Nodes take as much as they can at random times, while messages are lost, late, repeated and overtaken, nodes die
	/// and hubs change. No more than two reports of a node in a row are lost, so that the hub knows its loads.
	void messagesLostLateRepeatedAndReordered()
	{
		CPPUNIT_ASSERT(rc::check("no more is used than is free",
		                         [](uint64_t _seed)
		                         {
			                         RC_ASSERT(RandomPlay(_seed).maxLoad(600) <= kCapacity);
		                         }));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseMessagesTest);

} // namespace sedgecart
