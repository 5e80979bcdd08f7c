// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_TARGETSPEC_H_HEADER_GUARD
#define SEDGECART_BASE_TARGETSPEC_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

/// A model runner or application runner as configured.
struct TargetSpec
{
	std::string name;
	std::string hall;
	std::string address; //!< "ip:port".
	std::string model;   //!< Model or service it serves.
	LayerRange layers;   //!< Layers of the model; not used by a service.
	std::string accelerator;
	uint32_t tokensPerSecond = 0; //!< Rated throughput with all slots busy.
	uint32_t slots = 1;           //!< Streams or calls at once.
	bool checksFences = false;
	bool draining = false;
	bool spare = false; //!< Holds no layers; it may be assigned a range that has lost its last copy.
	uint64_t fence = 0; //!< 1 + offset of the record that last assigned its layers; 0: none did.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_TARGETSPEC_H_HEADER_GUARD
