// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LEAVINGCONTROLLER_H_HEADER_GUARD
#define SEDGECART_CORE_LEAVINGCONTROLLER_H_HEADER_GUARD

#include <core/controller.h>

namespace sedgecart
{

/// Merges all reports that a target is leaving. Reads `members` and `config`, writes `leaving`.
class LeavingController : public ControllerI
{
public:
	const char* name() const override;
	bool tick(Blackboard& _board, Time _now) override;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LEAVINGCONTROLLER_H_HEADER_GUARD
