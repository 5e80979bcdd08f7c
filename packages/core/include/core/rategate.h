// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RATEGATE_H_HEADER_GUARD
#define SEDGECART_CORE_RATEGATE_H_HEADER_GUARD

#include <base/advertisedrate.h>
#include <base/units.h>

#include <cstdint>
#include <limits>

namespace sedgecart
{

/// Position of this node in the order of nodes that may send to a target. All nodes use the same order: the nodes of
/// the target's data hall come first.
struct SenderOrder
{
	uint32_t rank = 0;      //!< Rank of this node, from 0.
	uint32_t hallNodes = 0; //!< Number of nodes in the target's data hall.
	uint32_t nodes = 1;     //!< Number of all nodes.
};

/// Keeps the requests of all nodes to one target within the rate limit that the target advertises, without exchanging a
/// message for each request: only a few nodes are senders, and each sends an equal share, evenly spaced. In any time
/// span the nodes together send at maxSenders the limit plus one request for each sender. The number of senders is at
/// maxSenders the limit in requests per second, rounded up. The other nodes choose other targets.
///
/// If no response of the target has been reported for a while, because its senders have no requests or are down, the
/// next nodes of the order become senders, until one is reported.
///
/// Without the gate an overloaded target continues to receive requests from each node that does not know its limit yet,
/// or receives requests at the full limit from every node. The time is passed in; the class reads no clock.
class RateGate
{
public:
	/// @param _start when the process started. Its predecessor may have sent a request just before.
	explicit RateGate(Time _start) : sentAt_(_start)
	{
	}

	/// @returns true if this node may send a request to the target now.
	bool admits(const AdvertisedRate& _advertised, const SenderOrder& _order, Time _now) const;

	/// @returns when this node may send next if the advertised limit and the senders stay the same; kNever if it is not
	/// a sender.
	Time nextSendAt(const AdvertisedRate& _advertised, const SenderOrder& _order, Time _now) const;

	/// Records that a request was sent to the target.
	void onSent(Time _now)
	{
		sentAt_ = _now;
	}

	static constexpr Time kNever{std::numeric_limits<int64_t>::max()};

private:
	Time sentAt_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RATEGATE_H_HEADER_GUARD
