// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "fleetcontroller_p.h"

#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

/// Writes of a target that has ended are carried out within so long: a target's record lapses 3.6 s after its last one.
constexpr Duration kLateWrites = Duration::fromMillis(8000);

/// A target whose record went is remembered for so long: a call to the store that got no answer may be carried out some
/// seconds later.
constexpr Duration kGoneKept = Duration::fromMillis(10000);

std::string spanText(LayerSpan _span)
{
	return std::to_string(_span.begin) + "-" + std::to_string(_span.end);
}

std::vector<LogField> describe(const RunnerRecord& _record)
{
	return {{"target", _record.instance.text},
	        {"service", _record.service},
	        {"address", _record.address},
	        {"hall", _record.hall},
	        {"card", _record.card},
	        {"draining", _record.draining ? "true" : "false"},
	        {"layers", spanText(_record.layers)},
	        {"born", std::to_string(_record.born.unixMillis)}};
}

/// @returns true if something that is acted on differs between two records of one start of a target.
bool differ(const RunnerRecord& _a, const RunnerRecord& _b)
{
	return _a.draining != _b.draining || _a.layers != _b.layers || _a.address != _b.address ||
	       _a.service != _b.service || _a.born != _b.born;
}

} // namespace

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
	if (_record.removed)
	{
		const auto known = runners_.find(_record.key);
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
	take(read, _record.offset);
}

void FleetController::take(const RunnerRecord& _read, Offset _offset)
{
	const std::string& instance = _read.instance.text;
	const auto known = runners_.find(instance);
	const bool isNew = runners_.end() == known;
	if (!isNew && _offset < readUpTo_[instance])
	{
		return; // out of a cache that is older than what was read
	}
	lapsed_.erase(instance);
	readUpTo_[instance] = _offset;
	RunnerRecord record = _read;
	if (isNew)
	{
		come(record);
	}
	else if (LifeOrder::Newer == compareLives(known->second.life(), _read.life(), LifeEvidence::After))
	{
		restart(_read);
	}
	else
	{
		record.born = lifeAfter(known->second.life(), _read.life(), LifeEvidence::After).born;
		const bool renewed = isRenewed(instance);
		if (renewed)
		{
			endedAt_.erase(instance);
			loads_[instance] = std::make_shared<TargetLoad>();
		}
		if (!renewed && !differ(known->second, record))
		{
			return;
		}
		logEvent(LogPart::Targets, LogLevel::Info, "Target changed.", describe(record));
	}
	runners_[instance] = record;
	changed_ = true;
}

/// A record may come back that has lapsed, also of a target that has ended meanwhile: a store may carry out late what
/// it was told before. What is known of that start goes on to hold.
void FleetController::come(const RunnerRecord& _read)
{
	const std::string& instance = _read.instance.text;
	logEvent(LogPart::Targets, LogLevel::Info, "Target came.", describe(_read));
	const auto gone = gone_.find(instance);
	const bool isBack = gone_.end() != gone &&
	                    LifeOrder::Same == compareLives(gone->second.record.life(), _read.life(), LifeEvidence::After);
	if (gone_.end() != gone && !isBack)
	{
		gone->second.load->ended.store(true, std::memory_order_relaxed);
	}
	if (isBack)
	{
		back_.insert(instance);
	}
	else
	{
		endPredecessors(_read);
	}
	loads_[instance] = isBack ? gone->second.load : std::make_shared<TargetLoad>();
	gone_.erase(instance);
	fleetChangedAt_ = clock_.now();
}

/// One process listens at an address. Where a target that is not known yet names the address of one that had gone, is
/// dead or refused its part, that one has ended, though its record may be there for seconds yet or come back. A record
/// of another writer that names the address of a sound target ends nothing.
void FleetController::endPredecessors(const RunnerRecord& _came)
{
	for (const auto& row : gone_)
	{
		if (_came.address == row.second.record.address)
		{
			end(row.second.record, *row.second.load);
		}
	}
	for (const auto& row : runners_)
	{
		if (_came.address == row.second.address && mayHaveEnded(row.second))
		{
			end(row.second, *loads_[row.first]);
		}
	}
}

bool FleetController::mayHaveEnded(const RunnerRecord& _record) const
{
	const Time now = clock_.now();
	const TargetLoad& load = *loads_.at(_record.instance.text);
	return 0 < back_.count(_record.instance.text) || load.isDead(now) || load.lacks(_record.layers, now);
}

void FleetController::end(const RunnerRecord& _ended, TargetLoad& _load)
{
	logEvent(LogPart::Targets, LogLevel::Info, "Target has ended, another one is at its address.", describe(_ended));
	_load.ended.store(true, std::memory_order_relaxed);
	endedAt_[_ended.instance.text] = clock_.now();
}

/// @returns true if a target that was taken as ended goes on writing its record: it lives.
bool FleetController::isRenewed(const std::string& _instance) const
{
	const auto ended = endedAt_.find(_instance);
	return endedAt_.end() != ended && ended->second + kLateWrites < clock_.now();
}

/// The earlier start went and another one came: nothing that is known of the earlier one passes over.
void FleetController::restart(const RunnerRecord& _read)
{
	const std::string& instance = _read.instance.text;
	logEvent(LogPart::Targets, LogLevel::Warning, "Target restarted.",
	         {{"target", instance},
	          {"born", std::to_string(_read.born.unixMillis)},
	          {"born_before", std::to_string(runners_[instance].born.unixMillis)},
	          {"layers", spanText(_read.layers)},
	          {"layers_before", spanText(runners_[instance].layers)}});
	loads_[instance]->ended.store(true, std::memory_order_relaxed);
	loads_[instance] = std::make_shared<TargetLoad>();
	fleetChangedAt_ = clock_.now();
}

void FleetController::remove(const std::string& _instance)
{
	const auto known = runners_.find(_instance);
	if (runners_.end() == known)
	{
		return;
	}
	forgetGone();
	gone_[_instance] = Gone{known->second, loads_[_instance], clock_.now()};
	runners_.erase(known);
	back_.erase(_instance);
	logEvent(LogPart::Targets, LogLevel::Info, "Target left the registry.", {{"target", _instance}});
	loads_.erase(_instance);
	readUpTo_.erase(_instance);
	fleetChangedAt_ = clock_.now();
	changed_ = true;
}

void FleetController::forgetGone()
{
	for (auto row = gone_.begin(); gone_.end() != row;)
	{
		const bool old = row->second.at + kGoneKept < clock_.now();
		if (old)
		{
			endedAt_.erase(row->first);
		}
		row = old ? gone_.erase(row) : std::next(row);
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
