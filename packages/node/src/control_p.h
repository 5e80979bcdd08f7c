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

/// The control plane with its lock: takes records, heartbeats and lists from the threads that bring them, and publishes
/// snapshots. Safe from many threads.
class Control : public LogReaderI
{
public:
	Control(const NodeIdentity& _self, const ClockI& _clock, SnapshotCell& _snapshots);
	~Control() override;

	Offset wanted() override;
	void onPage(const LogPage& _page) override;

	/// Records that another node handed on.
	/// @param _identity of the log they come from; records of another log than ours are not taken.
	void onHandedRecords(const std::string& _identity, const std::vector<LogRecord>& _records);

	/// The whole configuration at an offset, from the log or from a peer.
	/// @param _identity of the log it comes from; an image of another log than ours is not taken.
	void onImage(const std::string& _identity, const ConfigImage& _image);

	/// @returns the whole configuration as it stands here.
	ConfigImage image() const;

	/// @returns true if records that this node needs are no longer in the log.
	bool gapSeen() const;

	/// Another node's heartbeat.
	void onNodeReport(const NodeReport& _report);

	/// A new VM list.
	void onVmList(const std::set<std::string>& _leavingTargets, const std::set<std::string>& _nodes);

	/// Ticks the controllers and publishes a snapshot if one is due.
	void tick();

	/// @returns records from an offset on, to be handed on; nothing if some of them are no longer held.
	std::vector<LogRecord> recordsFrom(Offset _from) const;

	/// Waits until the change with this id was applied.
	/// @returns how it ended, nothing if it was not seen in time.
	std::optional<ChangeReport> waitFor(const std::string& _id, Duration _timeout);

	/// Looks at the blackboard under the lock.
	template <typename Look> auto look(const Look& _look) const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return _look(plane_.board());
	}

	/// @returns counters on the path of a request.
	TargetBoard& targets()
	{
		return plane_.targets();
	}

	/// @returns the identity of the log that the configuration came from, empty if none was read.
	std::string logIdentity() const;

	/// @returns first offset of the config stream that was not applied.
	Offset configNext() const;

private:
	void applyLocked(const LogRecord& _record);

	const ClockI& clock_;
	SnapshotCell& snapshots_;
	mutable std::mutex mutex_;
	std::condition_variable applied_;
	ControlPlane plane_;
	std::string logIdentity_;
	std::map<uint64_t, std::string> records_; //!< The latest, by offset, as read.
	bool gapSeen_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_CONTROL_P_H_HEADER_GUARD
