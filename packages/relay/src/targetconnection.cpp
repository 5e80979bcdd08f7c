// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <relay/targetconnection.h>

#include <base/digest.h>

#include <algorithm>

namespace sedgecart
{

TargetConnection::TargetConnection(std::unique_ptr<ClientConnection> _client) : client_(std::move(_client))
{
}

TargetConnection::~TargetConnection() = default;

void TargetConnection::recordAnswer(const std::string& _request, Time _until, Time _now)
{
	const auto isOver = [_now](const Answered& _answered)
	{
		return _answered.until < _now;
	};
	answered_.erase(std::remove_if(answered_.begin(), answered_.end(), isOver), answered_.end());
	answered_.push_back(Answered{hash64(_request), _until});
}

bool TargetConnection::hasAnswered(const std::string& _request) const
{
	const uint64_t request = hash64(_request);
	return std::any_of(answered_.begin(), answered_.end(),
	                   [request](const Answered& _answered)
	                   {
		                   return request == _answered.request;
	                   });
}

} // namespace sedgecart
