// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "claimlog_p.h"

#include <base/bootclock.h>
#include <metrics/metrics.h>

#include <base/config.h>
#include <base/incarnation.h>
#include <logging/logging.h>
#include <store/httplog.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

constexpr const char* kStream = "claims";
constexpr std::chrono::milliseconds kRetryDelay{50};
constexpr std::chrono::milliseconds kFlushTimeout{2000}; // at a stop, for appending queued records
constexpr int64_t kRetryAfterMillis = 2000;

wire::Claim toWire(const ClaimRecord& _record)
{
	wire::Claim claim;
	claim.set_key(_record.key);
	claim.set_claimant(_record.claimant);
	claim.set_fingerprint(_record.fingerprint);
	claim.set_verb(static_cast<wire::ClaimVerb>(_record.verb));
	claim.set_status(_record.outcome.status);
	claim.set_content_type(_record.outcome.contentType);
	claim.set_body(_record.outcome.body);
	claim.set_truncated(_record.outcome.truncated);
	return claim;
}

ClaimRecord fromWire(const wire::Claim& _claim)
{
	ClaimRecord record;
	record.key = _claim.key();
	record.claimant = _claim.claimant();
	record.fingerprint = _claim.fingerprint();
	const bool known = 0 <= _claim.verb() && _claim.verb() < static_cast<int>(ClaimVerb::Count);
	record.verb = known ? static_cast<ClaimVerb::Enum>(_claim.verb()) : ClaimVerb::Unknown;
	record.outcome.status = static_cast<uint16_t>(_claim.status());
	record.outcome.contentType = _claim.content_type();
	record.outcome.body = _claim.body();
	record.outcome.truncated = _claim.truncated();
	return record;
}

Error logUnavailable()
{
	return Error{ErrorKind::LogUnavailable, {}, Duration::fromMillis(kRetryAfterMillis)};
}

} // namespace

ClaimLog::ClaimLog(const Endpoint& _log, Incarnation& _incarnation, Metrics& _metrics)
    : log_(_log),
      incarnation_(_incarnation),
      metrics_(_metrics),
      tailer_(_log, kStream, *this)
{
	thread_ = std::thread(
	    [this]
	    {
		    run();
	    });
}

ClaimLog::~ClaimLog()
{
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		stopping_ = true;
	}
	queued_.notify_all();
	thread_.join();
}

Result<ClaimResult> ClaimLog::claim(const ClaimRecord& _claim)
{
	if (!tailer_.isHealthy() || tailer_.isForeign() || !appendHealthy_)
	{
		return logUnavailable();
	}
	if (!tailer_.isCaughtUp())
	{
		return Error{ErrorKind::CatchingUp, {}, Duration::fromMillis(kRetryAfterMillis)};
	}
	metrics_.add(Counter::Claims);
	std::unique_lock<std::mutex> lock(mutex_);
	const auto decided = [this, &_claim]
	{
		return ClaimState::Free != table_.at(_claim.key).state;
	};
	if (!decided())
	{
		queue_.push_back(_claim);
		queued_.notify_one();
	}
	applied_.wait_for(lock, std::chrono::milliseconds(SEDGECART_CONFIG_CLAIM_WAIT_MS),
	                  [this, &decided]
	                  {
		                  return refusing_ || decided();
	                  });
	if (!decided())
	{
		// The claim may still be appended to the log, so an abandon record is queued after it.
		ClaimRecord abandon = _claim;
		abandon.verb = ClaimVerb::Abandon;
		queue_.push_back(abandon);
		queued_.notify_one();
		return refusing_ ? Error{ErrorKind::Stopping, {}, {}} : logUnavailable();
	}
	ClaimResult result;
	result.entry = table_.at(_claim.key);
	result.won = ClaimState::Claimed == result.entry.state && result.entry.claimant == _claim.claimant;
	return result;
}

void ClaimLog::refuseWaiting()
{
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		refusing_ = true;
	}
	applied_.notify_all();
}

void ClaimLog::recordOutcome(const ClaimRecord& _record)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	queue_.push_back(_record);
	queued_.notify_one();
}

Offset ClaimLog::nextOffset()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return nextOffset_;
}

void ClaimLog::onPage(const LogPage& _page)
{
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		for (const LogRecord& record : _page.records)
		{
			wire::ClaimBatch batch;
			const bool readable = batch.ParseFromString(record.bytes);
			for (const wire::Claim& claim : batch.claims())
			{
				if (readable)
				{
					table_.apply(fromWire(claim), record.offset);
				}
			}
			nextOffset_ = Offset{record.offset.value + 1};
		}
		nextOffset_ = std::max(nextOffset_, _page.first);
		table_.dropBefore(_page.first);
	}
	applied_.notify_all();
}

std::size_t ClaimLog::size() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return table_.size();
}

void ClaimLog::run()
{
	BootClock::time_point flushDeadline = BootClock::time_point::max();
	while (true)
	{
		const std::vector<ClaimRecord> batch = popBatch();
		if (batch.empty())
		{
			return;
		}
		if (appendBatch(batch))
		{
			continue;
		}
		requeueBatch(batch);
		std::unique_lock<std::mutex> lock(mutex_);
		const auto now = BootClock::now();
		flushDeadline = stopping_ ? std::min(flushDeadline, now + kFlushTimeout) : flushDeadline;
		if (flushDeadline <= now)
		{
			logLine(LogPart::Claims, LogLevel::Warning,
			        "Stopping with " + std::to_string(queue_.size()) +
			            " claim records that were not appended to the log.");
			return;
		}
		lock.unlock();
		std::this_thread::sleep_for(kRetryDelay);
	}
}

std::vector<ClaimRecord> ClaimLog::popBatch()
{
	std::unique_lock<std::mutex> lock(mutex_);
	queued_.wait(lock,
	             [this]
	             {
		             return stopping_ || !queue_.empty();
	             });
	std::vector<ClaimRecord> batch;
	while (!queue_.empty() && batch.size() < SEDGECART_CONFIG_CLAIM_BATCH)
	{
		batch.push_back(std::move(queue_.front()));
		queue_.pop_front();
	}
	return batch;
}

bool ClaimLog::appendBatch(const std::vector<ClaimRecord>& _batch)
{
	wire::ClaimBatch batch;
	batch.set_id(incarnation_.nextId());
	for (const ClaimRecord& record : _batch)
	{
		*batch.add_claims() = toWire(record);
	}
	HttpLog log(log_);
	metrics_.add(Counter::ClaimAppends);
	const AppendOutcome outcome = log.append(kStream, batch.SerializeAsString());
	const bool appended = AppendState::Appended == outcome.state;
	// A log at its rate limit counts as available: claims wait and share the next append.
	const bool healthy = appended || AppendState::Busy == outcome.state;
	if (healthy != appendHealthy_)
	{
		logLine(LogPart::Claims, healthy ? LogLevel::Info : LogLevel::Warning,
		        healthy ? "The log accepts claims again." : "The log does not accept claims.");
	}
	appendHealthy_ = healthy;
	return appended;
}

void ClaimLog::requeueBatch(const std::vector<ClaimRecord>& _batch)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	// An append with an unknown outcome may be in the log; applying the same claims again changes nothing (see
	// ClaimTable).
	queue_.insert(queue_.begin(), _batch.begin(), _batch.end());
}

} // namespace sedgecart
