// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RETRYSHARE_H_HEADER_GUARD
#define SEDGECART_CORE_RETRYSHARE_H_HEADER_GUARD

#include <base/units.h>
#include <core/budgetnodes.h>

#include <array>
#include <cstdint>

namespace sedgecart
{

/// The limit on retries to a service, over all nodes.
struct RetryAllowance
{
	double ratio = 0.2;                            //!< Retries for each first send.
	double slack = 0;                              //!< Additional retries of all nodes together.
	Duration window = Duration::fromMillis(10000); //!< Time window in which sends and retries are counted.
};

/// The kind of request that a retry is for.
struct RetryPurpose
{
	enum Enum
	{
		NotStarted, //!< A request whose caller has received nothing yet and can be asked to retry.
		Started,    //!< A response that was partly delivered and is aborted without the retry.

		Count
	};
};

/// What a node has used of its share, for log lines.
struct RetryUsage
{
	double firstSends = 0; //!< Requests sent for the first time within the window.
	double retries = 0;    //!< Retries sent within the window.
	double limit = 0;      //!< Retries that the share allows within the window.
};

/// This node's share of the retries that all nodes together may send to one service. It needs no communication between
/// nodes: each node applies the ratio to its own first sends and uses an equal part of the slack.
///
/// The share holds over any sequence of processes: a node that is killed may have used its whole share just before, and
/// its next process does not know. Until a process has known the nodes for a window, it uses only the fraction of the
/// share that older processes leave, and of the slack no more than in proportion to that time.
class RetryShare
{
public:
	/// Reports that a request was sent for the first time.
	void onFirstSend(Time _now);

	/// Counts a retry if one may be sent now. Part of the share is reserved for responses that have started.
	/// @param _nodes nodes that share the slack. This node uses none if their number is not known.
	/// @returns false if no retry may be sent now.
	bool tryTake(const RetryAllowance& _allowance, const BudgetNodes& _nodes, RetryPurpose::Enum _purpose, Time _now);

	/// @returns the use of the share in the window that ends now.
	RetryUsage usage(const RetryAllowance& _allowance, const BudgetNodes& _nodes, RetryPurpose::Enum _purpose,
	                 Time _now);

private:
	static constexpr uint32_t kSlices = 20;

	/// Counters of one slice of the window.
	struct Slice
	{
		int64_t number = -1; //!< Index of the slice since the epoch of the clock.
		uint32_t firsts = 0;
		uint32_t retries = 0;
	};

	Slice& slice(Time _now);

	Duration window_ = Duration::fromMillis(10000);
	std::array<Slice, kSlices + 1> slices_; //!< One more slice, as a window may start within a slice.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RETRYSHARE_H_HEADER_GUARD
