// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RELAYSEND_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RELAYSEND_P_H_HEADER_GUARD

#include <aio/clientconnection.h>
#include <base/units.h>
#include <fleet/fleetview.h>
#include <ports/wireformat.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sedgecart
{

class RequestRelay;

/// One send of a request to a target: its connection, and what came of it so far. Loop thread only.
class RelaySend : public ExchangeHandlerI
{
public:
	/// @param _relay must outlive it.
	/// @param _target that it goes to.
	RelaySend(RequestRelay& _relay, const FleetTarget& _target, std::unique_ptr<ClientConnection> _connection);

	/// @param _connectBound longest wait for the connection.
	void begin(std::string _request, Duration _connectBound);

	/// Ends it; nothing more comes of it.
	void close();

	/// @returns its connection, for another request.
	std::unique_ptr<ClientConnection> takeConnection();

	void onSent() override;
	HeadVerdict::Enum onHead(MessageHead& _head) override;
	void onBody(std::string_view _bytes) override;
	void onWhole() override;
	void onBroken(ExchangeBreak::Enum _how) override;

	const FleetTarget target;    //!< That it went to.
	uint64_t run = 0;            //!< Number of this run, for CrashWatch.
	MessageHead head;            //!< Of the answer.
	std::string body;            //!< Of the answer, when it is passed on whole.
	TargetAnswer answer;         //!< What the head says.
	Time progressAt;             //!< Of its last event, or of the send.
	uint64_t eventsBefore = 0;   //!< Events that came before it.
	uint32_t repathsLeft = 0;    //!< Other paths that it may still try.
	bool repathing = false;      //!< An order for another path is under way.
	bool mayHaveChanged = false; //!< An order for another path that got no answer may have been carried out.
	bool sound = true;           //!< The answer may be passed on.

private:
	RequestRelay& relay_;
	std::unique_ptr<ClientConnection> connection_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RELAYSEND_P_H_HEADER_GUARD
