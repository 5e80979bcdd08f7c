// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CLAIMLOG_P_H_HEADER_GUARD
#define SEDGECART_NODE_CLAIMLOG_P_H_HEADER_GUARD

#include "logtailer_p.h"

#include <base/result.h>
#include <core/claimtable.h>
#include <http/endpoint.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

class Incarnation;
class Metrics;

/// Result of claiming a key.
struct ClaimResult
{
	bool won = false; //!< True: the caller of claim() makes the call; no other call is ever made under this key.
	ClaimEntry entry; //!< The key's entry if the claim was not won.
};

/// Claims idempotency keys in the log. Batches concurrent claims into one append. Thread-safe.
class ClaimLog : public LogReaderI
{
public:
	ClaimLog(const Endpoint& _log, Incarnation& _incarnation, Metrics& _metrics);
	~ClaimLog() override;

	/// Claims a key and blocks until the order of the log has decided the claim.
	/// @returns LogUnavailable or CatchingUp if it was not decided; the call must not be made then.
	Result<ClaimResult> claim(const ClaimRecord& _claim);

	/// Refuses claims that wait for the log, because of the stop; they may still be appended, and are abandoned then.
	void refuseWaiting();

	/// Queues the outcome of a won claim and returns immediately. The record is appended once the log accepts it.
	void recordOutcome(const ClaimRecord& _record);

	Offset nextOffset() override;
	void onPage(const LogPage& _page) override;

	/// @returns the number of keys in the claim table.
	std::size_t size() const;

private:
	void run();
	/// Waits for queued records.
	/// @returns the next records to append, empty if the queue is empty at a stop.
	std::vector<ClaimRecord> popBatch();
	bool appendBatch(const std::vector<ClaimRecord>& _batch);
	void requeueBatch(const std::vector<ClaimRecord>& _batch);

	Endpoint log_;
	Incarnation& incarnation_;
	Metrics& metrics_;
	mutable std::mutex mutex_;
	std::condition_variable applied_;
	std::condition_variable queued_;
	ClaimTable table_;
	Offset nextOffset_;
	std::deque<ClaimRecord> queue_;
	std::atomic<bool> appendHealthy_{true};
	bool refusing_ = false;
	bool stopping_ = false;
	std::thread thread_;
	LogTailer tailer_; //!< Declared last: it calls back as soon as it is constructed.
};

} // namespace sedgecart

#endif // SEDGECART_NODE_CLAIMLOG_P_H_HEADER_GUARD
