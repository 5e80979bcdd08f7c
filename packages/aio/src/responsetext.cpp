// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "responsetext_p.h"

#include <aio/serverconnection.h>

#include <ostream> // not included by Beast's status header

#include <boost/beast/http/status.hpp>

#include <charconv>

namespace sedgecart
{

namespace
{

void appendHex(std::string& _text, std::size_t _number)
{
	char digits[2 * sizeof(_number)];
	const auto end = std::to_chars(digits, digits + sizeof(digits), _number, 16);
	_text.append(digits, end.ptr);
}

} // namespace

std::string responseHeadText(const ResponseStart& _start, bool _closes)
{
	const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(_start.status));
	std::string text = "HTTP/1.1 " + std::to_string(_start.status) + ' ';
	text.append(reason.data(), reason.size());
	text += "\r\n";
	for (const HeaderField& field : _start.headers.fields())
	{
		text += field.name;
		text += ": ";
		text += field.value;
		text += "\r\n";
	}
	if (BodyFraming::Chunked == _start.framing)
	{
		text += "Transfer-Encoding: chunked\r\n";
	}
	else
	{
		text += "Content-Length: " + std::to_string(_start.length) + "\r\n";
	}
	if (_closes)
	{
		text += "Connection: close\r\n";
	}
	text += "\r\n";
	return text;
}

void appendBody(std::string& _text, std::string_view _body, bool _chunked)
{
	if (_body.empty())
	{
		return;
	}
	if (!_chunked)
	{
		_text.append(_body);
		return;
	}
	appendHex(_text, _body.size());
	_text += "\r\n";
	_text.append(_body);
	_text += "\r\n";
}

} // namespace sedgecart
