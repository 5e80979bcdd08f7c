// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_REQUESTPATH_P_H_HEADER_GUARD
#define SEDGECART_RELAY_REQUESTPATH_P_H_HEADER_GUARD

#include "loadreservation_p.h"
#include "streamrelease_p.h"
#include "targetchooser_p.h"

#include <core/relaymachine.h>
#include <fleet/fleetview.h>
#include <ports/stageendpoint.h>
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

/// Path of one request: one target of a plain service, or several targets that hold a model's layers. Chooses among the
/// targets that are not excluded for the request, and adds the request to the load of the chosen ones. Loop thread
/// only.
class RequestPath
{
public:
	/// A chosen path, with the fleet as it was at the time of the choice.
	struct ChosenPath
	{
		std::shared_ptr<const FleetService> service;
		uint32_t nodes = 1;
		uint32_t hallPeers = 0; //!< Other entry nodes of this data hall.
		std::shared_ptr<const NodeRoster> roster;
		Choice choice;
		bool leadsToPeer = false; //!< `service` holds the other nodes, and the path is one of them.
	};

	/// @param _plan must outlive it.
	RequestPath(const RelayContext& _context, const RelayPlan& _plan);

	/// Chooses a path from the current fleet, and moves the request's load there from the previous path.
	/// @param _isReroute true if the request leaves a failed path, as many other requests may at this moment.
	/// @returns the outcome of the choice; unless it is `Begun`, the path is unchanged.
	SendOutcome::Enum choose(bool _isReroute);

	/// Chooses like `choose`, but the request also counts as load on the previous path until `dropPrevious` or
	/// `restorePrevious` is called. Until then no path begins at the head of the previous one: a target identifies a
	/// request by its id and must not receive it twice.
	SendOutcome::Enum chooseAlternative(bool _isReroute);

	/// Releases the load on the previous path.
	void dropPrevious();

	/// Restores the path from before `chooseAlternative`, and releases the load on the alternative.
	void restorePrevious();

	/// @returns true if `chooseAlternative` would find a path now.
	bool hasAlternative(bool _isReroute) const;

	/// Chooses other stages after the head, from the current fleet.
	/// @param _rest receives the whole path, head included.
	/// @returns false if no path avoids the excluded targets.
	bool chooseRemainingStages(ChosenPath& _rest) const;

	/// Switches the request to a path found by `chooseRemainingStages`.
	void switchTo(const ChosenPath& _path);

	/// Releases the request's load at its targets; the chosen path can still be queried.
	void release();

	/// Reports events of the answer, which show when the stream may end.
	/// @param _events of the answer so far, over all attempts of the caller.
	void onEvents(uint64_t _events)
	{
		streamRelease_.onEvents(_events);
	}

	/// Reports that the answer is complete.
	void onComplete()
	{
		streamRelease_.onComplete();
	}

	/// @returns true once a path has been chosen.
	bool chosen() const
	{
		return !chosenPath_.choice.stages.empty();
	}

	/// @returns the target that the request is sent to. Must be called only after a path has been chosen.
	const FleetTarget& head() const;

	/// @returns all targets of the path; empty until one has been chosen.
	std::vector<const FleetTarget*> targets() const;

	bool hasEngine() const;

	/// @returns true if the path leads to another node instead of a target.
	bool leadsToPeer() const
	{
		return chosenPath_.leadsToPeer;
	}

	/// @returns true if the request is to be handed to another node: this one reaches no target.
	bool isHandedOver() const;

	/// @returns the stages of the path, as they are sent to its head.
	std::vector<StageEndpoint> stops() const;
	static std::vector<StageEndpoint> stopsOf(const ChosenPath& _path);

	/// @returns the path that was chosen last.
	const ChosenPath& chosenPath() const
	{
		return chosenPath_;
	}

	/// @returns the target of a path with that address, null if there is none.
	static const FleetTarget* findByAddress(const ChosenPath& _path, const std::string& _address);

	/// Excludes a target from further choices for this request.
	void exclude(const FleetTarget& _target);

	/// Excludes a target that refused the request and may have free capacity later. It can be chosen again once
	/// `readmitExpired` is called after `_until`.
	void excludeUntil(const FleetTarget& _target, Time _until);

	/// @returns true if targets failed or refused this request and are excluded for it.
	bool hasExclusions() const
	{
		return !excluded_.empty();
	}

	/// Allows a target to be chosen again.
	void readmit(const FleetTarget& _target);

	/// Allows targets to be chosen again whose exclusion has expired.
	void readmitExpired();

	/// @returns the time until the first target accepts requests of this node again, if the last choice failed because
	/// all targets announced that they accept none (rate limit or backoff).
	std::optional<Duration> untilOpen() const
	{
		return untilOpen_;
	}

	/// @returns what kept the targets from taking the request, if the last choice failed for want of capacity.
	const std::optional<CapacityShortage>& shortage() const
	{
		return shortage_;
	}

	/// @returns how many idle connections to the head this node may keep: what it borrows of the target's limit beyond
	/// its guaranteed part must be free for other nodes once it is not used.
	uint32_t maxIdleConnections() const;

	/// @returns the tokens that the request occupies at each of its layers, averaged over its duration: an answer grows
	/// from zero to its full length.
	uint64_t reservedTokens() const;

	/// @returns the capacity utilization of the fullest target of the path, as a fraction.
	double peakUtilization() const;

	/// @returns the targets with their halls and layers, for log lines.
	std::string text() const;

private:
	/// The previous path, on which the request still counts beside the current one.
	struct PreviousPath
	{
		ChosenPath path;
		std::unique_ptr<LoadReservation> reservation;
	};

	/// Targets that a choice does not consider.
	using Exclusions = std::set<TargetIncarnation>;

	Exclusions exclusions() const;
	Exclusions exclusionsForAlternative() const;
	/// Targets that currently accept no request from this node: draining, rate-limited or backing off.
	struct ClosedTargets
	{
		std::set<TargetIncarnation> targets;
		Time opensAt;           //!< When the first of them accepts requests again; RateGate::kNever: none will.
		bool allClosed = false; //!< True if no possible head accepts requests.
	};

	ChoiceQuery query(const ChosenPath& _path, const Exclusions& _excluded, bool _isReroute) const;
	Time opensAt(const FleetTarget& _target, const ChosenPath& _path, Time _now) const;
	ClosedTargets closedTargets(const ChosenPath& _path) const;
	SendOutcome::Enum find(const Exclusions& _excluded, bool _isReroute, ChosenPath& _path) const;
	SendOutcome::Enum findAlternative(bool _isReroute, ChosenPath& _path) const;
	static const FleetTarget* headOf(const ChosenPath& _path);
	void reserveLoad();
	void recordSend();

	const RelayContext& context_;
	const RelayPlan& plan_;
	ChosenPath chosenPath_;
	std::unique_ptr<LoadReservation> reservation_; //!< Null while the request counts at no target.
	StreamRelease streamRelease_;
	std::unique_ptr<PreviousPath> previous_;          //!< Null if there is no previous path.
	std::set<TargetIncarnation> excluded_;            //!< Targets that failed or refused this request.
	std::map<TargetIncarnation, Time> excludedUntil_; //!< Those that only refused it, and when their exclusion expires.
	mutable std::optional<Duration> untilOpen_;       //!< As of the last choice.
	mutable std::optional<CapacityShortage> shortage_; //!< As of the last choice.
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_REQUESTPATH_P_H_HEADER_GUARD
