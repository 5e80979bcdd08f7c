// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_LOADREPORT_H_HEADER_GUARD
#define SEDGECART_CTL_LOADREPORT_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sedgecart
{

/// Percentiles of a time, seconds.
struct LoadTimes
{
	double p50 = 0;
	double p95 = 0;
	double p99 = 0;
	double most = 0;
};

/// What became of one customer's requests.
struct CustomerReport
{
	uint64_t sent = 0;
	uint64_t whole = 0;
	uint64_t refused = 0; //!< Truly not run, told when to come back or why it will never do.
	uint64_t broken = 0;  //!< Anything else that is not whole.
};

/// What became of a load run.
struct LoadReport
{
	uint64_t sent = 0;
	uint64_t whole = 0;
	uint64_t refused = 0;
	uint64_t broken = 0;
	uint64_t refusedUntold = 0; //!< Refused for load without being told when to come back.
	double tokensPerSecond = 0; //!< Delivered between settling and the last arrival.
	double seconds = 0;
	LoadTimes firstToken;
	LoadTimes tokenGap;
	std::map<std::string, uint64_t> errors; //!< By kind.
	std::map<std::string, CustomerReport> customers;
};

/// @returns the report as one JSON object.
std::string toJson(const LoadReport& _report);

/// @returns the report as a table for people.
std::string toTable(const LoadReport& _report);

} // namespace sedgecart

#endif // SEDGECART_CTL_LOADREPORT_H_HEADER_GUARD
