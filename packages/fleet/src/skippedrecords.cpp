// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/skippedrecords.h>

#include <logging/logging.h>
#include <metrics/metrics.h>

namespace sedgecart
{

namespace
{

/// Maximum number of records that are remembered, some hundred bytes each. Further ones count in the metrics only.
constexpr std::size_t kMaxRemembered = 1000;

/// Maximum number of records that the dump lists.
constexpr std::size_t kMaxListed = 20;

/// Maximum number of characters of a key that are shown; ids have about ten.
constexpr std::size_t kMaxShownLength = 64;

bool isPrintable(char _char)
{
	return ' ' <= _char && _char <= '~' && '"' != _char && '\\' != _char;
}

/// @returns a key cut and escaped for a log line or JSON: unprintable bytes, quotes and backslashes become '?'.
std::string sanitized(const std::string& _key)
{
	std::string text = _key.substr(0, kMaxShownLength);
	for (char& character : text)
	{
		character = isPrintable(character) ? character : '?';
	}
	return text;
}

} // namespace

void SkippedRecords::setMetrics(Metrics& _metrics)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	metrics_ = &_metrics;
}

void SkippedRecords::onSkipped(RecordKind::Enum _kind, const std::string& _key, RecordFault::Enum _fault)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	if (nullptr != metrics_)
	{
		metrics_->addPassedOver(_kind, _fault);
	}
	if (update(Key{_kind, _key}, _fault))
	{
		logEvent(LogPart::Store, LogLevel::Warning, "Record is skipped.",
		         {{"record", nameOf(_kind)}, {"key", sanitized(_key)}, {"reason", nameOf(_fault)}});
	}
}

void SkippedRecords::onTransientSkip(RecordKind::Enum _kind, const std::string& _source, RecordFault::Enum _fault)
{
	onSkipped(_kind, _source, _fault);
	onValid(_kind, _source);
}

/// @returns true if the record's reason is new and is to be logged.
bool SkippedRecords::update(const Key& _key, RecordFault::Enum _fault)
{
	if (0 == rows_.count(_key) && kMaxRemembered <= rows_.size())
	{
		dropValid();
	}
	if (0 == rows_.count(_key) && kMaxRemembered <= rows_.size())
	{
		if (!limitLogged_)
		{
			limitLogged_ = true;
			logEvent(LogPart::Store, LogLevel::Warning,
			         "Too many skipped records; further ones are counted but not named.",
			         {{"named", std::to_string(kMaxRemembered)}});
		}
		return false;
	}
	Row& row = rows_[_key];
	const bool isNewReason = row.loggedReason != _fault;
	skippedCount_ += row.isSkipped ? 0 : 1;
	row = Row{_fault, true};
	return isNewReason;
}

/// Frees the rows of records that are valid again. They are kept until then so that a known reason is not logged twice.
void SkippedRecords::dropValid()
{
	for (auto row = rows_.begin(); rows_.end() != row;)
	{
		row = row->second.isSkipped ? std::next(row) : rows_.erase(row);
	}
}

void SkippedRecords::onValid(RecordKind::Enum _kind, const std::string& _key)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = rows_.find(Key{_kind, _key});
	if (rows_.end() != row && row->second.isSkipped)
	{
		row->second.isSkipped = false;
		--skippedCount_;
	}
}

void SkippedRecords::onRemoved(RecordKind::Enum _kind, const std::string& _key)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = rows_.find(Key{_kind, _key});
	if (rows_.end() != row)
	{
		skippedCount_ -= row->second.isSkipped ? 1 : 0;
		rows_.erase(row);
	}
}

std::size_t SkippedRecords::count() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return skippedCount_;
}

std::string SkippedRecords::toJson() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::string list;
	std::size_t listed = 0;
	for (const auto& row : rows_)
	{
		if (!row.second.isSkipped || kMaxListed <= listed)
		{
			continue;
		}
		list += std::string(0 == listed ? "" : ",") + R"({"record":")" + nameOf(row.first.first) + R"(","key":")" +
		        sanitized(row.first.second) + R"(","reason":")" + nameOf(row.second.loggedReason) + R"("})";
		++listed;
	}
	return "{\"count\":" + std::to_string(skippedCount_) + ",\"first\":[" + list + "]}";
}

} // namespace sedgecart
