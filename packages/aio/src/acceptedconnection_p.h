// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_ACCEPTEDCONNECTION_P_H_HEADER_GUARD
#define SEDGECART_AIO_ACCEPTEDCONNECTION_P_H_HEADER_GUARD

#include "deliverymonitor_p.h"
#include "nonblockingsocket_p.h"

#include <aio/bodymemory.h>
#include <aio/serverconnection.h>
#include <aio/timer.h>
#include <base/bootclock.h>

#include <memory>

namespace sedgecart
{

class ConnectionOwnerI;

/// Connection accepted by a server: reads requests from a caller and writes the responses.
class AcceptedConnection : public ServerConnection,
                           public BodyWaiterI,
                           public BodyGrantI,
                           public std::enable_shared_from_this<AcceptedConnection>
{
public:
	/// @param _owner told of what concerns the server; may be gone.
	AcceptedConnection(boost::asio::ip::tcp::socket _socket, ServerHandlerI& _handler,
	                   std::weak_ptr<ConnectionOwnerI> _owner);

	/// Starts to read the first request.
	void startReading();

	/// Ends the connection when its server ends. The connection is reset only while a response is incomplete: a reset
	/// would discard what the kernel still has to send of a response that is completely written.
	void shutDown();

	void start(const ResponseStart& _start, std::string_view _body) override;
	void send(std::string_view _body) override;
	void finish() override;
	void abort() override;
	std::size_t backlog() const override;
	bool waitsForMemory() const override;
	void onBodyMemory(std::shared_ptr<BodyLease> _lease) override;
	bool grant(std::size_t _bytes) override;

	/// @returns true while the caller has not acknowledged all bytes written.
	bool isDelivering();

	/// @returns true while a request is being received or handled, or a response is being delivered.
	bool isBusy();

	/// Closes the connection unless it is busy or has input that was not read.
	void closeAtRest();

	/// @returns true if the connection may be closed to make room for another one: no request is being handled.
	bool isEvictable() const;

	/// Closes the connection unless a response is being delivered, or a request has arrived that was not read.
	/// @returns false if it stays open.
	bool evict();

	/// @returns true if a body with reserved memory is being received, of which nothing has come since a time.
	bool isStalledUpload(BootClock::time_point _since) const;

	/// Refuses the request whose body is being received, and frees its memory.
	void refuseStalled();

	/// @returns true if a request was answered.
	bool hasAnswered() const
	{
		return hasAnswered_;
	}

	/// @returns the time at which something was parsed last, or could have been; of the accept, if nothing was.
	BootClock::time_point readAt() const
	{
		return readAt_;
	}

private:
	/// State of the connection.
	struct Phase
	{
		enum Enum
		{
			Idle,      //!< Between requests.
			Reading,   //!< A request is being received.
			Answering, //!< The handler is processing a request.
			Lingering, //!< The last response is written; further input is read and discarded.
			Closed,

			Count
		};
	};

	void waitReadable();
	void onReadable();
	void onBytes(std::string_view _bytes);
	void parse();
	void onRequestDone();
	void reserveBody();
	void refuseForMemory();
	void refuse(ReadState::Enum _reason);
	void refuseWith(uint16_t _status);
	void becomeIdle();
	void setTimer(Duration _timeout);
	void onTimer();
	void onEnd();
	void write(std::string_view _bytes);
	void flush();
	void linger();
	void awaitDelivery();
	void scheduleCheck(Duration _interval);
	void checkWhileAnswering();
	void checkWhenIdle();
	DeliveryState::Enum updateDelivery();
	void abortStalled();
	Duration idleOrLingerTimeout() const;
	void resumeReading();
	void scheduleResponseCheck();
	bool canBufferMore() const;
	std::size_t readSize() const;
	void countBuffer();
	void onMemoryShort();
	bool isIdleOrLingering() const;
	void closeNow();

	NonBlockingSocket socket_;
	Timer timer_;
	ServerHandlerI& handler_;
	std::weak_ptr<ConnectionOwnerI> owner_;
	std::unique_ptr<MessageReader> reader_;
	std::shared_ptr<BodyLease> lease_;       //!< Memory of the body that is being received; null if it is small.
	std::shared_ptr<BodyLease> bufferLease_; //!< Memory of `unparsed_` and of the head; null if they are small.
	std::size_t headBytes_ = 0;              //!< Of the request that is being received or handled.
	DeliveryMonitor delivery_;
	Duration checkInterval_;      //!< Interval before the next check of the delivery.
	std::string unparsed_;        //!< Received bytes that were not parsed yet.
	bool readingPaused_ = false;  //!< Reading is paused until some of the received bytes are parsed.
	bool isReadArmed_ = false;    //!< A wait for the socket to become readable is pending.
	bool isBodyAdmitted_ = false; //!< The body of a length that is known may be read.
	bool waitsForMemory_ = false; //!< The body is not read until there is memory for it.
	Phase::Enum phase_ = Phase::Idle;
	BootClock::time_point idleSince_;
	BootClock::time_point readAt_ = BootClock::now();
	bool hasAnswered_ = false;
	bool chunked_ = false;
	bool noBody_ = false;
	bool closeAfterResponse_ = false; //!< The connection is closed after the current response.
	bool flushing_ = false;           //!< A wait for the socket to accept more bytes is pending.
	bool delivered_ = false;          //!< While idle or lingering: the caller has acknowledged all bytes.
};

} // namespace sedgecart

#endif // SEDGECART_AIO_ACCEPTEDCONNECTION_P_H_HEADER_GUARD
