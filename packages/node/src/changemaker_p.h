// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CHANGEMAKER_P_H_HEADER_GUARD
#define SEDGECART_NODE_CHANGEMAKER_P_H_HEADER_GUARD

#include <base/configchange.h>
#include <base/result.h>
#include <query/command.h>

namespace sedgecart
{

/// Converts a command into a configuration change and validates every field. Leaves the id, author and precondition
/// unset.
/// @returns the change, or CommandInvalid with a message that names the first invalid field.
Result<ConfigChange> makeChange(const Command& _command);

} // namespace sedgecart

#endif // SEDGECART_NODE_CHANGEMAKER_P_H_HEADER_GUARD
