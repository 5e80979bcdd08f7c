// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/serviceresponsetimes.h>

#include <algorithm>

namespace sedgecart
{

ResponseTimeEstimator& ServiceResponseTimes::of(const std::string& _service)
{
	auto row = rows_.find(_service);
	if (rows_.end() == row)
	{
		makePlace();
		row = rows_.try_emplace(_service).first;
	}
	row->second.lastUse = ++uses_;
	return row->second.times;
}

ResponseTimeEstimate ServiceResponseTimes::estimate(const std::vector<WeightedService>& _services,
                                                    RequestKind::Enum _kind, uint32_t _maxTokens,
                                                    EstimateBound::Enum _bound) const
{
	static const ResponseTimeEstimator kInitial;
	ResponseTimeEstimate longest;
	for (const WeightedService& service : _services)
	{
		if (service.weight <= 0)
		{
			continue; // no request is sent to it
		}
		const auto row = rows_.find(service.service);
		const ResponseTimeEstimator& times = rows_.end() == row ? kInitial : row->second.times;
		const ResponseTimeEstimate estimate = times.estimate(_kind, _maxTokens, _bound);
		longest = longest.total < estimate.total ? estimate : longest;
	}
	return longest;
}

void ServiceResponseTimes::makePlace()
{
	if (rows_.size() < kMaxServices)
	{
		return;
	}
	const auto oldest = std::min_element(rows_.begin(), rows_.end(),
	                                     [](const auto& _left, const auto& _right)
	                                     {
		                                     return _left.second.lastUse < _right.second.lastUse;
	                                     });
	rows_.erase(oldest);
}

} // namespace sedgecart
