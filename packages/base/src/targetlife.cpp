// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/targetlife.h>

namespace sedgecart
{

LifeOrder::Enum compareLives(const TargetLife& _known, const TargetLife& _told, LifeEvidence::Enum _evidence)
{
	if (!(_known.instance == _told.instance))
	{
		return LifeOrder::Unrelated;
	}
	const bool bothKnown = _known.born.isKnown() && _told.born.isKnown();
	if (!bothKnown || _known.born == _told.born)
	{
		return LifeOrder::Same;
	}
	const bool isLater = LifeEvidence::After == _evidence || _known.born < _told.born;
	return isLater ? LifeOrder::Newer : LifeOrder::Older;
}

TargetLife lifeAfter(const TargetLife& _known, const TargetLife& _told, LifeEvidence::Enum _evidence)
{
	const LifeOrder::Enum order = compareLives(_known, _told, _evidence);
	const bool tellsBirth = LifeOrder::Same == order && !_known.born.isKnown();
	return LifeOrder::Newer == order || tellsBirth ? _told : _known;
}

} // namespace sedgecart
