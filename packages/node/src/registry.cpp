// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "registry_p.h"

namespace sedgecart
{

void Registry::add(const ActiveRequest& _request)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	active_[_request.id] = _request;
}

void Registry::setChain(const std::string& _id, const std::string& _chain)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	active_[_id].chain = _chain;
}

void Registry::setTokens(const std::string& _id, uint32_t _tokens)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	active_[_id].tokens = _tokens;
}

void Registry::remove(const std::string& _id)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	active_.erase(_id);
}

std::vector<ActiveRequest> Registry::list() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::vector<ActiveRequest> all;
	for (const auto& entry : active_)
	{
		all.push_back(entry.second);
	}
	return all;
}

std::size_t Registry::size() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return active_.size();
}

} // namespace sedgecart
