// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_ORDERDISPATCHER_H_HEADER_GUARD
#define SEDGECART_LAYOUT_ORDERDISPATCHER_H_HEADER_GUARD

#include <base/clock.h>
#include <core/ordertracker.h>
#include <layout/layoutrecord.h>
#include <ports/runnerorders.h>
#include <settings/mechanisms.h>

#include <cstddef>
#include <functional>
#include <string>

namespace sedgecart
{

class FleetController;
class Metrics;
struct ServiceSpec;

/// What this node does with the orders of a record.
struct OrderRole
{
	enum Enum
	{
		Send,      //!< Sends them, as the author of the record.
		Resend,    //!< Resends them if their outcome remains unknown.
		TrackOnly, //!< Only treats them as in effect, since the record may be hours old.

		Count
	};
};

/// Sends the orders of the layout and logs and counts every change of their phase. The state of each order is decided
/// by `OrderTracker`. Control thread only.
class OrderDispatcher
{
public:
	using OrderCheck = std::function<bool(const TrackedOrder&)>;

	OrderDispatcher(RunnerOrdersI& _orders, const ClockI& _clock, const FleetController& _fleet,
	                const Mechanisms& _mechanisms);

	/// Sets where orders are counted from now on.
	void setMetrics(Metrics& _metrics)
	{
		metrics_ = &_metrics;
	}

	/// Applies a record of the layout topic.
	/// @param _offset offset of the record, from which the fence of its orders follows.
	/// @param _role this node's role for orders that it did not know before.
	void apply(const LayoutRecord& _record, Offset _offset, OrderRole::Enum _role);

	/// Applies the registry's records, ends expired orders and resends those that are due.
	/// @param _nodeIndex index of this node among all nodes, from 0.
	/// @param _isSafe returns whether executing the order does no harm to running requests. An order that does is
	/// abandoned instead of resent.
	void update(std::size_t _nodeIndex, const OrderCheck& _isSafe);

	/// Adds the state of all earlier orders that this node knows to a record that is about to be stored.
	void addKnownOrders(LayoutRecord& _record);

	/// Called with the outcome of storing that record.
	void onStored(bool _done);

	/// @returns true if the state of an order has changed in a way that other nodes need and no record contains yet.
	bool hasUnpublished() const
	{
		return tracker_.hasUnpublished();
	}

	/// @returns the layers that a target holds or was ordered to hold. Ignores orders for layers that its model does
	/// not have.
	LayerSpan effectiveLayers(const RunnerRecord& _target, const ServiceSpec& _service) const;

	/// @returns true if the order in effect for a target may be hours old, so that this node does not resend it.
	bool isTrackedOnly(const RunnerRecord& _target) const;

	/// @returns true if the registry's record of a target is known to be outdated: the target has restarted, or refuses
	/// requests for the layers that the record shows.
	bool isOutdated(const RunnerRecord& _target) const;

	/// @returns true if a target has recently refused any order, usually because it is busy.
	bool hasRefused(const RunnerRecord& _target) const;

	/// @returns true if a target has recently refused an order for these layers.
	bool isRefused(const RunnerRecord& _target, LayerSpan _layers) const;

private:
	void take(const ReportedOrder& _reported, OrderRole::Enum _role);
	void send(const TrackedOrder& _order);
	void resend(const TrackedOrder& _order, const OrderCheck& _isSafe);
	void onAnswered(const TrackedOrder& _order, LayoutOrderState::Enum _state);
	bool maySend(const TrackedOrder& _order) const;
	Duration loadTimeOf(const LayoutHoldRecord& _hold) const;
	const ServiceSpec* serviceOf(const RunnerRecord& _target) const;
	void reportEvents();
	std::string hallOf(const std::string& _target) const;
	void count(const TrackedOrder& _event) const;

	RunnerOrdersI& orders_;
	const ClockI& clock_;
	const FleetController& fleet_;
	Mechanisms mechanisms_;
	OrderTracker tracker_;
	Metrics* metrics_ = nullptr;
	bool isPublishing_ = false; //!< The record that is being stored contains unpublished changes.
};

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_ORDERDISPATCHER_H_HEADER_GUARD
