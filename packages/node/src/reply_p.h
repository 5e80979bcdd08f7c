// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_REPLY_P_H_HEADER_GUARD
#define SEDGECART_NODE_REPLY_P_H_HEADER_GUARD

#include <base/error.h>
#include <http/httpreply.h>

#include <string>

namespace sedgecart
{

/// @returns the HTTP reply to an error, with the status and message of its kind and a Retry-After header if the request
/// may be retried.
HttpReply errorReply(const Error& _error, const std::string& _requestId);

/// @returns only the JSON body of that reply, for an error within a stream.
std::string errorBody(const Error& _error, const std::string& _requestId);

/// @returns the bearer key in the value of an Authorization header, empty if there is none.
std::string bearerOf(const std::string& _authorization);

} // namespace sedgecart

#endif // SEDGECART_NODE_REPLY_P_H_HEADER_GUARD
