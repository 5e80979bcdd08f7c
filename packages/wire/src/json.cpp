// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/json.h>

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstring>

namespace sedgecart
{

namespace
{

/// Follows the nesting of arrays and objects through a text, one character after the other.
class JsonNesting
{
public:
	void take(char _letter)
	{
		if (isEscaped_)
		{
			isEscaped_ = false;
		}
		else if ('\0' != quote_)
		{
			isEscaped_ = '\\' == _letter;
			quote_ = _letter == quote_ ? '\0' : quote_;
		}
		else if ('"' == _letter || '\'' == _letter) // protobuf's parser takes strings in single quotes as well
		{
			quote_ = _letter;
		}
		else if ('[' == _letter || '{' == _letter)
		{
			++depth_;
		}
		else if ((']' == _letter || '}' == _letter) && 0 < depth_)
		{
			--depth_;
		}
	}

	bool isInString() const
	{
		return '\0' != quote_;
	}

	/// @returns the number of arrays and objects that are open.
	std::size_t depth() const
	{
		return depth_;
	}

private:
	std::size_t depth_ = 0;
	char quote_ = '\0'; //!< Of the string that is open.
	bool isEscaped_ = false;
};

bool isTooDeep(std::string_view _text)
{
	JsonNesting nesting;
	return std::any_of(_text.begin(), _text.end(),
	                   [&nesting](char _letter)
	                   {
		                   nesting.take(_letter);
		                   return kMaxJsonDepth < nesting.depth();
	                   });
}

/// @returns the text with null for each array or object that is nested too deep.
std::string withoutDeepValues(std::string_view _text)
{
	std::string text;
	JsonNesting nesting;
	for (const char letter : _text)
	{
		const bool wasTooDeep = kMaxJsonDepth < nesting.depth();
		nesting.take(letter);
		const bool isDeep = kMaxJsonDepth < nesting.depth();
		if (isDeep && !wasTooDeep)
		{
			text += "null";
		}
		else if (!isDeep && !wasTooDeep)
		{
			text += letter;
		}
	}
	return text;
}

/// @returns true if a text ends with the name of a field and the colon behind it.
bool endsWithField(std::string_view _text, const std::string& _name)
{
	const std::string field = '"' + _name + "\":";
	std::string end;
	for (auto letter = _text.rbegin(); _text.rend() != letter && end.size() < field.size(); ++letter)
	{
		if (nullptr == std::strchr(" \t\r\n", *letter))
		{
			end.insert(end.begin(), *letter);
		}
	}
	return field == end;
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
	if (isTooDeep(_text))
	{
		return fromJson(withoutDeepValues(_text), _message);
	}
	google::protobuf::util::JsonParseOptions options;
	options.ignore_unknown_fields = true;
	return google::protobuf::util::JsonStringToMessage(_text, &_message, options).ok();
}

bool splitList(std::string_view _text, const std::string& _name, std::vector<std::string>& _items, std::string& _rest)
{
	constexpr std::size_t kInList = 2;
	JsonNesting nesting;
	std::size_t begin = 0; // of the item that is open; 0: the list has not been found yet
	for (std::size_t at = 0; at < _text.size(); ++at)
	{
		const std::size_t depth = nesting.depth();
		nesting.take(_text[at]);
		const bool isOpened = kInList == nesting.depth() && depth < kInList && '[' == _text[at];
		if (0 == begin && isOpened && endsWithField(_text.substr(0, at), _name))
		{
			_rest.assign(_text.substr(0, at + 1));
			begin = at + 1;
			continue;
		}
		const bool isClosed = 0 < begin && nesting.depth() < kInList;
		const bool isNext = kInList == nesting.depth() && kInList == depth && ',' == _text[at] && !nesting.isInString();
		if (isClosed || (0 < begin && isNext))
		{
			_items.emplace_back(_text.substr(begin, at - begin));
			begin = at + 1;
		}
		if (isClosed)
		{
			_rest.append(_text.substr(at));
			return true;
		}
	}
	return false;
}

} // namespace sedgecart
