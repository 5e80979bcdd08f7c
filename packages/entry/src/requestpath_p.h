// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_REQUESTPATH_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_REQUESTPATH_P_H_HEADER_GUARD

#include "fleetview_p.h"
#include "loadhold_p.h"
#include "relaycontext_p.h"
#include "targetchooser_p.h"

#include <core/relaymachine.h>
#include <entry/pathstop.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

struct RelayPlan;

/// Where a request is: one target of a plain service, or a path of targets that hold a model's layers. Chooses among
/// the targets that have not failed the request, and counts it where it is. Loop thread only.
class RequestPath
{
public:
	/// @param _plan must outlive it.
	RequestPath(const RelayContext& _context, const RelayPlan& _plan);

	/// Chooses anew, from the fleet as it is now, and counts the request there and no longer where it was.
	/// @param _moves it leaves a path that failed, as many others may at this moment.
	/// @returns how that went; if not `Begun`, the path stays as it is.
	SendOutcome::Enum choose(bool _moves);

	/// The same, but the request counts where it was as well, until `dropKept` or `returnToKept`.
	SendOutcome::Enum chooseBeside(bool _moves);

	/// What was kept counts no more.
	void dropKept();

	/// @returns true if what was kept has the same first target as what was chosen beside it.
	bool sharesHeadWithKept() const;

	/// The request is where it was before `chooseBeside`, and only there.
	void returnToKept();

	/// @returns true if `choose` would find something now.
	bool hasOther(bool _moves) const;

	/// Chooses other parts behind the first one.
	/// @param _rest the whole path with them.
	/// @returns false if there is no way around the targets that failed.
	bool chooseRest(Choice& _rest) const;

	/// The request goes on over another path that `chooseRest` has found.
	void changeTo(const Choice& _choice);

	/// The request counts nowhere any more; what was chosen is still told.
	void release();

	/// @returns true once something has been chosen.
	bool chosen() const
	{
		return !place_.choice.parts.empty();
	}

	/// @returns the target that the request is sent to. Only once something has been chosen.
	const FleetTarget& head() const;

	/// @returns all targets; empty while nothing has been chosen.
	std::vector<const FleetTarget*> targets() const;

	bool hasEngine() const;

	/// @returns the targets as the first one is told of them.
	std::vector<PathStop> stops() const;
	std::vector<PathStop> stopsOf(const Choice& _choice) const;

	/// @returns what was chosen last.
	const Choice& choice() const
	{
		return place_.choice;
	}

	/// @returns the target of a choice that has an address, null if there is none.
	const FleetTarget* findByAddress(const Choice& _choice, const std::string& _address) const;

	/// The target is not chosen again for this request.
	void passOver(const FleetTarget& _target);

	/// The target may be chosen again.
	void forgive(const FleetTarget& _target);

	/// @returns entry nodes that share the targets, as of the last choice.
	uint32_t nodes() const
	{
		return place_.nodes;
	}

	/// @returns the tokens that the request takes at each of its layers, as a mean over its time there: answers grow
	/// from nothing to their length.
	uint64_t heldTokens() const;

	/// @returns the part of its room that the fullest target of the path has taken.
	double tightestRoom() const;

	/// @returns targets with their halls and layers, for logs.
	std::string text() const;

private:
	/// A path, and the fleet as it was when it was chosen.
	struct Place
	{
		std::shared_ptr<const FleetService> service;
		uint32_t nodes = 1;
		Choice choice;
		std::unique_ptr<LoadHold> hold; //!< Null while it counts nowhere.
	};

	ChoiceQuery query(const Place& _place, bool _moves) const;
	SendOutcome::Enum find(bool _moves, Place& _place) const;
	SendOutcome::Enum findOther(bool _moves, Place& _place) const;
	const FleetTarget& target(const PathPart& _part) const;
	void hold();

	const RelayContext& context_;
	const RelayPlan& plan_;
	Place place_;
	std::unique_ptr<Place> kept_; //!< Where it is as well; null if nowhere.
	std::set<TargetLife> failed_; //!< Targets that failed this request.
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_REQUESTPATH_P_H_HEADER_GUARD
