// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_URGENCYQUEUE_P_H_HEADER_GUARD
#define SEDGECART_ADMISSION_URGENCYQUEUE_P_H_HEADER_GUARD

#include <core/fairqueue.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sedgecart
{

struct PendingRequest;

/// Waiting requests of one urgency: start-time fair queueing across customers by tokens, the earliest `startBy` first
/// within a customer. Keeps one customer's burst from taking the capacity of the others. Refers to the requests that
/// are pushed; they must stay where they are until they are removed.
class UrgencyQueue
{
public:
	void push(const PendingRequest& _request);

	/// @returns the request that is next, null if there is none.
	const PendingRequest* front() const;

	/// Removes the next request and charges its customer.
	void pop();

	/// Removes a request at any position, without charge.
	void remove(const PendingRequest& _request);

	/// Charges a customer for a request that was admitted without being queued.
	void charge(const std::string& _customer, uint64_t _tokens);

	/// @returns the request to displace first: of the customer with the most waiting tokens, the one with the most time
	/// left. Null if all have begun.
	const PendingRequest* leastNeeded() const;

	std::size_t size() const
	{
		return size_;
	}

private:
	/// Requests of a customer by `startBy` in microseconds and id.
	using Requests = std::map<std::pair<int64_t, uint64_t>, const PendingRequest*>;

	/// A customer with waiting requests. Only its first request has a ticket in the fair queue, so that a customer is
	/// charged for admitted requests and not for those that expire.
	struct Customer
	{
		Requests requests;
		uint64_t ticket = 0; //!< Id of its first request, which is in the fair queue.
		uint64_t tokens = 0;
	};

	void renewTicket(const std::string& _name, Customer& _customer);
	void forget(const PendingRequest& _request, Customer& _customer);

	FairQueue tickets_;
	std::map<std::string, Customer> customers_;
	std::size_t size_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_URGENCYQUEUE_P_H_HEADER_GUARD
