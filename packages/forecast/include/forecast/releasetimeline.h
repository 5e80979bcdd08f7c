// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FORECAST_RELEASETIMELINE_H_HEADER_GUARD
#define SEDGECART_FORECAST_RELEASETIMELINE_H_HEADER_GUARD

#include <base/units.h>
#include <demand/servicedemand.h>

#include <cstdint>
#include <map>
#include <mutex>

namespace sedgecart
{

/// Expected ends of the running requests of a node and the tokens that they release. Addresses callers that are refused
/// while streams are about to end. Written by the request thread, read by any.
class ReleaseTimeline
{
public:
	/// Adds a request.
	/// @param _tokens that it occupies at each layer.
	void add(uint64_t _tokens, Time _endsAt);

	/// Removes a request, with the same arguments as it was added with.
	void remove(uint64_t _tokens, Time _endsAt);

	/// @returns the tokens that are expected to be released in each step from now on. A request whose end is past is
	/// not counted: its target has stopped sending events, or its estimate would have been moved.
	StepTokens released(Time _now) const;

	/// @returns true if no request was added that was not removed.
	bool isEmpty() const;

private:
	/// Estimates may be minutes away, where a ring of atomic counters would mistake them for near ones. The lock is
	/// held for one access to a map of at most as many slots as there are running requests.
	mutable std::mutex mutex_;
	std::map<int64_t, uint64_t> tokens_; //!< By slot of 100 ms.
};

} // namespace sedgecart

#endif // SEDGECART_FORECAST_RELEASETIMELINE_H_HEADER_GUARD
