// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutkeeper_p.h"

#include "fleetcontroller_p.h"
#include "layoutrecord_p.h"
#include "targetfit_p.h"

#include <base/digest.h>
#include <entry/entrysettings.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two looks at the layout. A lost range is mended in some seconds, of which loading takes the most.
constexpr Duration kLookPause = Duration::fromMillis(200);

/// A node whose proof of the desired state is older sees a fleet of long ago, and mostly cannot reach the store: others
/// mend the layout. While the store answers, proofs are at most two waits of a second and a hub's answer old.
constexpr Duration kFreshView = Duration::fromMillis(3000);

/// The first layout waits until no target has come for so long: targets appear within some seconds of each other.
constexpr Duration kSettled = Duration::fromMillis(1600);

/// An order that the registry does not show after so long is not counted on: a load of a fifth of the model, two
/// records of a target and a read of the registry fit in.
constexpr Duration kOrderShown = Duration::fromMillis(6000);

/// Orders of a record that its author reads later than this are not sent: others may have acted meanwhile.
constexpr Duration kOrdersFresh = Duration::fromMillis(3000);

/// A hole is left to empty targets for so long, since one that restarts takes it up without moving others.
constexpr Duration kShiftAfter = Duration::fromMillis(900);

/// An empty target that nothing needs is left alone for so long after the last coming or going, so that one that was
/// replaced may leave first. A load costs little, and a target that waits for 4 s instead leaves its hall without its
/// room: worth of what was served 0.563 against 0.577 (1: all in time; mean of 20 runs with failing targets).
constexpr Duration kDoubleAfter = Duration::fromMillis(800);

/// A hall of fewer targets for each that seems dead is taken as cut off: racks are some eighth of a hall.
constexpr uint32_t kLeastHallPerDead = 5;

/// Targets of a hall.
struct HallCount
{
	uint32_t targets = 0; //!< That hold layers.
	uint32_t dead = 0;    //!< That nodes found dead.
};

/// The layout topic has one key: its newest record.
constexpr const char* kKey = "newest";

std::string spanText(LayerSpan _span)
{
	return std::to_string(_span.begin) + "-" + std::to_string(_span.end);
}

std::string spansText(const std::vector<LayerSpan>& _spans)
{
	std::string text;
	for (const LayerSpan span : _spans)
	{
		text += (text.empty() ? "" : ",") + spanText(span);
	}
	return text;
}

} // namespace

LayoutKeeper::LayoutKeeper(boost::asio::io_context& _loop, KeyedLogI& _log, RunnerOrdersI& _orders,
                           const ClockI& _clock, const FleetController& _fleet, const EntrySettings& _settings)
    : timer_(_loop),
      log_(_log),
      orders_(_orders),
      clock_(_clock),
      fleet_(_fleet),
      node_(_settings.name),
      mechanisms_(_settings.mechanisms)
{
	if (!mechanisms_.on(Mechanism::SecondCopies))
	{
		policy_.roomShare = 0;
	}
	policy_.tightAlone = mechanisms_.on(Mechanism::TightHalls);
}

void LayoutKeeper::start()
{
	tick();
}

