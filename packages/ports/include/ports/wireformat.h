// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_WIREFORMAT_H_HEADER_GUARD
#define SEDGECART_PORTS_WIREFORMAT_H_HEADER_GUARD

#include <aio/serverconnection.h>
#include <base/advertisedrate.h>
#include <base/runner.h>
#include <base/units.h>
#include <ports/stageendpoint.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

/// Fields of a caller's request, without its body.
struct CallerRequest
{
	std::string id; //!< Of this attempt of the caller; forwarded to the target unchanged.
	std::string host;
	std::string key;                      //!< Bearer key; empty if there is none.
	std::optional<Duration> budget;       //!< How long the caller waits.
	std::optional<uint64_t> resumeAfter;  //!< The caller resumes a stream after this event.
	std::vector<std::string> sharedParts; //!< Names of the prompt's parts but the last, which is the request's own.
	uint32_t promptTokens = 0;
	uint32_t maxTokens = 0;    //!< Upper bound of the answer.
	uint32_t hintedTokens = 0; //!< The caller's estimate of the answer; 0: none.
};

/// How a request is sent to a target.
struct TargetCall
{
	InstanceId expected;             //!< Any other instance refuses it.
	std::string customer;            //!< Owner of the request's key; empty if none.
	Duration budget;                 //!< Remaining part of the caller's and the route's time limit.
	std::vector<StageEndpoint> path; //!< Empty for a plain service.
	std::optional<uint64_t> resumeAfter;
	uint32_t urgency = 5;
};

/// How a request is handed to another node, which admits it by its own desired state.
struct HandoverCall
{
	Duration budget; //!< Remaining part of the caller's and the route's time limit.
	std::optional<uint64_t> resumeAfter;
};

/// Whether a target's answer names a rate limit: requests per second that it accepts from all nodes together.
struct RateNotice
{
	enum Enum
	{
		None,
		Named,
		Unreadable, //!< The value is no rate.

		Count
	};
};

/// Whether a refusal asks this node to back off: to send the target no requests for a while.
struct BackoffNotice
{
	enum Enum
	{
		None,
		Asked,
		Unreadable, //!< The value is no duration.

		Count
	};
};

/// Fields of a target's answer, without its body.
struct TargetResponse
{
	std::string id;             //!< Id of the answered request; empty if it names none.
	bool notExecuted = false;   //!< The target reports that it did not run the request, and will not.
	bool layersNotHeld = false; //!< The stage at fault does not hold its layers, or is not the expected instance.
	bool isSigned = false;      //!< It carries the signature that an answer needs to count as a success.
	bool isInvalid = false; //!< It names its request or its signature twice, or its body is encoded: it is no answer.
	std::string atFault;    //!< "ip:port" of the stage that refused; empty if it names none.
	RateNotice::Enum rateNotice = RateNotice::None;
	RequestRate rateLimit; //!< Rate limit of the answering target, if named.
	BackoffNotice::Enum backoffNotice = BackoffNotice::None;
	Duration backoff;        //!< Requested backoff, if asked.
	bool isDraining = false; //!< The answering target is about to stop.
};

/// Parses and formats the messages of callers and targets. Stateless; safe from any thread.
class WireFormatI
{
public:
	virtual ~WireFormatI() = default;

	/// @returns true if the request is a readiness check: whether this node accepts new connections.
	virtual bool isReadinessCheck(const MessageHead& _head) const = 0;

	/// @returns false if a required field is missing or a field occurs twice.
	virtual bool parseRequest(const ServerRequest& _request, CallerRequest& _read) const = 0;

	/// @returns the head of the request in the format that is sent to a target, up to the blank line; the body follows
	/// it unchanged.
	virtual std::string formatTargetHead(const ServerRequest& _request, const TargetCall& _call) const = 0;

	/// @returns the same in the format that is sent to another node.
	virtual std::string formatHandoverHead(const ServerRequest& _request, const HandoverCall& _call) const = 0;

	virtual TargetResponse parseResponse(const MessageHead& _head) const = 0;

	/// @returns the headers of a target's answer that are forwarded to the caller.
	virtual HeaderList callerHeaders(const HeaderList& _answer) const = 0;

	/// @returns the headers of an answer that the router itself generates.
	/// @param _retryAfter when the caller may retry; 0: not stated.
	virtual HeaderList routerHeaders(const std::string& _id, Duration _retryAfter) const = 0;

	/// States in the headers of an answer to another node that the request was not run and will not be.
	virtual void addNotExecuted(HeaderList& _headers) const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_WIREFORMAT_H_HEADER_GUARD
