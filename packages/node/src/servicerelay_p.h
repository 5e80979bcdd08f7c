// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_SERVICERELAY_P_H_HEADER_GUARD
#define SEDGECART_NODE_SERVICERELAY_P_H_HEADER_GUARD

#include <base/chain.h>
#include <base/error.h>
#include <base/result.h>
#include <core/claimtable.h>
#include <core/dispatcher.h>
#include <http/httpreply.h>
#include <target/plainservice.h>

#include <optional>
#include <string>

namespace sedgecart
{

struct Caller;
struct NodeContext;

/// A caller's request to a plain service.
struct ServiceRequest
{
	std::string method;
	std::string path; //!< Path at the service, including the query.
	std::string contentType;
	std::string body;
	std::string idempotencyKey; //!< Caller's idempotency key; may be empty.
};

/// Relays one call to a plain service. A call that is not repeatable is made at most once. With an idempotency key,
/// this holds for all calls with the same key, on whichever nodes they arrive. Not thread-safe.
class ServiceRelay
{
public:
	ServiceRelay(const NodeContext& _context, const Caller& _caller, const ServiceRequest& _request);

	/// Runs the call, blocking until it has ended.
	/// @returns the service's response, or an error reply.
	HttpReply run();

private:
	HttpReply runClaimed();
	/// @returns the reply for a key that was claimed before: the stored outcome, or an error.
	HttpReply replyFromClaim(const ClaimEntry& _entry);
	Result<ServiceOutcome> dispatch();
	Result<ServiceOutcome> callOn(const Chain& _chain);
	/// Handles a call that was refused or got no response.
	/// @returns the error to reply with, nothing if the call may be sent again.
	std::optional<Error> onCallFailed(const ServiceOutcome& _outcome, const Chain& _chain);
	/// Queues the outcome of a claimed call to be appended to the log.
	void recordOutcome(const Result<ServiceOutcome>& _outcome);
	HttpReply fail(const Error& _error);
	HttpReply answer(const Result<ServiceOutcome>& _outcome);
	ClaimRecord claimRecord(ClaimVerb::Enum _verb) const;
	/// @returns true if the node incarnation that made the claim is still running.
	bool isClaimantAlive(const std::string& _claimant) const;
	Submission submission() const;

	const NodeContext& context_;
	const Caller& caller_;
	const ServiceRequest& request_;
	std::vector<TargetHandle> avoided_;
	uint32_t attempts_ = 0;
	bool refusedByTarget_ = false; //!< The last attempt was refused by a full target.
};

} // namespace sedgecart

#endif // SEDGECART_NODE_SERVICERELAY_P_H_HEADER_GUARD
