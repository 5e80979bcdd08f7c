// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/stopwindow.h>

namespace sedgecart
{

namespace
{

/// The load balancer probes every second and removes a node after two negative answers.
constexpr Duration kBalancerDelay = Duration::fromMillis(2800);

/// Time between the end of the last answer and the kill: a process needs some tens of milliseconds to exit.
constexpr Duration kExitMargin = Duration::fromMillis(350);

/// Time for the last answers to reach their callers: a round trip, and a retransmission or two of a lost segment.
constexpr Duration kDrainTime = Duration::fromMillis(500);

} // namespace

StopWindow::StopWindow(Time _signalAt, Duration _bound) : signalAt_(_signalAt), bound_(_bound)
{
}

bool StopWindow::admits(Duration _needed, Time _now) const
{
	return _now + _needed < deadline();
}

bool StopWindow::callersMayArrive(Time _now) const
{
	return _now < signalAt_ + kBalancerDelay;
}

Time StopWindow::drainAt() const
{
	return Time{deadline().micros - kDrainTime.micros};
}

Time StopWindow::deadline() const
{
	return Time{(signalAt_ + bound_).micros - kExitMargin.micros};
}

} // namespace sedgecart
