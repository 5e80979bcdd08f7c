// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/retryshare.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Fraction of the allowance that is used by processes that have known the nodes for a window. The rest is for younger
/// ones.
constexpr double kUsedFraction = 0.8;

/// Fraction of the limit that requests without a started response may use. While targets shut down one after another,
/// their refusals otherwise use up nearly all retries of a node, and streams are aborted because none is left.
constexpr double kNotStartedFraction = 0.75;

/// @returns the retries that a share allows within the window, for responses that have started.
/// @param _firstSends within the window.
double limitOf(const RetryAllowance& _allowance, const BudgetNodes& _nodes, double _firstSends)
{
	const double earned = _allowance.ratio * _firstSends;
	const double slack = 0 == _nodes.count ? 0 : _allowance.slack / _nodes.count;
	const double windows = static_cast<double>(_nodes.knownFor.micros) / static_cast<double>(_allowance.window.micros);
	return windows < 1 ? (1 - kUsedFraction) * (earned + slack * windows) : kUsedFraction * (earned + slack);
}

} // namespace

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

RetryUsage RetryShare::usage(const RetryAllowance& _allowance, const BudgetNodes& _nodes, RetryPurpose::Enum _purpose,
                             Time _now)
{
	window_ = _allowance.window;
	const Slice& current = slice(_now);
	RetryUsage usage;
	for (const Slice& entry : slices_)
	{
		// Retries are counted over a window at least, and first sends over one at most.
		const bool isRecent = current.number - kSlices <= entry.number && entry.number <= current.number;
		usage.retries += isRecent ? entry.retries : 0;
		usage.firstSends += isRecent && current.number - kSlices < entry.number ? entry.firsts : 0;
	}
	const double fraction = RetryPurpose::Started == _purpose ? 1 : kNotStartedFraction;
	usage.limit = fraction * limitOf(_allowance, _nodes, usage.firstSends);
	return usage;
}

bool RetryShare::tryTake(const RetryAllowance& _allowance, const BudgetNodes& _nodes, RetryPurpose::Enum _purpose,
                         Time _now)
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
