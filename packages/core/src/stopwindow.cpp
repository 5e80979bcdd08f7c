// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/stopwindow.h>

namespace sedgecart
{

namespace
{

/// The balancer asks every second and takes a node out after two answers without a yes.
constexpr Duration kStillComing = Duration::fromMillis(2800);

/// Left between the end of the last answer and the kill: a process needs some tens of milliseconds to end.
constexpr Duration kEndMargin = Duration::fromMillis(350);

/// A plain call's time that nearly none exceeds (mean 60 ms, the largest 450 ms at a slowed target).
constexpr Duration kPlainCall = Duration::fromMillis(1500);

/// A stream's time to its first token under load, and for each token after it: measured 48 to 140 ms and 10 to 12 ms.
constexpr Duration kFirstToken = Duration::fromMillis(600);
constexpr Duration kToken = Duration::fromMillis(14);

/// Tokens of a stream that names no bound.
constexpr uint32_t kUnknownTokens = 1000;

} // namespace

StopWindow::StopWindow(Time _began, Duration _bound) : began_(_began), bound_(_bound)
{
}

bool StopWindow::admits(RequestKind::Enum _kind, uint32_t _mostTokens, Time _now) const
{
	Duration needed = kPlainCall;
	if (RequestKind::Stream == _kind)
	{
		const int64_t tokens = 0 == _mostTokens ? kUnknownTokens : _mostTokens;
		needed = kFirstToken + Duration{tokens * kToken.micros};
	}
	return _now + needed < end();
}

bool StopWindow::callersStillCome(Time _now) const
{
	return _now < began_ + kStillComing;
}

Time StopWindow::end() const
{
	return Time{(began_ + bound_).micros - kEndMargin.micros};
}

} // namespace sedgecart
