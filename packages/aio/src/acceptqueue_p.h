// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_ACCEPTQUEUE_P_H_HEADER_GUARD
#define SEDGECART_AIO_ACCEPTQUEUE_P_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// Decides whether a server gets more connections than it can read. It accepts one connection per turn of its loop, so
/// that a loop that is busy accepts fewer; the others wait in the accept queue. A burst empties the queue within a few
/// turns. A queue that stays filled only makes its callers late: they should try another server at once. Does no I/O
/// and reads no clock.
class AcceptQueue
{
public:
	/// A connection was accepted.
	/// @param _hasMore another one waits.
	void onAccepted(bool _hasMore, Time _now);

	/// @returns true while connections that wait are to be closed unread.
	bool isOverloaded() const
	{
		return isOverloaded_;
	}

private:
	uint32_t filledTurns_ = 0; //!< Number of turns in a row after which a connection waited.
	Time filledSince_;
	bool isOverloaded_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_ACCEPTQUEUE_P_H_HEADER_GUARD
