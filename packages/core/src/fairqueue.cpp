// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/fairqueue.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr std::size_t kMinFlowsToPrune = 64; // fewer flows are not searched for idle ones

double shareOf(uint32_t _cost, uint32_t _weight)
{
	return static_cast<double>(std::max(1U, _cost)) / std::max(1U, _weight);
}

} // namespace

void FairQueue::push(const WaitingRequest& _request)
{
	Flow& flow = flows_[_request.customer];
	flow.weight = std::max(1U, _request.weight);
	const double start = std::max(virtualTime_, flow.finishTag);
	flow.finishTag = start + shareOf(_request.cost, _request.weight);
	flow.entries.push_back(Entry{_request, start});
	++size_;
}

void FairQueue::pushFront(const WaitingRequest& _request)
{
	urgent_.push_back(_request);
	++size_;
}

const WaitingRequest* FairQueue::front() const
{
	if (!urgent_.empty())
	{
		return &urgent_.front();
	}
	const auto flow = frontFlow();
	return flows_.end() == flow ? nullptr : &flow->second.entries.front().request;
}

void FairQueue::pop()
{
	if (!urgent_.empty())
	{
		urgent_.pop_front();
		--size_;
		return;
	}
	const auto found = frontFlow();
	if (flows_.end() == found)
	{
		return;
	}
	Flow& flow = flows_[found->first];
	virtualTime_ = std::max(virtualTime_, flow.entries.front().startTag);
	flow.entries.pop_front();
	--size_;
	removeIdleFlows();
}

bool FairQueue::remove(uint64_t _id)
{
	const auto urgent = std::find_if(urgent_.begin(), urgent_.end(),
	                                 [_id](const WaitingRequest& _queued)
	                                 {
		                                 return _id == _queued.id;
	                                 });
	if (urgent_.end() != urgent)
	{
		urgent_.erase(urgent);
		--size_;
		return true;
	}
	for (auto& entry : flows_)
	{
		auto& list = entry.second.entries;
		const auto found = std::find_if(list.begin(), list.end(),
		                                [_id](const Entry& _entry)
		                                {
			                                return _id == _entry.request.id;
		                                });
		if (list.end() != found)
		{
			list.erase(found);
			--size_;
			return true;
		}
	}
	return false;
}

bool FairQueue::withdraw(const std::string& _customer, uint64_t _id)
{
	const auto flow = flows_.find(_customer);
	if (flows_.end() == flow || flow->second.entries.empty() || _id != flow->second.entries.back().request.id)
	{
		return false;
	}
	flow->second.finishTag = flow->second.entries.back().startTag;
	flow->second.entries.pop_back();
	--size_;
	return true;
}

void FairQueue::charge(const std::string& _customer, uint32_t _weight, uint32_t _cost)
{
	Flow& flow = flows_[_customer];
	flow.weight = std::max(1U, _weight);
	const double start = std::max(virtualTime_, flow.finishTag);
	flow.finishTag = start + shareOf(_cost, _weight);
	// While the queue is empty, virtual time advances with the work that starts.
	if (0 == size_)
	{
		virtualTime_ = start;
	}
	removeIdleFlows();
}

std::vector<WaitingRequest> FairQueue::expire(Time _now)
{
	std::vector<WaitingRequest> expired;
	for (const WaitingRequest& request : urgent_)
	{
		if (!(_now < request.expiresAt))
		{
			expired.push_back(request);
		}
	}
	for (const auto& flow : flows_)
	{
		for (const Entry& entry : flow.second.entries)
		{
			if (!(_now < entry.request.expiresAt))
			{
				expired.push_back(entry.request);
			}
		}
	}
	for (const WaitingRequest& request : expired)
	{
		remove(request.id);
	}
	return expired;
}

std::size_t FairQueue::queuedOf(const std::string& _customer) const
{
	const auto found = flows_.find(_customer);
	return flows_.end() == found ? 0 : found->second.entries.size();
}

std::size_t FairQueue::aheadOf(const std::string& _customer, uint32_t _weight) const
{
	const std::size_t own = queuedOf(_customer);
	std::size_t ahead = urgent_.size() + own;
	for (const auto& entry : flows_)
	{
		if (entry.first != _customer)
		{
			const std::size_t due = (own + 1) * entry.second.weight / std::max(1U, _weight);
			ahead += std::min(entry.second.entries.size(), due);
		}
	}
	return ahead;
}

std::map<std::string, FairQueue::Flow>::const_iterator FairQueue::frontFlow() const
{
	auto best = flows_.end();
	for (auto flow = flows_.begin(); flows_.end() != flow; ++flow)
	{
		if (flow->second.entries.empty())
		{
			continue;
		}
		if (flows_.end() == best || flow->second.entries.front().startTag < best->second.entries.front().startTag)
		{
			best = flow;
		}
	}
	return best;
}

void FairQueue::removeIdleFlows()
{
	if (flows_.size() < kMinFlowsToPrune)
	{
		return;
	}
	for (auto flow = flows_.begin(); flows_.end() != flow;)
	{
		const bool idle = flow->second.entries.empty() && flow->second.finishTag <= virtualTime_;
		flow = idle ? flows_.erase(flow) : std::next(flow);
	}
}

} // namespace sedgecart
