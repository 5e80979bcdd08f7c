// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RATEGATE_H_HEADER_GUARD
#define SEDGECART_CORE_RATEGATE_H_HEADER_GUARD

#include <base/advertisedrate.h>
#include <base/units.h>

#include <cstdint>
#include <limits>

namespace sedgecart
{

/// This node's place among the nodes that may send to a target. All nodes order them alike: those of the target's data
/// hall first.
struct RateOrder
{
	uint32_t rank = 0;      //!< Of this node, from 0.
	uint32_t hallNodes = 0; //!< Nodes of the target's data hall.
	uint32_t nodes = 1;     //!< All nodes.
};

/// Keeps what all nodes send to one target under the rate limit that the target names, without a message for each
/// request: few nodes send, and each of them an equal part, evenly spaced. In any span the nodes together send at most
/// the limit, and one request more for each sender; there are no more senders than the limit has requests a second,
/// rounded up. The other nodes choose other targets.
///
/// Where nobody hears from the target for a while, because its senders have no requests or are gone, the next nodes of
/// the order take their place until somebody does.
///
/// Answers the load in which a target in need goes on to get requests from each node that has not been told, or gets
/// the whole limit from every node. Pure: the time is passed in.
class RateGate
{
public:
	/// @returns true if a request may be sent to the target now.
	bool admits(const AdvertisedRate& _word, const RateOrder& _order, Time _now) const;

	/// @returns when this node may send next, as far as it depends on itself; kNever if it is no sender.
	Time opensAt(const AdvertisedRate& _word, const RateOrder& _order, Time _now) const;

	/// A request was sent there.
	void onSent(Time _now)
	{
		sentAt_ = _now;
	}

	static constexpr Time kNever{std::numeric_limits<int64_t>::max()};

private:
	Time sentAt_{std::numeric_limits<int64_t>::min()};
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RATEGATE_H_HEADER_GUARD
