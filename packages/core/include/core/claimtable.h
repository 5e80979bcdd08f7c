// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CLAIMTABLE_H_HEADER_GUARD
#define SEDGECART_CORE_CLAIMTABLE_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace sedgecart
{

/// Kinds of claim records.
struct ClaimVerb
{
	enum Enum
	{
		Claim,    //!< The claimant wants to run the call.
		Abandon,  //!< The claimant has not sent the call and never will.
		Complete, //!< The call was executed, and its outcome is known.
		Unknown,  //!< The call was sent, and its outcome is not known.

		Count
	};
};

/// The stored outcome of a keyed call.
struct ClaimOutcome
{
	uint16_t status = 0;
	std::string contentType;
	std::string body;
	bool truncated = false; //!< The body was too large to store.
};

/// One record about a key.
struct ClaimRecord
{
	std::string key;         //!< Digest of customer, route and the caller's key.
	std::string claimant;    //!< Unique request id.
	std::string fingerprint; //!< Digest of the call itself.
	ClaimVerb::Enum verb = ClaimVerb::Claim;
	ClaimOutcome outcome;
};

/// State of a key.
struct ClaimState
{
	enum Enum
	{
		Free,
		Claimed,
		Complete,
		Unknown,

		Count
	};
};

/// State of a key according to the log.
struct ClaimEntry
{
	ClaimState::Enum state = ClaimState::Free;
	std::string claimant;
	std::string fingerprint;
	ClaimOutcome outcome;
	uint64_t offset = 0; //!< Offset of the claim that won.
};

/// Decides which claimant may run a keyed call: a pure function of the claim stream in the order of its offsets. The
/// first claim of a free key wins. A claim ends only by a record of its claimant, never by a timeout, since the
/// claimant may be suspended, not dead.
class ClaimTable
{
public:
	/// Applies one record.
	void apply(const ClaimRecord& _record, Offset _offset);

	/// @returns the state of the key.
	const ClaimEntry& at(const std::string& _key) const;

	/// Drops keys that were claimed before the oldest offset that the log still retains.
	void dropBefore(Offset _first);

	/// @returns the number of keys in the table.
	std::size_t size() const
	{
		return entries_.size();
	}

private:
	struct Age
	{
		uint64_t offset;
		std::string text; //!< A key, or a claimant that abandoned its claim.
	};

	void end(const ClaimRecord& _record);

	std::unordered_map<std::string, ClaimEntry> entries_;
	std::deque<Age> ages_;                      //!< Of keys.
	std::unordered_set<std::string> abandoned_; //!< Claimants that must not hold a key again.
	std::deque<Age> abandonedAges_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CLAIMTABLE_H_HEADER_GUARD
