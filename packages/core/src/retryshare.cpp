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

/// Part of that which requests may use that have not begun. While targets leave one after the other, refusals there
/// took 535 of a node's 543 repeats in ten seconds, and 15 streams broke off for lack of one.
constexpr double kUnbegunPart = 0.75;

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

bool RetryShare::take(const RetryAllowance& _allowance, uint32_t _nodes, RepeatFor::Enum _for, Time _now)
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
	const double part = RepeatFor::Begun == _for ? kUsedPart : kUsedPart * kUnbegunPart;
	if (part * (_allowance.ratio * firsts + slack) < repeats + 1)
	{
		return false;
	}
	++now.repeats;
	return true;
}

} // namespace sedgecart
