// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "fleetcontroller_p.h"

#include "targetfit_p.h"

#include <logging/logging.h>

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
		cell_.passedOver.note(RecordKind::DesiredState, _record.key, RecordFault::Unreadable);
		logEvent(LogPart::Config, LogLevel::Error, "Desired state cannot be read, the last one stays in force.",
		         {{"offset", std::to_string(_record.offset.value)}});
		return;
	}
	cell_.passedOver.noteSound(RecordKind::DesiredState, _record.key);
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
	for (const auto& row : runners_)
	{
		noteFit(row.second);
	}
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
			drop(_record.key);
		}
		return;
	}
	RunnerRecord read;
	const RecordFault::Enum fault = readRunner(_record, read);
	if (RecordFault::None != fault)
	{
		passOver(InstanceId{_record.key}, fault);
		return;
	}
	lapsed_.erase(_record.key);
	noteFit(read);
	take(read);
}

/// @returns why an entry names no target to use, whatever the desired state is.
RecordFault::Enum FleetController::readRunner(const KeyedRecord& _record, RunnerRecord& _read)
{
	const RecordFault::Enum fault = documents_.readRunner(_record.key, _record.value, _read);
	if (RecordFault::None != fault)
	{
		return fault;
	}
	const AddressClaims::Outcome claim = addresses_.claim(_read.address, _read.instance);
	if (!claim.displaced.text.empty())
	{
		passOver(claim.displaced, RecordFault::AbsurdValue);
	}
	return claim.isOwn ? RecordFault::None : RecordFault::AbsurdValue;
}

/// An entry that is passed over names no target to use, also where it did before. What is under way there still counts:
/// its next entry may be sound again.
void FleetController::passOver(const InstanceId& _target, RecordFault::Enum _fault)
{
	cell_.passedOver.note(RecordKind::Target, _target.text, _fault);
	lapsed_.erase(_target.text);
	addresses_.release(_target);
	if (remove(_target.text))
	{
		logEvent(LogPart::Targets, LogLevel::Warning, "Target is out of use, its entry is passed over.",
		         {{"target", _target.text}, {"reason", nameOf(_fault)}});
	}
}

/// Tells whether the desired state has a use for a target. One for which it has none is kept, since the next desired
/// state may name its service.
void FleetController::noteFit(const RunnerRecord& _record)
{
	const RecordFault::Enum fault =
	    routes_ ? fitFault(routes_->findService(_record.service), _record) : RecordFault::None;
	if (RecordFault::None == fault)
	{
		cell_.passedOver.noteSound(RecordKind::Target, _record.instance.text);
		return;
	}
	cell_.passedOver.note(RecordKind::Target, _record.instance.text, fault);
}

/// Takes a sound entry.
void FleetController::take(const RunnerRecord& _read)
{
	const std::string& instance = _read.instance.text;
	const auto known = runners_.find(instance);
	const bool isNew = runners_.end() == known;
	const bool differs = isNew || known->second.draining != _read.draining || known->second.layers != _read.layers ||
	                     known->second.address != _read.address || known->second.service != _read.service;
	if (!differs)
	{
		return;
	}
	logEvent(LogPart::Targets, LogLevel::Info, isNew ? "Target came." : "Target changed.",
	         {{"target", instance},
	          {"service", _read.service},
	          {"address", _read.address},
	          {"hall", _read.hall},
	          {"card", _read.card},
	          {"draining", _read.draining ? "true" : "false"},
	          {"layers", std::to_string(_read.layers.begin) + "-" + std::to_string(_read.layers.end)}});
	runners_[instance] = _read;
	if (isNew)
	{
		if (0 == loads_.count(instance))
		{
			loads_[instance] = std::make_shared<TargetLoad>();
		}
		fleetChangedAt_ = clock_.now();
	}
	changed_ = true;
}

/// Takes a target out of use.
/// @returns false if it was not in use.
bool FleetController::remove(const std::string& _instance)
{
	if (0 == runners_.erase(_instance))
	{
		return false;
	}
	fleetChangedAt_ = clock_.now();
	changed_ = true;
	return true;
}

/// A target's record is gone.
void FleetController::drop(const std::string& _instance)
{
	cell_.passedOver.forget(RecordKind::Target, _instance);
	addresses_.release(InstanceId{_instance});
	loads_.erase(_instance);
	if (remove(_instance))
	{
		logEvent(LogPart::Targets, LogLevel::Info, "Target left the registry.", {{"target", _instance}});
	}
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
		drop(instance);
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
		cell_.passedOver.forget(RecordKind::Node, _record.key);
	}
	else
	{
		NodeAddress node;
		const RecordFault::Enum fault = readNodePlace(_record.value, node);
		if (RecordFault::None != fault)
		{
			// The place that is known stays: its node may be of a version that writes more.
			cell_.passedOver.note(RecordKind::Node, _record.key, fault);
			return;
		}
		cell_.passedOver.noteSound(RecordKind::Node, _record.key);
		nodes_[_record.key] = node;
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
		const bool isIts = _spec.name == record.service && RecordFault::None == fitFault(&_spec, record);
		const bool usable = isIts && !record.draining;
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
