// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FORECAST_CAPACITYFORECAST_H_HEADER_GUARD
#define SEDGECART_FORECAST_CAPACITYFORECAST_H_HEADER_GUARD

#include <base/units.h>
#include <demand/servicedemand.h>
#include <forecast/slottokens.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sedgecart
{

/// Divides the expected free capacity of one service in a hall among the nodes of the hall. Addresses refused callers
/// of many nodes that return at the same time: what all nodes may promise together is bounded by what is expected to be
/// free. Belongs to the hub, one object for each service. Pure.
class CapacityForecast
{
public:
	/// Maximum number of nodes; as many as a fleet has.
	static constexpr std::size_t kMaxNodes = 1024;

	/// Records a report in place of the node's previous one. It counts for 1.5 s.
	/// @param _reportedAt when the report arrived at the hub.
	/// @returns false if it does not count: it is older than the recorded one, or too many other nodes report.
	bool onReport(const std::string& _node, const ServiceDemand& _demand, Time _reportedAt);

	/// Computes the forecast for an answer to a node, and counts it as given to the node.
	/// @param _freeTokens free capacity of the hall for the service, outstanding leases not subtracted.
	/// @returns the node's part of the capacity that is free by the end of each step from now on, cumulative. It covers
	/// the waiting requests and the promises of the node, which ReturnPlanner subtracts. Zero if no report counts.
	StepTokens forecast(const std::string& _node, uint64_t _freeTokens, Time _now);

	/// @returns the number of nodes whose reports count.
	std::size_t nodes(Time _now);

private:
	/// Last report of a node, and what was given to it.
	struct Row
	{
		Time reportedAt;
		uint64_t demand = 0;  //!< Waiting and recently admitted tokens.
		uint64_t waiting = 0; //!< Tokens.
		StepRow released;
		StepRow promised;
		StepRow given; //!< Of the last forecast.
	};

	using Rows = std::map<std::string, Row>;

	void count(const Row& _row, int64_t _sign);
	void dropExpired(Time _now);
	uint64_t fairPart(const Row& _row, uint64_t _capacity, uint64_t _promised, uint64_t _ownPromised) const;

	Rows rows_;
	std::optional<int64_t> sweptSlot_; //!< When expired rows were last dropped.
	uint64_t demand_ = 0;              //!< Sum over all rows.
	uint64_t waiting_ = 0;             //!< Sum over all rows.
	SlotTokens released_;              //!< Sum over all rows.
	SlotTokens promised_;              //!< Sum over all rows.
	SlotTokens given_;                 //!< Sum over all rows.
};

} // namespace sedgecart

#endif // SEDGECART_FORECAST_CAPACITYFORECAST_H_HEADER_GUARD
