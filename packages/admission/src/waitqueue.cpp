// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/waitqueue.h>

#include "urgencyqueue_p.h"

#include <algorithm>

namespace sedgecart
{

WaitQueue::WaitQueue(std::size_t _maxRequests) : maxRequests_(_maxRequests)
{
	for (std::unique_ptr<UrgencyQueue>& queue : classes_)
	{
		queue = std::make_unique<UrgencyQueue>();
	}
}

WaitQueue::~WaitQueue() = default;

WaitQueue::BegunKey WaitQueue::begunKey(const PendingRequest& _request)
{
	return {{_request.urgency, _request.startBy.micros}, _request.id};
}

WaitQueue::AlarmKey WaitQueue::alarmKey(const Entry& _entry)
{
	const PendingRequest& request = _entry.request;
	return {(_entry.isOnTime ? std::min(request.startBy, request.expiresAt) : request.expiresAt).micros, request.id};
}

WaitQueue::PushOutcome WaitQueue::push(const PendingRequest& _request, bool _hasRoom)
{
	PushOutcome outcome;
	const bool isFull = maxRequests_ <= requests_.size();
	const uint64_t missing = _hasRoom || _request.hasBegun ? 0 : _request.tokens;
	if ((isFull || 0 < missing) && !displaceFor(_request, missing, outcome.displaced))
	{
		return outcome;
	}
	Entry entry;
	entry.request = _request;
	entry.request.urgency = std::min<uint32_t>(_request.urgency, kUrgencies - 1);
	entry.request.tokens = std::max<uint64_t>(1, _request.tokens);
	entry.isOnTime = _request.hasBegun;
	outcome.ahead = ahead(entry.request);
	outcome.isQueued = true;
	Entry& queued = requests_[_request.id];
	queued = std::move(entry);
	tokens_[queued.request.urgency] += queued.request.tokens;
	alarms_.insert(alarmKey(queued));
	insert(queued);
	return outcome;
}

/// Removes less urgent requests, at least one and at least so many tokens.
/// @returns false if there are not enough; nothing is changed then.
bool WaitQueue::displaceFor(const PendingRequest& _request, uint64_t _tokens, std::vector<PendingRequest>& _displaced)
{
	uint64_t freed = 0;
	for (std::size_t urgency = kUrgencies; urgency-- > 0;)
	{
		const bool isLessUrgent = _request.hasBegun || _request.urgency < urgency;
		const PendingRequest* last = isLessUrgent ? classes_[urgency]->leastNeeded() : nullptr;
		while (nullptr != last && (_displaced.empty() || freed < _tokens))
		{
			freed += last->tokens;
			_displaced.push_back(*last);
			removeAll(requests_.at(last->id));
			last = classes_[urgency]->leastNeeded();
		}
	}
	if (!_displaced.empty() && _tokens <= freed)
	{
		return true;
	}
	for (const PendingRequest& displaced : _displaced)
	{
		push(displaced, true);
	}
	_displaced.clear();
	return false;
}

std::size_t WaitQueue::ahead(const PendingRequest& _request) const
{
	std::size_t count = begun_.size();
	for (std::size_t urgency = 0; urgency <= _request.urgency && !_request.hasBegun; ++urgency)
	{
		count += classes_[urgency]->size();
	}
	return count;
}

void WaitQueue::insert(const Entry& _entry)
{
	if (_entry.isOnTime)
	{
		begun_.insert(begunKey(_entry.request));
		return;
	}
	classes_[_entry.request.urgency]->push(_entry.request);
	if (_entry.request.hasBegun)
	{
		lateBegun_.insert(begunKey(_entry.request));
	}
}

/// Removes a request from the order of admission only.
void WaitQueue::erase(const Entry& _entry)
{
	if (_entry.isPassedOver)
	{
		passedOver_.erase(std::remove(passedOver_.begin(), passedOver_.end(), _entry.request.id), passedOver_.end());
		return;
	}
	if (_entry.isOnTime)
	{
		begun_.erase(begunKey(_entry.request));
		return;
	}
	classes_[_entry.request.urgency]->remove(_entry.request);
	lateBegun_.erase(begunKey(_entry.request));
}

void WaitQueue::removeAll(const Entry& _entry)
{
	erase(_entry);
	alarms_.erase(alarmKey(_entry));
	const uint32_t urgency = _entry.request.urgency;
	tokens_[urgency] -= _entry.request.tokens;
	requests_.erase(_entry.request.id);
	if (0 == tokens_[urgency])
	{
		floorCredit_[urgency] = 0; // a floor is due only while requests wait
	}
}

/// @returns the queue of the urgency to admit from: the least urgent one that is short of its floor, else the most
/// urgent one. Null if all are empty.
const UrgencyQueue* WaitQueue::nextClass() const
{
	const UrgencyQueue* mostUrgent = nullptr;
	for (std::size_t urgency = kUrgencies; urgency-- > 0;)
	{
		const PendingRequest* const front = classes_[urgency]->front();
		if (nullptr == front)
		{
			continue;
		}
		if (static_cast<double>(front->tokens) <= floorCredit_[urgency])
		{
			return classes_[urgency].get();
		}
		mostUrgent = classes_[urgency].get();
	}
	return mostUrgent;
}

bool WaitQueue::isNextByFloor() const
{
	const UrgencyQueue* const queue = begun_.empty() ? nextClass() : nullptr;
	const auto mostUrgent = std::find_if(classes_.begin(), classes_.end(),
	                                     [](const std::unique_ptr<UrgencyQueue>& _class)
	                                     {
		                                     return nullptr != _class->front();
	                                     });
	return nullptr != queue && queue != mostUrgent->get();
}

const PendingRequest* WaitQueue::next() const
{
	if (!begun_.empty())
	{
		return &requests_.at(begun_.begin()->second).request;
	}
	const UrgencyQueue* const queue = nextClass();
	return nullptr == queue ? nullptr : queue->front();
}

const PendingRequest* WaitQueue::nextBegun() const
{
	const std::set<BegunKey>& keys = begun_.empty() ? lateBegun_ : begun_;
	return keys.empty() ? nullptr : &requests_.at(keys.begin()->second).request;
}

void WaitQueue::admit(uint64_t _id)
{
	const Entry& entry = requests_.at(_id);
	const uint32_t urgency = entry.request.urgency;
	const std::string customer = entry.request.customer;
	const uint64_t tokens = entry.request.tokens;
	const bool isCharged = !entry.isOnTime;
	creditFloors(entry.request);
	const PendingRequest* const front = classes_[urgency]->front();
	if (isCharged && nullptr != front && _id == front->id)
	{
		lateBegun_.erase(begunKey(entry.request));
		classes_[urgency]->pop();
		removeAll(entry);
		return;
	}
	removeAll(entry);
	if (isCharged)
	{
		charge(customer, urgency, tokens);
	}
}

/// Credits each waiting urgency with its floor of the admitted tokens, and charges the admitted one.
void WaitQueue::creditFloors(const PendingRequest& _admitted)
{
	const auto tokens = static_cast<double>(_admitted.tokens);
	for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		floorCredit_[urgency] += 0 < tokens_[urgency] ? tokens * kUrgencyFloor : 0;
	}
	double& own = floorCredit_[_admitted.urgency];
	own = std::max(0.0, own - tokens);
}

