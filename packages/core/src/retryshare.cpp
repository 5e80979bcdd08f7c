// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/retryshare.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Fraction of the allowance that processes use which are at least as old as the window. The rest is for younger ones.
constexpr double kUsedFraction = 0.8;

/// Fraction of the limit that requests without a started response may use. While targets shut down one after another,
/// their refusals otherwise use up nearly all retries of a node, and streams are aborted because none is left.
constexpr double kNotStartedFraction = 0.75;

} // namespace

RetryShare::RetryShare(Time _start) : start_(_start)
{
}

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

/// @returns the retries that the share allows within the window, for responses that have started.
double RetryShare::limitOf(const RetryAllowance& _allowance, uint32_t _nodes, const RetryUsage& _usage) const
{
	const double earned = _allowance.ratio * _usage.firstSends;
	if (_usage.age < _allowance.window)
	{
		return (1 - kUsedFraction) * earned;
	}
	const double slack = 0 == _nodes ? 0 : _allowance.slack / _nodes;
	return kUsedFraction * (earned + slack);
}

RetryUsage RetryShare::usage(const RetryAllowance& _allowance, uint32_t _nodes, RetryPurpose::Enum _purpose, Time _now)
{
	window_ = _allowance.window;
	const Slice& current = slice(_now);
	RetryUsage usage;
	usage.age = _now - start_;
	for (const Slice& entry : slices_)
	{
		// Retries are counted over a window at least, and first sends over one at most.
		const bool isRecent = current.number - kSlices <= entry.number && entry.number <= current.number;
		usage.retries += isRecent ? entry.retries : 0;
		usage.firstSends += isRecent && current.number - kSlices < entry.number ? entry.firsts : 0;
	}
	const double fraction = RetryPurpose::Started == _purpose ? 1 : kNotStartedFraction;
	usage.limit = fraction * limitOf(_allowance, _nodes, usage);
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
