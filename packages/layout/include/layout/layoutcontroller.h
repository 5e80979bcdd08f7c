// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `layout`: which target holds which layers of its service's model.
///
/// The nodes whose turn comes first evaluate the fleet five times a second, the others less often (`LayoutController`).
/// `ServiceLayout` plans each service by itself. If `core/layoutplan` returns a change, one node at a time, chosen by
/// `core/appendschedule`, appends it to the layout topic. The fence of the record's orders follows from its offset, so
/// that a later layout always takes precedence at a target. `OrderDispatcher` sends the orders of this node's records,
/// resends unanswered ones, and completes orders that other nodes left unfinished; `core/ordertracker` tracks the state
/// of each. `LayerLossReporter` reports layers without a holder. There is no leader: if two nodes append at the same
/// time, one append is refused.

#ifndef SEDGECART_LAYOUT_LAYOUTCONTROLLER_H_HEADER_GUARD
#define SEDGECART_LAYOUT_LAYOUTCONTROLLER_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <base/incarnation.h>
#include <core/appendschedule.h>
#include <core/layoutplan.h>
#include <layout/layoutrecord.h>
#include <layout/layoutsnapshot.h>
#include <layout/orderdispatcher.h>
#include <layout/servicelayout.h>
#include <ports/keyedlog.h>
#include <ports/runnerorders.h>
#include <settings/mechanisms.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

class FleetController;
class Metrics;
struct EntrySettings;

/// Assigns the layers of each service's model to its targets and repairs the assignment. Every node runs it; there is
/// no leader. A change is a record that is appended only if the layout topic still ends where its author has read it,
/// so only one of two concurrent authors succeeds. The author sends the orders once it reads its own record back, with
/// a fence that follows from the record's offset: an order that is carried out late cannot undo a later change. Nodes
/// take turns, so that usually only one of them tries to append; if that one does not, the next one does. Control
/// thread only.
class LayoutController
{
public:
	LayoutController(boost::asio::io_context& _loop, KeyedLogI& _log, RunnerOrdersI& _orders, const ClockI& _clock,
	                 const FleetController& _fleet, const EntrySettings& _settings);

	/// Starts the periodic evaluation.
	void start();

	/// @param _call called when the store reports that the layout topic extends beyond what this node has read.
	void setOnBehind(std::function<void()> _call)
	{
		onBehind_ = std::move(_call);
	}

	/// Sets where orders and losses of layers are counted from now on.
	void setMetrics(Metrics& _metrics)
	{
		dispatcher_.setMetrics(_metrics);
		metrics_ = &_metrics;
	}

	/// Applies a record of the layout topic.
	void onRecord(const KeyedRecord& _record);

	/// Called when the layout topic has been read up to its end at `_end`.
	void onCurrent(Offset _end);

private:
	using ServiceSnapshots = std::map<std::string, LayoutSnapshot>; //!< By service.

	void tick();
	void scheduleTick(Duration _pause);
	void evaluate(std::size_t _place);
	using TargetCheck = std::function<bool(const RunnerRecord&)>;

	ServiceSnapshots takeSnapshots(const TargetCheck& _uncounted) const;
	void addTarget(const RunnerRecord& _record, const TargetCheck& _uncounted, const std::set<std::string>& _lost,
	               ServiceSnapshots& _snapshots) const;
	void evaluateService(const std::string& _service, const LayoutSnapshot& _seen,
	                     std::vector<LayoutHoldRecord>& _holds);
	void dropOtherLayouts();
	bool isComplete(const LayoutSnapshot& _snapshot) const;
	std::vector<LayoutOrder> withoutUncertainOrders(const std::string& _service, const LayoutSnapshot& _snapshot,
	                                                std::vector<LayoutOrder> _orders) const;
	bool isResendSafe(const TrackedOrder& _order) const;
	LayoutSnapshot withoutRefusingTargets(const LayoutSnapshot& _snapshot) const;
	std::vector<LayoutOrder> withoutRefusedOrders(const LayoutSnapshot& _snapshot,
	                                              std::vector<LayoutOrder> _orders) const;
	std::size_t turnIndex() const;
	void append(std::vector<LayoutHoldRecord> _holds);
	void onAppended(const KeyedAppend& _outcome);
	uint64_t tokensAt(const std::string& _target, LayerSpan _held) const;

	Timer timer_;
	KeyedLogI& log_;
	const ClockI& clock_;
	const FleetController& fleet_;
	std::string node_;
	Mechanisms mechanisms_;
	OrderDispatcher dispatcher_;
	LayoutPolicy policy_;
	Incarnation incarnation_;
	Offset end_; //!< End of the layout topic as far as this node has read it.
	AppendSchedule appendSchedule_;
	std::map<std::string, ServiceLayout> layouts_; //!< By service.
	Metrics* metrics_ = nullptr;
	std::function<void()> onBehind_;
	Time appendedAt_;          //!< Time of this node's last attempt to append.
	Time evaluatedAt_;         //!< Time of this node's last evaluation.
	bool isTopicRead_ = false; //!< The layout topic has been read to its end.
	bool appending_ = false;   //!< An append is in progress.
};

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_LAYOUTCONTROLLER_H_HEADER_GUARD
