// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_WIRE_JSON_H_HEADER_GUARD
#define SEDGECART_WIRE_JSON_H_HEADER_GUARD

#include <string>

namespace google
{
namespace protobuf
{
class Message;
} // namespace protobuf
} // namespace google

namespace sedgecart
{

/// @returns the message as one line of JSON, by protobuf's own mapping, with the field names of the .proto file.
/// @param _defaults also writes fields that hold their default.
std::string toJson(const google::protobuf::Message& _message, bool _defaults = false);

/// @returns the message as one line of JSON with the JSON names of its fields, those that hold their default too.
std::string toWireJson(const google::protobuf::Message& _message);

/// Reads a message from JSON. Fields that are not known are passed over.
/// @returns false if the text is no such message.
bool fromJson(const std::string& _text, google::protobuf::Message& _message);

} // namespace sedgecart

#endif // SEDGECART_WIRE_JSON_H_HEADER_GUARD
