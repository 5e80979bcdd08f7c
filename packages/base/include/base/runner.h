// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_RUNNER_H_HEADER_GUARD
#define SEDGECART_BASE_RUNNER_H_HEADER_GUARD

#include <base/recordsequence.h>
#include <base/targetincarnation.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// Layers from `begin` up to, not including, `end`.
struct LayerSpan
{
	uint32_t begin = 0;
	uint32_t end = 0;

	constexpr uint32_t size() const
	{
		return begin < end ? end - begin : 0;
	}
};

constexpr bool operator==(LayerSpan _a, LayerSpan _b)
{
	return _a.begin == _b.begin && _a.end == _b.end;
}

constexpr bool operator!=(LayerSpan _a, LayerSpan _b)
{
	return !(_a == _b);
}

/// @returns the intersection of both spans; empty if there is none.
constexpr LayerSpan commonSpan(LayerSpan _a, LayerSpan _b)
{
	return LayerSpan{_a.begin < _b.begin ? _b.begin : _a.begin, _a.end < _b.end ? _a.end : _b.end};
}

/// A target's own entry in the registry.
struct RunnerRecord
{
	InstanceId instance;
	std::string service;
	std::string address; //!< "ip:port".
	std::string hall;
	std::string accelerator; //!< Kind of accelerator, empty for a plain service.
	uint32_t slots = 0;
	bool draining = false;
	LayerSpan layers; //!< Layers that it holds; empty until it is assigned some.
	StartTime startTime;
	RecordSequence sequence;

	/// @returns the incarnation of the target that wrote the entry.
	TargetIncarnation incarnation() const
	{
		return TargetIncarnation{instance, startTime};
	}
};

} // namespace sedgecart

#endif // SEDGECART_BASE_RUNNER_H_HEADER_GUARD
