// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_PLAINSERVICE_H_HEADER_GUARD
#define SEDGECART_TARGET_PLAINSERVICE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

/// A call to an application runner.
struct ServiceCall
{
	std::string address; //!< "ip:port".
	std::string method;
	std::string path; //!< With the query.
	std::string contentType;
	std::string body;
	std::string request; //!< Request id, passed on.
	std::string key;     //!< Caller's idempotency key, passed on; may be empty.
	Duration timeout;
};

/// What came of a call.
struct ServiceState
{
	enum Enum
	{
		Answered,
		Refused,     //!< The service said that it did not run it.
		Unreachable, //!< It was never reached.
		Lost,        //!< A byte may have reached it, no whole answer came.

		Count
	};
};

/// What came of a call, with the answer.
struct ServiceOutcome
{
	ServiceState::Enum state = ServiceState::Lost;
	uint16_t status = 0;
	std::string contentType;
	std::string body;
	std::string detail;
};

/// An application runner.
class PlainServiceI
{
public:
	virtual ~PlainServiceI() = default;

	/// Makes one call, once.
	virtual ServiceOutcome call(const ServiceCall& _call) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_PLAINSERVICE_H_HEADER_GUARD
