// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/json.h>

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <string_view>

namespace sedgecart
{

namespace
{

/// Measures how deeply arrays and objects are nested, in time linear in the size of the text.
/// @returns the depth up to the first character that is not JSON, or more.
std::size_t jsonDepth(std::string_view _text)
{
	std::size_t depth = 0;
	std::size_t deepest = 0;
	char quote = '\0'; // of the string that is open
	for (std::size_t at = 0; at < _text.size(); ++at)
	{
		const char letter = _text[at];
		if ('\0' != quote)
		{
			at += '\\' == letter ? 1 : 0;
			quote = letter == quote ? '\0' : quote;
		}
		else if ('"' == letter || '\'' == letter) // protobuf's parser takes strings in single quotes as well
		{
			quote = letter;
		}
		else if ('[' == letter || '{' == letter)
		{
			deepest = std::max(deepest, ++depth);
		}
		else if ((']' == letter || '}' == letter) && 0 < depth)
		{
			--depth;
		}
	}
	return deepest;
}

} // namespace

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
	if (kMaxJsonDepth < jsonDepth(_text))
	{
		return false;
	}
	google::protobuf::util::JsonParseOptions options;
	options.ignore_unknown_fields = true;
	return google::protobuf::util::JsonStringToMessage(_text, &_message, options).ok();
}

} // namespace sedgecart
