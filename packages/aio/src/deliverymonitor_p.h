// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_DELIVERYMONITOR_P_H_HEADER_GUARD
#define SEDGECART_AIO_DELIVERYMONITOR_P_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// Delivery state of the bytes that were written to a peer.
struct DeliveryState
{
	enum Enum
	{
		Done,        //!< The peer has acknowledged all bytes.
		Progressing, //!< The peer has acknowledged bytes recently enough.
		Stalled,     //!< The peer has acknowledged nothing for too long.

		Count
	};
};

/// Byte counts of a connection since it was established.
struct SentBytes
{
	uint64_t written = 0;
	uint64_t unacknowledged = 0; //!< Of those, not acknowledged by the peer yet.
};

/// Distinguishes a peer that receives slowly from one that has stopped receiving. The peer's kernel acknowledges in
/// steps that grow with its receive buffer, and the buffer grows with the bytes received: the more a peer has received,
/// the longer it may acknowledge nothing. The requested intervals between updates are added up rather than elapsed
/// time, so that a process that was suspended does not attribute its own pause to the peer. Does no I/O and reads no
/// clock.
class DeliveryMonitor
{
public:
	/// Must be called before a message is written. Once all earlier bytes are acknowledged, they no longer extend the
	/// permitted stall: a peer that vanishes after many small messages must be detected quickly.
	void startMessage(const SentBytes& _sent);

	/// Evaluates the current counts.
	/// @param _interval requested interval since the previous update.
	DeliveryState::Enum update(const SentBytes& _sent, Duration _interval);

private:
	uint64_t baseline_ = 0; //!< Bytes written when the last message started with nothing unacknowledged.
	uint64_t acknowledged_ = 0;
	Duration stalledFor_; //!< Sum of intervals without progress.
};

} // namespace sedgecart

#endif // SEDGECART_AIO_DELIVERYMONITOR_P_H_HEADER_GUARD
