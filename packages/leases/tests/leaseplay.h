// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LEASES_TESTS_LEASEPLAY_H_HEADER_GUARD
#define SEDGECART_LEASES_TESTS_LEASEPLAY_H_HEADER_GUARD

#include <leases/leaseaccount.h>
#include <leases/leaseledger.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

constexpr uint64_t kCapacity = 100000;
constexpr uint64_t kUsual = 800;
constexpr Duration kReportPause = Duration::fromMillis(150);
constexpr std::size_t kLearning = 6; //!< Steps until a new hub grants and all nodes have a lease.

/// A report or an answer in transit.
struct LeaseMessage
{
	std::string node;
	uint64_t number = 0;
	std::size_t hub = 0;
	Time sentAt;      //!< Of the report.
	uint64_t run = 0; //!< Of the node, counted from its first start.
	ServiceDemand demand;
	uint64_t load = 0;
	ServiceCapacity capacity;
};

/// A node and the requests that it runs. Its requests end with it.
class PlayedNode
{
public:
	explicit PlayedNode(std::string _name) : name_(std::move(_name))
	{
	}

	/// Takes capacity of a lease; without one it takes nothing, since the floor is not bounded by the hub.
	bool take(uint64_t _tokens, uint32_t _urgency, Time _now)
	{
		const bool taken = account_->takeEvents(_now).hasLease && account_->tryTake(_tokens, _urgency, _now);
		load_ += taken ? _tokens : 0;
		return taken;
	}

	void end(uint64_t _tokens)
	{
		load_ -= std::min(load_, _tokens);
	}

	LeaseMessage report(const UrgencyTokens& _waiting, Time _now)
	{
		LeaseMessage message;
		message.node = name_;
		message.hub = hub_;
		message.number = ++number_;
		message.run = run_;
		message.sentAt = _now;
		message.demand.waiting = _waiting;
		account_->fillDemand(message.demand, _now);
		message.load = load_;
		return message;
	}

	void apply(const LeaseMessage& _answer, Time _now)
	{
		if (_answer.run == run_ && _answer.hub == hub_)
		{
			account_->apply(_answer.capacity, _answer.number, _answer.sentAt, _now);
		}
	}

	void restart()
	{
		account_ = std::make_unique<LeaseAccount>();
		load_ = 0;
		number_ = 0;
		++run_;
	}

	void follow(std::size_t _hub)
	{
		hub_ = _hub;
		account_->onHubChanged();
	}

	uint64_t load() const
	{
		return load_;
	}

	LeaseAccount& account()
	{
		return *account_;
	}

private:
	std::string name_;
	std::unique_ptr<LeaseAccount> account_ = std::make_unique<LeaseAccount>();
	uint64_t load_ = 0;
	uint64_t number_ = 0;
	uint64_t run_ = 0;
	std::size_t hub_ = 0;
};

/// A hub with the loads that nodes reported to it, which count for 700 ms as in LoadAggregator.
class PlayedHub
{
public:
	PlayedHub(std::size_t _index, Time _now) : index_(_index)
	{
		ledger_.onBecameHub(_now);
	}

	/// @returns the answer.
	LeaseMessage answer(const LeaseMessage& _report, Time _now)
	{
		Load& load = loads_[_report.node];
		if (load.number <= _report.number || load.at + Duration::fromMillis(300) < _now)
		{
			load = Load{_report.load, _report.number, _now};
		}
		LeaseMessage answer = _report;
		ledger_.onReport(_report.node, _report.number, _report.demand, _now);
		answer.capacity = ledger_.grant(_report.node, _report.number, free_, _now);
		answer.hub = index_;
		return answer;
	}

	void step(uint64_t _capacity, Time _now)
	{
		ledger_.beginStep();
		uint64_t sum = 0;
		for (const auto& row : loads_)
		{
			sum += _now < row.second.at + Duration::fromMillis(700) ? row.second.tokens : 0;
		}
		free_ = _capacity - std::min(_capacity, sum);
		ledger_.endStep(_now);
	}

	LeaseLedger& ledger()
	{
		return ledger_;
	}

private:
	struct Load
	{
		uint64_t tokens = 0;
		uint64_t number = 0;
		Time at;
	};

	std::size_t index_;
	LeaseLedger ledger_;
	std::map<std::string, Load> loads_;
	uint64_t free_ = 0;
};

/// A hall whose nodes report each 150 ms, without lost messages.
class LeaseHall
{
public:
	explicit LeaseHall(std::size_t _nodes)
	{
		for (std::size_t index = 0; index < _nodes; ++index)
		{
			nodes.emplace_back("node-" + std::to_string(index));
			nodes.back().account().setUsualTokens(kUsual);
		}
		waiting.resize(_nodes);
		setHub();
	}

	void setHub()
	{
		hub = std::make_unique<PlayedHub>(hubs++, now);
		hub->ledger().setUsualTokens(kUsual);
		for (PlayedNode& node : nodes)
		{
			node.follow(hubs - 1);
		}
	}

	/// A step of the hub, and a report of each node with its answer.
	void step()
	{
		now = now + kReportPause;
		hub->step(capacity, now);
		for (std::size_t index = 0; index < nodes.size(); ++index)
		{
			exchange(index);
		}
	}

	void exchange(std::size_t _node)
	{
		const LeaseMessage report = nodes[_node].report(waiting[_node], now);
		nodes[_node].apply(hub->answer(report, now), now);
	}

	void steps(std::size_t _count)
	{
		for (std::size_t index = 0; index < _count; ++index)
		{
			step();
		}
	}

	/// All nodes take until nothing is left.
	void takeAll()
	{
		for (PlayedNode& node : nodes)
		{
			while (node.take(kUsual / 8, 0, now))
			{
			}
		}
	}

	uint64_t load() const
	{
		uint64_t sum = 0;
		for (const PlayedNode& node : nodes)
		{
			sum += node.load();
		}
		return sum;
	}

	Time now{1000000};
	uint64_t capacity = kCapacity;
	std::size_t hubs = 0;
	std::unique_ptr<PlayedHub> hub;
	std::vector<PlayedNode> nodes;
	std::vector<UrgencyTokens> waiting;
};

} // namespace sedgecart

#endif // SEDGECART_LEASES_TESTS_LEASEPLAY_H_HEADER_GUARD
