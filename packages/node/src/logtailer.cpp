// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "logtailer_p.h"

#include <base/config.h>
#include <logging/logging.h>
#include <store/httplog.h>

#include <chrono>

namespace sedgecart
{

namespace
{

constexpr std::chrono::milliseconds kRetryAfter{100};

} // namespace

LogTailer::LogTailer(const Endpoint& _log, const std::string& _stream, LogReaderI& _reader)
    : log_(_log),
      stream_(_stream),
      reader_(_reader)
{
	thread_ = std::thread(
	    [this]
	    {
		    run();
	    });
}

LogTailer::~LogTailer()
{
	stopping_ = true;
	thread_.join();
}

std::string LogTailer::identity() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return identity_;
}

void LogTailer::run()
{
	HttpLog log(log_);
	while (!stopping_)
	{
		LogPage page;
		const Offset from = reader_.nextOffset();
		// Reads without a wait until a read has succeeded, so that an empty stream does not delay the first result.
		const Duration wait = Duration::fromMillis(healthy_ ? SEDGECART_CONFIG_LOG_POLL_MS : 0);
		const bool read = log.read(stream_, from, SEDGECART_CONFIG_LOG_READ_RECORDS, wait, page);
		updateHealth(read);
		if (!read || !isSameLog(page))
		{
			std::this_thread::sleep_for(kRetryAfter);
			continue;
		}
		reader_.onPage(page);
		if (!(reader_.nextOffset() < page.next))
		{
			caughtUp_ = true;
		}
	}
}

bool LogTailer::isSameLog(const LogPage& _page)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	if (identity_.empty())
	{
		identity_ = _page.identity;
	}
	const bool same = identity_ == _page.identity && !(_page.next < reader_.nextOffset());
	if (!same && !foreign_)
	{
		logLine(LogPart::Config, LogLevel::Error,
		        "The log behind stream " + stream_ + " is not the one read before; its records are ignored.");
	}
	foreign_ = !same;
	return same;
}

void LogTailer::updateHealth(bool _healthy)
{
	if (_healthy != healthy_)
	{
		logLine(LogPart::Config, _healthy ? LogLevel::Info : LogLevel::Warning,
		        "Stream " + stream_ + (_healthy ? " is readable." : " is not readable."));
	}
	healthy_ = _healthy;
}

} // namespace sedgecart
