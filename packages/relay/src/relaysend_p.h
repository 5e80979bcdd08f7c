// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RELAYSEND_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RELAYSEND_P_H_HEADER_GUARD

#include <aio/clientconnection.h>
#include <base/units.h>
#include <fleet/fleetview.h>
#include <ports/wireformat.h>
#include <relay/targetconnection.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sedgecart
{

class RequestRelay;

/// One send of a request to a target: its connection and the state of the exchange. Loop thread only.
class RelaySend : public ExchangeHandlerI
{
public:
	/// @param _relay must outlive this object.
	/// @param _target receives the request.
	RelaySend(RequestRelay& _relay, const FleetTarget& _target, std::unique_ptr<TargetConnection> _connection);

	/// Starts the exchange.
	/// @param _connectTimeout longest wait for the connection.
	void begin(OutgoingRequest _request, Duration _connectTimeout);

	/// Closes the connection; no handler is called afterwards.
	void close();

	/// @returns true if the head of its answer reports a success.
	bool hasSucceeded() const
	{
		constexpr uint16_t kOk = 200;
		constexpr uint16_t kMultipleChoices = 300;
		return kOk <= head.status && head.status < kMultipleChoices;
	}

	/// @returns the connection, to be reused for another request.
	std::unique_ptr<TargetConnection> takeConnection();

	void onSent() override;
	HeadVerdict::Enum onHead(MessageHead& _head) override;
	void onBody(std::string_view _bytes) override;
	void onComplete() override;
	void onFailed(ExchangeFailure::Enum _how) override;

	const FleetTarget target;     //!< Receives the request; the head of the path.
	uint64_t runNumber = 0;       //!< Run number assigned by CrashDetector.
	MessageHead head;             //!< Head of the answer.
	std::string body;             //!< Body of the answer, if it is buffered.
	TargetResponse answer;        //!< Parsed from `head`.
	Time lastProgressAt;          //!< When its last event arrived, or when it was sent.
	uint64_t receivedBytes = 0;   //!< Of the answer's body.
	uint64_t eventsBefore = 0;    //!< Events of the request before this send.
	uint32_t repathsLeft = 0;     //!< Number of alternative paths that it may still try.
	bool repathing = false;       //!< An order to change the path is pending.
	bool mayHaveRepathed = false; //!< An unanswered order to change the path may have been executed.
	bool hasBegun = false;        //!< It has delivered an event.
	bool isToPeer = false;        //!< `target` is another node.
	const bool isNewConnection;   //!< It has to establish its connection first.

private:
	RequestRelay& relay_;
	std::unique_ptr<TargetConnection> connection_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RELAYSEND_P_H_HEADER_GUARD
