// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_FASTERCHAINFINDER_P_H_HEADER_GUARD
#define SEDGECART_NODE_FASTERCHAINFINDER_P_H_HEADER_GUARD

#include <base/chain.h>

#include <optional>

namespace sedgecart
{

class TokenRateMonitor;
struct RemainingStream;

/// Finds a faster chain for a stream that runs too slowly. Not thread-safe.
class FasterChainFinderI
{
public:
	virtual ~FasterChainFinderI() = default;

	/// @param _slow chain on which the stream runs.
	/// @param _monitor token rate of the running attempt.
	/// @param _remaining remaining work of the stream.
	/// @returns a chain with its slots reserved, nothing if moving to none of them pays off.
	virtual std::optional<Chain> findFasterThan(const Chain& _slow, const TokenRateMonitor& _monitor,
	                                            const RemainingStream& _remaining) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_FASTERCHAINFINDER_P_H_HEADER_GUARD
