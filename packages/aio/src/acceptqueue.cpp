// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "acceptqueue_p.h"

namespace sedgecart
{

namespace
{

/// Longest time for which connections may wait without a break: callers give up after a second, and need the rest of it
/// to try another server.
constexpr Duration kMaxFilled = Duration::fromMillis(250);

/// A server that was suspended finds a filled queue too, but empties it within some turns.
constexpr uint32_t kMinFilledTurns = 8;

} // namespace

void AcceptQueue::onAccepted(bool _hasMore, Time _now)
{
	if (!_hasMore)
	{
		filledTurns_ = 0;
		isOverloaded_ = false;
		return;
	}
	filledSince_ = 0 == filledTurns_ ? _now : filledSince_;
	++filledTurns_;
	isOverloaded_ = kMinFilledTurns <= filledTurns_ && !(_now < filledSince_ + kMaxFilled);
}

} // namespace sedgecart
