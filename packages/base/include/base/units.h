// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_UNITS_H_HEADER_GUARD
#define SEDGECART_BASE_UNITS_H_HEADER_GUARD

#include <cstdint>

/// @file
/// Time as a value that is passed in. `core` reads no clock, so it must not include <chrono>.

namespace sedgecart
{

/// A span of time in microseconds.
struct Duration
{
	int64_t micros = 0;

	/// @param _millis milliseconds.
	static constexpr Duration fromMillis(int64_t _millis)
	{
		return Duration{_millis * 1000};
	}

	/// @returns whole milliseconds, rounded down.
	constexpr int64_t millis() const
	{
		return micros / 1000;
	}
};

/// A point on the monotonic clock of one process, microseconds since an arbitrary start.
struct Time
{
	int64_t micros = 0;
};

constexpr Duration operator-(Time _a, Time _b)
{
	return Duration{_a.micros - _b.micros};
}

constexpr Time operator+(Time _a, Duration _b)
{
	return Time{_a.micros + _b.micros};
}

constexpr Duration operator+(Duration _a, Duration _b)
{
	return Duration{_a.micros + _b.micros};
}

constexpr Duration operator-(Duration _a, Duration _b)
{
	return Duration{_a.micros - _b.micros};
}

constexpr bool operator<(Time _a, Time _b)
{
	return _a.micros < _b.micros;
}

constexpr bool operator<(Duration _a, Duration _b)
{
	return _a.micros < _b.micros;
}

/// Position of a token in an answer, from 0.
struct Position
{
	uint32_t value = 0;
};

/// Offset of a record in a stream of the log.
struct Offset
{
	uint64_t value = 0;
};

constexpr bool operator<(Offset _a, Offset _b)
{
	return _a.value < _b.value;
}

constexpr bool operator==(Offset _a, Offset _b)
{
	return _a.value == _b.value;
}

/// A range of model layers, both ends included.
struct LayerRange
{
	uint32_t first = 0;
	uint32_t last = 0;
};

constexpr bool operator==(LayerRange _a, LayerRange _b)
{
	return _a.first == _b.first && _a.last == _b.last;
}

} // namespace sedgecart

#endif // SEDGECART_BASE_UNITS_H_HEADER_GUARD
