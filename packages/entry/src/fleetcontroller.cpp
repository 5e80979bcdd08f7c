// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "fleetcontroller_p.h"

#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

FleetController::FleetController(const DocumentsI& _documents, FleetCell& _cell, const ClockI& _clock,
                                 const std::string& _homeHall)
    : documents_(_documents),
      cell_(_cell),
      clock_(_clock)
{
	halls_[_homeHall] = kHomeHall;
}

void FleetController::onOperatorRecord(const KeyedRecord& _record)
{
	if (_record.removed || !documents_.isDesiredState(_record.key))
	{
		return;
	}
	auto state = std::make_shared<DesiredState>();
	if (!documents_.readDesiredState(_record.value, *state))
	{
		logEvent(LogPart::Config, LogLevel::Error, "Desired state cannot be read, the last one stays in force.",
		         {{"offset", std::to_string(_record.offset.value)}});
		return;
	}
	if (routes_ && state->version < routes_->state().version)
	{
		return;
	}
	logEvent(LogPart::Config, LogLevel::Info, "Desired state is in force.",
	         {{"version", std::to_string(state->version.value)},
	          {"offset", std::to_string(_record.offset.value)},
	          {"routes", std::to_string(state->routes.size())},
	          {"customers", std::to_string(state->customers.size())}});
	routes_ = std::make_shared<RouteTable>(std::move(state));
	publish();
}

void FleetController::onOperatorCurrent(Time _sentAt)
{
	if (routes_)
	{
		cell_.provenAt.store(_sentAt.micros, std::memory_order_relaxed);
	}
}

void FleetController::onRunnerRecord(const KeyedRecord& _record)
{
	const auto known = runners_.find(_record.key);
	if (_record.removed)
	{
		if (keepsLapsed_ && runners_.end() != known && storeWasOut_ && !known->second.draining)
		{
			lapsed_.insert(_record.key);
		}
		else
		{
			remove(_record.key);
		}
		return;
	}
	RunnerRecord read;
	if (!documents_.readRunner(_record.key, _record.value, read))
	{
		logEvent(LogPart::Targets, LogLevel::Error, "Target's record cannot be read.", {{"target", _record.key}});
		return;
	}
	lapsed_.erase(_record.key);
	const bool isNew = runners_.end() == known;
	const bool differs = isNew || known->second.draining != read.draining || known->second.layers != read.layers ||
	                     known->second.address != read.address || known->second.service != read.service;
	if (!differs)
	{
		return;
	}
	logEvent(LogPart::Targets, LogLevel::Info, isNew ? "Target came." : "Target changed.",
	         {{"target", _record.key},
	          {"service", read.service},
	          {"address", read.address},
	          {"hall", read.hall},
	          {"card", read.card},
	          {"draining", read.draining ? "true" : "false"},
	          {"layers", std::to_string(read.layers.begin) + "-" + std::to_string(read.layers.end)}});
	runners_[_record.key] = read;
	if (isNew)
	{
		loads_[_record.key] = std::make_shared<TargetLoad>();
		fleetChangedAt_ = clock_.now();
	}
	changed_ = true;
}

void FleetController::remove(const std::string& _instance)
{
	if (0 == runners_.erase(_instance))
	{
		return;
	}
	logEvent(LogPart::Targets, LogLevel::Info, "Target left the registry.", {{"target", _instance}});
	loads_.erase(_instance);
	fleetChangedAt_ = clock_.now();
	changed_ = true;
}

void FleetController::onRunnersOut()
{
	storeWasOut_ = true;
}

bool FleetController::onRunnersCurrent()
{
	const bool returned = storeWasOut_;
	storeWasOut_ = false;
	runnersKnown_ = true;
	if (changed_ && routes_)
	{
		publish();
	}
	return returned && !lapsed_.empty();
}

void FleetController::dropLapsed()
{
	if (storeWasOut_)
	{
		return; // away again: its next return starts anew
	}
	for (const std::string& instance : lapsed_)
	{
		remove(instance);
	}
	lapsed_.clear();
	if (changed_ && routes_)
	{
		publish();
	}
}

void FleetController::onNodeRecord(const KeyedRecord& _record)
{
	const std::size_t before = nodes_.size();
	if (_record.removed)
	{
		nodes_.erase(_record.key);
	}
	else
	{
		wire::NodePlace place;
		if (!place.ParseFromString(_record.value))
		{
			logEvent(LogPart::Node, LogLevel::Warning, "Record of a node cannot be read.", {{"node", _record.key}});
			return;
		}
		nodes_[_record.key] = NodeAddress{place.address(), place.hall(), place.cpu_share()};
	}
	if (before != nodes_.size() && routes_)
	{
		publish();
	}
}

uint32_t FleetController::hallIndex(const std::string& _hall)
{
	const auto next = static_cast<uint32_t>(halls_.size());
	return halls_.emplace(_hall, next).first->second;
}

FleetTarget FleetController::buildTarget(const ServiceSpec& _spec, const RunnerRecord& _record)
{
	FleetTarget target;
	target.record = _record;
	target.hall = hallIndex(_record.hall);
	target.card = _spec.hasEngine ? findKind(_spec.engine, _record.card) : nullptr;
	target.load = loads_[_record.instance.text];
	return target;
}

std::shared_ptr<const FleetService> FleetController::buildService(const ServiceSpec& _spec)
{
	auto service = std::make_shared<FleetService>();
	service->routes = routes_;
	service->spec = &_spec;
	for (const auto& row : runners_)
	{
		const RunnerRecord& record = row.second;
		const bool usable = _spec.name == record.service && !record.draining;
		if (usable && (!_spec.hasEngine || 0 < record.layers.size()))
		{
			service->targets.push_back(buildTarget(_spec, record));
		}
	}
	service->halls = static_cast<uint32_t>(halls_.size());
	return service;
}

void FleetController::publish()
{
	changed_ = false;
	for (const auto& row : runners_)
	{
		hallIndex(row.second.hall);
	}
	auto view = std::make_unique<FleetView>();
	view->routes = routes_;
	view->nodes = std::max<uint32_t>(1, static_cast<uint32_t>(nodes_.size()));
	for (const ServiceSpec& spec : routes_->state().services)
	{
		view->services.emplace(spec.name, buildService(spec));
	}
	cell_.view.publish(std::move(view));
}

} // namespace sedgecart
