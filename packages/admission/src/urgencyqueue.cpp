// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "urgencyqueue_p.h"

#include <admission/pendingrequest.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

constexpr uint32_t kWeight = 1; // all customers have the same

uint32_t costOf(uint64_t _tokens)
{
	return static_cast<uint32_t>(std::min<uint64_t>(_tokens, std::numeric_limits<uint32_t>::max()));
}

std::pair<int64_t, uint64_t> keyOf(const PendingRequest& _request)
{
	return {_request.startBy.micros, _request.id};
}

} // namespace

void UrgencyQueue::push(const PendingRequest& _request)
{
	Customer& customer = customers_[_request.customer];
	customer.requests.emplace(keyOf(_request), &_request);
	customer.tokens += _request.tokens;
	++size_;
	renewTicket(_request.customer, customer);
}

/// Makes the ticket of a customer that of its first request.
void UrgencyQueue::renewTicket(const std::string& _name, Customer& _customer)
{
	const PendingRequest* const first = _customer.requests.empty() ? nullptr : _customer.requests.begin()->second;
	const uint64_t wanted = nullptr == first ? 0 : first->id;
	if (wanted == _customer.ticket)
	{
		return;
	}
	if (0 != _customer.ticket)
	{
		tickets_.withdraw(_name, _customer.ticket);
	}
	_customer.ticket = wanted;
	if (nullptr != first)
	{
		WaitingRequest ticket;
		ticket.id = first->id;
		ticket.customer = _name;
		ticket.weight = kWeight;
		ticket.cost = costOf(first->tokens);
		tickets_.push(ticket);
	}
}

const PendingRequest* UrgencyQueue::front() const
{
	const WaitingRequest* const ticket = tickets_.front();
	return nullptr == ticket ? nullptr : customers_.at(ticket->customer).requests.begin()->second;
}

void UrgencyQueue::pop()
{
	const PendingRequest* const first = front();
	if (nullptr == first)
	{
		return;
	}
	tickets_.pop();
	Customer& customer = customers_[first->customer];
	customer.ticket = 0;
	forget(*first, customer);
}

void UrgencyQueue::remove(const PendingRequest& _request)
{
	const auto row = customers_.find(_request.customer);
	if (customers_.end() != row && 0 < row->second.requests.count(keyOf(_request)))
	{
		forget(_request, row->second);
	}
}

void UrgencyQueue::forget(const PendingRequest& _request, Customer& _customer)
{
	_customer.requests.erase(keyOf(_request));
	_customer.tokens -= _request.tokens;
	--size_;
	renewTicket(_request.customer, _customer);
	if (_customer.requests.empty())
	{
		customers_.erase(_request.customer);
	}
}

void UrgencyQueue::charge(const std::string& _customer, uint64_t _tokens)
{
	tickets_.charge(_customer, kWeight, costOf(_tokens));
}

const PendingRequest* UrgencyQueue::leastNeeded() const
{
	const PendingRequest* found = nullptr;
	uint64_t mostTokens = 0;
	for (const auto& row : customers_)
	{
		const Requests& requests = row.second.requests;
		const auto last = std::find_if(requests.rbegin(), requests.rend(),
		                               [](const Requests::value_type& _one)
		                               {
			                               return !_one.second->hasBegun;
		                               });
		if (requests.rend() != last && (nullptr == found || mostTokens < row.second.tokens))
		{
			found = last->second;
			mostTokens = row.second.tokens;
		}
	}
	return found;
}

} // namespace sedgecart
