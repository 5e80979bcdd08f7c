// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/json.h>

#include <google/protobuf/util/json_util.h>

namespace sedgecart
{

std::string toJson(const google::protobuf::Message& _message, bool _defaults)
{
	google::protobuf::util::JsonPrintOptions options;
	options.preserve_proto_field_names = true;
	options.always_print_primitive_fields = _defaults;
	std::string text;
	const auto status = google::protobuf::util::MessageToJsonString(_message, &text, options);
	return status.ok() ? text : std::string("{}");
}

std::string toWireJson(const google::protobuf::Message& _message)
{
	google::protobuf::util::JsonPrintOptions options;
	options.always_print_primitive_fields = true;
	std::string text;
	const auto status = google::protobuf::util::MessageToJsonString(_message, &text, options);
	return status.ok() ? text : std::string("{}");
}

bool fromJson(const std::string& _text, google::protobuf::Message& _message)
{
	google::protobuf::util::JsonParseOptions options;
	options.ignore_unknown_fields = true;
	return google::protobuf::util::JsonStringToMessage(_text, &_message, options).ok();
}

} // namespace sedgecart
