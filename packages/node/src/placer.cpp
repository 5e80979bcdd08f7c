// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "placer_p.h"

#include "context_p.h"
#include "control_p.h"
#include "snapshotcell_p.h"
#include "stopstate_p.h"
#include <metrics/metrics.h>

#include <base/config.h>
#include <base/incarnation.h>
#include <core/snapshot.h>
#include <logging/logging.h>
#include <node/settings.h>
#include <target/httplayerorders.h>

#include <chrono>

namespace sedgecart
{

namespace
{

constexpr std::chrono::milliseconds kCheckInterval{250};
constexpr int64_t kOrderTimeoutMillis = 2000;
/// Plus a random delay of up to as much, so that nodes do not all resend at once.
constexpr int64_t kResendMillis = 10000;

LayerOrder orderFor(const TargetSpec& _target, const std::string& _id)
{
	return LayerOrder{_target.address, _id, _target.fence, _target.model, _target.layers};
}

const char* nameOf(OrderState::Enum _state)
{
	constexpr const char* kNames[] = {"taken", "refused", "not answered"};
	static_assert(OrderState::Count == sizeof(kNames) / sizeof(kNames[0]), "each state needs its name");
	return kNames[_state];
}

} // namespace

Placer::Placer(const NodeContext& _context, uint64_t _seed)
    : context_(_context),
      writer_(_context),
      monitor_(_context.settings.placement),
      random_(_seed)
{
	thread_ = std::thread(
	    [this]
	    {
		    run();
	    });
}

Placer::~Placer()
{
	stopping_ = true;
	thread_.join();
}

void Placer::run()
{
	while (!stopping_)
	{
		std::optional<Placement> wanted;
		if (context_.ready && !context_.stop.isStopping())
		{
			const SnapshotCell::Reader snapshot(context_.snapshots);
			wanted = monitor_.check(*snapshot, context_.control.targets(), context_.clock.now());
		}
		if (wanted)
		{
			commitPlacement(*wanted);
		}
		resendOrders();
		std::this_thread::sleep_for(kCheckInterval);
	}
}

void Placer::commitPlacement(const Placement& _placement)
{
	ConfigChange change;
	change.id = context_.incarnation.nextId();
	change.author = "placement@" + context_.settings.name;
	change.verb = ChangeVerb::Assign;
	change.kind = ObjectKind::Target;
	change.name = _placement.target;
	change.forRoute = _placement.route;
	change.layers = _placement.layers;
	change.lastPlacement = _placement.lastPlacement;
	const Result<ChangeReport> report = writer_.write(change);
	if (!report.has_value() || ChangeOutcome::Applied != report.value().outcome)
	{
		return;
	}
	context_.metrics.add(Counter::Placements);
	const std::optional<ConfigChange> current = context_.control.withBoard(
	    [&_placement](const Blackboard& _board)
	    {
		    return _board.config.find(ObjectKind::Target, _placement.target);
	    });
	if (current && current->target.fence == report.value().offset + 1)
	{
		sendOrder(orderFor(current->target, change.id), _placement.target);
	}
}

void Placer::resendOrders()
{
	const Time now = context_.clock.now();
	std::vector<TargetSpec> due;
	std::map<uint64_t, Time> next;
	{
		const SnapshotCell::Reader snapshot(context_.snapshots);
		for (const TargetView& target : snapshot->targets)
		{
			const TargetSpec& spec = target.spec;
			const bool holding = context_.control.targets().holdsLayers(target.handle, spec.fence);
			const bool reached = context_.control.targets().isReportFresh(target.handle, now);
			if (0 == spec.fence || holding || !reached || !spec.checksFences)
			{
				continue;
			}
			const Time later = now + Duration::fromMillis(kResendMillis + random_.below(kResendMillis));
			const auto known = resendAt_.find(spec.fence);
			next[spec.fence] = resendAt_.end() == known ? later : known->second;
			if (next[spec.fence] < now)
			{
				due.push_back(spec);
				next[spec.fence] = later;
			}
		}
	}
	resendAt_.swap(next);
	for (const TargetSpec& spec : due)
	{
		sendOrder(orderFor(spec, context_.incarnation.nextId()), spec.name);
	}
}

void Placer::sendOrder(const LayerOrder& _order, const std::string& _target)
{
	const OrderState::Enum state = HttpLayerOrders().send(_order, Duration::fromMillis(kOrderTimeoutMillis));
	logLine(LogPart::Targets, OrderState::Taken == state ? LogLevel::Info : LogLevel::Warning,
	        "Order to " + _target + " to hold layers " + std::to_string(_order.layers.first) + "-" +
	            std::to_string(_order.layers.last) + ", fence " + std::to_string(_order.fence) + ": " + nameOf(state) +
	            ".");
}

} // namespace sedgecart
