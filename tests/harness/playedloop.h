// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_TESTS_PLAYEDLOOP_H_HEADER_GUARD
#define SEDGECART_ENTRY_TESTS_PLAYEDLOOP_H_HEADER_GUARD

#include <base/clock.h>

#include <functional>
#include <map>

namespace sedgecart
{

/// Virtual time, and what is to happen at its moments.
class PlayedLoop : public ClockI
{
public:
	Time now() const override
	{
		return now_;
	}

	/// @returns milliseconds from the start.
	int64_t millis() const
	{
		return (now_ - kStart).millis();
	}

	void after(Duration _pause, std::function<void()> _step)
	{
		steps_.emplace(now_ + _pause, std::move(_step));
	}

	void runTo(int64_t _millis)
	{
		const Time end = kStart + Duration::fromMillis(_millis);
		while (!steps_.empty() && !(end < steps_.begin()->first))
		{
			now_ = steps_.begin()->first;
			const std::function<void()> step = std::move(steps_.begin()->second);
			steps_.erase(steps_.begin());
			step();
		}
		now_ = end;
	}

private:
	static constexpr Time kStart{1000000}; // 0 is no moment

	Time now_ = kStart;
	std::multimap<Time, std::function<void()>> steps_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_TESTS_PLAYEDLOOP_H_HEADER_GUARD
