// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/fleetcontroller.h>

#include "targetfields_p.h"

#include <fleet/targetrecordcheck.h>
#include <logging/logging.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

/// How long a removed target is remembered: a write to the store that got no answer may still be carried out some
/// seconds later and bring the target's record back.
constexpr Duration kRemovedRetention = Duration::fromMillis(10000);

/// How long the time of the last change of a service's targets is kept. Layouts are planned some seconds after a
/// change.
constexpr Duration kChangeRetention = Duration::fromMillis(60000);

/// Nodes that take requests are chosen like the targets of a plain service.
const ServiceSpec kPeers;

/// @returns true if two records of one incarnation of a target differ in a field that this node uses.
bool needsUpdate(const RunnerRecord& _a, const RunnerRecord& _b)
{
	return _a.draining != _b.draining || _a.layers != _b.layers || _a.address != _b.address ||
	       _a.service != _b.service || _a.startTime != _b.startTime;
}

} // namespace

FleetController::FleetController(const DocumentParserI& _documents, FleetCell& _cell, const ClockI& _clock,
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
	if (!documents_.parseDesiredState(_record.value, *state))
	{
		cell_.skippedRecords.onSkipped(RecordKind::DesiredState, _record.key, RecordFault::Unreadable);
		logEvent(LogPart::Config, LogLevel::Error, "Cannot parse the desired state; the previous one stays in effect.",
		         {{"offset", std::to_string(_record.offset.value)}});
		return;
	}
	cell_.skippedRecords.onValid(RecordKind::DesiredState, _record.key);
	if (routes_ && state->version < routes_->state().version)
	{
		return;
	}
	logEvent(LogPart::Config, LogLevel::Info, "Desired state is in effect.",
	         {{"version", std::to_string(state->version.value)},
	          {"offset", std::to_string(_record.offset.value)},
	          {"routes", std::to_string(state->routes.size())},
	          {"customers", std::to_string(state->customers.size())},
	          {"keys_required", state->keysRequired ? "true" : "false"}});
	auto next = std::make_shared<RouteTable>(std::move(state));
	retainRemovedServices(*next);
	routes_ = std::move(next);
	for (const auto& row : runners_)
	{
		checkAgainstDesiredState(row.second);
	}
	publish();
}

/// Retains the services that the next desired state does not name any more.
void FleetController::retainRemovedServices(const RouteTable& _next)
{
	if (!routes_)
	{
		return;
	}
	for (const ServiceSpec& spec : routes_->state().services)
	{
		if (nullptr == _next.findService(spec.name))
		{
			retiredServices_[spec.name] = RetiredService{routes_, clock_.now()};
		}
	}
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
		if (lapseGraceEnabled_ && runners_.end() != known && storeWasUnavailable_ && !known->second.draining)
		{
			lapsed_.insert(_record.key);
		}
		else
		{
			onRecordRemoved(_record.key);
		}
		return;
	}
	RunnerRecord read;
	const RecordFault::Enum fault = documents_.parseRunner(_record.key, _record.value, read);
	if (RecordFault::None != fault)
	{
		skipRecord(InstanceId{_record.key}, fault);
		return;
	}
	if (isOutdated(read, _record.offset))
	{
		return;
	}
	if (!claimAddress(read))
	{
		skipRecord(read.instance, RecordFault::AbsurdValue);
		return;
	}
	lapsed_.erase(_record.key);
	checkAgainstDesiredState(read);
	applyRecord(read, _record.offset);
}

/// @returns true if a later record of the same target was applied before.
bool FleetController::isOutdated(const RunnerRecord& _read, Offset _offset)
{
	const auto last = lastOffsets_.find(_read.instance.text);
	if (lastOffsets_.end() != last && _offset < last->second)
	{
		return true; // from a cache that is older than what was read before
	}
	if (!recordOrder_.isOutdated(_read, clock_.now()))
	{
		return false;
	}
	log_.onOutdated(_read);
	return true;
}

/// Claims the address of a valid record.
/// @returns false if another target in use holds it.
bool FleetController::claimAddress(const RunnerRecord& _read)
{
	releaseAddressOfDead(_read);
	const AddressClaims::Outcome claim = addresses_.claim(_read.address, _read.instance);
	if (!claim.displaced.text.empty())
	{
		skipRecord(claim.displaced, RecordFault::AbsurdValue);
	}
	return claim.granted;
}

