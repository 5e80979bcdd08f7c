// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_BYTEBUDGET_H_HEADER_GUARD
#define SEDGECART_CORE_BYTEBUDGET_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>

namespace sedgecart
{

/// A token bucket of bytes: so much a second, and what was not used for up to `kSaved`. Pure: the time is passed in.
class ByteBudget
{
public:
	/// @param _perSecond bytes a second.
	explicit ByteBudget(double _perSecond);

	/// Takes bytes if any are left. One message larger than what is left may go, and is paid back before the next.
	/// @returns false if nothing is left.
	bool take(std::size_t _bytes, Time _now);

	/// How long unused bytes are saved up.
	static constexpr Duration kSaved = Duration::fromMillis(100);

private:
	double perSecond_;
	double left_ = 0; //!< Below 0 while a large message is paid back.
	Time at_;         //!< When `left_` was true; 0: before the first take.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_BYTEBUDGET_H_HEADER_GUARD