void WaitQueue::passOver(uint64_t _id)
{
	Entry& entry = requests_.at(_id);
	erase(entry);
	entry.isPassedOver = true;
	passedOver_.push_back(_id);
}

void WaitQueue::restorePassedOver()
{
	for (const uint64_t id : passedOver_)
	{
		Entry& entry = requests_.at(id);
		entry.isPassedOver = false;
		insert(entry);
	}
	passedOver_.clear();
}

bool WaitQueue::remove(uint64_t _id)
{
	const auto row = requests_.find(_id);
	if (requests_.end() == row)
	{
		return false;
	}
	removeAll(row->second);
	return true;
}

std::vector<PendingRequest> WaitQueue::expire(Time _now)
{
	std::vector<PendingRequest> expired;
	while (!alarms_.empty() && alarms_.begin()->first <= _now.micros)
	{
		Entry& entry = requests_.at(alarms_.begin()->second);
		if (!(_now < entry.request.expiresAt))
		{
			expired.push_back(entry.request);
			removeAll(entry);
			continue;
		}
		demote(entry);
	}
	return expired;
}

/// Moves a started stream that misses its gap objective behind those that can still meet theirs.
void WaitQueue::demote(Entry& _entry)
{
	if (!_entry.isPassedOver)
	{
		erase(_entry);
	}
	alarms_.erase(alarmKey(_entry));
	_entry.isOnTime = false;
	alarms_.insert(alarmKey(_entry));
	if (!_entry.isPassedOver)
	{
		insert(_entry);
	}
}

void WaitQueue::charge(const std::string& _customer, uint32_t _urgency, uint64_t _tokens)
{
	classes_[std::min<uint32_t>(_urgency, kUrgencies - 1)]->charge(_customer, _tokens);
}

std::vector<PendingRequest> WaitQueue::requests() const
{
	std::vector<PendingRequest> all;
	for (const auto& row : requests_)
	{
		all.push_back(row.second.request);
	}
	return all;
}

} // namespace sedgecart
