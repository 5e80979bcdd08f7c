// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LIMITCONTROLLER_H_HEADER_GUARD
#define SEDGECART_CORE_LIMITCONTROLLER_H_HEADER_GUARD

#include <core/controller.h>

#include <cstdint>

namespace sedgecart
{

/// Adapts the concurrency limits to the configured slots and the number of live nodes. Reads `config` and `members`,
/// writes the limits in `targets`.
class LimitController : public ControllerI
{
public:
	const char* name() const override;
	bool tick(Blackboard& _board, Time _now) override;

private:
	uint64_t configSeen_ = UINT64_MAX;
	uint32_t nodesSeen_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LIMITCONTROLLER_H_HEADER_GUARD
