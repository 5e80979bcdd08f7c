// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/clientconnection.h>
#include <aio/timer.h>

#include "nonblockingsocket_p.h"
#include "tcpendpoint_p.h"

#include <base/bootclock.h>
#include <base/config.h>

#include <boost/asio/io_context.hpp>

#include <charconv>
#include <chrono>

namespace sedgecart
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace
{

/// Interval between checks of how much of a request the peer has acknowledged.
constexpr Duration kDeliveryCheckInterval = Duration::fromMillis(1000);

/// Most that may come ahead of the answer to a request: interim answers, and late ones to earlier requests, bytes.
constexpr uint64_t kMaxSkippedBytes = 512ULL * 1024;

/// A head, or a line between chunks, that is not whole after this time and this many pieces counts as endless. Both
/// must be exceeded: a target that falls silent in the middle of a head, or whose packets are lost, sends few pieces.
constexpr Duration kMaxLineDuration = Duration::fromMillis(250);
constexpr uint32_t kMaxLinePieces = 32;

/// A body is passed to the socket in pieces of this size: at most one of them is copied at a time.
constexpr std::size_t kBodyPieceBytes = 64UL * 1024;

/// Assumed for a peer that names no timeout in a Keep-Alive field.
constexpr Duration kDefaultKeepAlive = Duration::fromMillis(24L * 3600 * 1000);

constexpr const char* kFailureNames[ExchangeFailure::Count] = {
    "not_connected", "refused", "reset_on_connect", "connection_lost", "malformed", "rejected",
};

/// @returns the time of "timeout=N" (seconds) in the Keep-Alive field; kDefaultKeepAlive if there is none.
Duration keepAliveTimeoutOf(const HeaderList& _headers)
{
	const std::string* const value = _headers.find("Keep-Alive");
	const std::size_t at = nullptr == value ? std::string::npos : value->find("timeout=");
	if (std::string::npos == at)
	{
		return kDefaultKeepAlive;
	}
	int64_t seconds = 0;
	std::from_chars(value->data() + at + 8, value->data() + value->size(), seconds);
	return Duration::fromMillis(seconds * 1000);
}

ExchangeFailure::Enum connectFailureOf(const boost::system::error_code& _error)
{
	if (asio::error::connection_refused == _error)
	{
		return ExchangeFailure::Refused;
	}
	// A connection that was established and reset before the loop handled it is reported as a failed connect.
	return asio::error::connection_reset == _error ? ExchangeFailure::ResetOnConnect : ExchangeFailure::NotConnected;
}

} // namespace

const char* nameOf(ExchangeFailure::Enum _how)
{
	return kFailureNames[_how];
}

class ClientConnection::Impl : public std::enable_shared_from_this<ClientConnection::Impl>
{
public:
	Impl(asio::io_context& _loop, const std::string& _address)
	    : socket_(Tcp::socket(_loop)),
	      timer_(_loop),
	      endpoint_(tcpEndpointOf(_address))
	{
	}

	void exchange(OutgoingRequest _request, ExchangeHandlerI& _handler, Duration _connectTimeout)
	{
		handler_ = &_handler;
		reader_ = makeReader();
		skippedBytes_ = 0;
		linePieces_ = 0;
		request_ = std::move(_request);
		bodySent_ = 0;
		if (connected_)
		{
			send();
			return;
		}
		connect(_connectTimeout);
	}

	/// Queries the socket for a close by the peer instead of relying on the events handled so far: a request sent on a
	/// closed connection is lost, and the loop of a node short of processor time may not have handled the event yet.
	bool reusable()
	{
		return connected_ && nullptr == handler_ && keepAlive_ && unparsed_.empty() && isSent() &&
		       socket_.isOpenWithoutInput();
	}

	Duration keepAliveTimeout() const
	{
		return keepAliveTimeout_;
	}

	void setOnIdleClosed(std::function<void()> _callback)
	{
		onIdleClosed_ = std::move(_callback);
	}

	void close()
	{
		handler_ = nullptr;
		onIdleClosed_ = nullptr;
		request_.body.reset();
		connected_ = false;
		closed_ = true;
		timer_.cancel();
		socket_.close();
	}

private:
	static std::unique_ptr<MessageReader> makeReader()
	{
		ReaderLimits limits;
		limits.headerBytes = SEDGECART_CONFIG_ANSWER_HEADER_BYTES;
		return std::make_unique<MessageReader>(MessageReader::Side::Response, limits);
	}

	void connect(Duration _timeout)
	{
		const auto self = shared_from_this();
		timer_.expires_after(std::chrono::microseconds(_timeout.micros));
		timer_.async_wait(
		    [self](const boost::system::error_code& _error)
		    {
			    if (!_error && !self->connected_)
			    {
				    self->fail(ExchangeFailure::NotConnected);
			    }
		    });
		socket_.tcpSocket().async_connect(endpoint_,
		                                  [self](const boost::system::error_code& _error)
		                                  {
			                                  self->onConnected(_error);
		                                  });
	}

