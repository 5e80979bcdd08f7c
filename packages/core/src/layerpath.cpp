// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/layerpath.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

constexpr double kNever = std::numeric_limits<double>::infinity();

/// Cheapest way to a joint, coming out of a hall.
struct Reached
{
	double cost = kNever;
	uint32_t candidate = 0; //!< That ran the last part.
	uint32_t fromJoint = 0;
	uint32_t fromHall = 0;
};

/// One search. Joints are the layers at which some part may begin or end, in order.
class Search
{
public:
	Search(const std::vector<PathCandidate>& _candidates, const PathQuery& _query)
	    : candidates_(_candidates),
	      query_(_query),
	      jointOf_(_query.layers + 1, 0)
	{
		findJoints();
		reached_.resize(joints_.size() * query_.halls);
	}

	bool run(std::vector<PathPart>& _path)
	{
		at(jointOf_[query_.firstLayer], query_.homeHall).cost = 0;
		for (uint32_t joint = jointOf_[query_.firstLayer]; joint + 1 < joints_.size(); ++joint)
		{
			extend(joint);
		}
		return collect(_path);
	}

private:
	Reached& at(uint32_t _joint, uint32_t _hall)
	{
		return reached_[_joint * query_.halls + _hall];
	}

	bool takesPart(const PathCandidate& _candidate) const
	{
		return _candidate.usable && 0 < _candidate.held.size() && _candidate.held.end <= query_.layers;
	}

	void findJoints()
	{
		std::vector<bool> isJoint(query_.layers + 1, false);
		isJoint[0] = true;
		isJoint[query_.firstLayer] = true;
		isJoint[query_.layers] = true;
		for (const PathCandidate& candidate : candidates_)
		{
			if (takesPart(candidate))
			{
				isJoint[candidate.held.begin] = true;
				isJoint[candidate.held.end] = true;
			}
		}
		for (uint32_t layer = 0; layer <= query_.layers; ++layer)
		{
			if (isJoint[layer])
			{
				jointOf_[layer] = static_cast<uint32_t>(joints_.size());
				joints_.push_back(layer);
			}
		}
	}

	/// Tries every part that may begin at a joint.
	void extend(uint32_t _joint)
	{
		for (uint32_t index = 0; index < candidates_.size(); ++index)
		{
			const PathCandidate& candidate = candidates_[index];
			const uint32_t layer = joints_[_joint];
			const bool holds = candidate.held.begin <= layer && layer < candidate.held.end;
			if (!takesPart(candidate) || !holds || (0 == _joint && !candidate.mayLead))
			{
				continue;
			}
			const uint32_t lastJoint = jointOf_[candidate.held.end];
			for (uint32_t next = _joint + 1; next <= lastJoint; ++next)
			{
				extendWith(index, _joint, next);
			}
		}
	}

	void extendWith(uint32_t _index, uint32_t _joint, uint32_t _next)
	{
		const PathCandidate& candidate = candidates_[_index];
		const double layers = joints_[_next] - joints_[_joint];
		const double lead = 0 == _joint ? candidate.costOfLead : 0;
		const double own = candidate.costOfPart + layers * candidate.costPerLayer + lead;
		for (uint32_t hall = 0; hall < query_.halls; ++hall)
		{
			const Reached& before = at(_joint, hall);
			const HopCosts& hops = 0 == _joint ? query_.entry : query_.hops;
			const double hop = hall == candidate.hall ? hops.inHall : hops.betweenHalls;
			const double cost = before.cost + hop + own;
			Reached& after = at(_next, candidate.hall);
			if (cost < after.cost)
			{
				after = Reached{cost, _index, _joint, hall};
			}
		}
	}

	bool collect(std::vector<PathPart>& _path)
	{
		_path.clear();
		uint32_t joint = static_cast<uint32_t>(joints_.size()) - 1;
		uint32_t hall = 0;
		for (uint32_t other = 1; other < query_.halls; ++other)
		{
			hall = at(joint, other).cost < at(joint, hall).cost ? other : hall;
		}
		if (kNever == at(joint, hall).cost)
		{
			return false;
		}
		while (jointOf_[query_.firstLayer] != joint)
		{
			const Reached& step = at(joint, hall);
			_path.push_back(PathPart{step.candidate, LayerSpan{joints_[step.fromJoint], joints_[joint]}});
			joint = step.fromJoint;
			hall = step.fromHall;
		}
		std::reverse(_path.begin(), _path.end());
		return true;
	}

	const std::vector<PathCandidate>& candidates_;
	const PathQuery& query_;
	std::vector<uint32_t> joints_;  //!< Layers, ascending.
	std::vector<uint32_t> jointOf_; //!< By layer.
	std::vector<Reached> reached_;
};

/// Joins neighbouring parts of one target.
void joinParts(std::vector<PathPart>& _path)
{
	std::vector<PathPart> joined;
	for (const PathPart& part : _path)
	{
		if (!joined.empty() && joined.back().candidate == part.candidate)
		{
			joined.back().layers.end = part.layers.end;
			continue;
		}
		joined.push_back(part);
	}
	_path.swap(joined);
}

/// @returns the candidate that has two parts, the number of candidates if none has.
uint32_t findRepeated(const std::vector<PathPart>& _path, std::size_t _candidates)
{
	std::vector<bool> seen(_candidates, false);
	for (const PathPart& part : _path)
	{
		if (seen[part.candidate])
		{
			return part.candidate;
		}
		seen[part.candidate] = true;
	}
	return static_cast<uint32_t>(_candidates);
}

/// @returns the end of a candidate's first part.
uint32_t endOfFirstPart(const std::vector<PathPart>& _path, uint32_t _candidate)
{
	for (const PathPart& part : _path)
	{
		if (_candidate == part.candidate)
		{
			return part.layers.end;
		}
	}
	return 0;
}

} // namespace

bool findPath(const std::vector<PathCandidate>& _candidates, const PathQuery& _query, std::vector<PathPart>& _path)
{
	std::vector<PathCandidate> candidates = _candidates;
	// Each round shortens one candidate by at least a layer; a path with a repeated one is rare.
	for (std::size_t round = 0; round <= candidates.size(); ++round)
	{
		if (!Search(candidates, _query).run(_path))
		{
			return false;
		}
		joinParts(_path);
		const uint32_t repeated = findRepeated(_path, candidates.size());
		if (candidates.size() == repeated)
		{
			return _path.size() <= kMostParts;
		}
		candidates[repeated].held.end = endOfFirstPart(_path, repeated);
	}
	return false;
}

} // namespace sedgecart
