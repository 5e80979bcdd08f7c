// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LEASES_LEASELEDGER_H_HEADER_GUARD
#define SEDGECART_LEASES_LEASELEDGER_H_HEADER_GUARD

#include <base/units.h>
#include <demand/servicecapacity.h>
#include <demand/servicedemand.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sedgecart
{

/// Term of a lease: four reports, so that a lost one or a late answer does not end it.
constexpr Duration kLeaseTerm = Duration::fromMillis(600);

/// The leases of one service in one hall, at the hub. The load pattern: the nodes of a hall admit bursts at the same
/// time, each by reports that are up to 0.45 s old. What all of them may use together never exceeds the free capacity
/// that the hub knew when it granted it. Pure, and guarded by its caller.
class LeaseLedger
{
public:
	/// This node became the hub: forgets all nodes and grants nothing for the term of a lease.
	void onBecameHub(Time _now);

	/// Records what a node reports.
	/// @param _number of the report.
	/// @returns false if the report is older than another one of the node or there is no space for its node.
	bool onReport(const std::string& _node, uint64_t _number, const ServiceDemand& _demand, Time _now);

	/// Answers the last report of a node, and counts the lease as outstanding.
	/// @param _number of the report that is answered.
	/// @param _freeTokens by the loads that were counted last, with the offers of other halls.
	/// @returns a capacity without a limit if nothing is granted now.
	ServiceCapacity grant(const std::string& _node, uint64_t _number, uint64_t _freeTokens, Time _now);

	/// Must be called before the totals of the loads are computed: usage that was reported until now is included in
	/// them.
	void beginStep();

	/// The free capacity computed from these totals is passed to `grant` from now on.
	void endStep(Time _now);

	/// @returns what all nodes together may still use, with what they used since the last step.
	uint64_t outstanding(Time _now) const;

	/// @returns the waiting tokens of all nodes.
	UrgencyTokens waiting() const;

	/// @returns the tokens that all nodes admitted in the last second.
	UrgencyTokens recent() const;

	/// @returns the number of nodes that reported recently.
	std::size_t nodes() const
	{
		return rows_.size();
	}

	/// Sets the tokens of a usual request: a smaller part of the waiting tokens is not lent, since nobody could use it.
	void setUsualTokens(uint64_t _tokens)
	{
		usualTokens_ = _tokens;
	}

private:
	/// An answer that its node may still apply.
	struct Answer
	{
		uint64_t number = 0; //!< Of the report.
		uint64_t limit = 0;
		Time expiresAt;
	};

	struct Row
	{
		uint64_t number = 0; //!< Of the last report.
		ServiceDemand demand;
		Time reportedAt;
		bool isAnswered = false;  //!< A repeated report gets no second grant, nor one of a run with equal numbers.
		uint64_t counted = 0;     //!< Usage that is included in the free capacity.
		uint64_t countedNext = 0; //!< The same with the next step.
		uint64_t servedAt = 0;    //!< `served_` when its waiting requests got capacity last.
		std::deque<Answer> answers;
	};

	static uint64_t held(const Row& _row, Time _now);
	static void recordAnswer(Row& _row, uint64_t _limit, Time _now);
	void count(const ServiceDemand& _demand, int64_t _sign);
	uint64_t waitingPart(Row& _row, uint64_t _available);
	void recordGiven(std::size_t _urgency, uint64_t _tokens);
	uint64_t owedBefore(const Row& _row, std::size_t _urgency) const;
	uint64_t uncounted() const;
	uint64_t headroomPart(const Row& _row, uint64_t _freeTokens) const;
	uint32_t maxUrgency(uint64_t _freeTokens) const;

	std::map<std::string, Row> rows_;          //!< By node.
	UrgencyTokens waiting_{};                  //!< Sum over all nodes.
	UrgencyTokens recent_{};                   //!< Sum over all nodes.
	std::array<int64_t, kUrgencies> credit_{}; //!< What an urgency may get ahead of more urgent ones, tokens.
	uint64_t usualTokens_ = 0;
	uint64_t served_ = 0; //!< Grants to waiting requests.
	Time grantsFrom_;
};

} // namespace sedgecart

#endif // SEDGECART_LEASES_LEASELEDGER_H_HEADER_GUARD
