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

} // namespace

StopWindow::StopWindow(Time _began, Duration _bound) : began_(_began), bound_(_bound)
{
}

bool StopWindow::admits(Duration _needed, Time _now) const
{
	return _now + _needed < end();
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