/// Skips a target's record and takes the target out of use. Keeps its `TargetLoad`, since requests are still in flight
/// there and its next record may be valid again.
void FleetController::skipRecord(const InstanceId& _target, RecordFault::Enum _fault)
{
	cell_.skippedRecords.onSkipped(RecordKind::Target, _target.text, _fault);
	lapsed_.erase(_target.text);
	addresses_.release(_target);
	if (removeTarget(_target.text))
	{
		logEvent(LogPart::Targets, LogLevel::Warning, "Target is out of use because its record is skipped.",
		         {{"target", _target.text}, {"reason", nameOf(_fault)}});
	}
}

/// Records whether a target fits the desired state. One that does not is kept, since the next desired state may name
/// its service.
void FleetController::checkAgainstDesiredState(const RunnerRecord& _record)
{
	const RecordFault::Enum fault =
	    routes_ ? checkTargetRecord(routes_->findService(_record.service), _record) : RecordFault::None;
	if (RecordFault::None == fault)
	{
		cell_.skippedRecords.onValid(RecordKind::Target, _record.instance.text);
		return;
	}
	cell_.skippedRecords.onSkipped(RecordKind::Target, _record.instance.text, fault);
}

/// Applies a valid record.
void FleetController::applyRecord(const RunnerRecord& _read, Offset _offset)
{
	const std::string& instance = _read.instance.text;
	const auto known = runners_.find(instance);
	const bool isNew = runners_.end() == known;
	lastOffsets_[instance] = _offset;
	RunnerRecord record = _read;
	if (isNew)
	{
		addTarget(record);
	}
	else if (IncarnationOrder::Newer ==
	         compareIncarnations(known->second.incarnation(), _read.incarnation(), ReportTiming::Later))
	{
		restartTarget(_read);
	}
	else
	{
		record.startTime =
		    latestIncarnation(known->second.incarnation(), _read.incarnation(), ReportTiming::Later).startTime;
		if (!needsUpdate(known->second, record))
		{
			return;
		}
		if (known->second.service != record.service)
		{
			recordChange(known->second.service);
			recordChange(record.service);
		}
		log_.onChanged(record);
	}
	runners_[instance] = record;
	changed_ = true;
}

/// Releases the address of a record if its current holder is known to be gone, so that the record's target gets it at
/// once. Otherwise that takes three records of the new target, about 3.6 s.
void FleetController::releaseAddressOfDead(const RunnerRecord& _read)
{
	const InstanceId holder = addresses_.holderOf(_read.address);
	const auto known = runners_.find(holder.text);
	if (holder == _read.instance || runners_.end() == known || !isKnownDead(known->second))
	{
		return;
	}
	logEvent(LogPart::Targets, LogLevel::Info, "Target is gone and its address is released.",
	         targetFields(known->second));
	skipRecord(holder, RecordFault::AbsurdValue);
}

bool FleetController::isKnownDead(const RunnerRecord& _record) const
{
	const Time now = clock_.now();
	const TargetLoad& load = *loads_.at(_record.instance.text);
	return load.isDead(now) || load.ended.load(std::memory_order_relaxed) || load.lacksLayers(_record.layers, now);
}

/// Adds a target. A lapsed record may reappear, even that of a target that has ended, because the store may carry out a
/// write late. The `TargetLoad` of that incarnation is then used again.
void FleetController::addTarget(const RunnerRecord& _read)
{
	const std::string& instance = _read.instance.text;
	log_.onAdded(_read);
	const auto removed = removedTargets_.find(instance);
	const bool isSameIncarnation =
	    removedTargets_.end() != removed &&
	    IncarnationOrder::Same ==
	        compareIncarnations(removed->second.record.incarnation(), _read.incarnation(), ReportTiming::Later);
	if (removedTargets_.end() != removed && !isSameIncarnation)
	{
		removed->second.load->ended.store(true, std::memory_order_relaxed);
	}
	const bool keepsLoad = removedTargets_.end() == removed &&
	                       0 < loads_.count(instance); // its record was skipped for longer than `kRemovedRetention`
	if (!keepsLoad)
	{
		loads_[instance] = isSameIncarnation ? removed->second.load : std::make_shared<TargetLoad>();
	}
	removedTargets_.erase(instance);
	recordChange(_read.service);
}

