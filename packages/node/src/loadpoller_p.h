// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_LOADPOLLER_P_H_HEADER_GUARD
#define SEDGECART_NODE_LOADPOLLER_P_H_HEADER_GUARD

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

class ClockI;
class Control;
class SnapshotCell;

/// Polls the load of every target, from a fixed number of threads with one share of the targets each.
class LoadPoller
{
public:
	LoadPoller(Control& _control, const SnapshotCell& _snapshots, const ClockI& _clock);
	~LoadPoller();

	LoadPoller(const LoadPoller&) = delete;
	LoadPoller& operator=(const LoadPoller&) = delete;

	/// @returns true once every target of a configuration has been polled.
	bool hasPolledAll() const
	{
		return polledShares_ == (1U << threads_.size()) - 1;
	}

private:
	void run(uint32_t _share);

	Control& control_;
	const SnapshotCell& snapshots_;
	const ClockI& clock_;
	std::atomic<bool> stopping_{false};
	std::atomic<uint32_t> polledShares_{0}; //!< Bit mask of the threads that have polled their share.
	std::vector<std::thread> threads_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_LOADPOLLER_P_H_HEADER_GUARD
