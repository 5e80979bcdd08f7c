// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/messagereader.h>

#include <base/httpstatus.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Memory that is reserved for a body of a length that is only claimed yet, bytes at most.
constexpr uint64_t kMaxReserved = 16ULL * 1024 * 1024;

std::string_view toStringView(beast::string_view _text)
{
	return std::string_view(_text.data(), _text.size());
}

ReadState::Enum stateOf(const beast::error_code& _error)
{
	if (http::error::need_more == _error)
	{
		return ReadState::More;
	}
	if (http::error::header_limit == _error)
	{
		return ReadState::HeaderTooLarge;
	}
	if (http::error::body_limit == _error)
	{
		return ReadState::BodyTooLarge;
	}
	if (http::error::buffer_overflow == _error)
	{
		return ReadState::NoMemory;
	}
	return ReadState::Malformed;
}

/// @returns true if a header line is continued on the next one, which the parser would join to one value.
bool hasContinuedLine(std::string_view _head)
{
	return std::string_view::npos != _head.find("\r\n ") || std::string_view::npos != _head.find("\r\n\t");
}

/// @returns true if the transfer codings are "chunked" alone, the only ones that are decoded here.
bool isChunkedOnly(beast::string_view _codings)
{
	const http::token_list codings(_codings);
	const auto first = codings.begin();
	return codings.end() != first && beast::iequals(*first, "chunked") && codings.end() == std::next(first);
}

} // namespace

/// Common interface of the request and the response parser.
class MessageReader::Parser
{
public:
	virtual ~Parser() = default;
	virtual ReadState::Enum feed(std::string_view _bytes, std::size_t& _used) = 0;
	virtual ReadState::Enum feedEnd() = 0;
	virtual bool hasHead() const = 0;
	virtual std::optional<uint64_t> bodyLength() const = 0;

	MessageHead head_;
	std::string body_;
};

template <bool isRequest>
class MessageReader::BeastParser : public MessageReader::Parser, private http::basic_parser<isRequest>
{
public:
	BeastParser(const ReaderLimits& _limits, BodyGrantI* _grant)
	    : lineBytes_(_limits.headerBytes),
	      bodyBytes_(_limits.bodyBytes),
	      grant_(_grant)
	{
		this->eager(true);
		this->header_limit(_limits.headerBytes);
		this->body_limit(_limits.bodyBytes);
	}

	ReadState::Enum feed(std::string_view _bytes, std::size_t& _used) override
	{
		_used = 0;
		if (_bytes.empty())
		{
			return this->is_done() ? ReadState::Done : ReadState::More;
		}
		beast::error_code error;
		hadHead_ = this->is_header_done();
		_used = this->put(boost::asio::const_buffer(_bytes.data(), _bytes.size()), error);
		const bool endsHead = !hadHead_ && this->is_header_done(); // the parser takes a head as a whole
		if (!isRequest && endsHead && hasContinuedLine(_bytes.substr(0, _bytes.find("\r\n\r\n"))))
		{
			return ReadState::Malformed;
		}
		if (http::error::need_more == error && this->is_header_done() && lineBytes_ < _bytes.size() - _used)
		{
			return ReadState::Malformed; // Beast bounds the head, but no line after it
		}
		if (error)
		{
			return stateOf(error);
		}
		return this->is_done() ? ReadState::Done : ReadState::More;
	}

	ReadState::Enum feedEnd() override
	{
		if (!this->is_header_done())
		{
			return ReadState::Malformed;
		}
		beast::error_code error;
		this->put_eof(error);
		return !error && this->is_done() ? ReadState::Done : ReadState::Malformed;
	}

	bool hasHead() const override
	{
		return this->is_header_done();
	}

	std::optional<uint64_t> bodyLength() const override
	{
		if (!this->is_header_done() || this->chunked())
		{
			return std::nullopt;
		}
		const auto length = this->content_length();
		return length ? *length : 0;
	}

private:
	void on_request_impl(http::verb, beast::string_view _method, beast::string_view _target, int,
	                     beast::error_code&) override
	{
		head_.method = std::string(toStringView(_method));
		head_.target = std::string(toStringView(_target));
	}

