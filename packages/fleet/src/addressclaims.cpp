// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/addressclaims.h>

namespace sedgecart
{

namespace
{

/// Number of claims in a row of another target, with none of the holder in between, that displace the holder. Records
/// of targets lapse after three missed reports: a holder that misses as many is considered ended.
constexpr uint32_t kClaimsToDisplace = 3;

} // namespace

AddressClaims::Outcome AddressClaims::claim(const std::string& _address, const InstanceId& _target)
{
	const auto known = addressOf_.find(_target);
	if (addressOf_.end() != known && known->second != _address)
	{
		release(_target);
	}
	Row& row = rows_[_address];
	if (row.holder.text.empty() || row.holder == _target)
	{
		row = Row{_target, InstanceId{}, 0};
		addressOf_[_target] = _address;
		return Outcome{true, InstanceId{}};
	}
	row.rivalClaims = row.rival == _target ? row.rivalClaims + 1 : 1;
	row.rival = _target;
	if (row.rivalClaims < kClaimsToDisplace)
	{
		return Outcome{};
	}
	const InstanceId displaced = row.holder;
	addressOf_.erase(displaced);
	addressOf_[_target] = _address;
	row = Row{_target, InstanceId{}, 0};
	return Outcome{true, displaced};
}

InstanceId AddressClaims::holderOf(const std::string& _address) const
{
	const auto row = rows_.find(_address);
	return rows_.end() == row ? InstanceId{} : row->second.holder;
}

void AddressClaims::release(const InstanceId& _target)
{
	const auto known = addressOf_.find(_target);
	if (addressOf_.end() == known)
	{
		return;
	}
	rows_.erase(known->second);
	addressOf_.erase(known);
}

} // namespace sedgecart
