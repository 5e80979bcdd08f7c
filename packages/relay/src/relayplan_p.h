// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RELAYPLAN_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RELAYPLAN_P_H_HEADER_GUARD

#include <aio/serverconnection.h>
#include <base/requestidentity.h>
#include <base/units.h>
#include <core/relaymachine.h>
#include <ports/wireformat.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

/// Properties of a request that are fixed at its admission.
struct RelayPlan
{
	std::shared_ptr<const ServerRequest> request; //!< Shared with sends that are under way.
	CallerRequest caller;
	RequestIdentity identity;
	std::vector<RequestIdentity> promptParts; //!< The parts of its prompt that other requests may share.
	std::string customer;
	std::string service;
	RequestTraits facts;
	uint32_t urgency = 5;
	bool wasHandedOver = false; //!< Handed over by another node; it is not handed over again.
	bool isPrioritized = false; //!< Its service admits by urgency under overload.
	Duration objective;         //!< Time to the first event of an answer that is on time; 0: none given.
	Duration pauseObjective;    //!< Longest pause within a stream that meets its objective; 0: none given.
	Time arrivedAt;
	Time deadline;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RELAYPLAN_P_H_HEADER_GUARD
