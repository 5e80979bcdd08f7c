// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_RELEASETIMELINE_H_HEADER_GUARD
#define SEDGECART_ADMISSION_RELEASETIMELINE_H_HEADER_GUARD

#include <admission/servicedemand.h>
#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// Expected ends of the running requests of a node and the tokens that they release. Written by the request thread,
/// read by any.
class ReleaseTimeline
{
public:
	/// Adds a request.
	/// @param _tokens that it occupies at each layer.
	void add(uint64_t _tokens, Time _endsAt);

	/// Removes a request, with the same arguments as it was added with.
	void remove(uint64_t _tokens, Time _endsAt);

	/// @returns the tokens that are expected to be released in each step from now on.
	StepTokens released(Time _now) const;
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_RELEASETIMELINE_H_HEADER_GUARD
