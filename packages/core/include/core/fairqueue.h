// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_FAIRQUEUE_H_HEADER_GUARD
#define SEDGECART_CORE_FAIRQUEUE_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// A request that is queued until slots are free.
struct WaitingRequest
{
	uint64_t id = 0;
	std::string customer;
	uint32_t weight = 1; //!< Weight of the customer, at least 1.
	uint32_t cost = 1;   //!< Requested tokens, at least 1.
	Time since;
	Time expiresAt; //!< The request is refused if it is still queued then.
};

/// Weighted fair queue over customers (start-time fair queueing, SFQ). Not thread-safe.
class FairQueue
{
public:
	/// Appends a request to the queue of its customer.
	void push(const WaitingRequest& _request);

	/// Inserts a request before all queues of customers, behind other such requests: work that has started and must
	/// continue.
	void pushFront(const WaitingRequest& _request);

	/// @returns the request that is next, null if none is queued.
	const WaitingRequest* front() const;

	/// Removes the request that is next.
	void pop();

	/// Removes a request at any position.
	/// @returns false if it is not queued.
	bool remove(uint64_t _id);

	/// Removes the last queued request of a customer as if it had never been queued: its cost is not charged.
	/// @returns false if that is another request.
	bool withdraw(const std::string& _customer, uint64_t _id);

	/// Charges a customer for work that started without being queued.
	void charge(const std::string& _customer, uint32_t _weight, uint32_t _cost);

	/// Removes and returns all expired requests.
	std::vector<WaitingRequest> expire(Time _now);

	/// @returns the number of queued requests of one customer.
	std::size_t queuedOf(const std::string& _customer) const;

	/// @returns the estimated number of queued requests that start before a new one of this customer.
	std::size_t aheadOf(const std::string& _customer, uint32_t _weight) const;

	std::size_t size() const
	{
		return size_;
	}

private:
	struct Entry
	{
		WaitingRequest request;
		double startTag = 0; //!< SFQ start tag, in virtual time.
	};
	struct Flow
	{
		std::deque<Entry> entries;
		double finishTag = 0; //!< SFQ finish tag of the last request, in virtual time.
		uint32_t weight = 1;
	};

	std::map<std::string, Flow>::const_iterator frontFlow() const;
	void removeIdleFlows();

	std::deque<WaitingRequest> urgent_;
	std::map<std::string, Flow> flows_;
	double virtualTime_ = 0;
	std::size_t size_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_FAIRQUEUE_H_HEADER_GUARD
