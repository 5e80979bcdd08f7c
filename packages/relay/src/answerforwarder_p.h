// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_ANSWERFORWARDER_P_H_HEADER_GUARD
#define SEDGECART_RELAY_ANSWERFORWARDER_P_H_HEADER_GUARD

#include "relaylog_p.h"

#include <aio/serverconnection.h>
#include <base/errorkind.h>
#include <base/units.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sedgecart
{

struct MessageHead;
struct RelayContext;
struct RelayPlan;

/// What is known of a refused request.
struct Refusal
{
	std::optional<Duration> retryAfter; //!< Time after which a retry may succeed, if known.
	uint64_t tokens = 0;                //!< That it would occupy at each layer.
	std::string atFault;                //!< "ip:port" of the target that an answer names as being at fault.
};

/// Forwards an answer to the caller of one request, and records its timing. Loop thread only.
class AnswerForwarder
{
public:
	/// All arguments except the caller must outlive this object.
	AnswerForwarder(const RelayContext& _context, const RelayPlan& _plan, const RelayLog& _log,
	                std::shared_ptr<ServerConnection> _caller);

	/// Forwards the head of an answer whose body follows in pieces.
	void forwardHead(const MessageHead& _head);

	/// Forwards a piece of the body that consists of whole events.
	/// @returns false if the caller reads too slowly and its unsent backlog is too large.
	bool forwardPiece(std::string_view _bytes);

	/// Completes an answer that was forwarded in pieces.
	/// @param _status HTTP status of its last target.
	void forwardEnd(uint16_t _status);

	/// Forwards a complete answer.
	void forwardWhole(const MessageHead& _head, const std::string& _body);

	/// Answers with an error of the router itself, and logs it.
	void refuse(const ErrorResponse& _answer, const Refusal& _refusal);

	/// Resets the connection of a caller that does not read its answer.
	void resetCaller();

	/// Aborts an answer that has begun, so that it does not appear complete.
	void breakOff();

	/// Records that bytes of a stream arrived.
	/// @param _events number of events before them.
	/// @param _resumedAt when the stream last resumed at a target after a wait for capacity.
	/// @returns the pause before these bytes; zero for the first event.
	Duration recordProgress(uint64_t _events, Time _resumedAt);

	/// @returns when bytes of the stream last arrived; zero if never.
	Time lastReceivedAt() const
	{
		return times_.lastAt;
	}

	/// @returns when events were last forwarded; zero if never.
	Time lastForwardedAt() const
	{
		return lastForwardedAt_;
	}

private:
	const RelayContext& context_;
	const RelayPlan& plan_;
	const RelayLog& log_;
	std::shared_ptr<ServerConnection> caller_;
	AnswerTimes times_;
	Time lastForwardedAt_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_ANSWERFORWARDER_P_H_HEADER_GUARD
