// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Retries of a whole fleet whose nodes are killed, replaced, added and removed, and whose records lapse, in virtual
// time.

#include <base/seededrandom.h>
#include <core/heldcount.h>
#include <core/retryshare.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr Time kStart{1000000000};
constexpr Duration kStep = Duration::fromMillis(100);
constexpr uint32_t kStepsPerWindow = 100;
constexpr uint32_t kSteps = 600;
constexpr uint32_t kQuietSteps = 150; //!< Without failures, until processes are older than the window.
constexpr uint32_t kStepsToLapse = 30;
constexpr uint32_t kStepsToReturn = 30;
constexpr uint32_t kStepsPerSecond = 10;
constexpr uint32_t kPercent = 100;
constexpr uint32_t kThousand = 1000;

/// Disruptions of a simulation, each as its probability in percent of a step.
struct Disruptions
{
	uint32_t kill = 0;     //!< Of one node, which starts again within a second.
	uint32_t killMany = 0; //!< Of a random part of the fleet.
	uint32_t replace = 0;  //!< Of one node by one of another name; the record of the old one lapses later.
	uint32_t resize = 0;   //!< One node more or less.
	uint32_t lapse = 0;    //!< Of the records of a random part of the fleet, whose nodes live, for some seconds.
	uint32_t outage = 0;   //!< Of the store; such records lapse meanwhile and return one after the other.
};

struct FleetShape
{
	uint32_t nodes = 9;
	double slack = 202;
	uint32_t firstsPerSecond = 90;
	Disruptions disruptions;
};

/// What a fleet sent in each step.
struct FleetTraffic
{
	std::vector<double> firsts;
	std::vector<double> retries;
};

class FleetSimulation
{
public:
	FleetSimulation(const FleetShape& _shape, uint64_t _seed) : shape_(_shape), random_(_seed), nodes_(_shape.nodes)
	{
		allowance_.slack = _shape.slack;
	}

	FleetTraffic run()
	{
		for (step_ = 0; step_ < kSteps; ++step_)
		{
			traffic_.firsts.push_back(0);
			traffic_.retries.push_back(0);
			if (kQuietSteps <= step_)
			{
				disrupt();
			}
			for (Node& node : nodes_)
			{
				advance(node);
			}
		}
		return traffic_;
	}

private:
	struct Node
	{
		RetryShare share;
		HeldCount registered;   //!< As this process has read it.
		uint32_t aliveFrom = 0; //!< Step from which on it runs.
	};

	Time now() const
	{
		return kStart + Duration{kStep.micros * step_};
	}

	bool happens(uint32_t _percent)
	{
		return random_.next() % kPercent < _percent;
	}

	Node& anyNode()
	{
		return nodes_[random_.next() % nodes_.size()];
	}

	void restart(Node& _node)
	{
		constexpr uint32_t kMaxRestartSteps = 10;
		_node = Node{};
		_node.aliveFrom = step_ + random_.next() % kMaxRestartSteps;
	}

	void disrupt()
	{
		const Disruptions& disruptions = shape_.disruptions;
		if (happens(disruptions.kill))
		{
			restart(anyNode());
		}
		if (happens(disruptions.killMany))
		{
			const uint32_t percent = random_.next() % kPercent;
			for (Node& node : nodes_)
			{
				if (happens(percent))
				{
					restart(node);
				}
			}
		}
		if (happens(disruptions.replace))
		{
			restart(anyNode());
			lapsing_.push_back(step_ + kStepsToLapse);
		}
		if (happens(disruptions.resize))
		{
			const bool grows = nodes_.size() < shape_.nodes / 2 + 1 || 0 == random_.next() % 2;
			nodes_.resize(nodes_.size() + (grows ? 1 : -1), Node{});
		}
		if (missingUntil_ + kStepsPerWindow < step_ && happens(disruptions.lapse))
		{
			constexpr uint32_t kMaxLapseSteps = 80;
			missing_ = random_.next() % nodes_.size();
			missingUntil_ = step_ + random_.next() % kMaxLapseSteps;
			outageUntil_ = 0;
		}
		const bool mayBegin = 0 < disruptions.outage && missingUntil_ + kStepsPerWindow < step_;
		if (mayBegin && happens(disruptions.outage))
		{
			constexpr uint32_t kMaxOutageSteps = 80;
			missing_ = random_.next() % nodes_.size();
			outageUntil_ = step_ + random_.next() % kMaxOutageSteps;
			missingUntil_ = outageUntil_ + kStepsToReturn;
		}
	}

	/// @returns the number of nodes that the registry names.
	uint32_t registered() const
	{
		const auto lapsing = std::count_if(lapsing_.begin(), lapsing_.end(),
		                                   [this](uint32_t _until)
		                                   {
			                                   return step_ < _until;
		                                   });
		const uint32_t returning = 0 < outageUntil_ ? missingUntil_ - step_ : kStepsToReturn; // a lapse ends at once
		const std::size_t awaited = step_ < missingUntil_ ? missing_ * returning / kStepsToReturn : 0;
		const std::size_t missing = std::min(awaited, nodes_.size() - 1);
		return static_cast<uint32_t>(nodes_.size() - missing + lapsing);
	}