	void onConnected(const boost::system::error_code& _error)
	{
		if (closed_)
		{
			return;
		}
		timer_.cancel();
		if (_error)
		{
			fail(connectFailureOf(_error));
			return;
		}
		connected_ = true;
		socket_.configure();
		waitReadable();
		send();
	}

	void send()
	{
		handler_->onSent();
		delivery_.startMessage(socket_.sentBytes());
		const bool written = socket_.write(request_.text);
		std::string().swap(request_.text); // a pooled connection would keep the memory of its largest request
		if (!written || !writeBody())
		{
			fail(ExchangeFailure::ConnectionLost);
			return;
		}
		flush();
		scheduleDeliveryCheck();
	}

	/// Passes the body to the socket as far as it accepts it.
	/// @returns false if the connection failed.
	bool writeBody()
	{
		while (request_.body && 0 == socket_.pendingBytes())
		{
			const std::string_view piece = std::string_view(*request_.body).substr(bodySent_, kBodyPieceBytes);
			bodySent_ += piece.size();
			if (!socket_.write(piece))
			{
				return false;
			}
			if (request_.body->size() == bodySent_)
			{
				request_.body.reset();
			}
		}
		return true;
	}

	/// @returns true if the socket has accepted the whole request.
	bool isSent() const
	{
		return !request_.body && 0 == socket_.pendingBytes();
	}

	void scheduleDeliveryCheck()
	{
		const auto self = shared_from_this();
		timer_.expires_after(std::chrono::microseconds(kDeliveryCheckInterval.micros));
		timer_.async_wait(
		    [self](const boost::system::error_code& _error)
		    {
			    const bool isDue = !(BootClock::now() < self->timer_.expiry());
			    if (!_error && isDue && nullptr != self->handler_)
			    {
				    self->checkDelivery();
			    }
		    });
	}

	void checkDelivery()
	{
		const DeliveryState::Enum delivery = delivery_.update(socket_.sentBytes(), kDeliveryCheckInterval);
		if (DeliveryState::Stalled == delivery)
		{
			fail(ExchangeFailure::ConnectionLost);
		}
		else if (DeliveryState::Progressing == delivery || !isSent())
		{
			scheduleDeliveryCheck();
		}
	}

	void flush()
	{
		if (isSent())
		{
			return;
		}
		const auto self = shared_from_this();
		socket_.waitWritable(
		    [self](const boost::system::error_code& _error)
		    {
			    if (_error || self->closed_)
			    {
				    return;
			    }
			    if (!self->socket_.writePending() || !self->writeBody())
			    {
				    self->fail(ExchangeFailure::ConnectionLost);
				    return;
			    }
			    self->flush();
		    });
	}

	void waitReadable()
	{
		const auto self = shared_from_this();
		socket_.waitReadable(
		    [self](const boost::system::error_code& _error)
		    {
			    if (!_error && !self->closed_)
			    {
				    self->onReadable();
			    }
		    });
	}

	void onReadable()
	{
		std::string_view bytes;
		SocketEnd::Enum end = SocketEnd::Orderly;
		if (!socket_.readSome(SEDGECART_CONFIG_SCRATCH_BYTES, bytes, end))
		{
			onEnd(end);
			return;
		}
		if (!bytes.empty())
		{
			onBytes(bytes);
		}
		if (!closed_)
		{
			waitReadable();
		}
	}

	void onBytes(std::string_view _bytes)
	{
		if (nullptr == handler_)
		{
			closeIdle();
			return;
		}
		if (unparsed_.empty())
		{
			unparsed_ = parse(_bytes);
		}
		else
		{
			unparsed_.append(_bytes);
			const std::string all = std::move(unparsed_);
			unparsed_ = parse(all);
		}
		checkLine();
	}

	/// Ends an exchange whose peer keeps sending pieces of a head, or of a line between chunks, that never ends.
	void checkLine()
	{
		const bool isInLine = nullptr != handler_ && (!reader_->hasHead() || !unparsed_.empty());
		if (!isInLine)
		{
			linePieces_ = 0;
			return;
		}
		if (0 == linePieces_++)
		{
			lineStart_ = BootClock::now();
		}
		const bool isLong = std::chrono::microseconds(kMaxLineDuration.micros) < BootClock::now() - lineStart_;
		if (isLong && kMaxLinePieces < linePieces_)
		{
			fail(ExchangeFailure::Malformed);
		}
	}

	/// Feeds received bytes to the reader and forwards what it has parsed to the handler.
	/// @returns the bytes that the reader did not consume.
	std::string parse(std::string_view _bytes)
	{
		while (nullptr != handler_ && !_bytes.empty())
		{
			std::size_t used = 0;
			const ReadState::Enum state = reader_->feed(_bytes, used);
			_bytes.remove_prefix(used);
			if (ReadState::More != state && ReadState::Done != state)
			{
				fail(ExchangeFailure::Malformed);
				return std::string();
			}
			if (!forwardHead() || !forwardBody())
			{
				return std::string();
			}
			if (0 < used && reader_->hasHead())
			{
				linePieces_ = 0; // the line has ended, and another one may have begun
			}
			if (skipping_ && !countSkipped(used))
			{
				fail(ExchangeFailure::Malformed);
				return std::string();
			}
			if (ReadState::Done == state)
			{
				onMessageDone(!_bytes.empty());
			}
			else if (0 == used)
			{
				break;
			}
		}
		return std::string(_bytes);
	}

