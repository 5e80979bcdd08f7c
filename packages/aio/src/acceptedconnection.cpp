// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "acceptedconnection_p.h"

#include "connectionowner_p.h"
#include "responsetext_p.h"

#include <base/bootclock.h>
#include <base/config.h>

#include <boost/asio/post.hpp>

#include <chrono>

namespace sedgecart
{

namespace
{

constexpr uint16_t kRequestTimeout = 408;

/// Bytes that are read at once of a body in chunks. Chunks may be as small as a byte each: parsing more of them in one
/// turn of the loop would hold up the requests of other callers.
constexpr std::size_t kChunkedReadBytes = 8UL * 1024;

/// Interval between checks while reading is paused: bounds how long targets work on for a caller that has disconnected
/// meanwhile. It is short compared to a response, and connections on which reading is paused are rare.
constexpr Duration kPausedCheckInterval = Duration::fromMillis(100);

/// Minimum time for which a connection has been idle before a drain closes it: callers that were not told of the close
/// send the next request a round trip after the last response, and would find it unread.
constexpr Duration kMinIdleTime = Duration::fromMillis(20);

/// Longest wait for memory for a body. Callers that find their request unread for a second send it elsewhere.
constexpr Duration kMaxMemoryWait = Duration::fromMillis(1000);

/// Bytes that are read at once of a head, and of what comes while a request is handled: nobody has allowed more yet.
constexpr std::size_t kHeadReadBytes = 4UL * 1024;

/// Intervals between checks of how much the caller has acknowledged, while its response is being made and after.
constexpr Duration kAnsweringCheckInterval = Duration::fromMillis(1000);
constexpr Duration kIdleCheckInterval = Duration::fromMillis(250);

} // namespace

AcceptedConnection::AcceptedConnection(boost::asio::ip::tcp::socket _socket, ServerHandlerI& _handler,
                                       std::weak_ptr<ConnectionOwnerI> _owner)
    : socket_(std::move(_socket)),
      timer_(socket_.tcpSocket().get_executor()),
      handler_(_handler),
      owner_(std::move(_owner))
{
}

void AcceptedConnection::startReading()
{
	socket_.configure();
	becomeIdle();
	waitReadable();
}

void AcceptedConnection::shutDown()
{
	const bool allWritten = isIdleOrLingering() && 0 == socket_.pendingBytes();
	allWritten ? closeNow() : abort();
}

void AcceptedConnection::waitReadable()
{
	if (isReadArmed_ || waitsForMemory_)
	{
		return;
	}
	isReadArmed_ = true;
	const auto self = shared_from_this();
	socket_.waitReadable(
	    [self](const boost::system::error_code& _error)
	    {
		    self->isReadArmed_ = false;
		    if (!_error && Phase::Closed != self->phase_)
		    {
			    self->onReadable();
		    }
	    });
}

void AcceptedConnection::onReadable()
{
	std::string_view bytes;
	SocketEnd::Enum end = SocketEnd::Orderly;
	if (!socket_.readSome(readSize(), bytes, end))
	{
		onEnd();
		return;
	}
	if (!bytes.empty())
	{
		onBytes(bytes);
	}
	if (Phase::Closed == phase_)
	{
		return;
	}
	if (!canBufferMore())
	{
		readingPaused_ = true; // bounds what is buffered of requests pipelined behind the current one
		scheduleResponseCheck();
		return;
	}
	waitReadable();
}

/// Schedules the next check of the connection while a response is being made. While reading is paused, a close by the
/// caller is not read, and a caller that vanished never sends one: its response would be made for nobody.
void AcceptedConnection::scheduleResponseCheck()
{
	if (Phase::Answering == phase_)
	{
		scheduleCheck(readingPaused_ ? kPausedCheckInterval : kAnsweringCheckInterval);
	}
}

std::size_t AcceptedConnection::readSize() const
{
	if (Phase::Lingering == phase_)
	{
		return SEDGECART_CONFIG_SCRATCH_BYTES;
	}
	if (Phase::Reading != phase_ || !reader_->hasHead())
	{
		return kHeadReadBytes;
	}
	return reader_->bodyLength() ? SEDGECART_CONFIG_SCRATCH_BYTES : kChunkedReadBytes;
}

bool AcceptedConnection::canBufferMore() const
{
	return unparsed_.size() <= SEDGECART_CONFIG_PIPELINED_BYTES;
}

/// Resumes reading if enough of the pipelined bytes were parsed. A read per response regardless of that would buffer
/// more bytes than each response frees.
void AcceptedConnection::resumeReading()
{
	if (readingPaused_ && canBufferMore())
	{
		readingPaused_ = false;
		waitReadable();
	}
}

void AcceptedConnection::onBytes(std::string_view _bytes)
{
	if (Phase::Lingering == phase_)
	{
		return;
	}
	unparsed_.append(_bytes);
	if (Phase::Answering != phase_ && !waitsForMemory_)
	{
		parse();
	}
	countBuffer();
}

/// Frees what the buffer does not need: a string keeps the memory of the largest text that it held.
void AcceptedConnection::countBuffer()
{
	constexpr std::size_t kWorthwhile = 2;
	if (kWorthwhile * unparsed_.size() < unparsed_.capacity())
	{
		unparsed_.shrink_to_fit();
	}
	const std::size_t bytes = unparsed_.capacity() + headBytes_;
	BodyMemory* const memory = handler_.bodyMemory();
	if (nullptr == memory || Phase::Closed == phase_ || bytes <= BodyMemory::kMaxUncounted)
	{
		bufferLease_.reset();
		return;
	}
	memory->countTo(bytes, bufferLease_);
}

void AcceptedConnection::parse()
{
	readAt_ = BootClock::now();
	if (unparsed_.empty())
	{
		return;
	}
	if (Phase::Idle == phase_)
	{
		phase_ = Phase::Reading;
		isBodyAdmitted_ = false;
		reader_ = std::make_unique<MessageReader>(MessageReader::Side::Request, handler_.limits(), this);
		setTimer(handler_.readTimeout());
	}
	std::size_t used = 0;
	const bool hadHead = reader_->hasHead();
	const ReadState::Enum state = reader_->feed(unparsed_, used);
	headBytes_ = hadHead ? headBytes_ : used;
	unparsed_.erase(0, used);
	resumeReading();
	if (ReadState::Done == state)
	{
		onRequestDone();
	}
	else if (ReadState::NoMemory == state)
	{
		refuseForMemory();
	}
	else if (ReadState::More != state)
	{
		refuse(state);
	}
	else if (reader_->hasHead())
	{
		reserveBody();
	}
}

/// Reserves memory for the body before more of it is read.
void AcceptedConnection::reserveBody()
{
	BodyMemory* const memory = handler_.bodyMemory();
	if (nullptr == memory || isBodyAdmitted_)
	{
		return;
	}
	const std::optional<uint64_t> length = reader_->bodyLength();
	isBodyAdmitted_ = true;
	if (!length)
	{
		return; // memory is granted as it grows
	}
	if (*length <= BodyMemory::kMaxUnreserved)
	{
		return;
	}
	BodyMemory::Admission::Enum admission = memory->reserve(*length, weak_from_this(), lease_);
	if (BodyMemory::Admission::Read != admission)
	{
		onMemoryShort();
	}
	if (BodyMemory::Admission::Refuse == admission)
	{
		admission = memory->reserve(*length, weak_from_this(), lease_);
	}
	if (BodyMemory::Admission::Refuse == admission)
	{
		refuseForMemory();
	}
	else if (BodyMemory::Admission::Wait == admission)
	{
		waitsForMemory_ = true;
		setTimer(kMaxMemoryWait);
	}
}

/// Called while the body is parsed. The memory of a body of known length was reserved before.
bool AcceptedConnection::grant(std::size_t _bytes)
{
	BodyMemory* const memory = handler_.bodyMemory();
	if (nullptr == memory || _bytes <= BodyMemory::kMaxUncounted)
	{
		return true;
	}
	if (_bytes <= BodyMemory::kMaxUnreserved)
	{
		memory->countTo(_bytes, lease_);
		return true;
	}
	if (memory->extendTo(_bytes, lease_))
	{
		return true;
	}
	onMemoryShort();
	return memory->extendTo(_bytes, lease_);
}

void AcceptedConnection::onMemoryShort()
{
	if (const std::shared_ptr<ConnectionOwnerI> owner = owner_.lock())
	{
		owner->onMemoryShort();
	}
}

bool AcceptedConnection::isStalledUpload(BootClock::time_point _since) const
{
	return Phase::Reading == phase_ && lease_ && readAt_ < _since;
}

void AcceptedConnection::refuseStalled()
{
	refuseWith(kRequestTimeout);
}

bool AcceptedConnection::waitsForMemory() const
{
	return waitsForMemory_ && Phase::Reading == phase_;
}

void AcceptedConnection::onBodyMemory(std::shared_ptr<BodyLease> _lease)
{
	waitsForMemory_ = false;
	lease_ = std::move(_lease);
	setTimer(handler_.readTimeout());
	parse();
	if (Phase::Closed != phase_ && !readingPaused_)
	{
		waitReadable();
	}
}

void AcceptedConnection::refuseForMemory()
{
	waitsForMemory_ = false;
	phase_ = Phase::Answering;
	closeAfterResponse_ = true; // the body is not read
	const MessageHead head = std::move(reader_->head());
	reader_.reset();
	lease_.reset();
	handler_.onNoBodyMemory(shared_from_this(), head);
	if (Phase::Closed != phase_)
	{
		waitReadable(); // what the caller still sends is discarded until it has read the response
	}
}

void AcceptedConnection::onRequestDone()
{
	phase_ = Phase::Answering;
	delivery_.startMessage(socket_.sentBytes());
	ServerRequest request;
	request.head = std::move(reader_->head());
	request.body = std::move(reader_->body());
	request.lease = std::move(lease_);
	reader_.reset();
	scheduleResponseCheck();
	closeAfterResponse_ = !request.head.keepAlive;
	handler_.onRequest(shared_from_this(), std::move(request));
}

void AcceptedConnection::refuse(ReadState::Enum _reason)
{
	refuseWith(handler_.onBadRequest(_reason));
}

void AcceptedConnection::refuseWith(uint16_t _status)
{
	phase_ = Phase::Answering;
	reader_.reset(); // with what was read of the body
	lease_.reset();
	ResponseStart response;
	response.status = _status;
	response.closeAfter = true;
	start(response, std::string_view());
	finish();
}

void AcceptedConnection::start(const ResponseStart& _start, std::string_view _body)
{
	if (Phase::Answering != phase_)
	{
		return;
	}
	closeAfterResponse_ = closeAfterResponse_ || _start.closeAfter || handler_.closing();
	noBody_ = _start.noBody;
	chunked_ = BodyFraming::Chunked == _start.framing && !noBody_;
	std::string text = responseHeadText(_start, closeAfterResponse_);
	if (!noBody_)
	{
		appendBody(text, _body, chunked_);
	}
	write(text);
}

void AcceptedConnection::send(std::string_view _body)
{
	if (Phase::Answering != phase_ || noBody_ || _body.empty())
	{
		return;
	}
	if (!chunked_)
	{
		write(_body);
		return;
	}
	std::string text;
	appendBody(text, _body, true);
	write(text);
}

void AcceptedConnection::finish()
{
	if (Phase::Answering != phase_)
	{
		return;
	}
	if (chunked_)
	{
		write(kLastChunk);
	}
	if (Phase::Answering != phase_)
	{
		return;
	}
	hasAnswered_ = true;
	if (closeAfterResponse_)
	{
		linger();
		return;
	}
	becomeIdle();
	if (unparsed_.empty())
	{
		return;
	}
	// The next request is parsed in a later run of the loop: its handler must not run inside the call that finishes
	// this one.
	const auto self = shared_from_this();
	boost::asio::post(socket_.tcpSocket().get_executor(),
	                  [self]
	                  {
		                  if (Phase::Idle == self->phase_)
		                  {
			                  self->parse();
		                  }
	                  });
}

void AcceptedConnection::abort()
{
	if (Phase::Closed == phase_)
	{
		return;
	}
	socket_.reset();
	closeNow();
}

std::size_t AcceptedConnection::backlog() const
{
	return socket_.pendingBytes();
}

bool AcceptedConnection::isDelivering()
{
	return Phase::Closed != phase_ && 0 < socket_.sentBytes().unacknowledged;
}

bool AcceptedConnection::isBusy()
{
	return Phase::Closed != phase_ && (!isIdleOrLingering() || !unparsed_.empty() || isDelivering());
}

void AcceptedConnection::closeAtRest()
{
	const bool mayBeUsed =
	    Phase::Idle == phase_ && BootClock::now() < idleSince_ + std::chrono::microseconds(kMinIdleTime.micros);
	if (!mayBeUsed && !isBusy() && socket_.isOpenWithoutInput())
	{
		closeNow();
	}
}

bool AcceptedConnection::isEvictable() const
{
	return Phase::Idle == phase_ || Phase::Reading == phase_;
}

bool AcceptedConnection::evict()
{
	const bool mayBeUsed = Phase::Idle == phase_ && (!unparsed_.empty() || !socket_.isOpenWithoutInput());
	if (!isEvictable() || mayBeUsed || isDelivering())
	{
		return false;
	}
	closeNow();
	return true;
}

void AcceptedConnection::becomeIdle()
{
	phase_ = Phase::Idle;
	headBytes_ = 0;
	countBuffer();
	idleSince_ = BootClock::now();
	awaitDelivery();
}

void AcceptedConnection::scheduleCheck(Duration _interval)
{
	checkInterval_ = _interval;
	setTimer(_interval);
}

void AcceptedConnection::setTimer(Duration _timeout)
{
	timer_.expires_after(std::chrono::microseconds(_timeout.micros));
	const std::weak_ptr<AcceptedConnection> weak = weak_from_this();
	timer_.async_wait(
	    [weak](const boost::system::error_code& _error)
	    {
		    const auto self = weak.lock();
		    if (!_error && self)
		    {
			    self->onTimer();
		    }
	    });
}

void AcceptedConnection::onTimer()
{
	if (BootClock::now() < timer_.expiry())
	{
		return; // the timer was set again after this handler was queued
	}
	if (Phase::Answering == phase_)
	{
		checkWhileAnswering();
	}
	else if (Phase::Reading == phase_)
	{
		waitsForMemory_ ? refuseForMemory() : refuseWith(kRequestTimeout);
	}
	else if (isIdleOrLingering())
	{
		checkWhenIdle();
	}
}

void AcceptedConnection::checkWhileAnswering()
{
	if (readingPaused_ && socket_.hasPeerClosed())
	{
		onEnd();
		return;
	}
	if (DeliveryState::Stalled == updateDelivery())
	{
		abortStalled();
		return;
	}
	scheduleResponseCheck();
}

void AcceptedConnection::checkWhenIdle()
{
	const DeliveryState::Enum delivery = updateDelivery();
	if (DeliveryState::Stalled == delivery)
	{
		abortStalled();
		return;
	}
	if (DeliveryState::Progressing == delivery)
	{
		scheduleCheck(kIdleCheckInterval);
		return;
	}
	if (delivered_)
	{
		closeNow();
		return;
	}
	delivered_ = true;
	scheduleCheck(idleOrLingerTimeout());
}

DeliveryState::Enum AcceptedConnection::updateDelivery()
{
	return delivery_.update(socket_.sentBytes(), checkInterval_);
}

/// Aborts a connection whose caller has stopped receiving. The connection is reset: a caller that does not know the
/// length of its response would take an orderly close for the end of a complete one.
void AcceptedConnection::abortStalled()
{
	const bool wasAnswering = Phase::Answering == phase_;
	const auto self = shared_from_this();
	abort();
	if (wasAnswering)
	{
		handler_.onCallerDisconnected(*this);
	}
}

bool AcceptedConnection::isIdleOrLingering() const
{
	return Phase::Idle == phase_ || Phase::Lingering == phase_;
}

void AcceptedConnection::onEnd()
{
	const bool wasAnswering = Phase::Answering == phase_;
	const auto self = shared_from_this();
	closeNow();
	if (wasAnswering)
	{
		handler_.onCallerDisconnected(*this);
	}
}

void AcceptedConnection::write(std::string_view _bytes)
{
	if (!socket_.write(_bytes))
	{
		onEnd();
		return;
	}
	flush();
}

void AcceptedConnection::flush()
{
	if (0 == socket_.pendingBytes() || flushing_)
	{
		return;
	}
	flushing_ = true;
	const auto self = shared_from_this();
	socket_.waitWritable(
	    [self](const boost::system::error_code& _error)
	    {
		    self->flushing_ = false;
		    if (_error || Phase::Closed == self->phase_)
		    {
			    return;
		    }
		    if (!self->socket_.writePending())
		    {
			    self->onEnd();
			    return;
		    }
		    self->flush();
		    if (self->isIdleOrLingering() && 0 == self->socket_.pendingBytes())
		    {
			    self->awaitDelivery();
		    }
	    });
}

/// Closing a socket with unread bytes resets the connection and may discard the response. So only the sending side is
/// closed at first, and the caller gets some time to close its own.
void AcceptedConnection::linger()
{
	phase_ = Phase::Lingering;
	unparsed_.clear();
	headBytes_ = 0;
	countBuffer();
	resumeReading();
	awaitDelivery();
}

/// Starts the wait for delivery once nothing more is to be written. The idle or linger timeout starts when the caller
/// has acknowledged all of the response: bytes that the kernel still holds would be lost if the caller sent something
/// to a closed connection.
void AcceptedConnection::awaitDelivery()
{
	if (Phase::Lingering == phase_ && 0 == socket_.pendingBytes())
	{
		socket_.shutdownSend();
	}
	delivered_ = false;
	scheduleCheck(kIdleCheckInterval);
}

/// @returns how long the connection may stay open after the response was delivered.
Duration AcceptedConnection::idleOrLingerTimeout() const
{
	return Phase::Lingering == phase_ ? Duration::fromMillis(SEDGECART_CONFIG_LINGER_MS) : handler_.idleTimeout();
}

void AcceptedConnection::closeNow()
{
	if (Phase::Closed == phase_)
	{
		return;
	}
	const auto self = shared_from_this();
	phase_ = Phase::Closed;
	lease_.reset();
	bufferLease_.reset();
	timer_.cancel();
	socket_.close();
	if (const std::shared_ptr<ConnectionOwnerI> owner = owner_.lock())
	{
		owner->onClosed(*this);
	}
}

} // namespace sedgecart
