// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_WIREFORMAT_H_HEADER_GUARD
#define SEDGECART_PORTS_WIREFORMAT_H_HEADER_GUARD

#include <aio/serverconnection.h>
#include <base/advertisedrate.h>
#include <base/runner.h>
#include <base/units.h>
#include <ports/pathstop.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

/// What a caller's request says, apart from its body.
struct CallerRequest
{
	std::string id; //!< Of this attempt of the caller; goes to the target as it came.
	std::string host;
	std::string key;                     //!< Bearer key; empty if none came.
	std::optional<Duration> budget;      //!< How long the caller waits.
	std::optional<uint64_t> resumeAfter; //!< The caller continues a stream behind this event.
	uint32_t promptTokens = 0;
	uint32_t mostTokens = 0;   //!< Upper bound of the answer.
	uint32_t hintedTokens = 0; //!< The caller's estimate of the answer; 0: none.
};

/// How a request is sent to a target.
struct TargetCall
{
	InstanceId expected;        //!< Any other instance refuses it.
	std::string customer;       //!< Whose key it carried; empty if none.
	Duration budget;            //!< What is left of the caller's time and the route's.
	std::vector<PathStop> path; //!< Empty for a plain service.
	std::optional<uint64_t> resumeAfter;
	uint32_t urgency = 5;
};

/// Whether a target's answer names the most requests a second that the target takes from all nodes together.
struct RateNotice
{
	enum Enum
	{
		None,
		Named,
		Unreadable, //!< It names something that is no rate.

		Count
	};
};

/// Whether a refusal asks this node to back off: to send the target nothing for a while.
struct BackoffNotice
{
	enum Enum
	{
		None,
		Asked,
		Unreadable, //!< It names something that is no span of time.

		Count
	};
};

/// What a target's answer says of itself.
struct TargetAnswer
{
	std::string id;        //!< Of the request that it answers; empty if it names none.
	bool notRun = false;   //!< The target says that it did not run the request, and will not.
	bool notHeld = false;  //!< The stop at fault does not hold its part, or is another instance than was meant.
	bool isSigned = false; //!< It carries the signature without which no answer counts as a success.
	std::string atFault;   //!< "ip:port" of the stop that refused; empty if it names none.
	RateNotice::Enum rateNotice = RateNotice::None;
	RequestRate rateLimit; //!< Of the target that answers, if it is named.
	BackoffNotice::Enum backoffNotice = BackoffNotice::None;
	Duration backoff;        //!< That the target asks for.
	bool isDraining = false; //!< The target that answers is about to end.
};

/// Reads and writes what callers and targets speak. Translates only; safe from any thread.
class WireFormatI
{
public:
	virtual ~WireFormatI() = default;

	/// @returns true if the request asks whether this node takes new connections.
	virtual bool asksReady(const MessageHead& _head) const = 0;

	/// @returns false if the request lacks something or says something twice.
	virtual bool readRequest(const ServerRequest& _request, CallerRequest& _read) const = 0;

	/// @returns the request as it goes to a target.
	virtual std::string targetRequest(const ServerRequest& _request, const TargetCall& _call) const = 0;

	virtual TargetAnswer readAnswer(const MessageHead& _head) const = 0;

	/// @returns the headers of a target's answer that the caller gets.
	virtual HeaderList callerHeaders(const HeaderList& _answer) const = 0;

	/// @returns the headers of an answer of the router's own.
	/// @param _retryAfter when to come back; 0: not said.
	virtual HeaderList ownHeaders(const std::string& _id, Duration _retryAfter) const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_WIREFORMAT_H_HEADER_GUARD
