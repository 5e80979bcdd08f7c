// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/heldcount.h>

#include <algorithm>

namespace sedgecart
{

void HeldCount::set(uint32_t _count, Time _now)
{
	knownSince_ = knownSince_.value_or(_now);
	if (_count < current_)
	{
		formers_.push_back(Former{current_, _now + kHold});
	}
	current_ = _count;
	const auto isOver = [_count, _now](const Former& _former)
	{
		return _former.count <= _count || !(_now < _former.until);
	};
	formers_.erase(std::remove_if(formers_.begin(), formers_.end(), isOver), formers_.end());
}

BudgetNodes HeldCount::at(Time _now) const
{
	const auto held = std::find_if(formers_.begin(), formers_.end(),
	                               [_now](const Former& _former)
	                               {
		                               return _now < _former.until;
	                               });
	const uint32_t count = formers_.end() == held ? current_ : held->count;
	return BudgetNodes{count, knownSince_ ? _now - *knownSince_ : Duration{}};
}

} // namespace sedgecart
