// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/crashledger.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

/// Maximum number of crashes recorded for one request; more add no evidence.
constexpr std::size_t kMaxCrashes = 16;

/// A full table evicts one in this many of its entries at once.
constexpr std::size_t kEvictedFraction = 8;

bool isFrom(const std::set<CrashSource::Enum>& _sources, CrashSource::Enum _source)
{
	return 0 < _sources.count(_source);
}

} // namespace

uint32_t CrashLedger::Case::count() const
{
	return std::max(reportedCrashes, static_cast<uint32_t>(crashes.size()));
}

bool CrashLedger::Case::isSuspect() const
{
	return blocked || 0 < reportedCrashes || kCrashesToSuspect <= mostAtSameProgress(crashes) ||
	       kCrashesToSuspect < crashes.size();
}

/// @returns the largest number of crashes with the same progress.
std::size_t CrashLedger::mostAtSameProgress(const Crashes& _crashes)
{
	std::vector<uint64_t> progress;
	for (const auto& crash : _crashes)
	{
		progress.push_back(crash.second.progress.events);
	}
	std::sort(progress.begin(), progress.end());
	std::size_t max = 0;
	std::size_t first = 0;
	for (std::size_t last = 0; last < progress.size(); ++last)
	{
		while (kSameProgress < progress[last] - progress[first])
		{
			++first;
		}
		max = std::max(max, last - first + 1);
	}
	return max;
}

/// @returns the crashes whose lost run had produced no event.
CrashLedger::Crashes CrashLedger::withoutProgress(const Crashes& _crashes)
{
	Crashes found;
	for (const auto& crash : _crashes)
	{
		if (0 == crash.second.progress.runEvents)
		{
			found.insert(crash);
		}
	}
	return found;
}

/// @returns the number of distinct times at which targets crashed.
std::size_t CrashLedger::distinctTimes(const Crashes& _crashes)
{
	std::vector<Time> times;
	for (const auto& crash : _crashes)
	{
		times.push_back(crash.second.firstSeenAt);
	}
	std::sort(times.begin(), times.end());
	std::size_t found = times.empty() ? 0 : 1;
	for (std::size_t next = 1; next < times.size(); ++next)
	{
		found += times[next - 1] + kSimultaneous < times[next] ? 1 : 0;
	}
	return found;
}

bool CrashLedger::isBeyondChance(const Crashes& _unexplained)
{
	return kCrashesBeyondChance <= _unexplained.size() && kMomentsBeyondChance <= distinctTimes(_unexplained);
}

/// A request that runs on many targets at once has some runs with equal progress by coincidence when these targets
/// crash, so that most of its crashes must be at the same progress.
bool CrashLedger::isProven(const Crashes& _unexplained)
{
	const std::size_t atSameProgress = mostAtSameProgress(_unexplained);
	const bool enough =
	    kCrashesToBlock <= mostAtSameProgress(withoutProgress(_unexplained)) || kCrashesToBlock < atSameProgress;
	return (enough && _unexplained.size() < atSameProgress + atSameProgress) || isBeyondChance(_unexplained);
}

CrashLedger::Crashes CrashLedger::excluding(const Crashes& _crashes, const Incarnations& _explained)
{
	Crashes left;
	for (const auto& crash : _crashes)
	{
		if (0 == _explained.count(crash.first))
		{
			left.insert(crash);
		}
	}
	return left;
}

bool CrashLedger::isCleared(const RequestIdentity& _request, Time _now) const
{
	const auto answer = responses_.find(_request);
	return responses_.end() != answer && _now < answer->second.at + kClearingPeriod;
}

CrashLedger::Case& CrashLedger::caseOf(const RequestIdentity& _request)
{
	if (kMaxCases <= cases_.size() && 0 == cases_.count(_request))
	{
		evictCases();
	}
	return cases_[_request];
}

/// A caller that changes its request with every attempt fills the table with cases of one crash. These are evicted
/// first, the oldest before newer ones.
void CrashLedger::evictCases()
{
	std::vector<Cases::iterator> rows;
	for (auto row = cases_.begin(); cases_.end() != row; ++row)
	{
		rows.push_back(row);
	}
	const auto evictedEnd = rows.begin() + static_cast<std::ptrdiff_t>(kMaxCases / kEvictedFraction);
	const auto isEvictedFirst = [](const Cases::iterator& _a, const Cases::iterator& _b)
	{
		if (_a->second.blocked != _b->second.blocked)
		{
			return _b->second.blocked;
		}
		const uint32_t a = _a->second.count();
		const uint32_t b = _b->second.count();
		return a == b ? _a->second.lastEventAt < _b->second.lastEventAt : a < b;
	};
	std::nth_element(rows.begin(), evictedEnd, rows.end(), isEvictedFirst);
	for (auto row = rows.begin(); evictedEnd != row; ++row)
	{
		cases_.erase(*row);
	}
}

