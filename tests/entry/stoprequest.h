// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_STOPREQUEST_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_STOPREQUEST_H_HEADER_GUARD

#include <chrono>
#include <string>

namespace sedgecart
{

class StopSite;
class TestCaller;

/// How a request that was sent around a stop ended, as its caller and the targets saw it.
struct StopOutcome
{
	enum Enum
	{
		NotSent,   //!< The node had closed the connection before.
		Served,    //!< Whole answer of a target.
		Refused,   //!< Whole answer that promises that it has not run.
		Failed,    //!< Another whole answer.
		OutOfTime, //!< Its answer ended early, after all of its caller's time.
		Unread,    //!< Closed at once without an answer; no target was sent it.
		Held,      //!< Closed without an answer after a time in which the node has read it; no target was sent it.
		Cut,       //!< A target was sent it, and no whole answer came.

		Count
	};
};

const char* nameOf(StopOutcome::Enum _outcome);

/// One request that a caller sends around a stop.
struct StopRequest
{
	std::string id;
	bool isStream = false;
	std::chrono::milliseconds budget{20000}; //!< Time that its caller waits.

	/// @returns the text to send.
	std::string text() const;
};

/// What became of a request.
struct StopAnswer
{
	StopOutcome::Enum outcome = StopOutcome::NotSent;
	std::chrono::steady_clock::time_point sentAt; //!< Of the last part, not later than it was.
	bool isPromiseBroken = false; //!< It was told that it has not run, and it may not be repeated, and it has run.
	bool mayReuse = false;        //!< The connection can be used again.
};

/// Sends the rest of a request and waits for its answer.
/// @param _text what is not sent yet.
StopAnswer sendRest(TestCaller& _caller, const StopRequest& _request, const std::string& _text, const StopSite& _site);

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_STOPREQUEST_H_HEADER_GUARD
