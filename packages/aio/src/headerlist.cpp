// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/headerlist.h>

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Hop-by-hop fields by RFC 9110, section 7.6.1, and older ones that are still in use.
constexpr std::string_view kHopByHop[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

char toLower(char _letter)
{
	return 'A' <= _letter && _letter <= 'Z' ? static_cast<char>(_letter - 'A' + 'a') : _letter;
}

} // namespace

bool sameName(std::string_view _a, std::string_view _b)
{
	if (_a.size() != _b.size())
	{
		return false;
	}
	return std::equal(_a.begin(), _a.end(), _b.begin(),
	                  [](char _x, char _y)
	                  {
		                  return toLower(_x) == toLower(_y);
	                  });
}

void HeaderList::add(std::string_view _name, std::string_view _value)
{
	fields_.push_back(HeaderField{std::string(_name), std::string(_value)});
}

void HeaderList::remove(std::string_view _name)
{
	const auto hasName = [_name](const HeaderField& _field)
	{
		return sameName(_field.name, _name);
	};
	fields_.erase(std::remove_if(fields_.begin(), fields_.end(), hasName), fields_.end());
}

const std::string* HeaderList::find(std::string_view _name) const
{
	for (const HeaderField& field : fields_)
	{
		if (sameName(field.name, _name))
		{
			return &field.value;
		}
	}
	return nullptr;
}

std::size_t HeaderList::count(std::string_view _name) const
{
	const auto hasName = [_name](const HeaderField& _field)
	{
		return sameName(_field.name, _name);
	};
	return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(), hasName));
}

void removeHopByHop(HeaderList& _headers)
{
	std::vector<std::string> connectionFields;
	for (const HeaderField& field : _headers.fields())
	{
		if (!sameName(field.name, "Connection"))
		{
			continue;
		}
		for (const auto token : boost::beast::http::token_list(field.value))
		{
			connectionFields.emplace_back(token.data(), token.size());
		}
	}
	for (const std::string& name : connectionFields)
	{
		_headers.remove(name);
	}
	for (const std::string_view name : kHopByHop)
	{
		_headers.remove(name);
	}
}

} // namespace sedgecart
