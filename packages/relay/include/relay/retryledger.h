// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RETRYLEDGER_H_HEADER_GUARD
#define SEDGECART_RELAY_RETRYLEDGER_H_HEADER_GUARD

#include <core/retryshare.h>

#include <map>
#include <string>

namespace sedgecart
{

/// This node's share of repeats at each service. Loop thread only.
class RetryLedger
{
public:
	explicit RetryLedger(const RetryAllowance& _allowance) : allowance_(_allowance)
	{
	}

	void setAllowance(const RetryAllowance& _allowance)
	{
		allowance_ = _allowance;
	}

	void onFirst(const std::string& _service, Time _now)
	{
		shares_[_service].onFirst(_now);
	}

	/// @returns true if a repeat may be sent to the service now; it is then counted.
	bool take(const std::string& _service, uint32_t _nodes, RepeatFor::Enum _for, Time _now)
	{
		return shares_[_service].take(allowance_, _nodes, _for, _now);
	}

private:
	RetryAllowance allowance_;
	std::map<std::string, RetryShare> shares_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RETRYLEDGER_H_HEADER_GUARD
