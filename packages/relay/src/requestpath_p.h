// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_REQUESTPATH_P_H_HEADER_GUARD
#define SEDGECART_RELAY_REQUESTPATH_P_H_HEADER_GUARD

#include "loadhold_p.h"
#include "targetchooser_p.h"

#include <core/relaymachine.h>
#include <fleet/fleetview.h>
#include <ports/pathstop.h>
#include <relay/relaycontext.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
	/// A path, and the fleet as it was when it was chosen.
	struct Place
	{
		std::shared_ptr<const FleetService> service;
		uint32_t nodes = 1;
		uint32_t hallPeers = 0; //!< Other entry nodes of this data hall.
		std::shared_ptr<const NodeRoster> roster;
		Choice choice;
	};

	/// @param _plan must outlive it.
	RequestPath(const RelayContext& _context, const RelayPlan& _plan);

	/// Chooses anew, from the fleet as it is now, and counts the request there and no longer where it was.
	/// @param _moves it leaves a path that failed, as many others may at this moment.
	/// @returns how that went; if not `Begun`, the path stays as it is.
	SendOutcome::Enum choose(bool _moves);

	/// The same, but the request counts where it was as well, until `dropKept` or `returnToKept`. So long no path
	/// begins at that first target: it knows a request by its id and must not have it twice.
	SendOutcome::Enum chooseBeside(bool _moves);

	/// What was kept counts no more.
	void dropKept();

	/// The request is where it was before `chooseBeside`, and only there.
	void returnToKept();

	/// @returns true if `choose` would find something now.
	bool hasOther(bool _moves) const;

	/// Chooses other parts behind the first one, from the fleet as it is now.
	/// @param _rest the whole path with them.
	/// @returns false if there is no way around the targets that failed.
	bool chooseRest(Place& _rest) const;

	/// The request goes on over another path that `chooseRest` has found.
	void changeTo(const Place& _place);

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
	static std::vector<PathStop> stopsOf(const Place& _place);

	/// @returns what was chosen last.
	const Place& place() const
	{
		return place_;
	}

	/// @returns the target of a path that has an address, null if there is none.
	static const FleetTarget* findByAddress(const Place& _place, const std::string& _address);

	/// The target is not chosen again for this request.
	void passOver(const FleetTarget& _target);

	/// The same for a target that turned the request away, and may have room later: it is chosen again if it is
	/// forgiven after that moment.
	void passOverUntil(const FleetTarget& _target, Time _until);

	/// The target may be chosen again.
	void forgive(const FleetTarget& _target);

	/// Targets that were passed over until now may be chosen again.
	void forgiveFull();

	/// @returns how long until a target is open to this node's requests again, if the last choice found nothing because
	/// all targets are closed by their own word.
	std::optional<Duration> untilOpen() const
	{
		return untilOpen_;
	}

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
	/// Where the request is beside the send under way.
	struct Kept
	{
		Place place;
		std::unique_ptr<LoadHold> hold;
	};

	/// Targets that a choice passes over.
	using Barred = std::set<TargetLife>;

	Barred barred() const;
	Barred barredBeside() const;
	/// Targets that by their own word get no request from this node now.
	struct Closed
	{
		std::set<TargetLife> targets;
		Time opensAt;       //!< The first of them that opens for this node; RateGate::kNever: none does.
		bool isAll = false; //!< All that a request can be sent to.
	};

	ChoiceQuery query(const Place& _place, const Barred& _barred, bool _moves) const;
	Time opensAt(const FleetTarget& _target, const Place& _place, Time _now) const;
	Closed closedTargets(const Place& _place) const;
	SendOutcome::Enum find(const Barred& _barred, bool _moves, Place& _place) const;
	SendOutcome::Enum findOther(bool _moves, Place& _place) const;
	static const FleetTarget* headOf(const Place& _place);
	void hold();
	void noteSend();

	const RelayContext& context_;
	const RelayPlan& plan_;
	Place place_;
	std::unique_ptr<LoadHold> hold_;  //!< Null while the request counts nowhere.
	std::unique_ptr<Kept> kept_;      //!< Null if it is nowhere else.
	std::set<TargetLife> failed_;     //!< Targets that failed this request.
	std::map<TargetLife, Time> full_; //!< Those of them that only turned it away, and until when to pass them over.
	mutable std::optional<Duration> untilOpen_; //!< By the last choice.
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_REQUESTPATH_P_H_HEADER_GUARD
