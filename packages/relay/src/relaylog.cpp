// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "relaylog_p.h"

#include "capacitywait_p.h"
#include "relayplan_p.h"
#include "requestpath_p.h"

#include <base/clock.h>
#include <core/retryshare.h>

#include <cmath>

namespace sedgecart
{

RelayLog::RelayLog(const ClockI& _clock, const RelayPlan& _plan, const RelayMachine& _machine, const RequestPath& _path,
                   const CapacityWait& _wait)
    : clock_(_clock),
      plan_(_plan),
      machine_(_machine),
      path_(_path),
      wait_(_wait)
{
}

void RelayLog::sent(bool _resumes) const
{
	constexpr double kPercent = 100;
	const int utilization = static_cast<int>(path_.peakUtilization() * kPercent);
	logEvent(LogPart::Requests, LogLevel::Info, "Request is sent.",
	         {{"service", plan_.service},
	          {"customer", plan_.customer},
	          {"identity", plan_.identity.text()},
	          {"path", path_.text()},
	          {"room_taken_percent", std::to_string(utilization)},
	          {"tokens", std::to_string(path_.reservedTokens())},
	          {"resumes", _resumes ? "true" : "false"},
	          {"sends", std::to_string(machine_.sends() + 1)},
	          {"left_ms", std::to_string((plan_.deadline - clock_.now()).millis())}},
	         plan_.caller.id);
}

void RelayLog::forwarded(uint16_t _status, const AnswerTimes& _times) const
{
	logEvent(LogPart::Requests, LogLevel::Info, "Answer is passed on.",
	         {{"status", std::to_string(_status)},
	          {"first_ms", std::to_string((_times.firstAt - plan_.arrivedAt).millis())},
	          {"longest_pause_ms", std::to_string(_times.longestPause.millis())},
	          {"events", std::to_string(machine_.events())},
	          {"sends", std::to_string(machine_.sends())},
	          {"waited_ms", std::to_string(wait_.totalDuration().millis())},
	          {"held_ms", std::to_string((clock_.now() - plan_.arrivedAt).millis())}},
	         plan_.caller.id);
}

void RelayLog::outcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause,
                       const std::string& _atFault, const std::vector<LogField>& _more) const
{
	const Time now = clock_.now();
	std::vector<LogField> fields{{"cause", _cause},
	                             {"not_sent_again", nameOf(machine_.noRetryReason())},
	                             {"ran", machine_.mayHaveRun() ? "maybe" : "no"},
	                             {"sends", std::to_string(machine_.sends())},
	                             {"events", std::to_string(machine_.events())},
	                             {"service", plan_.service},
	                             {"target", headName()},
	                             {"at_fault", _atFault},
	                             {"identity", plan_.identity.text()},
	                             {"waited_ms", std::to_string(wait_.totalDuration().millis())},
	                             {"held_ms", std::to_string((now - plan_.arrivedAt).millis())},
	                             {"left_ms", std::to_string((plan_.deadline - now).millis())}};
	fields.insert(fields.end(), _more.begin(), _more.end());
	logEvent(LogPart::Requests, _level, _sentence, fields, plan_.caller.id);
}

void RelayLog::refused(const std::string& _cause, const std::string& _atFault, std::vector<LogField> _more) const
{
	const std::optional<CapacityShortage>& shortage = path_.shortage();
	if (shortage)
	{
		_more.push_back({"heads", std::to_string(shortage->heads)});
		_more.push_back({"without_connection", std::to_string(shortage->noConnection)});
		_more.push_back({"without_slot", std::to_string(shortage->noSlot)});
		_more.push_back({"closed", std::to_string(shortage->closed)});
		_more.push_back({"without_memory", std::to_string(shortage->noMemory)});
		_more.push_back({"link_full", shortage->linkFull ? "true" : "false"});
	}
	outcome("Request is refused.", LogLevel::Info, _cause, _atFault, _more);
}

void RelayLog::retryDenied(const RetryUsage& _usage, const BudgetNodes& _nodes) const
{
	logEvent(LogPart::Requests, LogLevel::Info, "Retry budget is exhausted.",
	         {{"service", plan_.service},
	          {"first_sends", std::to_string(std::lround(_usage.firstSends))},
	          {"retries", std::to_string(std::lround(_usage.retries))},
	          {"limit", std::to_string(std::lround(_usage.limit))},
	          {"nodes", std::to_string(_nodes.count)},
	          {"nodes_known_ms", std::to_string(_nodes.knownFor.millis())},
	          {"begun", 0 < machine_.events() ? "true" : "false"}},
	         plan_.caller.id);
}

void RelayLog::cutOff(Time _signal) const
{
	const Time now = clock_.now();
	logEvent(LogPart::Requests, LogLevel::Warning, "Request is cut off by shutdown.",
	         {{"after_signal_ms", std::to_string((plan_.arrivedAt - _signal).millis())},
	          {"events", std::to_string(machine_.events())},
	          {"most_tokens", std::to_string(plan_.caller.maxTokens)},
	          {"sends", std::to_string(machine_.sends())},
	          {"service", plan_.service},
	          {"target", headName()},
	          {"held_ms", std::to_string((now - plan_.arrivedAt).millis())},
	          {"left_ms", std::to_string((plan_.deadline - now).millis())}},
	         plan_.caller.id);
}

std::string RelayLog::headName() const
{
	return path_.chosen() ? path_.head().record.instance.text : std::string();
}

} // namespace sedgecart
