// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_DELIVERYWATCH_P_H_HEADER_GUARD
#define SEDGECART_AIO_DELIVERYWATCH_P_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// How far written bytes are on their way to the peer.
struct Delivery
{
	enum Enum
	{
		Done,    //!< The peer has acknowledged all.
		Moving,  //!< It acknowledges more now and then.
		Stalled, //!< It has acknowledged nothing for too long.

		Count
	};
};

/// Bytes of one connection, since it began.
struct SentBytes
{
	uint64_t written = 0;
	uint64_t unacknowledged = 0; //!< Of those, what the peer has not acknowledged yet.
};

/// Tells a peer that receives slowly from one that receives nothing any more. The peer's system acknowledges in steps
/// that grow with its receive buffer, and the buffer grows with what it has received: a peer that has received much may
/// pause for longer. Pauses between looks are counted, not the time that passed, since a process that was suspended
/// must not take its own pause for one of its peer. Pure.
class DeliveryWatch
{
public:
	/// More is about to be written. What was received before all was acknowledged counts no more: a peer that has
	/// vanished behind many small messages is to be noticed soon.
	void begin(const SentBytes& _sent);

	/// @param _pause that was asked for before this look.
	Delivery::Enum look(const SentBytes& _sent, Duration _pause);

private:
	uint64_t begunAt_ = 0; //!< Bytes that were written when all of them had been acknowledged.
	uint64_t acknowledged_ = 0;
	Duration stalled_; //!< Without progress.
};

} // namespace sedgecart

#endif // SEDGECART_AIO_DELIVERYWATCH_P_H_HEADER_GUARD
