// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_LOADRESERVATION_P_H_HEADER_GUARD
#define SEDGECART_RELAY_LOADRESERVATION_P_H_HEADER_GUARD

#include "targetchooser_p.h"

#include <fleet/fleetview.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace sedgecart
{

/// Adds a request to the load counters of its path's targets, and removes it on release or destruction. Loop thread
/// only.
class LoadReservation
{
public:
	LoadReservation() = default;
	~LoadReservation();

	LoadReservation(const LoadReservation&) = delete;
	LoadReservation& operator=(const LoadReservation&) = delete;

	/// Adds a request to the load of a choice's targets, and removes it from that of the previous choice.
	/// @param _tokens estimated tokens of its prompt and answer.
	void reserve(const FleetService& _service, const Choice& _choice, uint64_t _tokens);

	/// Removes the request from the load of all targets.
	void release();

private:
	/// Load added to one target.
	struct Row
	{
		std::shared_ptr<TargetLoad> load;
		uint64_t tokenLayers = 0;
	};

	std::vector<Row> rows_; //!< In the order of the path, head first.
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_LOADRESERVATION_P_H_HEADER_GUARD