bool CrashLedger::recordCrash(const CrashRow& _row, CrashSource::Enum _source, Time _now)
{
	if (isCleared(_row.request, _now))
	{
		return false;
	}
	Case& found = caseOf(_row.request);
	const bool isNew = 0 == found.crashes.count(_row.target);
	if (!isNew || kMaxCrashes <= found.crashes.size())
	{
		return false;
	}
	const bool wasSuspect = found.isSuspect();
	found.crashes[_row.target] = Crash{Origin{_now, _source}, _row.progress, _now};
	found.lastEventAt = _now;
	found.changedAt = _now;
	found.suspectedAt = !wasSuspect && found.isSuspect() ? _now : found.suspectedAt;
	return true;
}

bool CrashLedger::recordResponse(const RequestIdentity& _request, CrashSource::Enum _source, Time _now)
{
	const auto found = cases_.find(_request);
	const bool isUpdate = cases_.end() != found || (CrashSource::Own != _source && !isCleared(_request, _now));
	if (!isUpdate)
	{
		return false;
	}
	recordCleared(_request, _source, _now);
	return true;
}

void CrashLedger::recordCleared(const RequestIdentity& _request, CrashSource::Enum _source, Time _now)
{
	cases_.erase(_request);
	if (kMaxCases <= responses_.size())
	{
		responses_.clear(); // the next response clears what these entries would still have cleared
	}
	responses_[_request] = Origin{_now, _source};
}

void CrashLedger::clear(const RequestIdentity& _request, Time _now)
{
	recordCleared(_request, CrashSource::Own, _now);
}

void CrashLedger::applyReported(const CrashSuspect& _suspect, Time _now)
{
	if (isCleared(_suspect.request, _now))
	{
		return;
	}
	Case& found = caseOf(_suspect.request);
	if (found.reportedCrashes < _suspect.crashes)
	{
		found.reportedCrashes = _suspect.crashes;
		found.lastEventAt = _now;
	}
	if (_suspect.blocked && !found.blocked)
	{
		block(found, _now);
		found.blockedUntil = _now + std::min(_suspect.blockedFor, kBlockDuration);
	}
}

void CrashLedger::recordBlocked(const RequestIdentity& _request, const std::vector<TargetIncarnation>& _crashes,
                                Time _now)
{
	if (isCleared(_request, _now))
	{
		return;
	}
	for (const TargetIncarnation& incarnation : _crashes)
	{
		recordCrash(CrashRow{_request, incarnation, ResponseProgress{}}, CrashSource::Fleet, _now);
	}
	Case& found = caseOf(_request);
	if (!found.blocked)
	{
		block(found, _now);
	}
}

void CrashLedger::release(const RequestIdentity& _request)
{
	cases_.erase(_request);
}

void CrashLedger::block(Case& _case, Time _now)
{
	_case.blocked = true;
	_case.blockedUntil = _now + kBlockDuration;
	_case.lastEventAt = _now;
	_case.changedAt = _now;
}

/// @returns true if another request ran on all of these targets and is equally likely to have crashed them.
bool CrashLedger::hasEquivalentSuspect(const RequestIdentity& _request, const Crashes& _unexplained) const
{
	return std::any_of(cases_.begin(), cases_.end(),
	                   [&_request, &_unexplained](const Cases::value_type& _row)
	                   {
		                   Crashes shared;
		                   for (const auto& crash : _unexplained)
		                   {
			                   const auto found = _row.second.crashes.find(crash.first);
			                   if (_row.second.crashes.end() != found)
			                   {
				                   shared.insert(*found);
			                   }
		                   }
		                   const bool isOther = !(_row.first == _request) && !_row.second.blocked &&
		                                        _row.first.isPromptPart() == _request.isPromptPart();
		                   const bool isAlike = withoutProgress(_unexplained).size() <= withoutProgress(shared).size();
		                   return isOther && shared.size() == _unexplained.size() && isProven(shared) && isAlike;
	                   });
}

bool CrashLedger::isSure(const RequestIdentity& _request, const Crashes& _unexplained) const
{
	const bool isBeyondDoubt =
	    _request.isPromptPart() ? kCrashesToBlockOne <= _unexplained.size() : isBeyondChance(_unexplained);
	return isBeyondDoubt || !hasEquivalentSuspect(_request, _unexplained);
}

std::vector<RequestIdentity> CrashLedger::blockProven(Time _now)
{
	constexpr bool kParts = true;
	Incarnations explained;
	std::vector<RequestIdentity> blocked = blockProven(kParts, explained, _now);
	const Incarnations pending = pendingCrashes(_now);
	explained.insert(pending.begin(), pending.end());
	const std::vector<RequestIdentity> requests = blockProven(!kParts, explained, _now);
	blocked.insert(blocked.end(), requests.begin(), requests.end());
	return blocked;
}

/// Nodes may still object to a part.
bool CrashLedger::isPending(const Cases::value_type& _row, Time _now)
{
	return _row.first.isPromptPart() && !_row.second.blocked && _now < _row.second.suspectedAt + kObjectionTime;
}

/// @returns the crashes that prompt parts are proven to have caused unless a node objects. Until then no request is
/// blocked for them.
CrashLedger::Incarnations CrashLedger::pendingCrashes(Time _now) const
{
	Incarnations pending;
	for (const auto& row : cases_)
	{
		for (const auto& crash : row.second.crashes)
		{
			if (isPending(row, _now) && isProven(row.second.crashes))
			{
				pending.insert(crash.first);
			}
		}
	}
	return pending;
}

