// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "changemaker_p.h"

#include <base/digest.h>
#include <http/endpoint.h>

#include <charconv>
#include <string>

namespace sedgecart
{

namespace
{

constexpr uint32_t kMaxNumber = 100000000;
constexpr std::size_t kMinKeyLength = 8;

/// Extracts the fields of an `add` one by one; fields that remain at the end are unknown.
class Fields
{
public:
	explicit Fields(const std::vector<FieldValue>& _fields) : remaining_(_fields)
	{
	}

	std::string text(const std::string& _field, const std::string& _fallback)
	{
		for (auto field = remaining_.begin(); remaining_.end() != field; ++field)
		{
			if (_field == field->field)
			{
				std::string value = field->value;
				remaining_.erase(field);
				return value;
			}
		}
		return _fallback;
	}

	std::string required(const std::string& _field)
	{
		std::string value = text(_field, std::string());
		if (value.empty())
		{
			fail("Field '" + _field + "' is missing.");
		}
		return value;
	}

	uint32_t number(const std::string& _field, uint32_t _fallback)
	{
		const std::string value = text(_field, std::to_string(_fallback));
		uint32_t parsed = 0;
		const char* const end = value.data() + value.size();
		const auto result = std::from_chars(value.data(), end, parsed);
		if (result.ptr != end || std::errc{} != result.ec || kMaxNumber < parsed)
		{
			fail("Field '" + _field + "' is '" + value + "', allowed: a number up to 100000000.");
		}
		return parsed;
	}

	bool flag(const std::string& _field, bool _fallback)
	{
		const std::string value = text(_field, _fallback ? "yes" : "no");
		if ("yes" != value && "no" != value)
		{
			fail("Field '" + _field + "' is '" + value + "', allowed: yes or no.");
		}
		return "yes" == value;
	}

	void fail(const std::string& _message)
	{
		if (error_.empty())
		{
			error_ = _message;
		}
	}

	std::string error() const
	{
		if (error_.empty() && !remaining_.empty())
		{
			return "Field '" + remaining_.front().field + "' is unknown for this object.";
		}
		return error_;
	}

private:
	std::vector<FieldValue> remaining_;
	std::string error_;
};

void fillHall(Fields& _fields, ConfigChange& _change)
{
	_change.hall.name = _change.name;
	_change.hall.side = _fields.text("side", std::string());
}

void fillLink(Fields& _fields, ConfigChange& _change)
{
	_change.link.from = _fields.required("from");
	_change.link.to = _fields.required("to");
	_change.link.latency = Duration{_fields.number("latency-us", 0)};
}

void fillCustomer(Fields& _fields, ConfigChange& _change)
{
	_change.customer.name = _change.name;
	_change.customer.weight = _fields.number("weight", 1);
	const std::string digest = _fields.text("key-sha256", std::string());
	const std::string key = digest.empty() ? _fields.required("key") : std::string();
	if (digest.empty() && key.size() < kMinKeyLength)
	{
		_fields.fail("Field 'key' is too short, allowed: 8 characters or more.");
	}
	_change.customer.keySha256 = digest.empty() ? sha256Hex(key) : digest;
	if (0 == _change.customer.weight)
	{
		_fields.fail("Field 'weight' is 0, allowed: 1 or more.");
	}
}

void fillRoute(Fields& _fields, ConfigChange& _change)
{
	RouteSpec& route = _change.route;
	route.name = _change.name;
	const std::string kind = _fields.text("kind", "model");
	if ("model" != kind && "service" != kind)
	{
		_fields.fail("Field 'kind' is '" + kind + "', allowed: model or service.");
	}
	route.kind = "service" == kind ? RouteKind::Service : RouteKind::Model;
	route.model = _fields.text("model", _change.name);
	route.layers = RouteKind::Model == route.kind ? _fields.number("layers", 0) : 0;
	if (RouteKind::Model == route.kind && 0 == route.layers)
	{
		_fields.fail("Field 'layers' is missing.");
	}
	route.repeatable = RouteKind::Model == route.kind || _fields.flag("repeatable", false);
	route.holder = _fields.text("holder", std::string());
}

void fillTarget(Fields& _fields, ConfigChange& _change)
{
	TargetSpec& target = _change.target;
	target.name = _change.name;
	target.hall = _fields.required("hall");
	target.address = _fields.required("address");
	if (!isValid(parseEndpoint(target.address)))
	{
		_fields.fail("Field 'address' is '" + target.address + "', allowed: ip:port.");
	}
	target.model = _fields.required("model");
	target.layers.first = _fields.number("first-layer", 0);
	target.layers.last = _fields.number("last-layer", 0);
	target.accelerator = _fields.text("accelerator", std::string());
	target.tokensPerSecond = _fields.number("tokens-per-second", 0);
	target.slots = _fields.number("slots", 1);
	target.checksFences = _fields.flag("checks-fences", false);
	target.spare = _fields.flag("spare", false);
	if (target.layers.last < target.layers.first || 0 == target.slots)
	{
		_fields.fail("Field 'last-layer' must not be below 'first-layer', and 'slots' must be 1 or more.");
	}
}

ChangeVerb::Enum verbOf(CommandVerb::Enum _verb)
{
	switch (_verb)
	{
	case CommandVerb::Remove:
		return ChangeVerb::Remove;
	case CommandVerb::Drain:
		return ChangeVerb::Drain;
	case CommandVerb::Resume:
		return ChangeVerb::Resume;
	case CommandVerb::Release:
		return ChangeVerb::Release;
	case CommandVerb::Take:
		return ChangeVerb::Take;
	case CommandVerb::Move:
		return ChangeVerb::Move;
	case CommandVerb::Undo:
	case CommandVerb::Add:
	case CommandVerb::Show:
	case CommandVerb::WhoHolds:
	case CommandVerb::Count:
		break;
	}
	return ChangeVerb::Put;
}

void fillObject(Fields& _fields, ConfigChange& _change)
{
	switch (_change.kind)
	{
	case ObjectKind::Hall:
		fillHall(_fields, _change);
		return;
	case ObjectKind::Link:
		fillLink(_fields, _change);
		return;
	case ObjectKind::Customer:
		fillCustomer(_fields, _change);
		return;
	case ObjectKind::Route:
		fillRoute(_fields, _change);
		return;
	case ObjectKind::Target:
		fillTarget(_fields, _change);
		return;
	case ObjectKind::None:
	case ObjectKind::Count:
		return;
	}
}

} // namespace

Result<ConfigChange> makeChange(const Command& _command)
{
	ConfigChange change;
	change.verb = verbOf(_command.verb);
	change.kind = _command.object;
	change.name = _command.name;
	change.side = _command.side;
	change.toSide = _command.toSide;
	Fields fields(_command.fields);
	if (ChangeVerb::Put == change.verb)
	{
		fillObject(fields, change);
	}
	const std::string error = fields.error();
	if (!error.empty())
	{
		return Error{ErrorKind::CommandInvalid, error, {}};
	}
	return change;
}

} // namespace sedgecart