/// Starts a new incarnation of a known target. Nothing of the earlier incarnation's load carries over.
void FleetController::restartTarget(const RunnerRecord& _read)
{
	const std::string& instance = _read.instance.text;
	logEvent(LogPart::Targets, LogLevel::Warning, "Target restarted.",
	         {{"target", instance},
	          {"born", std::to_string(_read.startTime.unixMillis)},
	          {"born_before", std::to_string(runners_[instance].startTime.unixMillis)},
	          {"layers", layersText(_read.layers)},
	          {"layers_before", layersText(runners_[instance].layers)}});
	loads_[instance]->ended.store(true, std::memory_order_relaxed);
	loads_[instance] = std::make_shared<TargetLoad>();
	recordChange(_read.service);
}

/// Records that a target of a service arrived, restarted or left.
void FleetController::recordChange(const std::string& _service)
{
	fleetChangedAt_ = clock_.now();
	for (auto row = serviceChangedAt_.begin(); serviceChangedAt_.end() != row;)
	{
		row = row->second + kChangeRetention < fleetChangedAt_ ? serviceChangedAt_.erase(row) : std::next(row);
	}
	serviceChangedAt_[_service] = fleetChangedAt_;
}

/// Takes a target out of use and remembers it for `kRemovedRetention`.
/// @returns false if it was not in use.
bool FleetController::removeTarget(const std::string& _instance)
{
	const auto known = runners_.find(_instance);
	if (runners_.end() == known)
	{
		return false;
	}
	dropExpiredRemovals();
	removedTargets_[_instance] = RemovedTarget{known->second, loads_.at(_instance), clock_.now()};
	recordChange(known->second.service);
	runners_.erase(known);
	lastOffsets_.erase(_instance);
	changed_ = true;
	return true;
}

/// A target's record was removed from the store.
void FleetController::onRecordRemoved(const std::string& _instance)
{
	cell_.skippedRecords.onRemoved(RecordKind::Target, _instance);
	addresses_.release(InstanceId{_instance});
	if (removeTarget(_instance))
	{
		log_.onRemoved(InstanceId{_instance});
	}
	loads_.erase(_instance);
}

void FleetController::dropExpiredRemovals()
{
	for (auto row = removedTargets_.begin(); removedTargets_.end() != row;)
	{
		row = row->second.at + kRemovedRetention < clock_.now() ? removedTargets_.erase(row) : std::next(row);
	}
}

void FleetController::onStoreUnavailable()
{
	storeWasUnavailable_ = true;
}

bool FleetController::onRunnersCurrent()
{
	const bool returned = storeWasUnavailable_;
	storeWasUnavailable_ = false;
	runnersKnown_ = true;
	log_.finish();
	if (changed_ && routes_)
	{
		publish();
	}
	return returned && !lapsed_.empty();
}

void FleetController::dropLapsed()
{
	if (storeWasUnavailable_)
	{
		return; // unavailable again: the next `onRunnersCurrent` restarts the grace
	}
	for (const std::string& instance : lapsed_)
	{
		onRecordRemoved(instance);
	}
	lapsed_.clear();
	if (changed_ && routes_)
	{
		publish();
	}
}

void FleetController::onNodeRecord(const KeyedRecord& _record)
{
	if (_record.removed)
	{
		nodesChanged_ = 0 < nodes_.erase(_record.key) || nodesChanged_;
		cell_.skippedRecords.onRemoved(RecordKind::Node, _record.key);
	}
	else
	{
		NodeAddress node;
		const RecordFault::Enum fault = parseNodeAddress(_record.value, node);
		if (RecordFault::None != fault)
		{
			// Keeps the known address: the node may run a version that writes more.
			cell_.skippedRecords.onSkipped(RecordKind::Node, _record.key, fault);
			return;
		}
		cell_.skippedRecords.onValid(RecordKind::Node, _record.key);
		const auto known = nodes_.find(_record.key);
		const bool isChange = nodes_.end() == known || known->second.hall != node.hall ||
		                      known->second.cpuShare != node.cpuShare ||
		                      known->second.handoverAddress != node.handoverAddress;
		nodesChanged_ = isChange || nodesChanged_;
		nodes_[_record.key] = node;
	}
}

/// A fleet that starts reads one record of each node: a view for each would take work that grows with the product of
/// nodes and targets.
bool FleetController::onNodesCurrent()
{
	if (!nodesChanged_)
	{
		return false;
	}
	nodesChanged_ = false;
	budgetNodes_.set(static_cast<uint32_t>(nodes_.size()), clock_.now());
	updateRoster();
	updatePeers();
	if (routes_)
	{
		publish();
	}
	return true;
}

