// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_NODESTOP_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_NODESTOP_H_HEADER_GUARD

#include "stoprequest.h"
#include "stoptally.h"

#include <atomic>
#include <chrono>
#include <random>
#include <thread>
#include <vector>

namespace sedgecart
{

class NodeProcess;
class StopSite;

/// One node that gets SIGTERM while callers use connections that they opened before: some rest until their request is
/// sent, some have begun to send it, some send the next one as soon as the last one is answered.
class NodeStop
{
public:
	/// Begins with its callers, which wait for their moments.
	/// @param _termAt when it is to get SIGTERM.
	/// @param _isDisturbed it gets SIGHUP and a second SIGTERM on the way.
	NodeStop(StopSite& _site, std::size_t _node, std::chrono::steady_clock::time_point _termAt, bool _isDisturbed,
	         uint64_t _seed, StopTally& _tally);
	~NodeStop();

	NodeStop(const NodeStop&) = delete;
	NodeStop& operator=(const NodeStop&) = delete;

	/// Sends the signals that are due. The platform's bound counts from SIGTERM as it was sent: on a busy machine a
	/// test may send it late.
	/// @returns true once the process has ended.
	bool play();

private:
	using Clock = std::chrono::steady_clock;

	struct Signal
	{
		Clock::time_point at;
		int number = 0;
	};

	void send(int _signal);
	void addCallers();
	void addTimed(bool _isStream, std::chrono::milliseconds _at, bool _isInParts, std::chrono::milliseconds _budget);
	void addBusy(bool _isStream);
	void runTimed(const StopRequest& _request, Clock::time_point _at, Clock::time_point _beginAt);
	void runBusy(StopRequest _request);
	void count(const StopAnswer& _answer, const StopRequest& _request);
	std::chrono::milliseconds randomTime(int64_t _from, int64_t _to);
	std::string nextId(const char* _kind);

	StopSite& site_;
	NodeProcess& node_;
	Clock::time_point termAt_;                     //!< When SIGTERM is due.
	std::atomic<Clock::time_point> signalledAt_{}; //!< When it was sent; the epoch before.
	std::mt19937_64 random_;
	StopTally& tally_;
	std::vector<Signal> signals_; //!< Not sent yet, the next one last.
	bool isKilled_ = false;
	bool hasEnded_ = false;
	std::string name_; //!< Begin of all ids.
	std::vector<std::thread> callers_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_NODESTOP_H_HEADER_GUARD
