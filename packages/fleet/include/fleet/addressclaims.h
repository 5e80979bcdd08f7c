// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_ADDRESSCLAIMS_H_HEADER_GUARD
#define SEDGECART_FLEET_ADDRESSCLAIMS_H_HEADER_GUARD

#include <base/runner.h>

#include <cstdint>
#include <map>
#include <string>

namespace sedgecart
{

/// Which target each address belongs to. One address is one target's: the first that tells it keeps it, so that an
/// entry of somebody else takes no target out of use. A target tells its entry again and again; one that has ended does
/// not, and gives its address up to another that does.
class AddressClaims
{
public:
	/// What came of telling an address.
	struct Outcome
	{
		bool isOwn = false;   //!< It is this target's now.
		InstanceId displaced; //!< The target that it was taken from; empty: none.
	};

	/// A target tells its address.
	Outcome claim(const std::string& _address, const InstanceId& _target);

	/// @returns the target that an address belongs to; empty: none.
	InstanceId holderOf(const std::string& _address) const;

	/// A target's entry is gone, or names no address.
	void release(const InstanceId& _target);

private:
	struct Row
	{
		InstanceId holder;
		InstanceId rival;    //!< Told the same address since the holder did last.
		uint32_t rivals = 0; //!< How often.
	};

	std::map<std::string, Row> rows_;             //!< By address.
	std::map<InstanceId, std::string> addressOf_; //!< Of the holders.
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_ADDRESSCLAIMS_H_HEADER_GUARD