	/// @returns false if more was skipped than a peer in order ever sends.
	bool countSkipped(std::size_t _bytes)
	{
		skippedBytes_ += _bytes;
		return skippedBytes_ <= kMaxSkippedBytes;
	}

	/// @returns false if the handler closed the connection.
	bool forwardHead()
	{
		if (headForwarded_ || !reader_->hasHead())
		{
			return true;
		}
		headForwarded_ = true;
		const MessageHead& head = reader_->head();
		keepAlive_ = head.keepAlive && !head.untilClose;
		keepAliveTimeout_ = keepAliveTimeoutOf(head.headers);
		const uint16_t status = head.status;
		const bool interim = 100 <= status && status < 200;
		const HeadVerdict::Enum verdict = interim ? HeadVerdict::Skip : handler_->onHead(reader_->head());
		skipping_ = HeadVerdict::Skip == verdict;
		if (HeadVerdict::Reject == verdict && !closed_)
		{
			fail(ExchangeFailure::Rejected);
		}
		return !closed_;
	}

	/// @returns false if the handler closed the connection.
	bool forwardBody()
	{
		std::string body;
		body.swap(reader_->body());
		if (!body.empty() && !skipping_)
		{
			handler_->onBody(body);
		}
		return !closed_;
	}

	void onMessageDone(bool _hasSurplus)
	{
		const bool wasSkipped = skipping_;
		headForwarded_ = false;
		skipping_ = false;
		reader_ = makeReader();
		if (wasSkipped)
		{
			return;
		}
		// Bytes after a complete response belong to no request, so the connection must not be reused.
		keepAlive_ = keepAlive_ && !_hasSurplus;
		ExchangeHandlerI* const handler = handler_;
		handler_ = nullptr;
		timer_.cancel();
		handler->onComplete();
	}

	void onEnd(SocketEnd::Enum _end)
	{
		connected_ = false;
		if (nullptr == handler_)
		{
			closeIdle();
			return;
		}
		const bool mayComplete = SocketEnd::Orderly == _end && headForwarded_ && !skipping_ && unparsed_.empty();
		if (mayComplete && ReadState::Done == reader_->feedEnd())
		{
			ExchangeHandlerI* const handler = handler_;
			close();
			handler->onComplete();
			return;
		}
		fail(ExchangeFailure::ConnectionLost);
	}

	void closeIdle()
	{
		const std::function<void()> callback = std::move(onIdleClosed_);
		close();
		if (callback)
		{
			callback();
		}
	}

	void fail(ExchangeFailure::Enum _how)
	{
		ExchangeHandlerI* const handler = handler_;
		close();
		if (nullptr != handler)
		{
			handler->onFailed(_how);
		}
	}

	NonBlockingSocket socket_;
	Timer timer_;
	DeliveryMonitor delivery_;
	Tcp::endpoint endpoint_;
	std::unique_ptr<MessageReader> reader_;
	ExchangeHandlerI* handler_ = nullptr;
	std::function<void()> onIdleClosed_;
	OutgoingRequest request_{std::string()};
	std::size_t bodySent_ = 0; //!< Bytes of its body that were passed to the socket.
	std::string unparsed_;     //!< Received bytes that the reader needs more of before it can consume them.
	Duration keepAliveTimeout_ = kDefaultKeepAlive;
	uint64_t skippedBytes_ = 0;       //!< During this exchange.
	BootClock::time_point lineStart_; //!< When the first piece of the line that is not whole came.
	uint32_t linePieces_ = 0;         //!< Pieces of that line; 0: there is none.
	bool connected_ = false;
	bool closed_ = false;
	bool keepAlive_ = true;
	bool headForwarded_ = false;
	bool skipping_ = false;
};

ClientConnection::ClientConnection(asio::io_context& _loop, const std::string& _address)
    : impl_(std::make_shared<Impl>(_loop, _address))
{
}

ClientConnection::~ClientConnection()
{
	impl_->close();
}

void ClientConnection::exchange(OutgoingRequest _request, ExchangeHandlerI& _handler, Duration _connectTimeout)
{
	const std::shared_ptr<Impl> impl = impl_; // the handler may destroy this object
	impl->exchange(std::move(_request), _handler, _connectTimeout);
}

bool ClientConnection::reusable() const
{
	return impl_->reusable();
}

Duration ClientConnection::keepAliveTimeout() const
{
	return impl_->keepAliveTimeout();
}

void ClientConnection::setOnIdleClosed(std::function<void()> _callback)
{
	impl_->setOnIdleClosed(std::move(_callback));
}

void ClientConnection::close()
{
	impl_->close();
}

} // namespace sedgecart
