// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_LOADHOLD_P_H_HEADER_GUARD
#define SEDGECART_RELAY_LOADHOLD_P_H_HEADER_GUARD

#include "targetchooser_p.h"

#include <fleet/fleetview.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace sedgecart
{

/// Counts a request at the targets of its path for as long as it is held there. Loop thread only.
class LoadHold
{
public:
	LoadHold() = default;
	~LoadHold();

	LoadHold(const LoadHold&) = delete;
	LoadHold& operator=(const LoadHold&) = delete;

	/// Counts a request at the targets of a choice, and no more at those of the last one.
	/// @param _tokens of its prompt and answer, as estimated.
	void take(const FleetService& _service, const Choice& _choice, uint64_t _tokens);

	void release();

private:
	/// What was added at one target.
	struct Row
	{
		std::shared_ptr<TargetLoad> load;
		uint64_t tokenLayers = 0;
	};

	std::vector<Row> rows_; //!< The first is the path's first target.
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_LOADHOLD_P_H_HEADER_GUARD
