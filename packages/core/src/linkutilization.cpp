// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/linkutilization.h>

namespace sedgecart
{

namespace
{

int64_t numberAt(Time _now, uint32_t _slices)
{
	return _now.micros / (LinkUtilization::kWindow.micros / _slices);
}

} // namespace

void LinkUtilization::add(Duration _transmissionTime, Time _now)
{
	const int64_t number = numberAt(_now, kSlices);
	Slice& slice = slices_[static_cast<std::size_t>(number) % kSlices];
	if (number != slice.number.exchange(number, std::memory_order_relaxed))
	{
		slice.micros.store(0, std::memory_order_relaxed);
	}
	slice.micros.fetch_add(_transmissionTime.micros, std::memory_order_relaxed);
}

Duration LinkUtilization::own(Time _now) const
{
	const int64_t number = numberAt(_now, kSlices);
	int64_t micros = 0;
	for (const Slice& slice : slices_)
	{
		const bool counts = number - kSlices < slice.number.load(std::memory_order_relaxed);
		micros += counts ? slice.micros.load(std::memory_order_relaxed) : 0;
	}
	return Duration{micros};
}

double LinkUtilization::total(Time _now) const
{
	const int64_t micros = own(_now).micros + others_.load(std::memory_order_relaxed);
	return static_cast<double>(micros) / static_cast<double>(kWindow.micros);
}

} // namespace sedgecart
