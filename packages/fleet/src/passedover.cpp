// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/passedover.h>

#include <logging/logging.h>
#include <metrics/metrics.h>

namespace sedgecart
{

namespace
{

/// Records that are remembered, some hundred bytes each. More are counted but not named.
constexpr std::size_t kMostRemembered = 1000;

/// Records that the dump names.
constexpr std::size_t kMostListed = 20;

/// Letters of a key that are shown: ids have some ten.
constexpr std::size_t kMostShown = 64;

bool isPlain(char _letter)
{
	return ' ' <= _letter && _letter <= '~' && '"' != _letter && '\\' != _letter;
}

/// @returns a key as it can stand in a log line or in JSON, whatever bytes it has.
std::string shown(const std::string& _key)
{
	std::string text = _key.substr(0, kMostShown);
	for (char& letter : text)
	{
		letter = isPlain(letter) ? letter : '?';
	}
	return text;
}

} // namespace

void PassedOver::setMetrics(Metrics& _metrics)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	metrics_ = &_metrics;
}

void PassedOver::note(RecordKind::Enum _kind, const std::string& _key, RecordFault::Enum _fault)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	if (nullptr != metrics_)
	{
		metrics_->addPassedOver(_kind, _fault);
	}
	if (remember(Key{_kind, _key}, _fault))
	{
		logEvent(LogPart::Store, LogLevel::Warning, "Record is passed over.",
		         {{"record", nameOf(_kind)}, {"key", shown(_key)}, {"reason", nameOf(_fault)}});
	}
}

void PassedOver::notePassing(RecordKind::Enum _kind, const std::string& _source, RecordFault::Enum _fault)
{
	note(_kind, _source, _fault);
	noteSound(_kind, _source);
}

/// @returns true if there is something new to tell.
bool PassedOver::remember(const Key& _key, RecordFault::Enum _fault)
{
	if (0 == rows_.count(_key) && kMostRemembered <= rows_.size())
	{
		dropSound();
	}
	if (0 == rows_.count(_key) && kMostRemembered <= rows_.size())
	{
		if (!full_)
		{
			full_ = true;
			logEvent(LogPart::Store, LogLevel::Warning, "More records are passed over than are named.",
			         {{"named", std::to_string(kMostRemembered)}});
		}
		return false;
	}
	Row& row = rows_[_key];
	const bool isNews = row.told != _fault;
	standing_ += row.stands ? 0 : 1;
	row = Row{_fault, true};
	return isNews;
}

/// What was told of records that are sound again is kept only while there is room.
void PassedOver::dropSound()
{
	for (auto row = rows_.begin(); rows_.end() != row;)
	{
		row = row->second.stands ? std::next(row) : rows_.erase(row);
	}
}

void PassedOver::noteSound(RecordKind::Enum _kind, const std::string& _key)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = rows_.find(Key{_kind, _key});
	if (rows_.end() != row && row->second.stands)
	{
		row->second.stands = false;
		--standing_;
	}
}

void PassedOver::forget(RecordKind::Enum _kind, const std::string& _key)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = rows_.find(Key{_kind, _key});
	if (rows_.end() != row)
	{
		standing_ -= row->second.stands ? 1 : 0;
		rows_.erase(row);
	}
}

std::size_t PassedOver::count() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return standing_;
}

std::string PassedOver::text() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::string list;
	std::size_t listed = 0;
	for (const auto& row : rows_)
	{
		if (!row.second.stands || kMostListed <= listed)
		{
			continue;
		}
		list += std::string(0 == listed ? "" : ",") + R"({"record":")" + nameOf(row.first.first) + R"(","key":")" +
		        shown(row.first.second) + R"(","reason":")" + nameOf(row.second.told) + R"("})";
		++listed;
	}
	return "{\"count\":" + std::to_string(standing_) + ",\"first\":[" + list + "]}";
}

} // namespace sedgecart
