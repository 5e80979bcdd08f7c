// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_BYTEBUDGET_H_HEADER_GUARD
#define SEDGECART_CORE_BYTEBUDGET_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>

namespace sedgecart
{

/// A token bucket of bytes. Its capacity is the rate times `kBurst`. The time is passed in; the class reads no clock.
class ByteBudget
{
public:
	/// @param _perSecond rate in bytes per second.
	explicit ByteBudget(double _perSecond);

	/// Takes the bytes of one message if any are available. The message may be larger than what is available; the
	/// deficit is refilled before the next message.
	/// @returns false if none are available.
	bool tryTake(std::size_t _bytes, Time _now);

	/// How long unused bytes accumulate.
	static constexpr Duration kBurst = Duration::fromMillis(100);

private:
	double perSecond_;
	double available_ = 0; //!< Available bytes; negative after a large message.
	Time updatedAt_;       //!< When `available_` was last updated; 0: never.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_BYTEBUDGET_H_HEADER_GUARD
