// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RETRYSHARE_H_HEADER_GUARD
#define SEDGECART_CORE_RETRYSHARE_H_HEADER_GUARD

#include <base/units.h>

#include <array>
#include <cstdint>

namespace sedgecart
{

/// The bound on repeated sends to a service, over all nodes.
struct RetryAllowance
{
	double ratio = 0.2;                            //!< Repeats for each first send.
	double slack = 0;                              //!< Repeats beside that, from all nodes together.
	Duration window = Duration::fromMillis(10000); //!< Span in which both are counted.
};

/// What a repeat is for.
struct RepeatFor
{
	enum Enum
	{
		Unbegun, //!< A request whose caller has got nothing yet: it may as well be told to come back.
		Begun,   //!< An answer whose caller has a part of it, and which breaks off without the repeat.

		Count
	};
};

/// This node's share of the repeats that all nodes together may make at one service. It holds without a word from the
/// others: a node may use the ratio on its own requests, and of the slack its equal part.
class RetryShare
{
public:
	RetryShare();

	/// A request was sent for the first time.
	void onFirst(Time _now);

	/// @param _nodes nodes that share the slack, this one included.
	/// @returns true if a repeat may be sent now; it is then counted. A part of the share is kept for answers that have
	/// begun.
	bool take(const RetryAllowance& _allowance, uint32_t _nodes, RepeatFor::Enum _for, Time _now);

private:
	static constexpr uint32_t kSlices = 10;

	/// Counts of one slice of the window.
	struct Slice
	{
		int64_t number = -1; //!< Of the slice since the clock's start.
		uint32_t firsts = 0;
		uint32_t repeats = 0;
	};

	Slice& slice(Time _now);

	Duration window_ = Duration::fromMillis(10000);
	std::array<Slice, kSlices + 1> slices_; //!< One more, since a window may begin within a slice.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RETRYSHARE_H_HEADER_GUARD
