// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CONTROLPLANE_H_HEADER_GUARD
#define SEDGECART_CORE_CONTROLPLANE_H_HEADER_GUARD

#include <core/blackboard.h>
#include <core/controller.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

struct Snapshot;

/// Processes events, ticks the controllers in a fixed order and builds the snapshots for the request path. Not
/// thread-safe except for `targets()`; does no I/O, reads no clock.
class ControlPlane
{
public:
	explicit ControlPlane(const NodeIdentity& _self);
	~ControlPlane();

	/// Applies a record of the config stream. @returns the result.
	ChangeReport onConfigRecord(const ConfigChange& _change, Offset _offset);
	/// Skips a record of the config stream that cannot be decoded.
	void onUnreadableRecord(Offset _offset);
	/// Installs the whole configuration at an offset. @returns false if this node is at that offset or beyond.
	bool onConfigImage(const ConfigImage& _image);
	/// Records a heartbeat of another node.
	void onNodeReport(const NodeReport& _report, Time _now);
	/// Applies a new VM list: names of the targets that are leaving, and of the nodes that are not.
	void onVmList(const std::set<std::string>& _leavingTargets, const std::set<std::string>& _nodes);

	/// Ticks all controllers.
	/// @returns a new snapshot if anything changed, else null.
	std::unique_ptr<Snapshot> tick(Time _now);

	const Blackboard& board() const
	{
		return board_;
	}
	TargetBoard& targets()
	{
		return board_.targets;
	}

private:
	Blackboard board_;
	std::vector<std::unique_ptr<ControllerI>> controllers_;
	unsigned long long version_ = 0;
	bool changed_ = true;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CONTROLPLANE_H_HEADER_GUARD