	void on_response_impl(int _status, beast::string_view, int, beast::error_code& _error) override
	{
		if (!isHttpStatus(static_cast<unsigned>(_status)))
		{
			_error = http::error::bad_status;
			return;
		}
		head_.status = static_cast<uint16_t>(_status);
	}

	void on_field_impl(http::field _field, beast::string_view _name, beast::string_view _value,
	                   beast::error_code& _error) override
	{
		if (hasAllHeaders_)
		{
			return; // of the trailer
		}
		const bool isCoding = http::field::transfer_encoding == _field;
		if (isCoding && (!isChunkedOnly(_value) || nullptr != head_.headers.find("Transfer-Encoding")))
		{
			_error = http::error::bad_transfer_encoding;
			return;
		}
		head_.headers.add(toStringView(_name), toStringView(_value));
	}

	void on_header_impl(beast::error_code&) override
	{
		hasAllHeaders_ = true;
		head_.keepAlive = this->keep_alive();
		head_.untilClose = !isRequest && this->need_eof();
	}

	void on_body_init_impl(const boost::optional<uint64_t>& _length, beast::error_code&) override
	{
		unreserved_ = isRequest && _length ? std::min(*_length, kMaxReserved) : 0;
	}

	std::size_t on_body_impl(beast::string_view _bytes, beast::error_code& _error) override
	{
		return append(_bytes, _error);
	}

	void on_chunk_header_impl(uint64_t, beast::string_view, beast::error_code&) override
	{
	}

	std::size_t on_chunk_body_impl(uint64_t, beast::string_view _bytes, beast::error_code& _error) override
	{
		return append(_bytes, _error);
	}

	void on_finish_impl(beast::error_code&) override
	{
	}

	std::size_t append(beast::string_view _bytes, beast::error_code& _error)
	{
		const std::size_t size = body_.size() + _bytes.size();
		if (body_.capacity() < size && !grow(size))
		{
			_error = http::error::buffer_overflow;
			return 0;
		}
		body_.append(_bytes.data(), _bytes.size());
		return _bytes.size();
	}

	/// Reserves the memory of a body of known length once: a string that grows by doubling takes up to twice as much.
	/// Not before bytes come after the head: a body may be refused, or have to wait, once its length is known.
	/// @returns false if there is no memory.
	bool grow(std::size_t _size)
	{
		constexpr std::size_t kGrowth = 2;
		const uint64_t doubled = std::min<uint64_t>(kGrowth * body_.capacity(), bodyBytes_);
		const uint64_t known = hadHead_ ? unreserved_ : 0;
		const std::size_t capacity = std::max<uint64_t>({_size, doubled, known});
		if (nullptr != grant_ && !grant_->grant(capacity))
		{
			return false;
		}
		body_.reserve(capacity);
		return true;
	}

	bool hasAllHeaders_ = false;
	bool hadHead_ = false;    //!< The head was read before the bytes that are fed now.
	uint64_t unreserved_ = 0; //!< Memory to reserve for the body, bytes.
	uint32_t lineBytes_;      //!< Most that the size line of a chunk, or all trailer fields, may take.
	uint64_t bodyBytes_;      //!< Most that the body may have.
	BodyGrantI* grant_;       //!< Null: memory is not limited.
};

MessageReader::MessageReader(Side::Enum _side, const ReaderLimits& _limits, BodyGrantI* _grant)
{
	if (Side::Request == _side)
	{
		parser_ = std::make_unique<BeastParser<true>>(_limits, _grant);
	}
	else
	{
		parser_ = std::make_unique<BeastParser<false>>(_limits, _grant);
	}
}

MessageReader::~MessageReader() = default;

ReadState::Enum MessageReader::feed(std::string_view _bytes, std::size_t& _used)
{
	return parser_->feed(_bytes, _used);
}

ReadState::Enum MessageReader::feedEnd()
{
	return parser_->feedEnd();
}

bool MessageReader::hasHead() const
{
	return parser_->hasHead();
}

MessageHead& MessageReader::head()
{
	return parser_->head_;
}

std::optional<uint64_t> MessageReader::bodyLength() const
{
	return parser_->bodyLength();
}

std::string& MessageReader::body()
{
	return parser_->body_;
}

} // namespace sedgecart
