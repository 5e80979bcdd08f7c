// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/claimtable.h>

namespace sedgecart
{

namespace
{

const ClaimEntry kFreeEntry;

} // namespace

void ClaimTable::apply(const ClaimRecord& _record, Offset _offset)
{
	if (ClaimVerb::Abandon == _record.verb && abandoned_.insert(_record.claimant).second)
	{
		abandonedAges_.push_back(Age{_offset.value, _record.claimant});
	}
	if (ClaimVerb::Claim != _record.verb)
	{
		end(_record);
		return;
	}
	// An append whose answer was lost is repeated, so a claim can follow its own abandonment.
	if (0 != abandoned_.count(_record.claimant))
	{
		return;
	}
	ClaimEntry& entry = entries_[_record.key];
	if (ClaimState::Free != entry.state)
	{
		return;
	}
	entry.state = ClaimState::Claimed;
	entry.claimant = _record.claimant;
	entry.fingerprint = _record.fingerprint;
	entry.offset = _offset.value;
	ages_.push_back(Age{_offset.value, _record.key});
}

void ClaimTable::end(const ClaimRecord& _record)
{
	const auto found = entries_.find(_record.key);
	if (entries_.end() == found)
	{
		return;
	}
	ClaimEntry& entry = found->second;
	if (ClaimState::Claimed != entry.state || entry.claimant != _record.claimant)
	{
		return;
	}
	switch (_record.verb)
	{
	case ClaimVerb::Abandon:
		entries_.erase(found);
		return;
	case ClaimVerb::Complete:
		entry.state = ClaimState::Complete;
		entry.outcome = _record.outcome;
		return;
	case ClaimVerb::Unknown:
		entry.state = ClaimState::Unknown;
		return;
	case ClaimVerb::Claim:
	case ClaimVerb::Count:
		return;
	}
}

const ClaimEntry& ClaimTable::at(const std::string& _key) const
{
	const auto found = entries_.find(_key);
	return entries_.end() == found ? kFreeEntry : found->second;
}

void ClaimTable::dropBefore(Offset _first)
{
	while (!ages_.empty() && ages_.front().offset < _first.value)
	{
		const auto found = entries_.find(ages_.front().text);
		// A key that was abandoned and claimed again is as old as its last claim.
		if (entries_.end() != found && found->second.offset == ages_.front().offset)
		{
			entries_.erase(found);
		}
		ages_.pop_front();
	}
	while (!abandonedAges_.empty() && abandonedAges_.front().offset < _first.value)
	{
		abandoned_.erase(abandonedAges_.front().text);
		abandonedAges_.pop_front();
	}
}

} // namespace sedgecart
