// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RETRYBUDGET_H_HEADER_GUARD
#define SEDGECART_CORE_RETRYBUDGET_H_HEADER_GUARD

#include <atomic>
#include <cstdint>

namespace sedgecart
{

/// Limits retries to a share of the started requests, so that a failure never multiplies the load. Thread-safe.
class RetryBudget
{
public:
	RetryBudget();

	/// Reports that a request was started, which adds a fraction of a retry.
	void earn();

	/// Takes one retry from the budget.
	/// @returns false if the budget does not contain a whole retry.
	bool spend();

	/// @returns the number of whole retries left.
	uint32_t left() const;

private:
	std::atomic<int64_t> hundredths_; //!< Hundredths of a retry.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RETRYBUDGET_H_HEADER_GUARD
