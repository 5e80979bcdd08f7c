// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/digest.h>
#include <fleet/noderoster.h>

#include <algorithm>
#include <tuple>

namespace sedgecart
{

namespace
{

/// Sorts nodes of the target's hall before the others, and each group by hash.
using SortKey = std::tuple<bool, uint64_t, std::string>;

SortKey sortKeyOf(const NodeRoster::Node& _node, const TargetIncarnation& _target, const std::string& _hall)
{
	const auto seed = static_cast<uint64_t>(_target.startTime.unixMillis);
	return SortKey{_hall != _node.hall, hash64(_target.instance.text + '/' + _node.name, seed), _node.name};
}

} // namespace

SenderOrder NodeRoster::orderFor(const std::string& _node, const TargetIncarnation& _target,
                                 const std::string& _hall) const
{
	const auto count = static_cast<uint32_t>(nodes_.size());
	SenderOrder order{count, 0, count};
	const auto self = std::find_if(nodes_.begin(), nodes_.end(),
	                               [&_node](const Node& _one)
	                               {
		                               return _node == _one.name;
	                               });
	if (nodes_.end() == self)
	{
		++order.nodes;
	}
	else
	{
		order.rank = 0;
	}
	for (const Node& node : nodes_)
	{
		order.hallNodes += _hall == node.hall ? 1 : 0;
		const bool isBefore =
		    nodes_.end() != self && sortKeyOf(node, _target, _hall) < sortKeyOf(*self, _target, _hall);
		order.rank += isBefore ? 1 : 0;
	}
	return order;
}

} // namespace sedgecart
