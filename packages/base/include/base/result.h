// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_RESULT_H_HEADER_GUARD
#define SEDGECART_BASE_RESULT_H_HEADER_GUARD

#include <base/error.h>

#include <boost/outcome/result.hpp>

namespace sedgecart
{

/// A value or an Error. Check `has_value()` before calling `value()`.
template <typename T> using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace sedgecart

#endif // SEDGECART_BASE_RESULT_H_HEADER_GUARD
