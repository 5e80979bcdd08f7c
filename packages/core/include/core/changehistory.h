// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CHANGEHISTORY_H_HEADER_GUARD
#define SEDGECART_CORE_CHANGEHISTORY_H_HEADER_GUARD

#include <base/configchange.h>
#include <base/units.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace sedgecart
{

/// A change that was applied, and the change that would undo it.
struct PastChange
{
	Offset offset;
	ChangeVerb::Enum verb = ChangeVerb::Put;
	ObjectKind::Enum kind = ObjectKind::None;
	std::string name;
	std::string author;
	std::optional<ConfigChange> inverse; //!< None if a single change cannot undo it. Id and author are not set.
};

/// The blackboard's section for the latest changes that this process has applied; empty when a process starts.
class ChangeHistory
{
public:
	/// Records a change that was applied.
	/// @param _before the previous object, as the change that would restore it; none if it did not exist.
	void record(const std::optional<ConfigChange>& _before, const ConfigChange& _change, Offset _offset);

	/// @returns the change at an offset, null if it is not known here.
	const PastChange* find(Offset _offset) const;

	const std::deque<PastChange>& all() const
	{
		return changes_;
	}

private:
	std::deque<PastChange> changes_; //!< In log order.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CHANGEHISTORY_H_HEADER_GUARD
