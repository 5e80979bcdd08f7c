// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_WIRE_BOUNDEDPARSE_H_HEADER_GUARD
#define SEDGECART_WIRE_BOUNDEDPARSE_H_HEADER_GUARD

#include <cstddef>
#include <string_view>

/// @file
/// Reading of protobuf messages that anybody may have written. A field takes two bytes at least and up to some hundred
/// in memory, so that a bound on bytes alone does not bound what a message takes.

namespace google
{
namespace protobuf
{
class Message;
} // namespace protobuf
} // namespace google

namespace sedgecart
{

/// What a message may take.
struct ParseBound
{
	std::size_t bytes;
	std::size_t fields; //!< Those of the messages within it counted too.
};

/// Reads a message.
/// @param _message holds nothing if it fails.
/// @returns false if the bytes are no such message, or one beyond the bound.
bool parseBounded(std::string_view _bytes, const ParseBound& _bound, google::protobuf::Message& _message);

} // namespace sedgecart

#endif // SEDGECART_WIRE_BOUNDEDPARSE_H_HEADER_GUARD
