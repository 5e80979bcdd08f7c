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
constexpr Duration kDeliveryTime = Duration::fromMillis(500);

constexpr const char* kAdmissionNames[StopAdmission::Count] = {"time_limit", "estimate", "too_long", "unbounded"};

} // namespace

const char* nameOf(StopAdmission::Enum _admission)
{
	return kAdmissionNames[_admission];
}

bool isAdmitted(StopAdmission::Enum _admission)
{
	return StopAdmission::ByTimeLimit == _admission || StopAdmission::ByEstimate == _admission;
}

StopWindow::StopWindow(Time _signalAt, Duration _bound) : signalAt_(_signalAt), bound_(_bound)
{
}

StopAdmission::Enum StopWindow::decide(std::optional<Duration> _timeLimit, Duration _estimate, Time _now) const
{
	if (_timeLimit && _now + *_timeLimit < finalAnswersAt())
	{
		return StopAdmission::ByTimeLimit;
	}
	if (!callersMayArrive(_now))
	{
		return StopAdmission::Unbounded;
	}
	return _now + _estimate < deadline() ? StopAdmission::ByEstimate : StopAdmission::TooLong;
}

bool StopWindow::callersMayArrive(Time _now) const
{
	return _now < signalAt_ + kBalancerDelay && _now < finalAnswersAt();
}

Time StopWindow::finalAnswersAt() const
{
	return Time{deadline().micros - kDeliveryTime.micros};
}

Time StopWindow::deadline() const
{
	return Time{(signalAt_ + bound_).micros - kExitMargin.micros};
}

} // namespace sedgecart
