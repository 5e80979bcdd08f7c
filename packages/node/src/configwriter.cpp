// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "configwriter_p.h"

#include "context_p.h"
#include "control_p.h"

#include <logging/logging.h>
#include <node/settings.h>
#include <store/httplog.h>
#include <wire/mapping.h>
#include <wire/sedgecart.pb.h>

#include <chrono>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr const char* kStream = "config";
constexpr int64_t kReadBackTimeoutMillis = 2000; // after an append, until the record is read back from the log
constexpr int kMaxAppends = 3;                   // of one record, if the log's responses are lost
constexpr std::chrono::milliseconds kAppendRetryDelay{100};

} // namespace

ConfigWriter::ConfigWriter(const NodeContext& _context) : context_(_context)
{
}

Result<ChangeReport> ConfigWriter::write(const ConfigChange& _change)
{
	const std::string bytes = toWire(_change).SerializeAsString();
	HttpLog log(context_.settings.platformLog);
	bool maybeAppended = false;
	for (int attempt = 0; attempt < kMaxAppends; ++attempt)
	{
		const AppendOutcome outcome = log.append(kStream, bytes);
		const bool refused = AppendState::NotAppended == outcome.state || AppendState::Busy == outcome.state;
		maybeAppended = maybeAppended || !refused;
		if (!maybeAppended)
		{
			std::this_thread::sleep_for(kAppendRetryDelay);
			continue;
		}
		// Whether the append succeeded is seen by reading the log. A change id is applied once, however many records
		// carry it.
		const auto report = context_.control.waitForChange(_change.id, Duration::fromMillis(kReadBackTimeoutMillis));
		if (report)
		{
			return *report;
		}
	}
	logLine(LogPart::Operators, LogLevel::Warning, "The log did not confirm " + describe(_change) + ".");
	return Error{maybeAppended ? ErrorKind::CommandUnknown : ErrorKind::LogUnavailable, {}, {}};
}

} // namespace sedgecart
