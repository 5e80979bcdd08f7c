// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/mapping.h>

#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

void toWire(const RouteSpec& _spec, wire::Route& _route)
{
	_route.set_name(_spec.name);
	_route.set_kind(RouteKind::Service == _spec.kind ? wire::ROUTE_KIND_SERVICE : wire::ROUTE_KIND_MODEL);
	_route.set_model(_spec.model);
	_route.set_layers(_spec.layers);
	_route.set_holder(_spec.holder);
	_route.set_repeatable(_spec.repeatable);
	_route.set_released_by(_spec.releasedBy);
	_route.set_last_placement(_spec.lastPlacement);
}

RouteSpec fromWire(const wire::Route& _route)
{
	RouteSpec spec;
	spec.name = _route.name();
	spec.kind = wire::ROUTE_KIND_SERVICE == _route.kind() ? RouteKind::Service : RouteKind::Model;
	spec.model = _route.model();
	spec.layers = _route.layers();
	spec.holder = _route.holder();
	spec.repeatable = _route.repeatable();
	spec.releasedBy = _route.released_by();
	spec.lastPlacement = _route.last_placement();
	return spec;
}

void toWire(const TargetSpec& _spec, wire::Target& _target)
{
	_target.set_name(_spec.name);
	_target.set_hall(_spec.hall);
	_target.set_address(_spec.address);
	_target.set_model(_spec.model);
	_target.set_first_layer(_spec.layers.first);
	_target.set_last_layer(_spec.layers.last);
	_target.set_accelerator(_spec.accelerator);
	_target.set_tokens_per_second(_spec.tokensPerSecond);
	_target.set_slots(_spec.slots);
	_target.set_checks_fences(_spec.checksFences);
	_target.set_spare(_spec.spare);
	_target.set_fence(_spec.fence);
	_target.set_state(_spec.draining ? wire::TARGET_STATE_DRAINING : wire::TARGET_STATE_ACTIVE);
}

TargetSpec fromWire(const wire::Target& _target)
{
	TargetSpec spec;
	spec.name = _target.name();
	spec.hall = _target.hall();
	spec.address = _target.address();
	spec.model = _target.model();
	spec.layers = LayerRange{_target.first_layer(), _target.last_layer()};
	spec.accelerator = _target.accelerator();
	spec.tokensPerSecond = _target.tokens_per_second();
	spec.slots = std::max(1U, _target.slots());
	spec.checksFences = _target.checks_fences();
	spec.spare = _target.spare();
	spec.fence = _target.fence();
	spec.draining = wire::TARGET_STATE_DRAINING == _target.state();
	return spec;
}

} // namespace

wire::ConfigRecord toWire(const ConfigChange& _change)
{
	wire::ConfigRecord record;
	record.set_id(_change.id);
	record.set_author(_change.author);
	record.set_verb(static_cast<wire::ChangeVerb>(_change.verb));
	record.set_kind(static_cast<wire::ObjectKind>(_change.kind));
	record.set_name(_change.name);
	record.set_side(_change.side);
	record.set_to_side(_change.toSide);
	record.set_for_route(_change.forRoute);
	record.set_first_layer(_change.layers.first);
	record.set_last_layer(_change.layers.last);
	record.set_last_placement(_change.lastPlacement);
	record.set_has_precondition(_change.hasPrecondition);
	record.set_expected_revision(_change.expectedRevision);
	if (ChangeVerb::Put != _change.verb)
	{
		return record;
	}
	switch (_change.kind)
	{
	case ObjectKind::Hall:
		record.mutable_hall()->set_name(_change.hall.name);
		record.mutable_hall()->set_side(_change.hall.side);
		break;
	case ObjectKind::Link:
		record.mutable_link()->set_from(_change.link.from);
		record.mutable_link()->set_to(_change.link.to);
		record.mutable_link()->set_latency_us(static_cast<uint32_t>(_change.link.latency.micros));
		break;
	case ObjectKind::Customer:
		record.mutable_customer()->set_name(_change.customer.name);
		record.mutable_customer()->set_key_sha256(_change.customer.keySha256);
		record.mutable_customer()->set_weight(_change.customer.weight);
		break;
	case ObjectKind::Route:
		toWire(_change.route, *record.mutable_route());
		break;
	case ObjectKind::Target:
		toWire(_change.target, *record.mutable_target());
		break;
	case ObjectKind::None:
	case ObjectKind::Count:
		break;
	}
	return record;
}

bool fromWire(const wire::ConfigRecord& _record, ConfigChange& _change)
{
	const bool knownVerb = 0 <= _record.verb() && _record.verb() < static_cast<int>(ChangeVerb::Count);
	const bool knownKind = 0 <= _record.kind() && _record.kind() < static_cast<int>(ObjectKind::Count);
	if (!knownVerb || !knownKind || _record.id().empty())
	{
		return false;
	}
	_change = ConfigChange{};
	_change.id = _record.id();
	_change.author = _record.author();
	_change.verb = static_cast<ChangeVerb::Enum>(_record.verb());
	_change.kind = static_cast<ObjectKind::Enum>(_record.kind());
	_change.name = _record.name();
	_change.side = _record.side();
	_change.toSide = _record.to_side();
	_change.forRoute = _record.for_route();
	_change.layers = LayerRange{_record.first_layer(), _record.last_layer()};
	_change.lastPlacement = _record.last_placement();
	_change.hasPrecondition = _record.has_precondition();
	_change.expectedRevision = _record.expected_revision();
	_change.hall = HallSpec{_record.hall().name(), _record.hall().side()};
	_change.link = LinkSpec{_record.link().from(), _record.link().to(), Duration{_record.link().latency_us()}};
	const wire::Customer& customer = _record.customer();
	_change.customer = CustomerSpec{customer.name(), customer.key_sha256(), std::max(1U, customer.weight())};
	_change.route = fromWire(_record.route());
	_change.target = fromWire(_record.target());
	return true;
}

} // namespace sedgecart
