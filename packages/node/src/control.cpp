// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "control_p.h"

#include <base/config.h>
#include <core/snapshot.h>
#include <logging/logging.h>
#include <wire/mapping.h>
#include <wire/sedgecart.pb.h>

#include <chrono>

namespace sedgecart
{

Control::Control(const NodeIdentity& _self, const ClockI& _clock, SnapshotCell& _snapshots)
    : clock_(_clock),
      snapshots_(_snapshots),
      plane_(_self)
{
}

Control::~Control() = default;

Offset Control::nextOffset()
{
	return configNext();
}

Offset Control::configNext() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return plane_.board().config.next();
}

std::string Control::logIdentity() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return logIdentity_;
}

void Control::onPage(const LogPage& _page)
{
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if (logIdentity_.empty())
		{
			logIdentity_ = _page.identity;
		}
		if (logIdentity_ != _page.identity)
		{
			return;
		}
		hasGap_ = plane_.board().config.next() < _page.first;
		for (const LogRecord& record : _page.records)
		{
			applyLocked(record);
		}
	}
	if (!_page.records.empty())
	{
		applied_.notify_all();
		tick();
	}
}

void Control::onForwardedRecords(const std::string& _identity, const std::vector<LogRecord>& _records)
{
	LogPage page;
	page.identity = _identity;
	page.records = _records;
	onPage(page);
}

void Control::onImage(const std::string& _identity, const ConfigImage& _image)
{
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if (logIdentity_.empty())
		{
			logIdentity_ = _identity;
		}
		if (logIdentity_ != _identity || !plane_.onConfigImage(_image))
		{
			return;
		}
		records_.clear();
		hasGap_ = false;
		logLine(LogPart::Config, LogLevel::Info,
		        "Applied a configuration image up to record " + std::to_string(_image.next.value) + ".");
	}
	applied_.notify_all();
	tick();
}

ConfigImage Control::image() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return plane_.board().config.image();
}

bool Control::hasGap() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return hasGap_;
}

void Control::applyLocked(const LogRecord& _record)
{
	const Offset next = plane_.board().config.next();
	// Records are applied in order only: after a gap, the missing records must first arrive from the log or a peer.
	if (!(_record.offset == next))
	{
		return;
	}
	records_[_record.offset.value] = _record.bytes;
	if (SEDGECART_CONFIG_HANDED_RECORDS < records_.size())
	{
		records_.erase(records_.begin());
	}
	wire::ConfigRecord record;
	ConfigChange change;
	if (!record.ParseFromString(_record.bytes) || !fromWire(record, change))
	{
		plane_.onUnreadableRecord(_record.offset);
		logLine(LogPart::Config, LogLevel::Warning,
		        "Record " + std::to_string(_record.offset.value) + " cannot be parsed and is skipped.");
		return;
	}
	const ChangeReport report = plane_.onConfigRecord(change, _record.offset);
	logLine(LogPart::Config, LogLevel::Info,
	        "Record " + std::to_string(_record.offset.value) + ": " + nameOf(change.verb) + " " + nameOf(change.kind) +
	            " " + change.name + ": " + nameOf(report.outcome) + ".");
}

void Control::onNodeReport(const NodeReport& _report)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	plane_.onNodeReport(_report, clock_.now());
}

void Control::onVmList(const std::set<std::string>& _leavingTargets, const std::set<std::string>& _nodes)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	plane_.onVmList(_leavingTargets, _nodes);
}

void Control::tick()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::unique_ptr<const Snapshot> snapshot = plane_.tick(clock_.now());
	if (nullptr != snapshot)
	{
		snapshots_.publish(std::move(snapshot));
	}
}

std::vector<LogRecord> Control::recordsFrom(Offset _from) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::vector<LogRecord> list;
	if (records_.empty() || _from.value < records_.begin()->first)
	{
		return list;
	}
	for (auto record = records_.lower_bound(_from.value); records_.end() != record; ++record)
	{
		list.push_back(LogRecord{Offset{record->first}, record->second});
	}
	return list;
}

std::optional<ChangeReport> Control::waitForChange(const std::string& _id, Duration _timeout)
{
	std::unique_lock<std::mutex> lock(mutex_);
	const auto isApplied = [this, &_id]
	{
		return nullptr != plane_.board().config.reportOf(_id);
	};
	if (!applied_.wait_for(lock, std::chrono::microseconds(_timeout.micros), isApplied))
	{
		return std::nullopt;
	}
	return *plane_.board().config.reportOf(_id);
}

} // namespace sedgecart
