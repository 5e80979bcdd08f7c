// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_PACEPOLL_H_HEADER_GUARD
#define SEDGECART_LOADS_PACEPOLL_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <core/pollplan.h>
#include <fleet/fleetcontroller.h>
#include <ports/runnerorders.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace sedgecart
{

/// Asks the targets of this hall how fast they are, while this node is the hall's hub; the other nodes hear of it with
/// the loads. Targets that turn slow are priced by it long before requests on them show it. Control thread only.
class PacePoll
{
public:
	/// @param _isHub asked at each step.
	PacePoll(boost::asio::io_context& _loop, RunnerOrdersI& _orders, const FleetController& _fleet,
	         const std::string& _hall, const ClockI& _clock, std::function<bool()> _isHub);

	/// Whether targets without work are asked seldom. They are, unless this switches it off.
	void askIdleSeldom(bool _seldom)
	{
		plan_.askIdleSeldom(_seldom);
	}

	void start();

private:
	void tick();
	void step();
	bool matters(const std::string& _instance) const;
	void ask(const RunnerRecord& _target);

	Timer timer_;
	RunnerOrdersI& orders_;
	const FleetController& fleet_;
	std::string hall_;
	const ClockI& clock_;
	PollPlan plan_;
	std::function<bool()> isHub_;
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_PACEPOLL_H_HEADER_GUARD
