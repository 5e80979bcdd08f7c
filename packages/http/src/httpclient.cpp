// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/bootclock.h>
#include <base/httpstatus.h>
#include <http/httpclient.h>

#include "boundedstream_p.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <optional>

namespace sedgecart
{

namespace beast = boost::beast;
using ErrorCode = beast::error_code;

namespace
{

using Parser = beast::http::response_parser<beast::http::buffer_body>;
constexpr std::size_t kMaxReplyBytes = 8 * 1024 * 1024;
constexpr std::size_t kReadBytes = 8192;

/// Most that is read ahead of the parser. Beast bounds heads and bodies, but no line between two chunks.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

const char kDataPrefix[] = "data: ";
const char kEventEnd[] = "\n\n";

std::chrono::microseconds toChrono(Duration _duration)
{
	return std::chrono::microseconds(_duration.micros);
}

} // namespace

class HttpClient::Impl
{
public:
	Impl(const Endpoint& _endpoint, const Cancellation* _cancellation) : endpoint_(_endpoint), stream_(_cancellation)
	{
	}

	HttpOutcome begin(const HttpCall& _call, Duration _timeout)
	{
		HttpOutcome outcome;
		ErrorCode error;
		setBound(_timeout);
		if (!connected_ && !connect(error))
		{
			outcome.detail = error.message();
			return outcome;
		}
		outcome.state = CallState::Sent;
		parser_.emplace();
		parser_->body_limit(kMaxReplyBytes);
		pending_.clear();
		if (!send(_call, error) || !readHeader(error))
		{
			outcome.detail = error.message();
			close();
			return outcome;
		}
		fillHeader(outcome.reply);
		outcome.state = CallState::Replied;
		return outcome;
	}

	void finishBody(HttpOutcome& _outcome)
	{
		ErrorCode error;
		std::string piece;
		while (!parser_->is_done())
		{
			if (!readPiece(piece, error))
			{
				_outcome.state = CallState::Sent;
				_outcome.detail = error.message();
				close();
				return;
			}
			_outcome.reply.body += piece;
		}
		if (!parser_->get().keep_alive())
		{
			close();
		}
	}

	StreamRead::Enum next(Duration _timeout, std::string& _data)
	{
		setBound(_timeout);
		ErrorCode error;
		std::string piece;
		while (!takeEvent(_data))
		{
			if (!connected_)
			{
				return StreamRead::Broken;
			}
			if (parser_->is_done())
			{
				return StreamRead::End;
			}
			if (!readPiece(piece, error))
			{
				close();
				return boost::asio::error::timed_out == error ? StreamRead::Timeout : StreamRead::Broken;
			}
			pending_ += piece;
		}
		return StreamRead::Data;
	}

	bool streaming() const
	{
		if (!parser_)
		{
			return false;
		}
		const auto type = parser_->get()[beast::http::field::content_type];
		return type.starts_with("text/event-stream");
	}

	bool connected() const
	{
		return connected_;
	}

	void close()
	{
		stream_.close();
		connected_ = false;
		buffer_.clear();
	}

private:
	void setBound(Duration _timeout)
	{
		stream_.setBound(BootClock::now() + toChrono(_timeout));
	}

	bool connect(ErrorCode& _error)
	{
		stream_.connect(endpoint_, _error);
		if (_error)
		{
			close();
		}
		connected_ = !_error;
		return connected_;
	}

	bool send(const HttpCall& _call, ErrorCode& _error)
	{
		const auto verb = beast::http::string_to_verb(_call.method);
		beast::http::request<beast::http::string_body> request(verb, _call.target, 11);
		request.set(beast::http::field::host, endpoint_.ip);
		if (!_call.body.empty())
		{
			request.set(beast::http::field::content_type, _call.contentType);
		}
		for (const HttpHeader& header : _call.headers)
		{
			request.set(header.name, header.value);
		}
		request.body() = _call.body;
		request.prepare_payload();
		beast::http::write(stream_, request, _error);
		return !_error;
	}

	bool readHeader(ErrorCode& _error)
	{
		beast::http::read_header(stream_, buffer_, *parser_, _error);
		if (!_error && !isHttpStatus(parser_->get().result_int()))
		{
			_error = beast::http::error::bad_status;
		}
		return !_error;
	}

	bool readPiece(std::string& _piece, ErrorCode& _error)
	{
		char raw[kReadBytes];
		parser_->get().body().data = raw;
		parser_->get().body().size = sizeof(raw);
		beast::http::read_some(stream_, buffer_, *parser_, _error);
		if (beast::http::error::need_buffer == _error)
		{
			_error = {};
		}
		_piece.assign(raw, sizeof(raw) - parser_->get().body().size);
		parser_->get().body().data = nullptr;
		parser_->get().body().size = 0;
		return !_error;
	}

	void fillHeader(HttpReply& _reply) const
	{
		const auto& message = parser_->get();
		_reply.status = static_cast<uint16_t>(message.result_int());
		_reply.contentType = std::string(message[beast::http::field::content_type]);
		for (const auto& field : message)
		{
			_reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
		}
	}

	/// Takes the first whole event out of the bytes that came.
	bool takeEvent(std::string& _data)
	{
		const std::size_t end = pending_.find(kEventEnd);
		if (std::string::npos == end)
		{
			return false;
		}
		const std::size_t prefix = sizeof(kDataPrefix) - 1;
		const bool hasData = 0 == pending_.compare(0, prefix, kDataPrefix);
		_data = hasData ? pending_.substr(prefix, end - prefix) : std::string();
		pending_.erase(0, end + sizeof(kEventEnd) - 1);
		return true;
	}

	Endpoint endpoint_;
	BoundedStream stream_;
	beast::flat_buffer buffer_{kMaxUnparsedBytes};
	std::optional<Parser> parser_;
	std::string pending_;
	bool connected_ = false;
};

HttpClient::HttpClient(const Endpoint& _endpoint, const Cancellation* _cancellation)
    : impl_(std::make_unique<Impl>(_endpoint, _cancellation))
{
}

HttpClient::~HttpClient() = default;

HttpOutcome HttpClient::call(const HttpCall& _call, Duration _timeout)
{
	HttpOutcome outcome = impl_->begin(_call, _timeout);
	if (CallState::Replied == outcome.state)
	{
		impl_->finishBody(outcome);
	}
	return outcome;
}

HttpOutcome HttpClient::openStream(const HttpCall& _call, Duration _timeout)
{
	HttpOutcome outcome = impl_->begin(_call, _timeout);
	if (CallState::Replied == outcome.state && !impl_->streaming())
	{
		impl_->finishBody(outcome);
	}
	return outcome;
}

StreamRead::Enum HttpClient::next(Duration _timeout, std::string& _data)
{
	return impl_->next(_timeout, _data);
}

bool HttpClient::streaming() const
{
	return impl_->streaming();
}

bool HttpClient::reusable() const
{
	return impl_->connected();
}

void HttpClient::close()
{
	impl_->close();
}

} // namespace sedgecart