void LayoutKeeper::tick()
{
	const bool fresh = clock_.now() < fleet_.provenAt() + kFreshView;
	if (known_ && fresh && !appending_ && fleet_.ready())
	{
		look();
	}
	timer_.expires_after(std::chrono::microseconds(kLookPause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void LayoutKeeper::onCurrent(Offset _end)
{
	known_ = true;
	end_ = _end;
}

void LayoutKeeper::onRecord(const KeyedRecord& _record)
{
	LayoutRecord change;
	const RecordFault::Enum fault = _record.removed ? RecordFault::Unreadable : readLayoutRecord(_record.value, change);
	if (RecordFault::None != fault)
	{
		fleet_.passedOver().note(RecordKind::Layout, _record.key, fault);
		return;
	}
	fleet_.passedOver().noteSound(RecordKind::Layout, _record.key);
	const Time now = clock_.now();
	const bool own = incarnation_.text() == change.author;
	const bool fresh = now < appendedAt_ + kOrdersFresh;
	turn_.setWanted(false, now);
	logEvent(LogPart::Layout, LogLevel::Info, "Layout changes.",
	         {{"offset", std::to_string(_record.offset.value)},
	          {"author", change.author},
	          {"holds", std::to_string(change.holds.size())},
	          {"holds_passed_over", std::to_string(change.passedOver)},
	          {"orders_sent_here", own && fresh ? "true" : "false"}});
	forgetShown(now);
	// Fences count from 1: a target takes 0 for none.
	const Offset fence{_record.offset.value + 1};
	for (const LayoutHoldRecord& hold : change.holds)
	{
		const TargetLife life{hold.target, hold.born};
		ordered_[hold.target.text] = Ordered{life, hold.layers, now};
		if (own && fresh)
		{
			order(life, hold.layers, fence);
		}
	}
}

/// Forgets orders that are not counted on any more.
void LayoutKeeper::forgetShown(Time _now)
{
	for (auto row = ordered_.begin(); ordered_.end() != row;)
	{
		row = row->second.at + kOrderShown < _now ? ordered_.erase(row) : std::next(row);
	}
}

/// @returns what a target holds or was ordered to hold. Layers that its model does not have were ordered by nobody.
LayerSpan LayoutKeeper::effectiveLayers(const RunnerRecord& _target, const ServiceSpec& _service) const
{
	const auto ordered = ordered_.find(_target.instance.text);
	const bool counts = ordered_.end() != ordered && clock_.now() < ordered->second.at + kOrderShown &&
	                    isSpanOf(_service, ordered->second.layers);
	if (!counts)
	{
		return _target.layers;
	}
	const LifeOrder::Enum order = compareLives(_target.life(), ordered->second.life, LifeEvidence::Unknown);
	return LifeOrder::Same == order ? ordered->second.layers : _target.layers;
}

/// @returns true if what the registry shows of a target is known to be gone: it has started again, or refuses its part.
bool LayoutKeeper::isStale(const RunnerRecord& _target) const
{
	const auto load = fleet_.loads().find(_target.instance.text);
	if (fleet_.loads().end() == load)
	{
		return false;
	}
	const bool ended = load->second->ended.load(std::memory_order_relaxed);
	return ended || load->second->lacks(_target.layers, clock_.now());
}

/// @returns targets that nodes found dead and whose records have not lapsed yet. Where much of a hall seems dead at
/// once it is cut off rather, and what its targets hold is left to the registry.
std::set<std::string> LayoutKeeper::lostTargets() const
{
	std::set<std::string> lost;
	if (!mechanisms_.on(Mechanism::OwnEvidence))
	{
		return lost;
	}
	const Time now = clock_.now();
	std::map<std::string, HallCount> halls;
	for (const auto& row : fleet_.runners())
	{
		const auto load = fleet_.loads().find(row.first);
		const bool dead = fleet_.loads().end() != load && load->second->isDead(now);
		HallCount& hall = halls[row.second.hall];
		hall.targets += 0 < row.second.layers.size() ? 1 : 0;
		hall.dead += dead ? 1 : 0;
		if (dead)
		{
			lost.insert(row.first);
		}
	}
	for (auto row = lost.begin(); lost.end() != row;)
	{
		const HallCount& hall = halls[fleet_.runners().at(*row).hall];
		row = hall.targets < kLeastHallPerDead * hall.dead ? lost.erase(row) : std::next(row);
	}
	return lost;
}

/// @returns the tokens of the requests under way over a target.
uint64_t LayoutKeeper::tokensAt(const std::string& _target, LayerSpan _held) const
{
	const auto row = fleet_.loads().find(_target);
	if (fleet_.loads().end() == row || 0 == _held.size() || !mechanisms_.on(Mechanism::BusyLast))
	{
		return 0;
	}
	const uint64_t own = row->second->tokenLayers.load(std::memory_order_relaxed);
	const uint64_t others = row->second->othersTokenLayers.load(std::memory_order_relaxed);
	return (own + others) / _held.size();
}

LayoutKeeper::Scene LayoutKeeper::scene() const
{
	Scene scene;
	std::map<std::string, uint32_t> halls;
	const std::set<std::string> lost = lostTargets();
	for (const auto& row : fleet_.runners())
	{
		const RunnerRecord& record = row.second;
		const ServiceSpec* const service = fleet_.routes()->findService(record.service);
		const bool inLayers =
		    nullptr != service && service->hasEngine && RecordFault::None == fitFault(service, record);
		const CardKind* const card = inLayers ? findKind(service->engine, record.card) : nullptr;
		if (nullptr == card || record.draining || 0 < lost.count(row.first) || isStale(record))
		{
			continue;
		}
		const uint32_t hall = halls.emplace(record.hall, static_cast<uint32_t>(halls.size())).first->second;
		const LayerSpan held = effectiveLayers(record, *service);
		scene.engine = &service->engine;
		scene.anyHeld = scene.anyHeld || 0 < held.size();
		scene.targets.push_back(LayoutTarget{hall, *card, held, tokensAt(row.first, held)});
		scene.records.push_back(record);
	}
	return scene;
}

std::vector<LayoutOrder> LayoutKeeper::wantedOrders(const Scene& _scene)
{
	const Time now = clock_.now();
	if (nullptr == _scene.engine)
	{
		return {};
	}
	if (!_scene.anyHeld)
	{
		const bool settled = !(now < fleet_.fleetChangedAt() + kSettled);
		return settled ? planLayout(*_scene.engine, _scene.targets, policy_) : std::vector<LayoutOrder>();
	}
	RepairScope scope;
	scope.mayShift = 0 != holeAt_.micros && !(now < holeAt_ + kShiftAfter);
	scope.mayDouble = !(now < fleet_.fleetChangedAt() + kDoubleAfter);
	std::vector<LayoutOrder> orders = repairLayout(*_scene.engine, _scene.targets, policy_, scope);
	noteHole(_scene, orders.empty() && !scope.mayShift, now);
	return orders;
}

/// Remembers since when only a shift could mend the layout.
void LayoutKeeper::noteHole(const Scene& _scene, bool _unmended, Time _now)
{
	RepairScope shifting;
	shifting.mayShift = true;
	const bool hasHole = _unmended && !repairLayout(*_scene.engine, _scene.targets, policy_, shifting).empty();
	if (!hasHole)
	{
		holeAt_ = Time{};
	}
	else if (0 == holeAt_.micros)
	{
		holeAt_ = _now;
	}
}

/// Tells when layers of a data hall lose their last holder and when they have one again, by the registry and what nodes
/// found dead: without it, requests that find no chain cannot be told from requests that find no room.
void LayoutKeeper::noteLosses(const Scene& _scene)
{
	modelLayers_ = nullptr != _scene.engine ? _scene.engine->layers : modelLayers_; // no targets: all is lost
	LayerLosses::Holdings holdings;
	for (const RunnerRecord& record : _scene.records)
	{
		holdings[record.hall].push_back(record.layers);
	}
	for (const LayerLossNews& news : losses_.look(modelLayers_, holdings, clock_.now()))
	{
		logEvent(
		    LogPart::Layout, news.ends ? LogLevel::Info : LogLevel::Warning,
		    news.ends ? "Layers are held again." : "Layers have no holder.",
		    {{"hall", news.hall}, {"layers", spansText(news.layers)}, {"ms", std::to_string(news.lasted.millis())}});
		if (news.ends && nullptr != metrics_)
		{
			metrics_->add(Counter::LayerLosses);
			metrics_->observe(Timing::LayerLoss, news.lasted);
		}
	}
}

/// @returns this node's place among all, in an order that is another with each change and mixes the halls, so that a
/// node or a hall that is gone delays only some changes.
std::size_t LayoutKeeper::place() const
{
	const uint64_t own = hash64(node_, end_.value);
	std::size_t before = 0;
	for (const auto& row : fleet_.nodes())
	{
		before += hash64(row.first, end_.value) < own ? 1 : 0;
	}
	return before;
}

void LayoutKeeper::look()
{
	const Scene seen = scene();
	noteLosses(seen);
	const std::vector<LayoutOrder> orders = wantedOrders(seen);
	const Time now = clock_.now();
	const std::size_t ownPlace = place();
	turn_.setFleet(ownPlace, fleet_.nodes().size());
	turn_.setWanted(!orders.empty(), now);
	if (!orders.empty() && turn_.isDue(ownPlace, now))
	{
		append(seen, orders);
	}
}

void LayoutKeeper::append(const Scene& _scene, const std::vector<LayoutOrder>& _orders)
{
	wire::LayoutChange change;
	change.set_author(incarnation_.text());
	for (const LayoutOrder& order : _orders)
	{
		wire::LayoutHold* const hold = change.add_holds();
		hold->set_target(_scene.records[order.target].instance.text);
		hold->set_born(_scene.records[order.target].born.unixMillis);
		hold->set_begin(order.layers.begin);
		hold->set_end(order.layers.end);
	}
	appending_ = true;
	appendedAt_ = clock_.now();
	log_.append(KeyedTopic::Layout, kKey, change.SerializeAsString(), end_,
	            [this](const KeyedAppend& _outcome)
	            {
		            appending_ = false;
		            const bool conflict = StoreState::Conflict == _outcome.state;
		            turn_.onOutcome(conflict || StoreState::Done == _outcome.state, clock_.now());
		            if (conflict && end_ < _outcome.end && onBehind_)
		            {
			            onBehind_();
		            }
		            logEvent(LogPart::Layout, LogLevel::Info, "Layout change was appended.",
		                     {{"outcome", nameOf(_outcome.state)},
		                      {"offset", std::to_string(_outcome.offset.value)},
		                      {"end", std::to_string(_outcome.end.value)}});
	            });
}

/// @returns false if the target has left or started again since the change was made.
bool LayoutKeeper::mayOrder(const TargetLife& _life) const
{
	const auto row = fleet_.runners().find(_life.instance.text);
	if (fleet_.runners().end() == row)
	{
		return false;
	}
	const LifeOrder::Enum order = compareLives(row->second.life(), _life, LifeEvidence::Unknown);
	const bool ended = LifeOrder::Same != order || isStale(row->second);
	if (ended)
	{
		logEvent(LogPart::Layout, LogLevel::Info, "Order is not sent, its target is not the one meant.",
		         {{"target", _life.instance.text}, {"born", std::to_string(_life.born.unixMillis)}});
	}
	return !ended;
}

void LayoutKeeper::order(const TargetLife& _life, LayerSpan _layers, Offset _fence)
{
	if (!mayOrder(_life))
	{
		return;
	}
	const RunnerRecord& target = fleet_.runners().at(_life.instance.text);
	logEvent(LogPart::Layout, LogLevel::Info, "Target is ordered to hold layers.",
	         {{"target", _life.instance.text},
	          {"born", std::to_string(_life.born.unixMillis)},
	          {"layers", spanText(_layers)},
	          {"held", spanText(target.layers)},
	          {"fence", std::to_string(_fence.value)}});
	orders_.hold(target, _layers, _fence,
	             [this, _life](LayoutOrderState::Enum _state)
	             {
		             onOrderAnswered(_life, _state);
	             });
}

void LayoutKeeper::onOrderAnswered(const TargetLife& _life, LayoutOrderState::Enum _state)
{
	const bool sound = LayoutOrderState::Begun == _state || LayoutOrderState::Held == _state;
	logEvent(LogPart::Layout, sound ? LogLevel::Debug : LogLevel::Warning, "Target answered an order.",
	         {{"target", _life.instance.text}, {"outcome", nameOf(_state)}});
	const auto target = fleet_.runners().find(_life.instance.text);
	const bool known = fleet_.runners().end() != target && target->second.life() == _life;
	if (known && LayoutOrderState::OtherTarget == _state && mechanisms_.on(Mechanism::RefusalEvidence))
	{
		fleet_.loads().at(_life.instance.text)->noteNotHeld(target->second.layers, clock_.now() + kNotHeldFor);
	}
}

} // namespace sedgecart