/// Blocks the prompt parts, or the requests, that are proven to crash targets.
/// @param _explained crashes that blocked ones explain; receives those of this kind.
std::vector<RequestIdentity> CrashLedger::blockProven(bool _parts, Incarnations& _explained, Time _now)
{
	std::vector<Cases::iterator> open;
	for (auto row = cases_.begin(); cases_.end() != row; ++row)
	{
		if (_parts != row->first.isPromptPart())
		{
			continue;
		}
		for (const auto& crash : row->second.crashes)
		{
			if (row->second.blocked)
			{
				_explained.insert(crash.first);
			}
		}
		if (!row->second.blocked && !isPending(*row, _now) && isProven(row->second.crashes))
		{
			open.push_back(row);
		}
	}
	std::sort(open.begin(), open.end(),
	          [](const Cases::iterator& _a, const Cases::iterator& _b)
	          {
		          const std::size_t a = mostAtSameProgress(_a->second.crashes);
		          const std::size_t b = mostAtSameProgress(_b->second.crashes);
		          return a == b
		                     ? withoutProgress(_b->second.crashes).size() < withoutProgress(_a->second.crashes).size()
		                     : b < a;
	          });
	std::vector<RequestIdentity> blocked;
	for (const Cases::iterator& row : open)
	{
		const Crashes left = excluding(row->second.crashes, _explained);
		if (!isProven(left) || !isSure(row->first, left))
		{
			continue;
		}
		block(row->second, _now);
		for (const auto& crash : left)
		{
			_explained.insert(crash.first);
		}
		blocked.push_back(row->first);
	}
	return blocked;
}

std::vector<RequestIdentity> CrashLedger::expire(Time _now)
{
	std::vector<RequestIdentity> unblocked;
	for (auto row = cases_.begin(); cases_.end() != row;)
	{
		Case& entry = row->second;
		if (entry.blocked && !(_now < entry.blockedUntil))
		{
			entry.blocked = false;
			entry.lastEventAt = _now;
			entry.reportedCrashes = 0;
			while (kCrashesToBlock <= entry.crashes.size())
			{
				entry.crashes.erase(entry.crashes.begin()); // one more crash blocks it again
			}
			unblocked.push_back(row->first);
		}
		const bool isOld = !entry.blocked && entry.lastEventAt + kCrashLifetime < _now;
		row = isOld ? cases_.erase(row) : std::next(row);
	}
	for (auto row = responses_.begin(); responses_.end() != row;)
	{
		row = row->second.at + kClearingPeriod < _now ? responses_.erase(row) : std::next(row);
	}
	return unblocked;
}

CrashSuspect CrashLedger::suspectOf(const Cases::value_type& _row, Time _now)
{
	const Case& entry = _row.second;
	return CrashSuspect{_row.first, entry.count(), entry.blocked,
	                    entry.blocked ? entry.blockedUntil - _now : Duration{}};
}

std::vector<CrashSuspect> CrashLedger::suspects(Time _now) const
{
	return suspectsSince(Time{INT64_MIN}, _now);
}

std::vector<CrashSuspect> CrashLedger::suspectsSince(Time _since, Time _now) const
{
	std::vector<CrashSuspect> found;
	for (const auto& row : cases_)
	{
		if (row.second.isSuspect() && _since < row.second.changedAt)
		{
			found.push_back(suspectOf(row, _now));
		}
	}
	return found;
}

std::vector<CrashRow> CrashLedger::crashesSince(Time _since, const std::set<CrashSource::Enum>& _sources) const
{
	std::vector<CrashRow> found;
	for (const auto& row : cases_)
	{
		for (const auto& crash : row.second.crashes)
		{
			const Origin& learned = crash.second.origin;
			if (_since < learned.at && isFrom(_sources, learned.source))
			{
				found.push_back(CrashRow{row.first, crash.first, crash.second.progress});
			}
		}
	}
	return found;
}

std::vector<RequestIdentity> CrashLedger::responsesSince(Time _since, const std::set<CrashSource::Enum>& _sources) const
{
	std::vector<RequestIdentity> found;
	for (const auto& row : responses_)
	{
		if (_since < row.second.at && isFrom(_sources, row.second.source))
		{
			found.push_back(row.first);
		}
	}
	return found;
}

void CrashLedger::reportOwnAgain(Time _now)
{
	for (auto& row : cases_)
	{
		for (auto& crash : row.second.crashes)
		{
			Origin& learned = crash.second.origin;
			learned.at = CrashSource::Own == learned.source ? _now : learned.at;
		}
	}
}

std::vector<TargetIncarnation> CrashLedger::crashesOf(const RequestIdentity& _request) const
{
	std::vector<TargetIncarnation> incarnations;
	const auto found = cases_.find(_request);
	if (cases_.end() != found)
	{
		for (const auto& crash : found->second.crashes)
		{
			incarnations.push_back(crash.first);
		}
	}
	return incarnations;
}

} // namespace sedgecart
