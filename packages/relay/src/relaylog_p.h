// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RELAYLOG_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RELAYLOG_P_H_HEADER_GUARD

#include <base/units.h>
#include <logging/logging.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

class ClockI;
class PlaceWait;
class RelayMachine;
class RequestPath;
struct RelayPlan;

/// When an answer's events came.
struct AnswerTimes
{
	Time firstAt;
	Time lastAt;
	Duration longestPause; //!< Between two events.
};

/// The log lines of one request.
class RelayLog
{
public:
	/// All must outlive it.
	RelayLog(const ClockI& _clock, const RelayPlan& _plan, const RelayMachine& _machine, const RequestPath& _path,
	         const PlaceWait& _wait);

	/// Tells where the request goes and what decided it.
	void sent(bool _resumes) const;

	/// Tells how an answer that was passed on went.
	void passedOn(uint16_t _status, const AnswerTimes& _times) const;

	/// Tells what became of a send or of the request.
	/// @param _atFault "ip:port" of the stop that the target's answer names; empty if none.
	void outcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause,
	             const std::string& _atFault) const;

	/// Tells that a stop ends the request.
	/// @param _signal when the stop began.
	void cutOff(Time _signal) const;

private:
	std::string headName() const;

	const ClockI& clock_;
	const RelayPlan& plan_;
	const RelayMachine& machine_;
	const RequestPath& path_;
	const PlaceWait& wait_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RELAYLOG_P_H_HEADER_GUARD
