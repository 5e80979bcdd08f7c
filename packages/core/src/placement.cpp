// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/placement.h>

#include <base/config.h>
#include <core/snapshot.h>
#include <core/targetboard.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr const char* kPolicyNames[] = {"off", "spares", "all"};
static_assert(PlacementPolicy::Count == sizeof(kPolicyNames) / sizeof(kPolicyNames[0]), "each policy needs its name");

constexpr uint32_t kMinDonorCopies = 3; // targets of a range with fewer copies are not reassigned
constexpr std::size_t kMaxRanges = 256; // considered for one route

/// A range of layers that at least one target of a model is configured to hold.
struct Range
{
	LayerRange layers;
	uint32_t copies = 0; //!< Targets that hold it or are loading it.
};

bool isAlive(const TargetView& _target, const TargetBoard& _board, Time _now)
{
	return _target.usable && _board.isReportFresh(_target.handle, _now);
}

bool holds(const TargetView& _target, const TargetBoard& _board)
{
	return _board.holdsLayers(_target.handle, _target.spec.fence);
}

bool hasFreshMajority(const Snapshot& _snapshot, const TargetBoard& _board, Time _now)
{
	const auto seen = std::count_if(_snapshot.targets.begin(), _snapshot.targets.end(),
	                                [&_board, _now](const TargetView& _target)
	                                {
		                                return _board.isReportFresh(_target.handle, _now);
	                                });
	return _snapshot.targets.size() <= 2 * static_cast<std::size_t>(seen);
}

Range& rangeFor(std::vector<Range>& _ranges, LayerRange _layers)
{
	for (Range& range : _ranges)
	{
		if (range.layers == _layers)
		{
			return range;
		}
	}
	_ranges.push_back(Range{_layers, 0});
	return _ranges.back();
}

/// Searches for ranges that together cover the model with as few missing ones as possible.
class CoverSearch
{
public:
	CoverSearch(const std::vector<Range>& _ranges, uint32_t _layers) : ranges_(_ranges), layers_(_layers)
	{
		extend(0, 0, nullptr);
	}

	/// @returns the first missing range of the best cover, null if none is missing or there is no cover.
	const Range* firstMissing() const
	{
		return 0 == best_ || UINT32_MAX == best_ ? nullptr : bestMissing_;
	}

private:
	void extend(uint32_t _nextLayer, uint32_t _missing, const Range* _first)
	{
		if (best_ <= _missing)
		{
			return;
		}
		if (layers_ == _nextLayer)
		{
			best_ = _missing;
			bestMissing_ = _first;
			return;
		}
		for (const Range& range : ranges_)
		{
			const bool fits = range.layers.first == _nextLayer && range.layers.last < layers_;
			if (!fits || range.layers.last < range.layers.first)
			{
				continue;
			}
			const bool lost = 0 == range.copies;
			extend(range.layers.last + 1, _missing + (lost ? 1 : 0), lost && nullptr == _first ? &range : _first);
		}
	}

	const std::vector<Range>& ranges_;
	uint32_t layers_;
	uint32_t best_ = UINT32_MAX;
	const Range* bestMissing_ = nullptr;
};

/// Prefers spares, then the fastest target, then the first by name, so that all nodes make the same choice.
bool betterChoice(const TargetView& _a, const TargetView& _b)
{
	if (_a.spec.spare != _b.spec.spare)
	{
		return _a.spec.spare;
	}
	if (_a.spec.tokensPerSecond != _b.spec.tokensPerSecond)
	{
		return _b.spec.tokensPerSecond < _a.spec.tokensPerSecond;
	}
	return _a.spec.name < _b.spec.name;
}

} // namespace

const char* nameOf(PlacementPolicy::Enum _policy)
{
	return kPolicyNames[_policy];
}

PlacementMonitor::PlacementMonitor(PlacementPolicy::Enum _policy) : policy_(_policy)
{
}

