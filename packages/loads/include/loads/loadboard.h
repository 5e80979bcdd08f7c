// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `loads`: what is under way at targets, how slow they are and which of them are silent.
///
/// `LoadReports` makes this node's report and takes totals, from which its own part is taken off again; `LoadBoard`
/// adds up the reports of a hall at its hub, and the sums of other halls. `PacePoll` asks targets how slow they are.
/// `PathWatch` watches the streams of this node: who on a silent path does not answer is taken as dead, less surely
/// where this node itself is late. All numbers of others are as old as their last word; the request path guesses what
/// came since
/// (`core/unheardload`).

#ifndef SEDGECART_LOADS_LOADBOARD_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADBOARD_H_HEADER_GUARD

#include <base/advertisedrate.h>
#include <base/targetlife.h>
#include <base/units.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sedgecart
{

/// What is under way at one target.
struct LoadAmount
{
	uint64_t tokenLayers = 0;
	uint32_t requests = 0;
	uint32_t suspicion = 0; //!< That the target is dead, of all nodes together.
	double pace = 0;        //!< How many times slower than usual the target is; 0: not known, or as usual.
	AdvertisedRate rate;    //!< The target's newest word on its rate limit.
};

/// Loads by the start of the target that they are at; those without any are left out. What nodes tell of two starts of
/// a target does not add up.
using LoadTable = std::map<TargetLife, LoadAmount>;

/// Adds one table to another.
void addLoads(LoadTable& _sum, const LoadTable& _more);

/// Takes one table off another; nothing falls below zero.
void subtractLoads(LoadTable& _sum, const LoadTable& _less);

/// @returns what a table holds of a start of a target, also where a node that told of it knows no birth.
LoadAmount loadAt(const LoadTable& _table, const TargetLife& _life);

/// What all nodes have under way, as the hub of a hall knows it.
struct LoadTotals
{
	LoadTable loads;
	std::map<std::string, uint64_t> counted; //!< Number of the report of each node that is contained.
};

/// Adds up what the nodes of a hall and the hubs of other halls tell. Any thread.
class LoadBoard
{
public:
	/// A node of this hall told its loads.
	/// @param _number counts its reports.
	void takeReport(const std::string& _node, uint64_t _number, LoadTable&& _loads, Time _now);

	/// The hub of another hall told its hall's loads.
	void takeSum(const std::string& _hub, LoadTable&& _loads, Time _now);

	/// Adds everything up anew.
	/// @returns the loads of this hall, this node's included.
	LoadTable addUp(const LoadTable& _own, Time _now);

	/// @returns what was added up last; null before.
	std::shared_ptr<const LoadTotals> totals() const;

	/// @returns the nodes that told their hall's loads lately.
	std::vector<std::string> hubs(Time _now) const;

private:
	struct Told
	{
		LoadTable loads;
		uint64_t number = 0;
		Time at;
	};

	using ToldTable = std::map<std::string, Told>;

	static void keep(ToldTable& _told, const std::string& _name, Told&& _word, Duration _counts);
	static void dropOld(ToldTable& _told, Duration _keep, Time _now);

	mutable std::mutex mutex_;
	ToldTable reports_; //!< By node.
	ToldTable sums_;    //!< By hub.
	std::shared_ptr<const LoadTotals> totals_;
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADBOARD_H_HEADER_GUARD
