// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/layerpath.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

constexpr double kUnreachable = std::numeric_limits<double>::infinity();

/// Cheapest known path up to a boundary whose last stage is in a given hall.
struct PathEnd
{
	double cost = kUnreachable;
	uint32_t candidate = 0; //!< Candidate that runs the last stage.
	uint32_t fromBoundary = 0;
	uint32_t fromHall = 0;
};

/// A single search. Boundaries are the layers at which a stage may begin or end, in ascending order.
class Search
{
public:
	Search(const std::vector<PathCandidate>& _candidates, const PathQuery& _query)
	    : candidates_(_candidates),
	      query_(_query),
	      boundaryOf_(_query.layers + 1, 0)
	{
		findBoundaries();
		ends_.resize(boundaries_.size() * query_.halls);
	}

	bool run(std::vector<PathStage>& _path)
	{
		at(boundaryOf_[query_.firstLayer], query_.homeHall).cost = 0;
		for (uint32_t boundary = boundaryOf_[query_.firstLayer]; boundary + 1 < boundaries_.size(); ++boundary)
		{
			extend(boundary);
		}
		return collectPath(_path);
	}

private:
	PathEnd& at(uint32_t _boundary, uint32_t _hall)
	{
		return ends_[_boundary * query_.halls + _hall];
	}

	bool isEligible(const PathCandidate& _candidate) const
	{
		return _candidate.usable && 0 < _candidate.held.size() && _candidate.held.end <= query_.layers;
	}

	void findBoundaries()
	{
		std::vector<bool> isBoundary(query_.layers + 1, false);
		isBoundary[0] = true;
		isBoundary[query_.firstLayer] = true;
		isBoundary[query_.layers] = true;
		for (const PathCandidate& candidate : candidates_)
		{
			if (isEligible(candidate))
			{
				isBoundary[candidate.held.begin] = true;
				isBoundary[candidate.held.end] = true;
			}
		}
		for (uint32_t layer = 0; layer <= query_.layers; ++layer)
		{
			if (isBoundary[layer])
			{
				boundaryOf_[layer] = static_cast<uint32_t>(boundaries_.size());
				boundaries_.push_back(layer);
			}
		}
	}

	/// Tries every stage that may begin at a boundary.
	void extend(uint32_t _boundary)
	{
		for (uint32_t index = 0; index < candidates_.size(); ++index)
		{
			const PathCandidate& candidate = candidates_[index];
			const uint32_t layer = boundaries_[_boundary];
			const bool holds = candidate.held.begin <= layer && layer < candidate.held.end;
			if (!isEligible(candidate) || !holds || (0 == _boundary && !candidate.mayBeHead))
			{
				continue;
			}
			const uint32_t lastBoundary = boundaryOf_[candidate.held.end];
			for (uint32_t next = _boundary + 1; next <= lastBoundary; ++next)
			{
				extendWith(index, _boundary, next);
			}
		}
	}

	void extendWith(uint32_t _index, uint32_t _boundary, uint32_t _next)
	{
		const PathCandidate& candidate = candidates_[_index];
		const double layers = boundaries_[_next] - boundaries_[_boundary];
		const double headCost = 0 == _boundary ? candidate.headCost : 0;
		const double own = candidate.stageCost + layers * candidate.costPerLayer + headCost;
		for (uint32_t hall = 0; hall < query_.halls; ++hall)
		{
			const PathEnd& before = at(_boundary, hall);
			const HopCosts& hops = 0 == _boundary ? query_.entry : query_.hops;
			const double hop = hall == candidate.hall ? hops.inHall : hops.betweenHalls;
			const double cost = before.cost + hop + own;
			PathEnd& after = at(_next, candidate.hall);
			if (cost < after.cost)
			{
				after = PathEnd{cost, _index, _boundary, hall};
			}
		}
	}

	bool collectPath(std::vector<PathStage>& _path)
	{
		_path.clear();
		uint32_t boundary = static_cast<uint32_t>(boundaries_.size()) - 1;
		uint32_t hall = 0;
		for (uint32_t other = 1; other < query_.halls; ++other)
		{
			hall = at(boundary, other).cost < at(boundary, hall).cost ? other : hall;
		}
		if (kUnreachable == at(boundary, hall).cost)
		{
			return false;
		}
		while (boundaryOf_[query_.firstLayer] != boundary)
		{
			const PathEnd& step = at(boundary, hall);
			_path.push_back(
			    PathStage{step.candidate, LayerSpan{boundaries_[step.fromBoundary], boundaries_[boundary]}});
			boundary = step.fromBoundary;
			hall = step.fromHall;
		}
		std::reverse(_path.begin(), _path.end());
		return true;
	}

	const std::vector<PathCandidate>& candidates_;
	const PathQuery& query_;
	std::vector<uint32_t> boundaries_; //!< Layers, in ascending order.
	std::vector<uint32_t> boundaryOf_; //!< By layer.
	std::vector<PathEnd> ends_;
};

/// Merges adjacent stages of the same target.
void mergeStages(std::vector<PathStage>& _path)
{
	std::vector<PathStage> merged;
	for (const PathStage& stage : _path)
	{
		if (!merged.empty() && merged.back().candidate == stage.candidate)
		{
			merged.back().layers.end = stage.layers.end;
			continue;
		}
		merged.push_back(stage);
	}
	_path.swap(merged);
}

/// @returns the candidate that runs two stages, the number of candidates if there is none.
uint32_t findRepeated(const std::vector<PathStage>& _path, std::size_t _candidates)
{
	std::vector<bool> seen(_candidates, false);
	for (const PathStage& stage : _path)
	{
		if (seen[stage.candidate])
		{
			return stage.candidate;
		}
		seen[stage.candidate] = true;
	}
	return static_cast<uint32_t>(_candidates);
}

/// @returns the end of a candidate's first stage.
uint32_t endOfFirstStage(const std::vector<PathStage>& _path, uint32_t _candidate)
{
	for (const PathStage& stage : _path)
	{
		if (_candidate == stage.candidate)
		{
			return stage.layers.end;
		}
	}
	return 0;
}

} // namespace

bool findPath(const std::vector<PathCandidate>& _candidates, const PathQuery& _query, std::vector<PathStage>& _path)
{
	std::vector<PathCandidate> candidates = _candidates;
	// Paths with a repeated candidate are rare. Each round shortens such a candidate by at least one layer.
	for (std::size_t round = 0; round <= candidates.size(); ++round)
	{
		if (!Search(candidates, _query).run(_path))
		{
			return false;
		}
		mergeStages(_path);
		const uint32_t repeated = findRepeated(_path, candidates.size());
		if (candidates.size() == repeated)
		{
			return _path.size() <= kMaxStages;
		}
		candidates[repeated].held.end = endOfFirstStage(_path, repeated);
	}
	return false;
}

} // namespace sedgecart
