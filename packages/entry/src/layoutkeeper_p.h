// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_LAYOUTKEEPER_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_LAYOUTKEEPER_P_H_HEADER_GUARD

#include <base/clock.h>
#include <core/layoutplan.h>
#include <entry/keyedlog.h>
#include <entry/runnerorders.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

class FleetController;

/// Keeps the model laid out over the targets. One node at a time does it: the store deals the duty to one member of a
/// group. Each change is a record that is appended only if the topic still ends where this node believes; its offset is
/// the fence of the orders, so a keeper that lost the duty without knowing cannot undo a later one's work.
/// Control thread only.
class LayoutKeeper
{
public:
	LayoutKeeper(boost::asio::io_context& _loop, KeyedLogI& _log, RunnerOrdersI& _orders, const ClockI& _clock,
	             const FleetController& _fleet, const std::string& _node);

	void start();

	/// @returns true while this node holds the duty.
	bool keeps() const
	{
		return keeps_;
	}

private:
	/// An order that was sent, until the registry shows it.
	struct Sent
	{
		LayerSpan layers;
		Time at;
	};

	/// What is about to be ordered.
	struct Plan
	{
		std::vector<RunnerRecord> targets;
		std::vector<LayoutOrder> orders;
	};

	void tick();
	void join();
	void look();
	Plan plan();
	void record(const Plan& _plan);
	void order(const Plan& _plan, Offset _fence);
	void onOrder(const std::string& _target, LayoutOrderState::Enum _state);
	LayerSpan effectiveLayers(const RunnerRecord& _target) const;

	boost::asio::steady_timer timer_;
	KeyedLogI& log_;
	RunnerOrdersI& orders_;
	const ClockI& clock_;
	const FleetController& fleet_;
	std::string node_;
	uint64_t generation_ = 0;
	Offset end_; //!< Where this node believes the layout topic ends.
	std::map<std::string, Sent> sent_;
	Time joinedAt_;
	Time lostAt_; //!< When a hole was first seen; 0: there is none.
	bool keeps_ = false;
	bool busy_ = false; //!< A record is being appended.
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_LAYOUTKEEPER_P_H_HEADER_GUARD
