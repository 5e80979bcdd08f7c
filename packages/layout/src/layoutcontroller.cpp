// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/layoutcontroller.h>

#include "losttargets_p.h"
#include "sparetarget_p.h"

#include <base/digest.h>
#include <fleet/fleetcontroller.h>
#include <fleet/targetrecordcheck.h>
#include <layout/layoutrecord.h>
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

/// The first layout is planned once no target has arrived or left for this long, since targets appear within some
/// seconds of each other.
constexpr Duration kFleetSettleTime = Duration::fromMillis(1600);

/// Orders are not sent if their author reads its record back later than this after the append: other nodes may have
/// acted meanwhile.
constexpr Duration kMaxOrderAge = Duration::fromMillis(3000);

/// Delay before borders between ranges are shifted to cover missing layers: an empty target, such as one that restarts,
/// can take the range within this time without moving the layers of others.
constexpr Duration kBorderShiftDelay = Duration::fromMillis(900);

/// Delay after a target arrives or leaves before an empty target that no range needs is given a replica, so that a
/// target that is being replaced can leave first. Loading costs little, while a longer delay, such as 4 s, withholds
/// the target's capacity from its hall and lowers the value of what is served when targets fail.
constexpr Duration kReplicaDelay = Duration::fromMillis(800);

/// The only key of the layout topic; its value is the newest record.
constexpr const char* kKey = "newest";

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

/// @param _uncounted returns true for targets whose orders are ignored: they count as holding what the registry shows.
LayoutController::Snapshot LayoutController::takeSnapshot(const TargetCheck& _uncounted) const
{
	Snapshot snapshot;
	std::map<std::string, uint32_t> halls;
	const bool usesNodeEvidence = mechanisms_.isEnabled(Mechanism::OwnEvidence);
	const std::set<std::string> lost = usesNodeEvidence ? lostTargets(fleet_, clock_.now()) : std::set<std::string>();
	for (const auto& row : fleet_.runners())
	{
		const RunnerRecord& record = row.second;
		const ServiceSpec* const service = fleet_.routes()->findService(record.service);
		const bool runsLayers =
		    nullptr != service && service->hasEngine && RecordFault::None == checkTargetRecord(service, record);
		const AcceleratorKind* const card =
		    runsLayers ? findAcceleratorKind(service->engine, record.accelerator) : nullptr;
		if (nullptr == card || record.draining || 0 < lost.count(row.first) || dispatcher_.isOutdated(record))
		{
			continue;
		}
		const uint32_t hall = halls.emplace(record.hall, static_cast<uint32_t>(halls.size())).first->second;
		const LayerSpan held = _uncounted(record) ? record.layers : dispatcher_.effectiveLayers(record, *service);
		snapshot.engine = &service->engine;
		snapshot.anyHeld = snapshot.anyHeld || 0 < held.size();
		const LayerSpan serves = commonSpan(record.layers, held);
		snapshot.targets.push_back(LayoutTarget{hall, *card, held, tokensAt(row.first, held), serves});
		snapshot.records.push_back(record);
	}
	return snapshot;
}

