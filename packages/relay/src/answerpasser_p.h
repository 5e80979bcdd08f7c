// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_ANSWERPASSER_P_H_HEADER_GUARD
#define SEDGECART_RELAY_ANSWERPASSER_P_H_HEADER_GUARD

#include "relaylog_p.h"

#include <aio/serverconnection.h>
#include <base/errorkind.h>
#include <base/units.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sedgecart
{

struct MessageHead;
struct RelayContext;
struct RelayPlan;

/// Passes an answer on to the caller of one request, and keeps its times. Loop thread only.
class AnswerPasser
{
public:
	/// All but the caller must outlive it.
	AnswerPasser(const RelayContext& _context, const RelayPlan& _plan, const RelayLog& _log,
	             std::shared_ptr<ServerConnection> _caller);

	/// Begins an answer whose pieces follow.
	void passHead(const MessageHead& _head);

	/// Whole events.
	/// @returns false if the caller leaves too much untaken.
	bool passPiece(std::string_view _bytes);

	/// The answer passed on in pieces is complete.
	/// @param _status of its last target.
	void passEnd(uint16_t _status);

	void passWhole(const MessageHead& _head, const std::string& _body);

	/// Answers with a failure of the router's own.
	/// @param _comeBack when coming back helps, if that is known.
	void refuse(const ErrorAnswer& _answer, std::optional<Duration> _comeBack);

	/// Resets a caller that does not take its answer.
	void giveUp();

	/// Ends an answer that was begun, so that it does not look complete.
	void breakOff();

	/// Bytes of a stream came.
	/// @param _events that came before.
	/// @param _placedAt when it last went on at a target behind a wait.
	/// @returns the pause that they ended; none before the first event.
	Duration noteProgress(uint64_t _events, Time _placedAt);

	/// @returns when bytes of the stream came last; zero if never.
	Time lastAt() const
	{
		return times_.lastAt;
	}

	/// @returns when events were passed on last; zero if never.
	Time passedAt() const
	{
		return passedAt_;
	}

private:
	const RelayContext& context_;
	const RelayPlan& plan_;
	const RelayLog& log_;
	std::shared_ptr<ServerConnection> caller_;
	AnswerTimes times_;
	Time passedAt_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_ANSWERPASSER_P_H_HEADER_GUARD
