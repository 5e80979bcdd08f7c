// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_SERVICERETRYBUDGETS_H_HEADER_GUARD
#define SEDGECART_RELAY_SERVICERETRYBUDGETS_H_HEADER_GUARD

#include <core/retryshare.h>

#include <map>
#include <optional>
#include <string>

namespace sedgecart
{

/// This node's shares of the retry budgets, one per service. Loop thread only.
class ServiceRetryBudgets
{
public:
	explicit ServiceRetryBudgets(const RetryAllowance& _allowance) : allowance_(_allowance)
	{
	}

	void setAllowance(const RetryAllowance& _allowance)
	{
		allowance_ = _allowance;
	}

	/// Records the first send of a request to the service.
	void onFirstSend(const std::string& _service, Time _now)
	{
		shares_[_service].onFirstSend(_now);
	}

	/// Consumes one repeat from the budget of the service.
	/// @param _nodes nodes that share the slack.
	/// @returns true if the repeat may be sent now; false if the budget is exhausted, and nothing is consumed.
	bool tryConsume(const std::string& _service, const BudgetNodes& _nodes, RetryPurpose::Enum _for, Time _now)
	{
		return shares_[_service].tryTake(allowance_, _nodes, _for, _now);
	}

	/// @returns the use of this node's share, if it was not reported within `kReportInterval`.
	std::optional<RetryUsage> usageToReport(const std::string& _service, const BudgetNodes& _nodes,
	                                        RetryPurpose::Enum _for, Time _now)
	{
		const auto last = reportedAt_.find(_service);
		if (reportedAt_.end() != last && _now < last->second + kReportInterval)
		{
			return std::nullopt;
		}
		reportedAt_[_service] = _now;
		return shares_[_service].usage(allowance_, _nodes, _for, _now);
	}

private:
	/// Each request is denied a retry while the budget is exhausted, so that a log line for each would be too many.
	static constexpr Duration kReportInterval = Duration::fromMillis(1000);

	RetryAllowance allowance_;
	std::map<std::string, RetryShare> shares_;
	std::map<std::string, Time> reportedAt_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_SERVICERETRYBUDGETS_H_HEADER_GUARD
