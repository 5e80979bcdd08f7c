// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_SERVEDCONNECTION_P_H_HEADER_GUARD
#define SEDGECART_AIO_SERVEDCONNECTION_P_H_HEADER_GUARD

#include "deliverywatch_p.h"
#include "socketpump_p.h"

#include <aio/serverconnection.h>
#include <aio/timer.h>

#include <functional>
#include <memory>

namespace sedgecart
{

/// A caller's connection that was accepted.
class ServedConnection : public ServerConnection, public std::enable_shared_from_this<ServedConnection>
{
public:
	/// @param _onClosed called once, when it is over.
	ServedConnection(boost::asio::ip::tcp::socket _socket, ServerHandlerI& _handler,
	                 std::function<void(ServedConnection*)> _onClosed);

	/// Begins to read the first request.
	void begin();

	/// Ends it with its server. A reset would take what the system still sends of an answer that is all written: only
	/// an answer that is not gets one.
	void end();

	void start(const AnswerStart& _start, std::string_view _body) override;
	void send(std::string_view _body) override;
	void finish() override;
	void abort() override;
	std::size_t backlog() const override;

	/// @returns true while the caller has not acknowledged all that was written.
	bool isDelivering();

private:
	/// What the connection does.
	struct Phase
	{
		enum Enum
		{
			Idle,      //!< Between requests.
			Reading,   //!< A request is coming.
			Answering, //!< A request is with the handler.
			Lingering, //!< The last answer is out; what still comes is read and thrown away.
			Closed,

			Count
		};
	};

	void waitReadable();
	void onReadable();
	void onBytes(std::string_view _bytes);
	void consume();
	void onRequestDone();
	void refuse(ReadState::Enum _why);
	void refuseWith(uint16_t _status);
	void becomeIdle();
	void setTimer(Duration _bound);
	void onTimer();
	void onEnd();
	void write(std::string_view _bytes);
	void flush();
	void linger();
	void rest();
	void lookAfter(Duration _pause);
	void lookWhileAnswering();
	void lookAtRest();
	Delivery::Enum lookAtDelivery();
	void giveUp();
	Duration restBound() const;
	void readOn();
	void watchAnswer();
	bool hasRoom() const;
	bool isResting() const;
	void closeNow();

	SocketPump pump_;
	Timer timer_;
	ServerHandlerI& handler_;
	std::function<void(ServedConnection*)> onClosed_;
	std::unique_ptr<MessageReader> reader_;
	DeliveryWatch delivery_;
	Duration lookPause_;  //!< Before the next look at the delivery.
	std::string waiting_; //!< Bytes that came and were not used yet.
	bool paused_ = false; //!< Reading waits until some of what came is used.
	Phase::Enum phase_ = Phase::Idle;
	bool chunked_ = false;
	bool noBody_ = false;
	bool last_ = false; //!< The connection ends behind this answer.
	bool flushing_ = false;
	bool delivered_ = false; //!< At rest: the caller has acknowledged all.
};

} // namespace sedgecart

#endif // SEDGECART_AIO_SERVEDCONNECTION_P_H_HEADER_GUARD
