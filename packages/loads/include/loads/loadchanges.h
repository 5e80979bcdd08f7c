// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_LOADCHANGES_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADCHANGES_H_HEADER_GUARD

#include <base/targetincarnation.h>
#include <base/units.h>
#include <loads/loadtable.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace sedgecart
{

/// Loads as a node of the hall needs them, given the version that it has.
struct LoadUpdate
{
	uint64_t version = 0;                  //!< Of the loads after the update.
	uint64_t base = 0;                     //!< Version that the rows change; 0: the rows are complete.
	std::shared_ptr<const LoadTable> rows; //!< In an update of a base, a row without load removes its target.
};

/// Publishes the totals of a hub to the nodes of its hall as changes between versions, so that what a node receives
/// depends on how much the loads change and not on the number of targets.
///
/// A version holds at most `kMaxRows` rows that changed. If more did, the rows that changed most, relative to their
/// load, come first, those that this hall uses before others; the rest follow with later versions. A suspicion that a
/// target is dead is always included. Not thread-safe.
class LoadChanges
{
public:
	/// Maximum number of changed rows of a version, not counting suspicions: seven versions per second are 8 kB/s, two
	/// thirds of what a node may spend on control.
	static constexpr std::size_t kMaxRows = 40;

	/// How long a node may be without an answer and still receive changes instead of complete loads.
	static constexpr Duration kHistory = Duration::fromMillis(3000);

	/// Publishes the next version.
	/// @param _totals loads of all nodes.
	/// @param _hall loads of the nodes of this hall.
	void publish(const LoadTable& _totals, const LoadTable& _hall, Time _now);

	/// @param _version that the node has; 0: none.
	LoadUpdate since(uint64_t _version) const;

private:
	struct Row
	{
		LoadAmount published;
		uint64_t changedIn = 0; //!< Version.
	};

	/// A row that differs from what was published.
	struct Candidate
	{
		TargetIncarnation target;
		LoadAmount amount;
		double weight = 0;
		bool isUrgent = false;
	};

	std::vector<Candidate> candidatesOf(const LoadTable& _totals, const LoadTable& _hall) const;
	void dropRemoved(Time _now);
	std::shared_ptr<const LoadTable> rowsSince(uint64_t _version) const;

	std::map<TargetIncarnation, Row> rows_;
	uint64_t version_ = 0; //!< Time of the last update, microseconds.
	uint64_t oldest_ = 0;  //!< First version whose changes are complete.
	mutable std::map<uint64_t, std::shared_ptr<const LoadTable>> updates_; //!< Of the current version, by base.
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADCHANGES_H_HEADER_GUARD
