// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_ADDRESSCLAIMS_H_HEADER_GUARD
#define SEDGECART_FLEET_ADDRESSCLAIMS_H_HEADER_GUARD

#include <base/runner.h>

#include <cstdint>
#include <map>
#include <string>

namespace sedgecart
{

/// Maps each address to the one target that owns it. The first target that claims an address keeps it, so that another
/// target's record with the same address does not take it out of use. Live targets renew their records and with them
/// their claims; a target that stops doing so loses its address to one that goes on claiming it.
class AddressClaims
{
public:
	/// Result of a claim.
	struct Outcome
	{
		bool granted = false; //!< The claiming target owns the address now.
		InstanceId displaced; //!< The previous owner if the claim displaced one; else empty.
	};

	/// A target claims an address, and releases any other that it owned if the claim is for a different one.
	Outcome claim(const std::string& _address, const InstanceId& _target);

	/// @returns the target that owns an address; empty: none.
	InstanceId holderOf(const std::string& _address) const;

	/// Releases a target's address: its record was removed or is unusable.
	void release(const InstanceId& _target);

private:
	struct Row
	{
		InstanceId holder;
		InstanceId rival;         //!< Has claimed the same address since the holder's last claim.
		uint32_t rivalClaims = 0; //!< Its number of claims in a row.
	};

	std::map<std::string, Row> rows_;             //!< By address.
	std::map<InstanceId, std::string> addressOf_; //!< Address of each holder.
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_ADDRESSCLAIMS_H_HEADER_GUARD
