// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <forecast/returnplanner.h>

#include <demand/waitingtokens.h>
#include <forecast/releasetimeline.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Ten times the interval of reports: a hub that does not answer for so long is lost.
constexpr Duration kMaxForecastAge = Duration::fromMillis(1500);

/// Callers return at random within a step after the slot that has room for them, so that those of different nodes do
/// not return together, and not before streams have ended whose estimated ends are some 100 ms too early.
constexpr Duration kJitter = kForecastStep;

/// For callers that find no room within the forecast.
constexpr Duration kBeyondForecast = Duration::fromMillis(5000);
constexpr Duration kBeyondJitter = Duration::fromMillis(2500);

constexpr Duration kMinRetryAfter = Duration::fromMillis(100);

constexpr uint32_t kMaxUrgency = kUrgencies - 1;

Duration random(RandomI& _random, Duration _bound)
{
	return Duration{_random.below(static_cast<uint32_t>(_bound.micros))};
}

/// @returns the sum of the tokens that are at least as urgent.
int64_t tokensUpTo(const UrgencyTokens& _tokens, uint32_t _urgency)
{
	UrgencyTokens counted = _tokens;
	std::fill(counted.begin() + _urgency + 1, counted.end(), 0);
	return static_cast<int64_t>(std::min<uint64_t>(totalTokens(counted), INT64_MAX / 2));
}

} // namespace

ReturnPlanner::ReturnPlanner(const ReleaseTimeline& _releases, const WaitingTokens& _waiting)
    : releases_(&_releases),
      waiting_(&_waiting)
{
}

void ReturnPlanner::setForecast(const StepTokens& _forecast, Time _from)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	forecast_ = StepRow::fromCumulative(_forecast, _from);
	forecastFrom_ = _from;
}

bool ReturnPlanner::hasForecast(Time _now) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return capacity(_now).has_value();
}

std::optional<Duration> ReturnPlanner::expectedIn(uint64_t _tokens, uint32_t _urgency, Time _now) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const std::optional<StepRow> row = capacity(_now);
	const int64_t now = slotOf(_now);
	const std::optional<int64_t> slot = row ? firstSlotWithRoom(*row, _tokens, _urgency, now) : std::nullopt;
	if (!slot)
	{
		return std::nullopt;
	}
	return now == *slot ? Duration{} : endOf(*slot) - _now;
}

std::optional<Duration> ReturnPlanner::planReturn(uint64_t _tokens, uint32_t _urgency, Time _now, RandomI& _random)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const std::optional<StepRow> row = capacity(_now);
	if (!row)
	{
		return std::nullopt;
	}
	const std::optional<int64_t> slot = firstSlotWithRoom(*row, _tokens, _urgency, slotOf(_now + kMinRetryAfter));
	const Duration in =
	    slot ? endOf(*slot) - _now + random(_random, kJitter) : kBeyondForecast + random(_random, kBeyondJitter);
	const Duration retryAfter = std::max(in, kMinRetryAfter);
	addPromise(slotOf(_now + retryAfter), _urgency, _tokens);
	return retryAfter;
}

StepTokens ReturnPlanner::promised(Time _now) const
{
	const int64_t now = slotOf(_now);
	StepTokens steps{};
	const std::lock_guard<std::mutex> lock(mutex_);
	for (int64_t slot = 0; slot < kForecastSlots; ++slot)
	{
		steps[static_cast<std::size_t>(slot / kSlotsPerStep)] +=
		    static_cast<uint64_t>(promisedIn(now + slot, kMaxUrgency));
	}
	return steps;
}

bool ReturnPlanner::isValid(Time _now) const
{
	return forecast_ && !(kMaxForecastAge < _now - forecastFrom_);
}

/// @returns what becomes free for this node, from its forecast or its own releases; none if neither is known.
std::optional<StepRow> ReturnPlanner::capacity(Time _now) const
{
	if (isValid(_now))
	{
		return forecast_;
	}
	if (nullptr == releases_ || releases_->isEmpty())
	{
		return std::nullopt;
	}
	return StepRow::fromSteps(releases_->released(_now), _now);
}

/// Promises of slots that have passed count against the forecast under which they were made: it does not know that
/// their callers have returned.
/// @returns the first slot by whose end there is room, so that all later promises at least as urgent still have theirs.
std::optional<int64_t> ReturnPlanner::firstSlotWithRoom(const StepRow& _capacity, uint64_t _tokens, uint32_t _urgency,
                                                        int64_t _earliest) const
{
	const uint32_t urgency = std::min(_urgency, kMaxUrgency);
	const int64_t waiting = nullptr == waiting_ ? 0 : tokensUpTo(waiting_->get(), urgency);
	std::array<int64_t, kForecastSlots> room{};
	int64_t sum = -waiting;
	for (int64_t slot = 0; slot < kForecastSlots; ++slot)
	{
		const int64_t number = _capacity.firstSlot + slot;
		sum += _capacity.at(number) - promisedIn(number, urgency);
		room[static_cast<std::size_t>(slot)] = sum;
	}
	const auto tokens = static_cast<int64_t>(std::min<uint64_t>(_tokens, INT64_MAX));
	std::optional<int64_t> found;
	for (int64_t slot = kForecastSlots - 1; 0 <= slot && _earliest <= _capacity.firstSlot + slot; --slot)
	{
		if (room[static_cast<std::size_t>(slot)] < tokens)
		{
			break;
		}
		found = _capacity.firstSlot + slot;
	}
	return found;
}

int64_t ReturnPlanner::promisedIn(int64_t _slot, uint32_t _urgency) const
{
	const Slot& slot = promises_[static_cast<std::size_t>(_slot) % kSlots];
	return _slot == slot.number ? tokensUpTo(slot.tokens, _urgency) : 0;
}

void ReturnPlanner::addPromise(int64_t _slot, uint32_t _urgency, uint64_t _tokens)
{
	Slot& slot = promises_[static_cast<std::size_t>(_slot) % kSlots];
	if (_slot != slot.number)
	{
		slot = Slot{_slot, UrgencyTokens{}};
	}
	slot.tokens[std::min(_urgency, kMaxUrgency)] += _tokens;
}

} // namespace sedgecart
