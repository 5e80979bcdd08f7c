// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/retryshare.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Part of the allowance that is used. The rest is for sends that others see a moment before or after this node does,
/// and for requests that moved between nodes.
constexpr double kUsedPart = 0.8;

} // namespace

RetryShare::RetryShare() = default;

RetryShare::Slice& RetryShare::slice(Time _now)
{
	const int64_t number = _now.micros / (window_.micros / kSlices);
	Slice& found = slices_[static_cast<std::size_t>(number) % slices_.size()];
	if (number != found.number)
	{
		found = Slice{number, 0, 0};
	}
	return found;
}

void RetryShare::onFirst(Time _now)
{
	++slice(_now).firsts;
}

bool RetryShare::take(const RetryAllowance& _allowance, uint32_t _nodes, Time _now)
{
	window_ = _allowance.window;
	Slice& now = slice(_now);
	double firsts = 0;
	double repeats = 0;
	for (const Slice& one : slices_)
	{
		if (now.number - kSlices <= one.number && one.number <= now.number)
		{
			firsts += one.firsts;
			repeats += one.repeats;
		}
	}
	const double slack = _allowance.slack / std::max<uint32_t>(1, _nodes);
	if (kUsedPart * (_allowance.ratio * firsts + slack) < repeats + 1)
	{
		return false;
	}
	++now.repeats;
	return true;
}

} // namespace sedgecart
