// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/connectionshare.h>

#include <core/loadshare.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// The part of the limit that is divided equally among the nodes, as a divisor.
constexpr uint32_t kGuaranteedDivisor = 2;

} // namespace

ConnectionShare::ConnectionShare(uint32_t _limit, uint32_t _nodes)
    : limit_(_limit),
      nodes_(std::max(1U, _nodes)),
      guaranteed_(std::max(1U, _limit / kGuaranteedDivisor / nodes_))
{
}

bool ConnectionShare::admits(const ConnectionUse& _use, double _draw) const
{
	if (0 == limit_ || _use.own < guaranteed_)
	{
		return true;
	}
	const uint32_t counted = std::max(_use.ownReported, guaranteed_);
	const double added = static_cast<double>(_use.own) - counted;
	return LoadShare(nodes_).admits(freeConnections(_use), added, 1, _draw);
}

/// @returns the connections that no node uses by the reports. The guaranteed parts of the others count as in use, but
/// for no more than half of the limit: where the nodes outnumber the connections, most of them have none.
double ConnectionShare::freeConnections(const ConnectionUse& _use) const
{
	const double own = std::max(_use.ownReported, guaranteed_);
	const double reserved = static_cast<double>(nodes_ - 1) * guaranteed_;
	const double others = std::max<double>(_use.others, std::min(reserved, static_cast<double>(limit_) / 2));
	return limit_ - own - others;
}

} // namespace sedgecart
