// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_MEMBERCONTROLLER_H_HEADER_GUARD
#define SEDGECART_CORE_MEMBERCONTROLLER_H_HEADER_GUARD

#include <core/controller.h>

namespace sedgecart
{

/// Detects dead nodes by the age of their last heartbeat. Reads and writes `members`.
/// @remarks No guarantee depends on it: a live node taken for dead only changes the shares of limits.
class MemberController : public ControllerI
{
public:
	const char* name() const override;
	bool tick(Blackboard& _board, Time _now) override;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_MEMBERCONTROLLER_H_HEADER_GUARD
