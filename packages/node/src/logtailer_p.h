// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_LOGTAILER_P_H_HEADER_GUARD
#define SEDGECART_NODE_LOGTAILER_P_H_HEADER_GUARD

#include <base/units.h>
#include <http/endpoint.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace sedgecart
{

struct LogPage;

/// Receives the records of a stream; a LogTailer calls it from its own thread.
class LogReaderI
{
public:
	virtual ~LogReaderI() = default;

	/// @returns the offset to read next.
	virtual Offset nextOffset() = 0;

	/// Processes a page that was read from that offset on.
	virtual void onPage(const LogPage& _page) = 0;
};

/// Reads one stream of the log continuously, in a thread of its own.
class LogTailer
{
public:
	LogTailer(const Endpoint& _log, const std::string& _stream, LogReaderI& _reader);
	~LogTailer();

	LogTailer(const LogTailer&) = delete;
	LogTailer& operator=(const LogTailer&) = delete;

	/// @returns true if the last read succeeded.
	bool isHealthy() const
	{
		return healthy_;
	}

	/// @returns true once the reader has reached the end of the stream for the first time.
	bool isCaughtUp() const
	{
		return caughtUp_;
	}

	/// @returns true if the log at the endpoint is not the one that this process read first: its identity differs, or
	/// its end lies before the offset to read next.
	bool isForeign() const
	{
		return foreign_;
	}

	/// @returns the log's identity, empty before the first successful read.
	std::string identity() const;

private:
	void run();
	bool isSameLog(const LogPage& _page);
	void updateHealth(bool _healthy);

	Endpoint log_;
	std::string stream_;
	LogReaderI& reader_;
	mutable std::mutex mutex_; //!< Guards identity_.
	std::string identity_;
	std::atomic<bool> healthy_{false};
	std::atomic<bool> caughtUp_{false};
	std::atomic<bool> foreign_{false};
	std::atomic<bool> stopping_{false};
	std::thread thread_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_LOGTAILER_P_H_HEADER_GUARD
