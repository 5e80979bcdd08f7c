// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/controlplane.h>

#include <core/leavingcontroller.h>
#include <core/limitcontroller.h>
#include <core/membercontroller.h>
#include <core/snapshot.h>
#include <core/snapshotbuilder.h>

namespace sedgecart
{

ControlPlane::ControlPlane(const NodeIdentity& _self)
{
	board_.self = _self;
	// Order matters: each controller reads what the preceding ones wrote.
	controllers_.push_back(std::make_unique<MemberController>());
	controllers_.push_back(std::make_unique<LeavingController>());
	controllers_.push_back(std::make_unique<LimitController>());
}

ControlPlane::~ControlPlane() = default;

ChangeReport ControlPlane::onConfigRecord(const ConfigChange& _change, Offset _offset)
{
	changed_ = true;
	const std::optional<ConfigChange> before = board_.config.find(_change.kind, _change.name);
	ChangeReport report = board_.config.apply(_change, _offset);
	if (ChangeOutcome::Applied == report.outcome)
	{
		board_.history.record(before, _change, _offset);
	}
	return report;
}

bool ControlPlane::onConfigImage(const ConfigImage& _image)
{
	const bool installed = board_.config.install(_image);
	changed_ = changed_ || installed;
	return installed;
}

void ControlPlane::onUnreadableRecord(Offset _offset)
{
	board_.config.skip(_offset);
}

void ControlPlane::onNodeReport(const NodeReport& _report, Time _now)
{
	Member& member = board_.members.nodes[_report.name];
	member.report = _report;
	member.heartbeatAt = _now;
}

void ControlPlane::onVmList(const std::set<std::string>& _leavingTargets, const std::set<std::string>& _nodes)
{
	board_.members.listed = _nodes;
	board_.leaving.byVmList = _leavingTargets;
}

std::unique_ptr<Snapshot> ControlPlane::tick(Time _now)
{
	for (const auto& controller : controllers_)
	{
		changed_ = controller->tick(board_, _now) || changed_;
	}
	if (!changed_)
	{
		return nullptr;
	}
	changed_ = false;
	return buildSnapshot(board_, ++version_);
}

} // namespace sedgecart
