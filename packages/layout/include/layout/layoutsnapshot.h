// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_LAYOUTSNAPSHOT_H_HEADER_GUARD
#define SEDGECART_LAYOUT_LAYOUTSNAPSHOT_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/runner.h>
#include <core/layoutplan.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// The targets of one service that run the layers of its model, as input for its layout plan.
struct LayoutSnapshot
{
	const EngineSpec* engine = nullptr; //!< Null if there are no targets.
	std::vector<RunnerRecord> records;
	std::vector<LayoutTarget> targets;     //!< One for each record.
	std::map<std::string, uint32_t> halls; //!< Index of each hall in the plan.
	bool anyHeld = false;                  //!< True if any target holds layers.
};

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_LAYOUTSNAPSHOT_H_HEADER_GUARD
