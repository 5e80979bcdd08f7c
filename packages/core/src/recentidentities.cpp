// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/recentidentities.h>

namespace sedgecart
{

void RecentIdentities::record(const RequestIdentity& _request, Time _now)
{
	at_[_request] = _now;
	entries_.push_back(Entry{_request, _now});
	while (kMaxRequests < entries_.size())
	{
		const Entry& oldest = entries_.front();
		const auto row = at_.find(oldest.request);
		if (at_.end() != row && row->second.micros == oldest.at.micros)
		{
			at_.erase(row);
		}
		entries_.pop_front();
	}
}

bool RecentIdentities::recordedWithin(const RequestIdentity& _request, Duration _span, Time _now) const
{
	const auto row = at_.find(_request);
	return at_.end() != row && _now < row->second + _span;
}

} // namespace sedgecart
