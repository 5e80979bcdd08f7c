// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CONTROL_P_H_HEADER_GUARD
#define SEDGECART_NODE_CONTROL_P_H_HEADER_GUARD

#include "logtailer_p.h"
#include "snapshotcell_p.h"

#include <base/clock.h>
#include <core/controlplane.h>
#include <peer/peerlink.h>
#include <store/log.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

/// Guards the control plane with a lock: applies config records, heartbeats and VM lists from the threads that receive
/// them, and publishes snapshots. Thread-safe.
class Control : public LogReaderI
{
public:
	Control(const NodeIdentity& _self, const ClockI& _clock, SnapshotCell& _snapshots);
	~Control() override;

	Offset nextOffset() override;
	void onPage(const LogPage& _page) override;

	/// Applies config records that another node forwarded.
	/// @param _identity identity of the log that they come from; records of a log other than this node's are ignored.
	void onForwardedRecords(const std::string& _identity, const std::vector<LogRecord>& _records);

	/// Replaces the configuration by an image from the log or from a peer, if the image is ahead of it.
	/// @param _identity identity of the log that it comes from; an image of a log other than this node's is ignored.
	void onImage(const std::string& _identity, const ConfigImage& _image);

	/// @returns an image of this node's current configuration.
	ConfigImage image() const;

	/// @returns true if records that this node has not applied are no longer in the log.
	bool hasGap() const;

	/// Records another node's heartbeat.
	void onNodeReport(const NodeReport& _report);

	/// Applies a new VM list.
	void onVmList(const std::set<std::string>& _leavingTargets, const std::set<std::string>& _nodes);

	/// Ticks the controllers and publishes a snapshot if one is due.
	void tick();

	/// @returns the records from an offset on, for forwarding to another node; empty if some of them are no longer
	/// buffered here.
	std::vector<LogRecord> recordsFrom(Offset _from) const;

	/// Blocks until the change with this id was applied, or until the timeout.
	/// @returns the change's outcome; nullopt if it was not applied in time.
	std::optional<ChangeReport> waitForChange(const std::string& _id, Duration _timeout);

	/// Calls a function with the blackboard, under the lock.
	/// @returns what the function returns.
	template <typename Callback> auto withBoard(const Callback& _callback) const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return _callback(plane_.board());
	}

	/// @returns the per-target counters that requests update.
	TargetBoard& targets()
	{
		return plane_.targets();
	}

	/// @returns the identity of the log that the configuration comes from, empty before the first read.
	std::string logIdentity() const;

	/// @returns the offset of the next config record to apply.
	Offset configNext() const;

private:
	void applyLocked(const LogRecord& _record);

	const ClockI& clock_;
	SnapshotCell& snapshots_;
	mutable std::mutex mutex_;
	std::condition_variable applied_;
	ControlPlane plane_;
	std::string logIdentity_;
	std::map<uint64_t, std::string> records_; //!< Latest records, serialized, by offset.
	bool hasGap_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_CONTROL_P_H_HEADER_GUARD
