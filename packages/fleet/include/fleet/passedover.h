// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_PASSEDOVER_H_HEADER_GUARD
#define SEDGECART_FLEET_PASSEDOVER_H_HEADER_GUARD

#include <base/recordfault.h>

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace sedgecart
{

class Metrics;

/// The records of the store that are passed over, and why. Tells of each by one log line for each change of its reason,
/// however often its author writes it. Any thread.
class PassedOver
{
public:
	/// From now on each record that is passed over is counted there.
	void setMetrics(Metrics& _metrics);

	/// A record was read and is passed over.
	void note(RecordKind::Enum _kind, const std::string& _key, RecordFault::Enum _fault);

	/// Something was passed over that stands under no key, so that it is not there any more.
	/// @param _source where it came from.
	void notePassing(RecordKind::Enum _kind, const std::string& _source, RecordFault::Enum _fault);

	/// A record of this key was read that holds.
	void noteSound(RecordKind::Enum _kind, const std::string& _key);

	/// The key has no record any more.
	void forget(RecordKind::Enum _kind, const std::string& _key);

	/// @returns how many records are passed over now, as far as they are remembered.
	std::size_t count() const;

	/// @returns the number of records that are passed over now and the first of them, as JSON.
	std::string text() const;

private:
	struct Row
	{
		RecordFault::Enum told = RecordFault::None; //!< Reason of the last log line.
		bool stands = false;                        //!< Its newest record is passed over.
	};

	using Key = std::pair<RecordKind::Enum, std::string>;

	bool remember(const Key& _key, RecordFault::Enum _fault);
	void dropSound();

	mutable std::mutex mutex_;
	std::map<Key, Row> rows_;
	std::size_t standing_ = 0; //!< Rows that stand.
	bool full_ = false;        //!< It was told that more are not remembered.
	Metrics* metrics_ = nullptr;
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_PASSEDOVER_H_HEADER_GUARD
