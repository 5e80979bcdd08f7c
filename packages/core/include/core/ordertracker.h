// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_ORDERTRACKER_H_HEADER_GUARD
#define SEDGECART_CORE_ORDERTRACKER_H_HEADER_GUARD

#include <core/trackedorder.h>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

struct RunnerRecord;

/// Tracks orders to hold layers, each from its record until the registry shows it, the target refuses it, or no update
/// arrives for longer than its load can take. While an order is in effect, its layers count as held by the target. If
/// an order stays in effect for too long, lost layers remain without a holder; if it ends too early, the layers are
/// ordered from a second target while the first one is still loading them. Pure: the time is passed in.
class OrderTracker
{
public:
	/// @param _tracksProgress if false, every order is in effect for a fixed time, whatever its target reports.
	explicit OrderTracker(bool _tracksProgress);

	/// Adds an order that a layout record contains.
	/// @param _loadTime time to load the new layers when no other load runs at the same time; 0 if not known.
	/// @param _issuedHere whether this node issued the order and sends it.
	void onOrdered(const TargetIncarnation& _incarnation, LayerSpan _layers, Offset _fence, Duration _loadTime,
	               bool _issuedHere, Time _now);

	/// Applies what another node's record reports about an order. The state known to this node takes precedence, unless
	/// the record ends the order.
	/// @param _left how long the order stays in effect on the other node.
	void onReported(const TrackedOrder& _reported, Duration _left, Time _now);

	/// Called when this node sends or resends the order.
	void onSent(const TrackedOrder& _order, Time _now);

	/// Delays the next attempt to send an order that cannot be sent now.
	void postpone(const TrackedOrder& _order, Time _now);

	/// Keeps the order in effect without ever resending it. For orders whose age this node does not know.
	void stopResending(const TrackedOrder& _order);

	/// Ends an order whose execution would do harm by now: it is no longer in effect and is not resent.
	void giveUp(const TrackedOrder& _order, Time _now);

	/// Applies the target's response to this node, or the lack of one (`LayoutOrderState::Unknown`).
	void onAnswer(const TargetIncarnation& _incarnation, Offset _fence, LayoutOrderState::Enum _state, Time _now);

	/// Applies a target's record from the registry.
	void onRegistryRecord(const RunnerRecord& _record, Time _now);

	/// Ends orders that are no longer in effect, and removes expired refusals.
	void expire(Time _now);

	/// @returns the newest order that is in effect for this incarnation of the target, null if there is none.
	const TrackedOrder* inEffect(const TargetIncarnation& _incarnation, Time _now) const;

	/// @returns true if this incarnation of the target recently refused these layers (see `kRefusalTime`).
	bool isRefused(const TargetIncarnation& _incarnation, LayerSpan _layers, Time _now) const;

	/// @returns true if this incarnation of the target recently refused any order (see `kRefusalTime`).
	bool hasRefused(const TargetIncarnation& _incarnation, Time _now) const;

	/// @returns orders that this node should resend with their original fence, so that the target reports their state.
	/// Only the latest order of a target is resent, whatever its state.
	/// @param _nodeIndex index of this node among all nodes, from 0.
	std::vector<TrackedOrder> dueForResend(std::size_t _nodeIndex, Time _now) const;

	/// @returns the orders that this node's next record contains: all active ones and all refusals not yet expired.
	std::vector<TrackedOrder> ordersToPublish() const;

	/// @returns true if the state of an order has changed in a way that other nodes need and no record contains yet.
	bool hasUnpublished() const
	{
		return hasUnpublished_;
	}

	/// Called with false once a record contains all that this node knows, with true if that record was not stored.
	void setUnpublished(bool _hasUnpublished)
	{
		hasUnpublished_ = _hasUnpublished;
	}

	/// @returns the changes of orders since the last call, each with the order's phase at that time.
	std::vector<TrackedOrder> takeEvents();

	/// Time from the end of a load until every node has read it from the registry: two report intervals of a target
	/// (1.2 s each) and one registry read interval (0.9 s).
	static constexpr Duration kRegistryLag = Duration::fromMillis(3300);

	/// Load time if the operator has not configured one; 6 s together with `kRegistryLag`.
	static constexpr Duration kDefaultLoadTime = Duration::fromMillis(2700);

	/// How long an order stays in effect after its expected time, so that its target can be queried: two response
	/// timeouts (1.5 s each).
	static constexpr Duration kGraceTime = Duration::fromMillis(3000);

	/// Minimum time between a missing or inconclusive response and the next attempt to send the order.
	static constexpr Duration kResendDelay = Duration::fromMillis(500);

	/// How long the layout plan does not repeat a refused order: by then the registry shows what the target was busy
	/// with, or the target is idle again.
	static constexpr Duration kRefusalTime = Duration::fromMillis(3000);

private:
	using Orders = std::vector<TrackedOrder>; //!< Orders of one target, sorted by fence.

	TrackedOrder* find(const TargetIncarnation& _incarnation, Offset _fence);
	void add(const TrackedOrder& _order);
	void setPhase(TrackedOrder& _order, OrderPhase::Enum _phase, Time _now);
	void extend(TrackedOrder& _order, Duration _by, Time _now);
	void onBusy(TrackedOrder& _order, Time _now);
	void refuse(TrackedOrder& _order, LayoutOrderState::Enum _reason, Time _from, Time _now);
	void onUnanswered(TrackedOrder& _order, Time _now);
	static bool mayPredateOrder(const Orders& _orders, const TrackedOrder& _order, Time _now);
	void endEarlier(Orders& _orders, const TrackedOrder& _by, Time _now);
	void recordSlowdown(const TrackedOrder& _order, Time _now);
	Duration expectedTime(const TrackedOrder& _order) const;

	bool tracksProgress_;
	bool hasUnpublished_ = false;
	std::map<std::string, Orders> orders_; //!< By target instance. Refused orders remain until the refusal expires.
	std::vector<TrackedOrder> events_;
	static constexpr std::size_t kSampleCount = 8;
	std::array<double, kSampleCount>
	    slowdowns_{}; //!< Ratios of actual time to time without concurrent loads, last orders.
	std::size_t samples_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_ORDERTRACKER_H_HEADER_GUARD
