// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/retryshare.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Fraction of the allowance that is used. The rest covers sends that entry nodes count slightly earlier or later than
/// this node, and requests that moved between nodes.
constexpr double kUsedFraction = 0.8;

/// Fraction of that which requests without a started response may use. While targets shut down one after another, their
/// refusals otherwise use up nearly all retries of a node, and streams are aborted because none is left.
constexpr double kNotStartedFraction = 0.75;

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

void RetryShare::onFirstSend(Time _now)
{
	++slice(_now).firsts;
}

RetryUsage RetryShare::usage(const RetryAllowance& _allowance, uint32_t _nodes, RetryPurpose::Enum _purpose, Time _now)
{
	window_ = _allowance.window;
	const Slice& current = slice(_now);
	RetryUsage usage;
	for (const Slice& entry : slices_)
	{
		if (current.number - kSlices <= entry.number && entry.number <= current.number)
		{
			usage.firstSends += entry.firsts;
			usage.retries += entry.retries;
		}
	}
	const double slack = _allowance.slack / std::max<uint32_t>(1, _nodes);
	const double fraction = RetryPurpose::Started == _purpose ? kUsedFraction : kUsedFraction * kNotStartedFraction;
	usage.limit = fraction * (_allowance.ratio * usage.firstSends + slack);
	return usage;
}

bool RetryShare::tryTake(const RetryAllowance& _allowance, uint32_t _nodes, RetryPurpose::Enum _purpose, Time _now)
{
	const RetryUsage used = usage(_allowance, _nodes, _purpose, _now);
	if (used.limit < used.retries + 1)
	{
		return false;
	}
	++slice(_now).retries;
	return true;
}

} // namespace sedgecart
