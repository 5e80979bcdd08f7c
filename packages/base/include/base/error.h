// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_ERROR_H_HEADER_GUARD
#define SEDGECART_BASE_ERROR_H_HEADER_GUARD

#include <base/errorkind.h>
#include <base/units.h>

#include <string>

namespace sedgecart
{

/// A failure with details beyond its kind.
struct Error
{
	ErrorKind::Enum kind = ErrorKind::Internal;
	std::string detail;    //!< Short sentence, may be empty. Never holds a key.
	Duration retryAfter{}; //!< Time after which a retry may succeed; 0 if the kind is not retryable.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_ERROR_H_HEADER_GUARD
