// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/layoutcontroller.h>

#include "losttargets_p.h"
#include "sparetarget_p.h"

#include <base/digest.h>
#include <fleet/fleetcontroller.h>
#include <fleet/targetrecordcheck.h>
#include <layout/layoutrecord.h>
#include <layout/layoutsnapshot.h>
#include <layout/servicelayout.h>
#include <logging/logging.h>
#include <settings/entrysettings.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

namespace sedgecart
{

namespace
{

/// Interval between two evaluations of the layout. Repairing a lost range takes some seconds, most of it for loading.
constexpr Duration kEvaluationInterval = Duration::fromMillis(200);

/// Maximum interval between two checks whether an evaluation is due.
constexpr Duration kMaxIdleInterval = Duration::fromMillis(1000);

/// Maximum age of the proof that the desired state is current. A node with an older proof has an outdated view of the
/// fleet and usually cannot reach the store, so it leaves repairs to other nodes. While the store answers, the proof is
/// at most two waits of a second and a hub's answer old.
constexpr Duration kMaxProofAge = Duration::fromMillis(3000);

/// Orders are not sent if their author reads its record back later than this after the append: other nodes may have
/// acted meanwhile.
constexpr Duration kMaxOrderAge = Duration::fromMillis(3000);

/// The only key of the layout topic; its value is the newest record.
constexpr const char* kKey = "newest";

/// @returns the snapshot of a service; an empty one if it has no targets.
const LayoutSnapshot& snapshotOf(const std::map<std::string, LayoutSnapshot>& _snapshots, const std::string& _service)
{
	static const LayoutSnapshot kNone;
	const auto row = _snapshots.find(_service);
	return _snapshots.end() == row ? kNone : row->second;
}

} // namespace

LayoutController::LayoutController(boost::asio::io_context& _loop, KeyedLogI& _log, RunnerOrdersI& _orders,
                                   const ClockI& _clock, const FleetController& _fleet, const EntrySettings& _settings)
    : timer_(_loop),
      log_(_log),
      clock_(_clock),
      fleet_(_fleet),
      node_(_settings.name),
      mechanisms_(_settings.mechanisms),
      dispatcher_(_orders, _clock, _fleet, _settings.mechanisms)
{
	if (!mechanisms_.isEnabled(Mechanism::SecondCopies))
	{
		policy_.capacityShare = 0;
	}
	policy_.keepTightChains = mechanisms_.isEnabled(Mechanism::TightHalls);
	policy_.makeBeforeBreak = mechanisms_.isEnabled(Mechanism::MakeBeforeBreak);
}

void LayoutController::start()
{
	tick();
}

void LayoutController::tick()
{
	const Time now = clock_.now();
	const bool fresh = now < fleet_.provenAt() + kMaxProofAge;
	Duration pause = kEvaluationInterval;
	// A node that reaches no target leaves changes to nodes that can order them. What only it knows it still publishes.
	const bool isAble = !fleet_.isCutOff() || dispatcher_.hasUnpublished();
	if (isTopicRead_ && fresh && !appending_ && fleet_.ready() && isAble)
	{
		const std::size_t place = turnIndex();
		// What only this node knows, no other one can publish.
		const bool isDue = dispatcher_.hasUnpublished() || !(now < evaluatedAt_ + appendSchedule_.checkInterval(place));
		if (isDue)
		{
			evaluatedAt_ = now;
			evaluate(place);
		}
		pause = std::max(kEvaluationInterval, std::min(kMaxIdleInterval, appendSchedule_.checkInterval(place)));
	}
	scheduleTick(pause);
}

void LayoutController::scheduleTick(Duration _pause)
{
	timer_.expires_after(std::chrono::microseconds(_pause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void LayoutController::onCurrent(Offset _end)
{
	const bool isChanged = !isTopicRead_ || !(end_ == _end);
	isTopicRead_ = true;
	end_ = _end;
	if (isChanged)
	{
		scheduleTick(kEvaluationInterval); // the order of the nodes has changed
	}
}

void LayoutController::onRecord(const KeyedRecord& _record)
{
	LayoutRecord change;
	const RecordFault::Enum fault = _record.removed ? RecordFault::Unreadable : readLayoutRecord(_record.value, change);
	if (RecordFault::None != fault)
	{
		fleet_.skippedRecords().onSkipped(RecordKind::Layout, _record.key, fault);
		return;
	}
	fleet_.skippedRecords().onValid(RecordKind::Layout, _record.key);
	const Time now = clock_.now();
	const bool own = incarnation_.text() == change.author;
	const bool fresh = now < appendedAt_ + kMaxOrderAge;
	appendSchedule_.setWanted(false, now);
	logEvent(LogPart::Layout, LogLevel::Info, "Layout changes.",
	         {{"offset", std::to_string(_record.offset.value)},
	          {"author", change.author},
	          {"holds", std::to_string(change.holds.size())},
	          {"earlier_orders", std::to_string(change.reportedOrders.size())},
	          {"passed_over", std::to_string(change.skipped)},
	          {"orders_sent_here", own && fresh ? "true" : "false"}});
	const OrderRole::Enum otherRole = isTopicRead_ ? OrderRole::Resend : OrderRole::TrackOnly;
	dispatcher_.apply(change, _record.offset, own && fresh ? OrderRole::Send : otherRole);
}

/// @returns the number of tokens of the requests that are in flight over a target.
uint64_t LayoutController::tokensAt(const std::string& _target, LayerSpan _held) const
{
	const auto row = fleet_.loads().find(_target);
	if (fleet_.loads().end() == row || 0 == _held.size() || !mechanisms_.isEnabled(Mechanism::BusyLast))
	{
		return 0;
	}
	const uint64_t own = row->second->tokenLayers.load(std::memory_order_relaxed);
	const uint64_t others = row->second->remoteTokenLayers.load(std::memory_order_relaxed);
	return (own + others) / _held.size();
}

/// Adds a target to the snapshot of its service if it can hold layers.
/// @param _uncounted returns true for targets whose orders are ignored: they count as holding what the registry shows.
void LayoutController::addTarget(const RunnerRecord& _record, const TargetCheck& _uncounted,
                                 const std::set<std::string>& _lost, ServiceSnapshots& _snapshots) const
{
	const ServiceSpec* const service = fleet_.routes()->findService(_record.service);
	const bool runsLayers =
	    nullptr != service && service->hasEngine && RecordFault::None == checkTargetRecord(service, _record);
	const AcceleratorKind* const card =
	    runsLayers ? findAcceleratorKind(service->engine, _record.accelerator) : nullptr;
	const bool isLost = 0 < _lost.count(_record.instance.text);
	if (nullptr == card || _record.draining || isLost || dispatcher_.isOutdated(_record))
	{
		return;
	}
	LayoutSnapshot& snapshot = _snapshots[service->name];
	const LayerSpan held = _uncounted(_record) ? _record.layers : dispatcher_.effectiveLayers(_record, *service);
	snapshot.engine = &service->engine;
	snapshot.anyHeld = snapshot.anyHeld || 0 < held.size();
	const LayerSpan serves = commonSpan(_record.layers, held);
	const auto next = static_cast<uint32_t>(snapshot.halls.size());
	const uint32_t hall = snapshot.halls.emplace(_record.hall, next).first->second;
	snapshot.targets.push_back(LayoutTarget{hall, *card, held, tokensAt(_record.instance.text, held), serves});
	snapshot.records.push_back(_record);
}

/// @returns a snapshot of each service that has a model and targets. Layouts of services are independent: their models
/// differ in layers and size, and no target runs two.
LayoutController::ServiceSnapshots LayoutController::takeSnapshots(const TargetCheck& _uncounted) const
{
	ServiceSnapshots snapshots;
	const bool usesNodeEvidence = mechanisms_.isEnabled(Mechanism::OwnEvidence);
	const std::set<std::string> lost = usesNodeEvidence ? lostTargets(fleet_, clock_.now()) : std::set<std::string>();
	for (const auto& row : fleet_.runners())
	{
		addTarget(row.second, _uncounted, lost, snapshots);
	}
	return snapshots;
}

/// Checks again before an order is resent, since requests may have started and targets may have left since its record.
/// @returns true if carrying out the order keeps layers and capacity that running requests use.
bool LayoutController::isResendSafe(const TrackedOrder& _order) const
{
	if (!policy_.makeBeforeBreak)
	{
		return true;
	}
	const auto target = fleet_.runners().find(_order.incarnation.instance.text);
	if (fleet_.runners().end() == target)
	{
		return false;
	}
	const ServiceSnapshots snapshots = takeSnapshots(
	    [&_order](const RunnerRecord& _target)
	    {
		    return _order.incarnation.instance == _target.instance;
	    });
	const LayoutSnapshot& seen = snapshotOf(snapshots, target->second.service);
	for (std::size_t index = 0; index < seen.records.size(); ++index)
	{
		if (seen.records[index].instance == _order.incarnation.instance)
		{
			const LayoutOrder order{static_cast<uint32_t>(index), _order.layers};
			return sedgecart::isOrderSafe(*seen.engine, seen.targets, order);
		}
	}
	return false; // the target leaves or is considered dead, and the plan assigns its range to others
}

/// @returns this node's index in the order in which nodes try to append. The order is different after each change and
/// mixes the halls, so that a node or a hall that has failed delays only some changes.
std::size_t LayoutController::turnIndex() const
{
	const uint64_t own = hash64(node_, end_.value);
	std::size_t before = 0;
	for (const auto& row : fleet_.nodes())
	{
		before += hash64(row.first, end_.value) < own ? 1 : 0;
	}
	return before;
}

void LayoutController::evaluate(std::size_t _place)
{
	dispatcher_.update(_place,
	                   [this](const TrackedOrder& _order)
	                   {
		                   return isResendSafe(_order);
	                   });
	const ServiceSnapshots snapshots = takeSnapshots(
	    [](const RunnerRecord&)
	    {
		    return false;
	    });
	const Time now = clock_.now();
	std::vector<LayoutHoldRecord> holds;
	for (const ServiceSpec& service : fleet_.routes()->state().services)
	{
		if (service.hasEngine)
		{
			evaluateService(service.name, snapshotOf(snapshots, service.name), holds);
		}
	}
	dropOtherLayouts();
	const bool hasUnpublished = dispatcher_.hasUnpublished();
	appendSchedule_.setContenders(_place, fleet_.nodes().size());
	appendSchedule_.setWanted(hasUnpublished || !holds.empty(), now);
	// No other node can publish what only this node knows, so it does not wait for its turn.
	if (appendSchedule_.isDue(hasUnpublished ? 0 : _place, now))
	{
		append(std::move(holds));
	}
}

/// Adds to `_holds` what targets of a service are to hold from now on.
void LayoutController::evaluateService(const std::string& _service, const LayoutSnapshot& _seen,
                                       std::vector<LayoutHoldRecord>& _holds)
{
	const Time now = clock_.now();
	ServiceLayout& layout = layouts_.try_emplace(_service, _service).first->second;
	layout.setMetrics(metrics_);
	layout.reportLosses(_seen, now);
	if (fleet_.isCutOff())
	{
		return;
	}
	const LayoutSnapshot available = withoutRefusingTargets(_seen);
	std::vector<LayoutOrder> orders =
	    withoutRefusedOrders(available, layout.wantedOrders(available, policy_, fleet_.changedAt(_service), now));
	orders = withoutUncertainOrders(_service, available, std::move(orders));
	for (const LayoutOrder& order : orders)
	{
		const RunnerRecord& target = available.records[order.target];
		_holds.push_back(LayoutHoldRecord{target.instance, target.startTime, order.layers});
	}
}

/// Drops the state of services that the desired state does not contain any more.
void LayoutController::dropOtherLayouts()
{
	for (auto row = layouts_.begin(); layouts_.end() != row;)
	{
		const ServiceSpec* const service = fleet_.routes()->findService(row->first);
		row = nullptr == service || !service->hasEngine ? layouts_.erase(row) : std::next(row);
	}
}

/// @returns the targets without those that recently refused an order and that no range needs, so that the plan assigns
/// what they were ordered to hold to other targets at once.
LayoutSnapshot LayoutController::withoutRefusingTargets(const LayoutSnapshot& _snapshot) const
{
	LayoutSnapshot remaining = _snapshot;
	for (std::size_t index = remaining.targets.size(); 0 < index; --index)
	{
		if (dispatcher_.hasRefused(remaining.records[index - 1]) && isSpare(remaining.targets, index - 1))
		{
			remaining.targets.erase(remaining.targets.begin() + static_cast<std::ptrdiff_t>(index - 1));
			remaining.records.erase(remaining.records.begin() + static_cast<std::ptrdiff_t>(index - 1));
		}
	}
	remaining.engine = remaining.targets.empty() ? nullptr : remaining.engine;
	return remaining;
}

/// @returns the orders without those that their target recently refused.
std::vector<LayoutOrder> LayoutController::withoutRefusedOrders(const LayoutSnapshot& _snapshot,
                                                                std::vector<LayoutOrder> _orders) const
{
	const auto refused =
	    std::remove_if(_orders.begin(), _orders.end(),
	                   [this, &_snapshot](const LayoutOrder& _order)
	                   {
		                   return dispatcher_.isRefused(_snapshot.records[_order.target], _order.layers);
	                   });
	_orders.erase(refused, _orders.end());
	return _orders;
}

/// Handles orders in effect that may be hours old, of which it is unknown whether they were carried out.
/// @returns the given orders if a change is needed in either case, else none.
std::vector<LayoutOrder> LayoutController::withoutUncertainOrders(const std::string& _service,
                                                                  const LayoutSnapshot& _snapshot,
                                                                  std::vector<LayoutOrder> _orders) const
{
	const auto isUncertain = [this](const RunnerRecord& _target)
	{
		return dispatcher_.isTrackedOnly(_target);
	};
	const bool hasUncertain = std::any_of(_snapshot.records.begin(), _snapshot.records.end(), isUncertain);
	if (!_orders.empty() && hasUncertain && isComplete(snapshotOf(takeSnapshots(isUncertain), _service)))
	{
		_orders.clear();
	}
	return _orders;
}

/// @returns true if the layout is complete, so that no change would improve it.
bool LayoutController::isComplete(const LayoutSnapshot& _snapshot) const
{
	constexpr RepairScope kAll{true, true};
	return _snapshot.anyHeld && repairLayout(*_snapshot.engine, _snapshot.targets, policy_, kAll).empty();
}

/// @param _holds what targets are to hold from now on; may be empty if this node has outcomes of orders to publish.
void LayoutController::append(std::vector<LayoutHoldRecord> _holds)
{
	LayoutRecord change;
	change.author = incarnation_.text();
	change.holds = std::move(_holds);
	dispatcher_.addKnownOrders(change);
	const OmittedOrders omitted = fitLayoutRecord(change);
	if (0 < omitted.holds || 0 < omitted.reportedOrders)
	{
		logEvent(LogPart::Layout, LogLevel::Warning, "Layout change exceeds a record of the store, a part is omitted.",
		         {{"holds", std::to_string(change.holds.size())},
		          {"omitted_holds", std::to_string(omitted.holds)},
		          {"earlier_orders", std::to_string(change.reportedOrders.size())},
		          {"omitted_earlier_orders", std::to_string(omitted.reportedOrders)}});
	}
	appending_ = true;
	appendedAt_ = clock_.now();
	log_.append(KeyedTopic::Layout, kKey, writeLayoutRecord(change), end_,
	            [this](const KeyedAppend& _outcome)
	            {
		            onAppended(_outcome);
	            });
}

void LayoutController::onAppended(const KeyedAppend& _outcome)
{
	appending_ = false;
	const bool conflict = StoreState::Conflict == _outcome.state;
	const bool done = StoreState::Done == _outcome.state;
	appendSchedule_.onOutcome(conflict || done, clock_.now());
	dispatcher_.onStored(done);
	if (conflict && end_ < _outcome.end && onBehind_)
	{
		onBehind_();
	}
	logEvent(LogPart::Layout, LogLevel::Info, "Layout change was appended.",
	         {{"outcome", nameOf(_outcome.state)},
	          {"offset", std::to_string(_outcome.offset.value)},
	          {"end", std::to_string(_outcome.end.value)}});
}

} // namespace sedgecart
