// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CONTROLLER_H_HEADER_GUARD
#define SEDGECART_CORE_CONTROLLER_H_HEADER_GUARD

#include <base/units.h>

namespace sedgecart
{

struct Blackboard;

/// A task of the control thread: reads sections of the blackboard and writes one.
class ControllerI
{
public:
	virtual ~ControllerI() = default;

	/// @returns the name for logs and the dump.
	virtual const char* name() const = 0;

	/// Evaluates the blackboard and writes its section.
	/// @returns true if its output requires a new snapshot.
	virtual bool tick(Blackboard& _board, Time _now) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CONTROLLER_H_HEADER_GUARD
