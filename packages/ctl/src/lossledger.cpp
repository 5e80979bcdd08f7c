// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/lossledger.h>
#include <ctl/requeststory.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <istream>
#include <tuple>

namespace sedgecart
{

namespace
{

constexpr int64_t kMicrosPerSecond = 1000000;

constexpr const char* kNames[LossCause::Count] = {
    "none",        "first_late",  "paused",     "paused_repathed", "paused_moved",
    "resumed",     "broken_off",  "no_room",    "no_chain",        "refused_by_target",
    "target_lost", "out_of_time", "not_proven",
};

/// What a refusal's cause in the log stands for.
struct RefusalRow
{
	const char* logged;
	LossCause::Enum cause;
};

constexpr RefusalRow kRefusals[] = {
    {"overloaded", LossCause::NoRoom},
    {"no_targets", LossCause::NoChain},
    {"target_refused", LossCause::TargetRefused},
    {"target_lost", LossCause::TargetLost},
    {"deadline_passed", LossCause::OutOfTime},
    {"deadline_too_short", LossCause::OutOfTime},
    {"catching_up", LossCause::NotProven},
};

/// @returns the cause that a refusal names; None for those that are the caller's fault.
LossCause::Enum causeOfRefusal(const std::string& _logged)
{
	for (const RefusalRow& row : kRefusals)
	{
		if (_logged == row.logged)
		{
			return row.cause;
		}
	}
	return LossCause::None;
}

int64_t numberOf(const LogRecord& _record, const char* _name)
{
	return std::atoll(valueOf(_record, _name).c_str());
}

} // namespace

const char* nameOf(LossCause::Enum _cause)
{
	return kNames[_cause];
}

bool LossLedger::Key::operator<(const Key& _other) const
{
	return std::tie(micros, hall, service) < std::tie(_other.micros, _other.hall, _other.service);
}

LossLedger::LossLedger(int64_t _windowMicros, int64_t _firstMillis)
    : windowMicros_(_windowMicros),
      firstMillis_(_firstMillis)
{
}

void LossLedger::read(std::istream& _log)
{
	std::string line;
	while (std::getline(_log, line))
	{
		LogRecord record;
		if (readLogRecord(line, record))
		{
			take(record);
		}
	}
}

void LossLedger::take(const LogRecord& _record)
{
	if ("Node starts." == _record.message)
	{
		halls_[_record.node] = valueOf(_record, "hall");
		return;
	}
	if (_record.request.empty())
	{
		layerLosses_.take(_record);
		return;
	}
	if ("Request is not let in." == _record.message)
	{
		const LossCause::Enum cause = causeOfRefusal(valueOf(_record, "cause"));
		if (LossCause::None != cause)
		{
			end(_record, cause);
		}
		return;
	}
	if ("Request is refused." == _record.message)
	{
		end(_record, causeOfRefusal(valueOf(_record, "cause")));
		return;
	}
	Request& request = underWay_[_record.node + ' ' + _record.request];
	if ("Request is sent." == _record.message)
	{
		onSent(_record, request);
	}
	else if ("Request changes its path." == _record.message)
	{
		request.repathed = true;
	}
	else if ("Stream paused for too long." == _record.message && LossCause::None == request.pause)
	{
		const LossCause::Enum plain = request.repathed ? LossCause::PausedRepathed : LossCause::PausedPlain;
		request.pause = 1 < request.sends ? LossCause::PausedMoved : plain;
	}
	else if ("Stream is broken off." == _record.message)
	{
		end(_record, LossCause::BrokenOff);
	}
	else if ("Answer is passed on." == _record.message)
	{
		end(_record, causeOfAnswer(_record, request));
	}
}

void LossLedger::onSent(const LogRecord& _record, Request& _request)
{
	++_request.sends;
	if (1 < _request.sends)
	{
		return;
	}
	_request.sentAt = _record.micros;
	_request.service = valueOf(_record, "service");
	_request.resumed = "true" == valueOf(_record, "resumes");
}

LossCause::Enum LossLedger::causeOfAnswer(const LogRecord& _record, const Request& _request) const
{
	if (_request.resumed)
	{
		return LossCause::Resumed;
	}
	if (firstMillis_ < numberOf(_record, "first_ms"))
	{
		return LossCause::FirstLate;
	}
	return _request.pause;
}

/// Counts a request in the window in which it came.
void LossLedger::end(const LogRecord& _record, LossCause::Enum _cause)
{
	const auto row = underWay_.find(_record.node + ' ' + _record.request);
	const Request request = underWay_.end() == row ? Request{} : row->second;
	if (underWay_.end() != row)
	{
		underWay_.erase(row);
	}
	const int64_t came = 0 == request.sentAt ? _record.micros : request.sentAt;
	const std::string service = request.service.empty() ? valueOf(_record, "service") : request.service;
	const Key key{came, hallOf(_record.node), service};
	++counts_[key][_cause];
}

std::string LossLedger::hallOf(const std::string& _node) const
{
	const auto row = halls_.find(_node);
	return halls_.end() == row ? _node : row->second;
}

int64_t LossLedger::firstAt() const
{
	return counts_.empty() ? 0 : counts_.begin()->first.micros;
}

std::string LossLedger::csv() const
{
	std::map<Key, Counts> rows;
	for (const auto& row : counts_)
	{
		const int64_t window = (row.first.micros - firstAt()) / windowMicros_;
		Counts& sum = rows[Key{window, row.first.hall, row.first.service}];
		for (std::size_t cause = 0; cause < sum.size(); ++cause)
		{
			sum[cause] += row.second[cause];
		}
	}
	std::string text = "seconds,hall,service,cause,requests\n";
	for (const auto& row : rows)
	{
		const double seconds = static_cast<double>(row.first.micros * windowMicros_) / kMicrosPerSecond;
		for (std::size_t cause = 0; cause < row.second.size(); ++cause)
		{
			if (0 < row.second[cause])
			{
				text += std::to_string(seconds) + ',' + row.first.hall + ',' + row.first.service + ',' + kNames[cause] +
				        ',' + std::to_string(row.second[cause]) + '\n';
			}
		}
	}
	return text;
}

std::string LossLedger::table() const
{
	std::map<Key, Counts> rows;
	for (const auto& row : counts_)
	{
		const int64_t window = (row.first.micros - firstAt()) / windowMicros_;
		Counts& sum = rows[Key{window, row.first.hall, std::string()}];
		for (std::size_t cause = 0; cause < sum.size(); ++cause)
		{
			sum[cause] += row.second[cause];
		}
	}
	std::string text;
	for (const auto& row : rows)
	{
		char head[64];
		const double seconds = static_cast<double>(row.first.micros * windowMicros_) / kMicrosPerSecond;
		std::snprintf(head, sizeof(head), "%8.1f s  %-12s on time %5llu", seconds, row.first.hall.c_str(),
		              static_cast<unsigned long long>(row.second[LossCause::None]));
		text += head;
		for (std::size_t cause = LossCause::None + 1; cause < row.second.size(); ++cause)
		{
			text += 0 == row.second[cause]
			            ? ""
			            : std::string("  ") + kNames[cause] + ' ' + std::to_string(row.second[cause]);
		}
		text += '\n';
	}
	return text + layerLosses_.text(firstAt());
}

} // namespace sedgecart
