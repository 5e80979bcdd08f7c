// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/changehistory.h>

#include <base/config.h>

namespace sedgecart
{

namespace
{

/// @returns the change that undoes another, provided that the object was not changed since.
std::optional<ConfigChange> inverseOf(const std::optional<ConfigChange>& _before, const ConfigChange& _change,
                                      Offset _offset)
{
	const bool manyObjects =
	    ObjectKind::Hall == _change.kind && (ChangeVerb::Drain == _change.verb || ChangeVerb::Resume == _change.verb);
	if (manyObjects)
	{
		return std::nullopt;
	}
	ConfigChange inverse;
	if (_before)
	{
		inverse = *_before;
		inverse.verb = ChangeVerb::Put;
	}
	else
	{
		inverse.verb = ChangeVerb::Remove;
	}
	inverse.kind = _change.kind;
	inverse.name = _change.name;
	inverse.hasPrecondition = true;
	const bool removed = ChangeVerb::Remove == _change.verb;
	inverse.expectedRevision = removed ? 0 : _offset.value + 1;
	return inverse;
}

} // namespace

void ChangeHistory::record(const std::optional<ConfigChange>& _before, const ConfigChange& _change, Offset _offset)
{
	PastChange past;
	past.offset = _offset;
	past.verb = _change.verb;
	past.kind = _change.kind;
	past.name = _change.name;
	past.author = _change.author;
	past.inverse = inverseOf(_before, _change, _offset);
	changes_.push_back(std::move(past));
	if (SEDGECART_CONFIG_KEPT_CHANGES < changes_.size())
	{
		changes_.pop_front();
	}
}

const PastChange* ChangeHistory::find(Offset _offset) const
{
	for (const PastChange& change : changes_)
	{
		if (change.offset == _offset)
		{
			return &change;
		}
	}
	return nullptr;
}

} // namespace sedgecart
