// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "stagechooser_p.h"

#include <base/random.h>
#include <core/targetboard.h>

#include <algorithm>
#include <atomic>

namespace sedgecart
{

namespace
{

constexpr uint32_t kMaxDraws = 6; // random draws before all targets are considered
constexpr uint32_t kMinFit = 2;   // number of fit targets to compare
constexpr uint32_t kMicrosPerSecond = 1000000;
constexpr uint32_t kNominalSlowdown = 1000; // slowdown, in thousandths, of a target that is as fast as specified
constexpr int64_t kPrefillShare = 8;        // prompt tokens that cost about as much as one generated token

bool contains(const std::vector<TargetHandle>& _list, TargetHandle _target)
{
	return _list.end() != std::find(_list.begin(), _list.end(), _target);
}

/// @returns the time of one token on a target under its estimated current load, microseconds.
int64_t tokenMicros(const TargetBoard& _board, const TargetView& _target)
{
	const TargetCounters& counters = _board.at(_target.handle);
	const uint32_t slots = std::max(1U, _target.spec.slots);
	const uint32_t rate = std::max(1U, _target.spec.tokensPerSecond);
	const int64_t full = static_cast<int64_t>(slots) * kMicrosPerSecond / rate;
	const int64_t rated = full / 4 + full * 3 / 4 * std::min(_board.load(_target.handle) + 1, slots) / slots;
	const uint32_t slowdown = counters.slowdownMilli.load(std::memory_order_relaxed);
	if (0 != slowdown)
	{
		return rated * std::max(slowdown, kNominalSlowdown) / kNominalSlowdown;
	}
	const int64_t step = counters.stepMicros.load(std::memory_order_relaxed);
	return std::max(rated, step);
}

/// @returns a choice with the time that the target and the link to it take.
StageChoice withCost(const PlanContext& _context, uint32_t _index, HallHandle _from)
{
	const TargetView& target = _context.snapshot.targets[_index];
	StageChoice choice;
	choice.outcome = PlanOutcome::Found;
	choice.target = _index;
	// The link is crossed with the activation and again with the token.
	const int64_t link = 2 * _context.snapshot.latencyBetween(_from, target.hall).micros;
	const int64_t token = tokenMicros(_context.board, target);
	choice.gapMicros = token + link;
	const bool warm = contains(_context.request.warm, target.handle);
	const int64_t prefill = warm ? 0 : token * _context.request.promptTokens / kPrefillShare;
	choice.costMicros = choice.gapMicros * std::max(1U, _context.request.tokens) + prefill;
	return choice;
}

/// Records the most favourable reason seen so far, so that "no free slot" is distinguished from "no target".
void recordUnfit(StageChoice& _choice, Fitness::Enum _fitness)
{
	if (PlanOutcome::NoTargets == _choice.outcome && Fitness::Full == _fitness)
	{
		_choice.outcome = PlanOutcome::NoSlots;
	}
}

/// Samples a few targets at random and chooses the cheapest fit one. Considers all targets if none of the sampled ones
/// is fit.
class EarliestFinishChooser : public StageChooserI
{
public:
	StageChoice choose(const PlanContext& _context, const StageGroup& _group, HallHandle _from) override
	{
		StageChoice best;
		uint32_t fit = sample(_context, _group.local, _from, best);
		fit += sample(_context, _group.all, _from, best);
		considerWarm(_context, _group, _from, best);
		considerAffine(_context, _group, _from, best);
		if (0 == fit && PlanOutcome::Found != best.outcome)
		{
			considerAll(_context, _group, _from, best);
		}
		return best;
	}

private:
	static bool consider(const PlanContext& _context, uint32_t _index, HallHandle _from, StageChoice& _best,
	                     int64_t _discount = 0)
	{
		const Fitness::Enum fitness = fitnessOf(_context, _context.snapshot.targets[_index]);
		if (Fitness::Fit != fitness)
		{
			recordUnfit(_best, fitness);
			return false;
		}
		StageChoice choice = withCost(_context, _index, _from);
		choice.costMicros = std::max<int64_t>(1, choice.costMicros - _discount);
		if (PlanOutcome::Found != _best.outcome || choice.costMicros < _best.costMicros)
		{
			_best = choice;
		}
		return true;
	}

	static uint32_t sample(const PlanContext& _context, const std::vector<uint32_t>& _list, HallHandle _from,
	                       StageChoice& _best)
	{
		const auto size = static_cast<uint32_t>(_list.size());
		uint32_t fit = 0;
		uint32_t position = 0;
		for (uint32_t draw = 0; draw < std::min(kMaxDraws, size) && fit < kMinFit; ++draw)
		{
			// Never draws the same position twice in a row, so that two different targets are compared.
			position =
			    0 == draw ? _context.random.below(size) : (position + 1 + _context.random.below(size - 1)) % size;
			fit += consider(_context, _list[position], _from, _best) ? 1 : 0;
		}
		return fit;
	}

	static void considerAll(const PlanContext& _context, const StageGroup& _group, HallHandle _from, StageChoice& _best)
	{
		for (const uint32_t index : _group.all)
		{
			consider(_context, index, _from, _best);
		}
	}