std::optional<Placement> PlacementMonitor::check(const Snapshot& _snapshot, const TargetBoard& _board, Time _now)
{
	updateLoading(_snapshot, _board, _now);
	if (PlacementPolicy::Off == policy_ || !hasFreshMajority(_snapshot, _board, _now))
	{
		lostSince_.clear();
		return std::nullopt;
	}
	const auto loadingCount = std::count_if(loading_.begin(), loading_.end(),
	                                        [_now](const auto& _entry)
	                                        {
		                                        const Duration bound =
		                                            Duration::fromMillis(SEDGECART_CONFIG_LOADING_MS);
		                                        return _now - _entry.second.since < bound;
	                                        });
	for (const auto& entry : _snapshot.routes)
	{
		const RouteView& route = entry.second;
		const std::optional<LayerRange> missing = missingRange(_snapshot, route, _board, _now);
		if (!missing)
		{
			lostSince_.erase(entry.first);
			continue;
		}
		const Time since = lostSince_.emplace(entry.first, _now).first->second;
		const bool isDue = !(_now - since < Duration::fromMillis(SEDGECART_CONFIG_PLACE_AFTER_MS));
		if (isDue && loadingCount < SEDGECART_CONFIG_MOST_LOADING)
		{
			return choosePlacement(_snapshot, route, _board, *missing, _now);
		}
	}
	return std::nullopt;
}

void PlacementMonitor::updateLoading(const Snapshot& _snapshot, const TargetBoard& _board, Time _now)
{
	std::map<std::string, Loading> next;
	for (const TargetView& target : _snapshot.targets)
	{
		if (0 == target.spec.fence || holds(target, _board))
		{
			continue;
		}
		const auto known = loading_.find(target.spec.name);
		const bool same = loading_.end() != known && known->second.fence == target.spec.fence;
		next[target.spec.name] = same ? known->second : Loading{target.spec.fence, _now};
	}
	loading_.swap(next);
}

bool PlacementMonitor::mayStillLoad(const TargetView& _target, Time _now) const
{
	const auto found = loading_.find(_target.spec.name);
	return loading_.end() != found && _now - found->second.since < Duration::fromMillis(SEDGECART_CONFIG_LOADING_MS);
}

std::optional<LayerRange> PlacementMonitor::missingRange(const Snapshot& _snapshot, const RouteView& _route,
                                                         const TargetBoard& _board, Time _now) const
{
	if (RouteKind::Model != _route.spec.kind)
	{
		return std::nullopt;
	}
	std::vector<Range> ranges;
	for (const TargetView& target : _snapshot.targets)
	{
		if (target.spec.spare || target.spec.model != _route.spec.model || kMaxRanges <= ranges.size())
		{
			continue;
		}
		Range& range = rangeFor(ranges, target.spec.layers);
		const bool counts = holds(target, _board) || mayStillLoad(target, _now);
		range.copies += isAlive(target, _board, _now) && counts ? 1 : 0;
	}
	const CoverSearch search(ranges, _route.spec.layers);
	const Range* const missing = search.firstMissing();
	return nullptr == missing ? std::nullopt : std::optional<LayerRange>(missing->layers);
}

std::optional<Placement> PlacementMonitor::choosePlacement(const Snapshot& _snapshot, const RouteView& _route,
                                                           const TargetBoard& _board, LayerRange _missing,
                                                           Time _now) const
{
	std::vector<Range> ranges;
	for (const TargetView& target : _snapshot.targets)
	{
		const bool own = !target.spec.spare && target.spec.model == _route.spec.model;
		rangeFor(ranges, target.spec.layers).copies += own && isAlive(target, _board, _now) ? 1 : 0;
	}
	const TargetView* best = nullptr;
	for (const TargetView& target : _snapshot.targets)
	{
		const bool donor = PlacementPolicy::All == policy_ && !(target.spec.layers == _missing) &&
		                   kMinDonorCopies <= rangeFor(ranges, target.spec.layers).copies;
		const bool fits = target.spec.model == _route.spec.model && isAlive(target, _board, _now) &&
		                  holds(target, _board) && (target.spec.spare || donor);
		if (fits && (nullptr == best || betterChoice(target, *best)))
		{
			best = &target;
		}
	}
	if (nullptr == best)
	{
		return std::nullopt;
	}
	return Placement{_route.spec.name, best->spec.name, _missing, _route.spec.lastPlacement};
}

} // namespace sedgecart
