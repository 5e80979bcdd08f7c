// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CONFIGIMAGE_H_HEADER_GUARD
#define SEDGECART_CORE_CONFIGIMAGE_H_HEADER_GUARD

#include <base/configchange.h>
#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// An object in its current state: the change that would create it, with its author, and its revision.
struct KeptObject
{
	ConfigChange change;
	uint64_t revision = 0;
};

/// Result of an earlier change, so that its repetition is still detected.
struct KeptReport
{
	std::string id;
	uint32_t outcome = 0; //!< ChangeOutcome.
	std::string winner;
	uint64_t offset = 0;
};

/// The whole configuration at an offset: the same on every node that has applied the same records. It replaces records
/// that the log no longer retains.
struct ConfigImage
{
	Offset next; //!< First offset that is not included.
	std::vector<KeptObject> objects;
	std::vector<KeptReport> reports; //!< Oldest first.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CONFIGIMAGE_H_HEADER_GUARD
