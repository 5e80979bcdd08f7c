// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RELAYCONTEXT_H_HEADER_GUARD
#define SEDGECART_RELAY_RELAYCONTEXT_H_HEADER_GUARD

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class AdmissionController;
class ClockI;
class CrashDetector;
class LinkUtilization;
class Mechanisms;
class Metrics;
class PathWatch;
class RandomI;
class ReachabilityMonitor;
class TargetRateLimiter;
class ResumeAdmission;
class ServiceResponseTimes;
class ServiceRetryBudgets;
class RunnerOrdersI;
class TargetConnectionPool;
class WireFormatI;
struct FleetCell;

/// Dependencies shared by all requests of one loop.
struct RelayContext
{
	boost::asio::io_context& loop;
	const ClockI& clock;
	const WireFormatI& wire;
	const FleetCell& cell;
	LinkUtilization& link;
	TargetConnectionPool& pool;
	RandomI& random;
	ServiceRetryBudgets& retries;
	Metrics& metrics;
	PathWatch& watch;
	RunnerOrdersI& orders;
	const Mechanisms& mechanisms;
	ServiceResponseTimes& answerDurations;
	CrashDetector& crashes;
	ResumeAdmission& resumes;
	TargetRateLimiter& rates;
	AdmissionController& admission;
	ReachabilityMonitor& reachability;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RELAYCONTEXT_H_HEADER_GUARD