	static void considerWarm(const PlanContext& _context, const StageGroup& _group, HallHandle _from,
	                         StageChoice& _best)
	{
		if (_context.request.warm.empty())
		{
			return;
		}
		for (const uint32_t index : _group.all)
		{
			if (contains(_context.request.warm, _context.snapshot.targets[index].handle))
			{
				consider(_context, index, _from, _best);
			}
		}
	}

	/// The target that owns the prompt's beginning (by rendezvous hashing) probably has it in its cache. Its cost is
	/// reduced by the prefill time that this saves, so that an idle target is still preferred to an overloaded owner.
	static void considerAffine(const PlanContext& _context, const StageGroup& _group, HallHandle _from,
	                           StageChoice& _best)
	{
		const std::vector<uint32_t>& list = _group.local.empty() ? _group.all : _group.local;
		if (0 == _context.request.prefixHash || list.empty())
		{
			return;
		}
		uint32_t owner = list.front();
		uint64_t highest = 0;
		for (const uint32_t index : list)
		{
			const uint64_t weight = mix(_context.request.prefixHash ^ _context.snapshot.targets[index].handle.index);
			if (highest <= weight)
			{
				highest = weight;
				owner = index;
			}
		}
		const int64_t token = tokenMicros(_context.board, _context.snapshot.targets[owner]);
		consider(_context, owner, _from, _best, token * _context.request.promptTokens / kPrefillShare);
	}

	/// Finalizer of splitmix64.
	static uint64_t mix(uint64_t _bits)
	{
		uint64_t bits = _bits + 0x9e3779b97f4a7c15ULL;
		bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
		bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
		return bits ^ (bits >> 31);
	}
};

/// @returns the first fit target of the group, starting from a given position.
StageChoice firstFit(const PlanContext& _context, const StageGroup& _group, HallHandle _from, uint32_t _start)
{
	StageChoice choice;
	const auto count = static_cast<uint32_t>(_group.all.size());
	for (uint32_t step = 0; step < count; ++step)
	{
		const uint32_t index = _group.all[(_start + step) % count];
		const Fitness::Enum fitness = fitnessOf(_context, _context.snapshot.targets[index]);
		if (Fitness::Fit == fitness)
		{
			return withCost(_context, index, _from);
		}
		recordUnfit(choice, fitness);
	}
	return choice;
}

/// Baseline: any fit target.
class RandomChooser : public StageChooserI
{
public:
	StageChoice choose(const PlanContext& _context, const StageGroup& _group, HallHandle _from) override
	{
		const auto count = static_cast<uint32_t>(std::max<std::size_t>(1, _group.all.size()));
		StageChoice choice = firstFit(_context, _group, _from, _context.random.below(count));
		choice.costMicros = 1 + _context.random.below(kMicrosPerSecond);
		return choice;
	}
};

/// Baseline: the next fit target.
class RoundRobinChooser : public StageChooserI
{
public:
	StageChoice choose(const PlanContext& _context, const StageGroup& _group, HallHandle _from) override
	{
		const uint32_t start = turn_.fetch_add(1, std::memory_order_relaxed);
		StageChoice choice = firstFit(_context, _group, _from, start);
		choice.costMicros = 1 + _context.random.below(kMicrosPerSecond);
		return choice;
	}

private:
	std::atomic<uint32_t> turn_{0};
};

/// Baseline: the fit target with the fewest streams of this node.
class LeastInFlightChooser : public StageChooserI
{
public:
	StageChoice choose(const PlanContext& _context, const StageGroup& _group, HallHandle _from) override
	{
		StageChoice best;
		uint32_t fewest = UINT32_MAX;
		for (const uint32_t index : _group.all)
		{
			const TargetView& target = _context.snapshot.targets[index];
			const Fitness::Enum fitness = fitnessOf(_context, target);
			const uint32_t own = _context.board.at(target.handle).inFlight.load(std::memory_order_relaxed);
			if (Fitness::Fit != fitness)
			{
				recordUnfit(best, fitness);
			}
			else if (own < fewest)
			{
				fewest = own;
				best = withCost(_context, index, _from);
				best.costMicros = 1 + own;
			}
		}
		return best;
	}
};

} // namespace

Fitness::Enum fitnessOf(const PlanContext& _context, const TargetView& _target)
{
	const bool healthy = _context.board.isHealthy(_target.handle, _context.request.now);
	const bool fresh = _context.board.isReportFresh(_target.handle, _context.request.now);
	const bool holding = _context.board.holdsLayers(_target.handle, _target.spec.fence);
	if (!healthy || !fresh || !holding || contains(_context.request.excluded, _target.handle))
	{
		return Fitness::Unfit;
	}
	return hasSlot(_context.board, _target.handle, _target.spec.slots) ? Fitness::Fit : Fitness::Full;
}

std::unique_ptr<StageChooserI> makeStageChooser(PlannerKind::Enum _kind)
{
	switch (_kind)
	{
	case PlannerKind::Random:
		return std::make_unique<RandomChooser>();
	case PlannerKind::RoundRobin:
		return std::make_unique<RoundRobinChooser>();
	case PlannerKind::LeastInFlight:
		return std::make_unique<LeastInFlightChooser>();
	case PlannerKind::EarliestFinish:
	case PlannerKind::Count:
		break;
	}
	return std::make_unique<EarliestFinishChooser>();
}

} // namespace sedgecart
