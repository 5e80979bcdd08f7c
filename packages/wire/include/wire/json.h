// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_WIRE_JSON_H_HEADER_GUARD
#define SEDGECART_WIRE_JSON_H_HEADER_GUARD

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace google
{
namespace protobuf
{
class Message;
} // namespace protobuf
} // namespace google

namespace sedgecart
{

/// Maximum nesting of arrays and objects in a text that is read. Protobuf's parser does not limit the nesting of
/// arrays, and takes more than quadratic time to read deep ones into a Struct. Documents of the platform nest six deep.
constexpr std::size_t kMaxJsonDepth = 32;

/// @returns the message as one line of JSON, by protobuf's own mapping, with the field names of the .proto file.
/// @param _defaults also writes fields that hold their default.
std::string toJson(const google::protobuf::Message& _message, bool _defaults = false);

/// @returns the message as one line of JSON with the JSON names of its fields, those that hold their default too.
std::string toWireJson(const google::protobuf::Message& _message);

/// Reads a message from JSON. Fields that are not known are passed over. Arrays and objects nested more than
/// kMaxJsonDepth deep are read as null, so that a list holds whatever one of its items is.
/// @returns false if the text is no such message.
bool fromJson(const std::string& _text, google::protobuf::Message& _message);

/// Splits the text of a JSON object at the items of one of its lists, so that each can be read by itself.
/// @param _items texts of the items, as they are; one blank text for an empty list.
/// @param _rest the object with an empty list.
/// @returns false if the object has no list of that name, or its end is missing.
bool splitList(std::string_view _text, const std::string& _name, std::vector<std::string>& _items, std::string& _rest);

} // namespace sedgecart

#endif // SEDGECART_WIRE_JSON_H_HEADER_GUARD