	/// Sends this step's requests, and each retry that the node's share allows.
	void advance(Node& _node)
	{
		if (step_ < _node.aliveFrom)
		{
			return;
		}
		if (outageUntil_ <= step_)
		{
			_node.registered.set(registered(), now());
		}
		const uint32_t firstsInThousandths =
		    shape_.firstsPerSecond * kThousand / kStepsPerSecond / static_cast<uint32_t>(nodes_.size());
		const uint32_t firsts =
		    firstsInThousandths / kThousand + (random_.next() % kThousand < firstsInThousandths % kThousand ? 1 : 0);
		for (uint32_t sent = 0; sent < firsts; ++sent)
		{
			_node.share.onFirstSend(now());
		}
		traffic_.firsts.back() += firsts;
		while (kQuietSteps <= step_ &&
		       _node.share.tryTake(allowance_, _node.registered.at(now()), RetryPurpose::Started, now()))
		{
			traffic_.retries.back() += 1;
		}
	}

	FleetShape shape_;
	SeededRandom random_;
	RetryAllowance allowance_;
	std::vector<Node> nodes_;
	std::vector<uint32_t> lapsing_; //!< Steps at which records of ended nodes lapse.
	std::size_t missing_ = 0;       //!< Records that have lapsed though their nodes live.
	uint32_t outageUntil_ = 0;      //!< Until then the store cannot be read.
	uint32_t missingUntil_ = 0;     //!< From the end of the outage to then the records return one after the other.
	FleetTraffic traffic_;
	uint32_t step_ = 0;
};

double sumOf(const std::vector<double>& _steps, int64_t _begin, int64_t _end)
{
	double sum = 0;
	for (int64_t step = std::max<int64_t>(0, _begin); step < _end; ++step)
	{
		sum += _steps[static_cast<std::size_t>(step)];
	}
	return sum;
}

/// @returns the retries of a window as a fraction of what is allowed, for the worst window. The requests are counted
/// over the window, the one before it or the one half a window earlier, whichever holds the most.
double worstUse(const FleetTraffic& _traffic, double _slack)
{
	const RetryAllowance allowance;
	constexpr int64_t kWindow = kStepsPerWindow;
	double worst = 0;
	for (int64_t begin = 0; begin + kWindow <= kSteps; ++begin)
	{
		const double requests =
		    std::max({sumOf(_traffic.firsts, begin, begin + kWindow), sumOf(_traffic.firsts, begin - kWindow, begin),
		              sumOf(_traffic.firsts, begin - kWindow / 2, begin + kWindow / 2)});
		const double allowed = allowance.ratio * requests + _slack;
		worst = std::max(worst, sumOf(_traffic.retries, begin, begin + kWindow) / allowed);
	}
	return worst;
}

/// @returns the worst use of the budget over many random sequences.
double worstUseOf(const FleetShape& _shape, uint64_t _sequences)
{
	double worst = 0;
	for (uint64_t seed = 1; seed <= _sequences; ++seed)
	{
		worst = std::max(worst, worstUse(FleetSimulation(_shape, seed).run(), _shape.slack));
	}
	return worst;
}

void assertWithinBudget(double _worst)
{
	CPPUNIT_ASSERT_MESSAGE(std::to_string(_worst) + " of the allowed retries", _worst <= 1);
}

FleetShape fleetOf(uint32_t _nodes)
{
	constexpr double kSlackPerNode = 22;
	constexpr uint32_t kFirstsPerNode = 10;
	FleetShape shape;
	shape.nodes = _nodes;
	shape.slack = kSlackPerNode * _nodes;
	shape.firstsPerSecond = kFirstsPerNode * _nodes;
	return shape;
}

} // namespace

class RetryFleetTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RetryFleetTest);
	CPPUNIT_TEST(killedNodesStayWithinTheBudget);
	CPPUNIT_TEST(replacedNodesStayWithinTheBudget);
	CPPUNIT_TEST(resizedFleetStaysWithinTheBudget);
	CPPUNIT_TEST(lapsedRecordsEnlargeNoShare);
	CPPUNIT_TEST(outagesEnlargeNoShare);
	CPPUNIT_TEST(largeFleetStaysWithinTheBudget);
	CPPUNIT_TEST(largeFleetStaysWithinTheBudgetInOutages);
	CPPUNIT_TEST_SUITE_END();

public:
	void killedNodesStayWithinTheBudget()
	{
		for (const uint32_t nodes : {9U, 60U})
		{
			FleetShape shape = fleetOf(nodes);
			shape.disruptions.kill = 10;
			shape.disruptions.killMany = 5;
			assertWithinBudget(worstUseOf(shape, 50));
		}
	}

	void replacedNodesStayWithinTheBudget()
	{
		FleetShape shape = fleetOf(9);
		shape.disruptions.replace = 10;
		assertWithinBudget(worstUseOf(shape, 50));
	}

	void resizedFleetStaysWithinTheBudget()
	{
		FleetShape shape = fleetOf(9);
		shape.disruptions.resize = 10;
		assertWithinBudget(worstUseOf(shape, 50));
	}

	void lapsedRecordsEnlargeNoShare()
	{
		FleetShape shape = fleetOf(9);
		shape.disruptions.lapse = 5;
		shape.disruptions.kill = 5;
		assertWithinBudget(worstUseOf(shape, 50));
	}

	void outagesEnlargeNoShare()
	{
		FleetShape shape = fleetOf(9);
		shape.disruptions.outage = 5;
		shape.disruptions.kill = 5;
		assertWithinBudget(worstUseOf(shape, 50));
	}

	void largeFleetStaysWithinTheBudgetInOutages()
	{
		FleetShape shape = fleetOf(295);
		shape.disruptions = Disruptions{10, 5, 10, 10, 0, 5};
		assertWithinBudget(worstUseOf(shape, 3));
	}

	void largeFleetStaysWithinTheBudget()
	{
		FleetShape shape = fleetOf(295);
		shape.disruptions = Disruptions{10, 5, 10, 10, 5};
		assertWithinBudget(worstUseOf(shape, 3));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryFleetTest);

} // namespace sedgecart
