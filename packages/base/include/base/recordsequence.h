// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_RECORDSEQUENCE_H_HEADER_GUARD
#define SEDGECART_BASE_RECORDSEQUENCE_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Position of a record among those that one start of a target wrote to the registry. The target counts, so the order
/// does not depend on when the store took each record.
struct RecordSequence
{
	uint64_t value = 0; //!< Rises with each record; 0: not reported.

	constexpr bool isKnown() const
	{
		return 0 != value;
	}
};

constexpr bool operator<(RecordSequence _a, RecordSequence _b)
{
	return _a.value < _b.value;
}

} // namespace sedgecart

#endif // SEDGECART_BASE_RECORDSEQUENCE_H_HEADER_GUARD
