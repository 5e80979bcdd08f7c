// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RELAYLOG_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RELAYLOG_P_H_HEADER_GUARD

#include <base/units.h>
#include <logging/logging.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

class ClockI;
class CapacityWait;
class RelayMachine;
class RequestPath;
struct BudgetNodes;
struct RelayPlan;
struct RetryUsage;

/// Arrival times of an answer's events.
struct AnswerTimes
{
	Time firstAt;
	Time lastAt;
	Duration longestPause; //!< Between two consecutive events.
};

/// Writes the log lines of one request.
class RelayLog
{
public:
	/// All arguments must outlive this object.
	RelayLog(const ClockI& _clock, const RelayPlan& _plan, const RelayMachine& _machine, const RequestPath& _path,
	         const CapacityWait& _wait);

	/// Logs a send: the chosen path and what determined the choice.
	void sent(bool _resumes) const;

	/// Logs a forwarded answer and its timing.
	void forwarded(uint16_t _status, const AnswerTimes& _times) const;

	/// Logs the outcome of a send or of the request.
	/// @param _atFault "ip:port" of the target that the answer names as being at fault; empty if none.
	/// @param _more further fields.
	void outcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause, const std::string& _atFault,
	             const std::vector<LogField>& _more = {}) const;

	/// Logs that the request is refused, and for want of which capacity.
	/// @param _atFault as in `outcome`.
	/// @param _more further fields.
	void refused(const std::string& _cause, const std::string& _atFault, std::vector<LogField> _more) const;

	/// Logs that the request is not sent again because the retry budget is exhausted.
	/// @param _usage what this node has used of its share.
	/// @param _nodes nodes that share the slack.
	void retryDenied(const RetryUsage& _usage, const BudgetNodes& _nodes) const;

	/// Logs that shutdown ends the request.
	/// @param _signal time of the stop signal.
	void cutOff(Time _signal) const;

private:
	std::string headName() const;

	const ClockI& clock_;
	const RelayPlan& plan_;
	const RelayMachine& machine_;
	const RequestPath& path_;
	const CapacityWait& wait_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RELAYLOG_P_H_HEADER_GUARD
