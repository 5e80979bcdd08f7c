// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_SLOWDOWNPOLL_H_HEADER_GUARD
#define SEDGECART_LOADS_SLOWDOWNPOLL_H_HEADER_GUARD

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

/// Polls the slowdown of this hall's targets while this node is the hall's hub; the other nodes receive it with the
/// loads. The cost of a target that becomes slow rises by it long before requests on the target show the slowdown.
/// Control thread only.
class SlowdownPoll
{
public:
	/// @param _isHub called at each step; returns whether this node is the hub.
	SlowdownPoll(boost::asio::io_context& _loop, RunnerOrdersI& _orders, const FleetController& _fleet,
	             const std::string& _hall, const ClockI& _clock, std::function<bool()> _isHub);

	/// Enables or disables polling targets without work less often. Enabled by default.
	void setPollIdleRarely(bool _enabled)
	{
		plan_.pollIdleRarely(_enabled);
	}

	void start();

private:
	void tick();
	void pollDueTargets();
	void clearPolled();
	bool isRelevant(const std::string& _instance) const;
	void pollTarget(const RunnerRecord& _target);

	Timer timer_;
	RunnerOrdersI& orders_;
	const FleetController& fleet_;
	std::string hall_;
	const ClockI& clock_;
	PollPlan plan_;
	std::function<bool()> isHub_;
	bool polls_ = false; //!< This node was the hub at the last step.
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_SLOWDOWNPOLL_H_HEADER_GUARD