/// Checks again before an order is resent, since requests may have started and targets may have left since its record.
/// @returns true if carrying out the order keeps layers and capacity that running requests use.
bool LayoutController::isResendSafe(const TrackedOrder& _order) const
{
	if (!policy_.makeBeforeBreak)
	{
		return true;
	}
	const Snapshot seen = takeSnapshot(
	    [&_order](const RunnerRecord& _target)
	    {
		    return _order.incarnation.instance == _target.instance;
	    });
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

std::vector<LayoutOrder> LayoutController::wantedOrders(const Snapshot& _snapshot)
{
	const Time now = clock_.now();
	if (nullptr == _snapshot.engine)
	{
		return {};
	}
	if (!_snapshot.anyHeld)
	{
		const bool settled = !(now < fleet_.fleetChangedAt() + kFleetSettleTime);
		return settled ? planLayout(*_snapshot.engine, _snapshot.targets, policy_) : std::vector<LayoutOrder>();
	}
	RepairScope scope;
	scope.mayShiftBorders = 0 != holeSince_.micros && !(now < holeSince_ + kBorderShiftDelay);
	scope.mayAddReplicas = !(now < fleet_.fleetChangedAt() + kReplicaDelay);
	std::vector<LayoutOrder> orders = repairLayout(*_snapshot.engine, _snapshot.targets, policy_, scope);
	updateHole(_snapshot, orders.empty() && !scope.mayShiftBorders, now);
	return orders;
}

/// Records since when only a shift of borders could repair the layout.
/// @param _isUnrepaired whether planning without a shift found no change.
void LayoutController::updateHole(const Snapshot& _snapshot, bool _isUnrepaired, Time _now)
{
	RepairScope shifting;
	shifting.mayShiftBorders = true;
	const bool hasHole =
	    _isUnrepaired && !repairLayout(*_snapshot.engine, _snapshot.targets, policy_, shifting).empty();
	if (!hasHole)
	{
		holeSince_ = Time{};
	}
	else if (0 == holeSince_.micros)
	{
		holeSince_ = _now;
	}
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
	const Snapshot seen = takeSnapshot(
	    [](const RunnerRecord&)
	    {
		    return false;
	    });
	lossReporter_.update(nullptr != seen.engine ? seen.engine->layers : 0, seen.records, clock_.now());
	const Snapshot available = withoutRefusingTargets(seen);
	const std::vector<LayoutOrder> orders =
	    fleet_.isCutOff() ? std::vector<LayoutOrder>()
	                      : withoutUncertainOrders(available, withoutRefusedOrders(available, wantedOrders(available)));
	const Time now = clock_.now();
	const bool hasUnpublished = dispatcher_.hasUnpublished();
	appendSchedule_.setContenders(_place, fleet_.nodes().size());
	appendSchedule_.setWanted(hasUnpublished || !orders.empty(), now);
	// No other node can publish what only this node knows, so it does not wait for its turn.
	if (appendSchedule_.isDue(hasUnpublished ? 0 : _place, now))
	{
		append(available, orders);
	}
}

/// @returns the targets without those that recently refused an order and that no range needs, so that the plan assigns
/// what they were ordered to hold to other targets at once.
LayoutController::Snapshot LayoutController::withoutRefusingTargets(const Snapshot& _snapshot) const
{
	Snapshot remaining = _snapshot;
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
std::vector<LayoutOrder> LayoutController::withoutRefusedOrders(const Snapshot& _snapshot,
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
std::vector<LayoutOrder> LayoutController::withoutUncertainOrders(const Snapshot& _snapshot,
                                                                  std::vector<LayoutOrder> _orders) const
{
	const auto isUncertain = [this](const RunnerRecord& _target)
	{
		return dispatcher_.isTrackedOnly(_target);
	};
	const bool hasUncertain = std::any_of(_snapshot.records.begin(), _snapshot.records.end(), isUncertain);
	if (!_orders.empty() && hasUncertain && isComplete(takeSnapshot(isUncertain)))
	{
		_orders.clear();
	}
	return _orders;
}

/// @returns true if the layout is complete, so that no change would improve it.
bool LayoutController::isComplete(const Snapshot& _snapshot) const
{
	constexpr RepairScope kAll{true, true};
	return _snapshot.anyHeld && repairLayout(*_snapshot.engine, _snapshot.targets, policy_, kAll).empty();
}

void LayoutController::append(const Snapshot& _snapshot, const std::vector<LayoutOrder>& _orders)
{
	LayoutRecord change;
	change.author = incarnation_.text();
	for (const LayoutOrder& order : _orders)
	{
		const RunnerRecord& target = _snapshot.records[order.target];
		change.holds.push_back(LayoutHoldRecord{target.instance, target.startTime, order.layers});
	}
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
