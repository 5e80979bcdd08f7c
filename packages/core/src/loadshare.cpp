// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/loadshare.h>

namespace sedgecart
{

bool LoadShare::admits(double _free, double _added, double _needed, double _draw) const
{
	if (_free <= 0)
	{
		return false;
	}
	const double left = _free / nodes_ - _added;
	return _needed <= left || _draw * _needed < left;
}

} // namespace sedgecart