void FleetController::updateRoster()
{
	std::vector<NodeRoster::Node> nodes;
	nodes.reserve(nodes_.size());
	for (const auto& row : nodes_)
	{
		nodes.push_back(NodeRoster::Node{row.first, row.second.hall});
	}
	roster_ = std::make_shared<const NodeRoster>(std::move(nodes));
}

void FleetController::updatePeers()
{
	auto peers = std::make_shared<FleetService>();
	peers->spec = &kPeers;
	std::map<std::string, std::shared_ptr<TargetLoad>> loads;
	for (const auto& row : nodes_)
	{
		if (self_ == row.first || row.second.handoverAddress.empty())
		{
			continue;
		}
		const auto known = peerLoads_.find(row.first);
		FleetTarget peer;
		peer.record.instance.text = row.first;
		peer.record.address = row.second.handoverAddress;
		peer.record.hall = row.second.hall;
		peer.hall = kHomeHall; // whatever its hall: most nodes of this one may be cut off, and would load the others
		peer.load = peerLoads_.end() == known ? std::make_shared<TargetLoad>() : known->second;
		loads[row.first] = peer.load;
		peers->targets.push_back(std::move(peer));
	}
	peerLoads_ = std::move(loads);
	peers_ = peers->targets.empty() ? nullptr : std::move(peers);
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
	target.accelerator = _spec.hasEngine ? findAcceleratorKind(_spec.engine, _record.accelerator) : nullptr;
	target.load = loads_[_record.instance.text];
	return target;
}

std::shared_ptr<const FleetService> FleetController::buildService(const ServiceSpec& _spec,
                                                                  const std::shared_ptr<const RouteTable>& _routes)
{
	auto service = std::make_shared<FleetService>();
	service->routes = _routes;
	service->spec = &_spec;
	for (const auto& row : runners_)
	{
		const RunnerRecord& record = row.second;
		const bool matches = _spec.name == record.service && RecordFault::None == checkTargetRecord(&_spec, record);
		const bool usable = matches && !record.draining;
		if (usable && (!_spec.hasEngine || 0 < record.layers.size()))
		{
			service->targets.push_back(buildTarget(_spec, record));
		}
	}
	service->halls = static_cast<uint32_t>(halls_.size());
	service->account = accountOf(_spec.name, *_routes);
	return service;
}

/// @returns null unless the service is prioritized.
std::shared_ptr<ServiceAccount> FleetController::accountOf(const std::string& _service, const RouteTable& _routes)
{
	if (!_routes.isPrioritized(_service))
	{
		accounts_.erase(_service);
		return nullptr;
	}
	std::shared_ptr<ServiceAccount>& account = accounts_[_service];
	account = account ? account : std::make_shared<ServiceAccount>();
	return account;
}

/// Adds the services that were removed from the desired state within `kServiceRetention`. No current route leads there.
void FleetController::addRetiredServices(FleetView& _view)
{
	for (auto row = retiredServices_.begin(); retiredServices_.end() != row;)
	{
		const RetiredService& retired = row->second;
		if (retired.at + kServiceRetention < clock_.now() || 0 < _view.services.count(row->first))
		{
			row = retiredServices_.erase(row);
			continue;
		}
		_view.services.emplace(row->first, buildService(*retired.routes->findService(row->first), retired.routes));
		++row;
	}
}

/// @returns the number of other nodes in this hall. This node may not have read its own record yet.
uint32_t FleetController::hallPeers() const
{
	const auto isHere = [this](const auto& _row)
	{
		const auto hall = halls_.find(_row.second.hall);
		return halls_.end() != hall && kHomeHall == hall->second;
	};
	const auto here = static_cast<uint32_t>(std::count_if(nodes_.begin(), nodes_.end(), isHere));
	return here - std::min(1U, here);
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
	view->budgetNodes = budgetNodes_;
	view->hallPeers = hallPeers();
	view->roster = roster_;
	view->peers = peers_;
	for (const ServiceSpec& spec : routes_->state().services)
	{
		view->services.emplace(spec.name, buildService(spec, routes_));
	}
	addRetiredServices(*view);
	cell_.view.publish(std::move(view));
}

} // namespace sedgecart
