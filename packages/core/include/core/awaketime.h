// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_AWAKETIME_H_HEADER_GUARD
#define SEDGECART_CORE_AWAKETIME_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <deque>

namespace sedgecart
{

/// How much of the time that passed this node could act in, judged by a look that is due again and again. Time between
/// two looks counts only up to the pause at which they are due: a node that stands still, or gets the processor late,
/// ages little, so that what it did not hear meanwhile is not held against others.
class AwakeTime
{
public:
	/// @param _pause between two looks of a node that is never late.
	explicit AwakeTime(Duration _pause);

	/// A look takes place.
	void look(Time _now);

	/// Forgets all: there was nothing to look at for a while, so that the pause since the last look says nothing.
	void restart();

	/// @returns the time from a moment until now in which this node was awake; what is older than `kRemembered` counts
	/// as that old.
	Duration since(Time _moment, Time _now) const;

	/// @returns how many times longer things take here of late than at a node that is never late, at least 1.
	double stretch() const;

	/// Looks that are older are forgotten.
	static constexpr Duration kRemembered = Duration::fromMillis(1000);

private:
	/// One look.
	struct Mark
	{
		Time at;
		Duration awake; //!< In sum, since the first look.
	};

	Duration untilLastLook(Time _moment) const;

	Duration pause_;         //!< Longest time between two looks that counts whole.
	std::deque<Mark> marks_; //!< In order of time.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_AWAKETIME_H_HEADER_GUARD
