// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RECENTIDENTITIES_H_HEADER_GUARD
#define SEDGECART_CORE_RECENTIDENTITIES_H_HEADER_GUARD

#include <base/requestidentity.h>
#include <base/units.h>

#include <cstddef>
#include <deque>
#include <map>

namespace sedgecart
{

/// The most recently completed requests and the time at which each completed. The time is passed in; the class reads no
/// clock.
class RecentIdentities
{
public:
	void record(const RequestIdentity& _request, Time _now);

	/// @returns true if the request was recorded less than `_span` ago.
	bool recordedWithin(const RequestIdentity& _request, Duration _span, Time _now) const;

	std::size_t size() const
	{
		return at_.size();
	}

	/// Maximum number of recorded requests: nearly two minutes for a node with 36 requests per second.
	static constexpr std::size_t kMaxRequests = 4096;

private:
	struct Entry
	{
		RequestIdentity request;
		Time at;
	};

	std::map<RequestIdentity, Time> at_;
	std::deque<Entry> entries_; //!< Oldest first; contains a request that was recorded again twice.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RECENTIDENTITIES_H_HEADER_GUARD
