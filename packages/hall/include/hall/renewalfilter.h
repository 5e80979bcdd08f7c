// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_RENEWALFILTER_H_HEADER_GUARD
#define SEDGECART_HALL_RENEWALFILTER_H_HEADER_GUARD

#include <base/recordfault.h>
#include <core/recordorder.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace sedgecart
{

class DocumentParserI;
struct KeyedRecord;
struct RunnerRecord;

/// Detects records of targets that only renew the previous record of the same target, or were written before it. A hub
/// does not forward these: targets renew their records every few seconds whether or not anything changed, so that
/// forwarding all of them to all nodes takes traffic that grows with the product of nodes and targets.
///
/// While several targets claim one address, no record of them counts as a renewal, since nodes decide by the number of
/// claims which of them owns the address (`fleet/addressclaims`). Not thread-safe.
class RenewalFilter
{
public:
	explicit RenewalFilter(const DocumentParserI& _documents);

	/// Takes the next record of the topic. Records have to be passed in the order of their offsets.
	/// @param _readAt when the record was read; never decreases.
	/// @returns true if the record changes nothing that nodes use.
	bool isRedundant(const KeyedRecord& _record, Time _readAt);

	/// @returns true if a record of the target was taken.
	bool knows(const std::string& _target) const
	{
		return 0 < rows_.count(_target);
	}

	/// Forgets what the records hold: the next record of each target counts as a change, unless it is older than one
	/// before it.
	void clear();

private:
	/// The last record of a target.
	struct Row
	{
		uint64_t content = 0;      //!< Hash of the fields that nodes use.
		std::string address;       //!< Empty if the record is unusable.
		bool wasContested = false; //!< Another target claimed the address at that time.
	};

	static Row rowOf(RecordFault::Enum _fault, const RunnerRecord& _record);
	void claim(const std::string& _address);
	void release(const std::string& _address);

	const DocumentParserI& documents_;
	RecordOrder order_;
	std::unordered_map<std::string, Row> rows_;        //!< By target.
	std::unordered_map<std::string, uint32_t> claims_; //!< Number of targets, by address.
};

} // namespace sedgecart

#endif // SEDGECART_HALL_RENEWALFILTER_H_HEADER_GUARD
