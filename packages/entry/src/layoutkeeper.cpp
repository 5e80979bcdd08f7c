// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutkeeper_p.h"

#include "fleetcontroller_p.h"

#include <logging/logging.h>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two looks at the layout. A lost range is mended in some seconds, of which loading takes the most.
constexpr Duration kLookPause = Duration::fromMillis(400);

/// Time after which a silent member loses the duty, and how often it is renewed: two renewals may be lost.
constexpr Duration kDutyTtl = Duration::fromMillis(3000);
constexpr Duration kDutyRenewal = Duration::fromMillis(1000);

/// The first layout waits until no target has come for so long: targets appear within some seconds of each other.
constexpr Duration kSettled = Duration::fromMillis(1600);

/// An order that the registry does not show after so long is not counted on: a load of a tenth of the model and two
/// records of a target fit in.
constexpr Duration kOrderShown = Duration::fromMillis(6000);

/// A hole is left alone for so long, since a target that restarts empty takes it up without costing others their room.
constexpr Duration kExtendAfter = Duration::fromMillis(700);

std::string spanText(LayerSpan _span)
{
	return std::to_string(_span.begin) + "-" + std::to_string(_span.end);
}

} // namespace

LayoutKeeper::LayoutKeeper(boost::asio::io_context& _loop, KeyedLogI& _log, RunnerOrdersI& _orders,
                           const ClockI& _clock, const FleetController& _fleet, const std::string& _node)
    : timer_(_loop),
      log_(_log),
      orders_(_orders),
      clock_(_clock),
      fleet_(_fleet),
      node_(_node)
{
}

void LayoutKeeper::start()
{
	tick();
}

void LayoutKeeper::tick()
{
	if (!(clock_.now() < joinedAt_ + kDutyRenewal))
	{
		join();
	}
	if (keeps_ && !busy_ && fleet_.ready())
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

void LayoutKeeper::join()
{
	joinedAt_ = clock_.now();
	log_.joinLayoutGroup(node_, generation_, kDutyTtl,
	                     [this](const GroupAnswer& _answer)
	                     {
		                     if (StoreState::Done != _answer.state)
		                     {
			                     return; // the next renewal tries again; the fence guards against a later keeper
		                     }
		                     generation_ = _answer.generation;
		                     if (keeps_ != _answer.holdsFirst)
		                     {
			                     logEvent(LogPart::Layout, LogLevel::Info,
			                              _answer.holdsFirst ? "This node keeps the layout."
			                                                 : "Another node keeps the layout.",
			                              {{"generation", std::to_string(generation_)}});
		                     }
		                     keeps_ = _answer.holdsFirst;
	                     });
}

LayerSpan LayoutKeeper::effectiveLayers(const RunnerRecord& _target) const
{
	const auto sent = sent_.find(_target.instance.text);
	const bool counts = sent_.end() != sent && clock_.now() < sent->second.at + kOrderShown;
	return counts ? sent->second.layers : _target.layers;
}

LayoutKeeper::Plan LayoutKeeper::plan()
{
	Plan plan;
	std::vector<LayoutTarget> targets;
	std::map<std::string, uint32_t> halls;
	const EngineSpec* engine = nullptr;
	bool anyHeld = false;
	for (const auto& row : fleet_.runners())
	{
		const RunnerRecord& record = row.second;
		const ServiceSpec* const service = fleet_.routes()->findService(record.service);
		const CardKind* const card =
		    nullptr != service && service->hasEngine ? findKind(service->engine, record.card) : nullptr;
		if (nullptr == card || record.draining)
		{
			continue;
		}
		engine = &service->engine;
		const uint32_t hall = halls.emplace(record.hall, static_cast<uint32_t>(halls.size())).first->second;
		const LayerSpan held = effectiveLayers(record);
		anyHeld = anyHeld || 0 < held.size();
		targets.push_back(LayoutTarget{hall, *card, held});
		plan.targets.push_back(record);
	}
	if (nullptr == engine)
	{
		return plan;
	}
	if (!anyHeld)
	{
		const bool settled = !(clock_.now() < fleet_.fleetChangedAt() + kSettled);
		plan.orders = settled ? planLayout(*engine, targets) : std::vector<LayoutOrder>();
		return plan;
	}
	const bool mayExtend = 0 != lostAt_.micros && !(clock_.now() < lostAt_ + kExtendAfter);
	plan.orders = repairLayout(*engine, targets, mayExtend);
	if (plan.orders.empty() && !mayExtend && !repairLayout(*engine, targets, true).empty())
	{
		lostAt_ = 0 == lostAt_.micros ? clock_.now() : lostAt_;
		return plan;
	}
	lostAt_ = Time{};
	return plan;
}

void LayoutKeeper::look()
{
	const Plan next = plan();
	if (!next.orders.empty())
	{
		record(next);
	}
}

void LayoutKeeper::record(const Plan& _plan)
{
	std::string text;
	for (const LayoutOrder& order : _plan.orders)
	{
		text += _plan.targets[order.target].instance.text + ' ' + spanText(order.layers) + '\n';
	}
	busy_ = true;
	log_.append(KeyedTopic::Layout, "newest", text, end_,
	            [this, _plan](const KeyedAppend& _outcome)
	            {
		            busy_ = false;
		            logEvent(LogPart::Layout, LogLevel::Info, "Layout change recorded.",
		                     {{"outcome", nameOf(_outcome.state)},
		                      {"orders", std::to_string(_plan.orders.size())},
		                      {"offset", std::to_string(_outcome.offset.value)},
		                      {"end", std::to_string(_outcome.end.value)}});
		            if (StoreState::Conflict == _outcome.state)
		            {
			            end_ = _outcome.end; // another keeper was first; the next look sees what came of it
			            return;
		            }
		            if (StoreState::Done == _outcome.state)
		            {
			            end_ = Offset{_outcome.offset.value + 1};
			            order(_plan, _outcome.offset);
		            }
	            });
}

void LayoutKeeper::order(const Plan& _plan, Offset _fence)
{
	// Fences count from 1: a target takes 0 for none.
	const Offset fence{_fence.value + 1};
	for (const LayoutOrder& order : _plan.orders)
	{
		const RunnerRecord& target = _plan.targets[order.target];
		sent_[target.instance.text] = Sent{order.layers, clock_.now()};
		logEvent(LogPart::Layout, LogLevel::Info, "Target is ordered to hold layers.",
		         {{"target", target.instance.text},
		          {"layers", spanText(order.layers)},
		          {"held", spanText(target.layers)},
		          {"fence", std::to_string(fence.value)}});
		const std::string name = target.instance.text;
		orders_.hold(target, order.layers, fence,
		             [this, name](LayoutOrderState::Enum _state)
		             {
			             onOrder(name, _state);
		             });
	}
}

void LayoutKeeper::onOrder(const std::string& _target, LayoutOrderState::Enum _state)
{
	logEvent(LogPart::Layout, LayoutOrderState::Begun == _state ? LogLevel::Debug : LogLevel::Warning,
	         "Target answered an order.", {{"target", _target}, {"outcome", nameOf(_state)}});
	const bool failed =
	    LayoutOrderState::Unfit == _state || LayoutOrderState::Fenced == _state || LayoutOrderState::Invalid == _state;
	if (failed)
	{
		sent_.erase(_target); // the next look decides on what the registry shows
	}
}

} // namespace sedgecart
