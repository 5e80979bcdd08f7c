// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_SKIPPEDRECORDS_H_HEADER_GUARD
#define SEDGECART_FLEET_SKIPPEDRECORDS_H_HEADER_GUARD

#include <base/recordfault.h>

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace sedgecart
{

class Metrics;

/// The records of the store that are skipped as unusable, and why. Writes one log line per record for each change of
/// the reason, however often the record is written again. Any thread.
class SkippedRecords
{
public:
	/// Sets the metrics that count skipped records from now on.
	void setMetrics(Metrics& _metrics);

	/// A record was read and is skipped.
	void onSkipped(RecordKind::Enum _kind, const std::string& _key, RecordFault::Enum _fault);

	/// Something was skipped that has no key and is not retained, such as a message. It is counted and logged, but not
	/// listed.
	/// @param _source where it was received from.
	void onTransientSkip(RecordKind::Enum _kind, const std::string& _source, RecordFault::Enum _fault);

	/// A valid record of this key was read.
	void onValid(RecordKind::Enum _kind, const std::string& _key);

	/// The record of this key was removed.
	void onRemoved(RecordKind::Enum _kind, const std::string& _key);

	/// @returns the number of records that are skipped at present, as far as they are remembered.
	std::size_t count() const;

	/// @returns the number of records that are skipped at present, and the first of them, as JSON.
	std::string toJson() const;

private:
	struct Row
	{
		RecordFault::Enum loggedReason = RecordFault::None; //!< Reason in the last log line.
		bool isSkipped = false;                             //!< Its newest record is skipped.
	};

	using Key = std::pair<RecordKind::Enum, std::string>;

	bool update(const Key& _key, RecordFault::Enum _fault);
	void dropValid();

	mutable std::mutex mutex_;
	std::map<Key, Row> rows_;
	std::size_t skippedCount_ = 0; //!< Rows whose newest record is skipped.
	bool limitLogged_ = false;     //!< The log line about the limit was written.
	Metrics* metrics_ = nullptr;
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_SKIPPEDRECORDS_H_HEADER_GUARD
