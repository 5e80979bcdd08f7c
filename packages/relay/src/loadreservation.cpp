// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "loadreservation_p.h"

namespace sedgecart
{

LoadReservation::~LoadReservation()
{
	release();
}

void LoadReservation::reserve(const FleetService& _service, const Choice& _choice, uint64_t _tokens)
{
	release();
	for (const PathStage& stage : _choice.stages)
	{
		rows_.push_back(Row{_service.targets[stage.candidate].load, _tokens * stage.layers.size()});
		rows_.back().load->tokenLayers.fetch_add(rows_.back().tokenLayers, std::memory_order_relaxed);
	}
	if (!rows_.empty())
	{
		rows_.front().load->requests.fetch_add(1, std::memory_order_relaxed);
	}
}

void LoadReservation::release()
{
	for (const Row& row : rows_)
	{
		row.load->tokenLayers.fetch_sub(row.tokenLayers, std::memory_order_relaxed);
	}
	if (!rows_.empty())
	{
		rows_.front().load->requests.fetch_sub(1, std::memory_order_relaxed);
	}
	rows_.clear();
}

} // namespace sedgecart
