// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LIMITER_H_HEADER_GUARD
#define SEDGECART_CORE_LIMITER_H_HEADER_GUARD

#include <base/handle.h>
#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

class TargetBoard;

/// This node's concurrency limit for each target, determined without shared state: it starts at the node's share of the
/// slots, grows while the target accepts all requests and is reduced when the target refuses one (additive increase,
/// multiplicative decrease). Thread-safe.
class Limiter
{
public:
	explicit Limiter(TargetBoard& _board) : board_(_board)
	{
	}

	/// Sets the initial limit of a target if it has none.
	void start(TargetHandle _target, uint32_t _slots, uint32_t _liveNodes);

	/// Scales the limit of a target when the number of live nodes changes.
	void rescale(TargetHandle _target, uint32_t _slots, uint32_t _nodesBefore, uint32_t _nodesNow);

	/// Reports that the target completed a request; raises its limit if it was nearly reached.
	void onSuccess(TargetHandle _target, uint32_t _slots);

	/// Reports that the target refused a request because it has no free slot; reduces its limit.
	void onRefusal(TargetHandle _target, Time _now);

private:
	TargetBoard& board_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LIMITER_H_HEADER_GUARD
