// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/configstate.h>

#include <base/digest.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr std::size_t kMaxReports = 4096; // half a day of changes at the largest planned size

constexpr const char* kOutcomeNames[] = {
    "applied",
    "repeated",
    "lost to a change that came first",
    "not the side that holds the route",
    "the route is held and was not released",
    "no such object",
    "the change does not fit the object",
};
static_assert(ChangeOutcome::Count == sizeof(kOutcomeNames) / sizeof(kOutcomeNames[0]), "every outcome needs a name");

ChangeReport makeReport(ChangeOutcome::Enum _outcome)
{
	ChangeReport report;
	report.outcome = _outcome;
	return report;
}

template <typename Spec>
ChangeReport putObject(std::map<std::string, Revised<Spec>>& _map, const std::string& _name, const Spec& _spec,
                       uint64_t _revision, const std::string& _author)
{
	_map[_name] = Revised<Spec>{_spec, _revision, _author};
	return makeReport(ChangeOutcome::Applied);
}

template <typename Spec> ChangeReport removeObject(std::map<std::string, Revised<Spec>>& _map, const std::string& _name)
{
	return makeReport(0 == _map.erase(_name) ? ChangeOutcome::Missing : ChangeOutcome::Applied);
}

template <typename Spec> uint64_t digestObjects(uint64_t _seed, const std::map<std::string, Revised<Spec>>& _map)
{
	uint64_t digest = _seed;
	for (const auto& entry : _map)
	{
		digest = hash64(entry.first + "@" + std::to_string(entry.second.revision), digest);
	}
	return digest;
}

template <typename Spec>
void appendObjects(ConfigImage& _image, const std::map<std::string, Revised<Spec>>& _map, ObjectKind::Enum _kind,
                   Spec ConfigChange::*_member)
{
	for (const auto& entry : _map)
	{
		KeptObject object;
		object.change.kind = _kind;
		object.change.name = entry.first;
		object.change.author = entry.second.author;
		object.change.*_member = entry.second.spec;
		object.revision = entry.second.revision;
		_image.objects.push_back(std::move(object));
	}
}

} // namespace

const char* nameOf(ChangeOutcome::Enum _outcome)
{
	return kOutcomeNames[_outcome];
}

/// Calls the visitor with the map of a kind and a pointer to the member of ConfigChange that holds an object of it.
template <typename State, typename Visitor>
void ConfigState::visit(State& _state, ObjectKind::Enum _kind, const Visitor& _visitor)
{
	switch (_kind)
	{
	case ObjectKind::Hall:
		_visitor(_state.halls_, &ConfigChange::hall);
		return;
	case ObjectKind::Link:
		_visitor(_state.links_, &ConfigChange::link);
		return;
	case ObjectKind::Customer:
		_visitor(_state.customers_, &ConfigChange::customer);
		return;
	case ObjectKind::Route:
		_visitor(_state.routes_, &ConfigChange::route);
		return;
	case ObjectKind::Target:
		_visitor(_state.targets_, &ConfigChange::target);
		return;
	case ObjectKind::None:
	case ObjectKind::Count:
		return;
	}
}

ChangeReport ConfigState::put(const ConfigChange& _change, uint64_t _revision)
{
	ChangeReport report = makeReport(ChangeOutcome::Invalid);
	if (_change.name.empty())
	{
		return report;
	}
	if (ObjectKind::Route == _change.kind)
	{
		return putRoute(_change, _revision);
	}
	visit(*this, _change.kind,
	      [&report, &_change, _revision](auto& _map, auto _member)
	      {
		      report = putObject(_map, _change.name, _change.*_member, _revision, _change.author);
	      });
	return report;
}

ChangeReport ConfigState::remove(const ConfigChange& _change)
{
	ChangeReport report = makeReport(ChangeOutcome::Invalid);
	visit(*this, _change.kind,
	      [&report, &_change](auto& _map, auto)
	      {
		      report = removeObject(_map, _change.name);
	      });
	return report;
}

std::optional<ConfigChange> ConfigState::find(ObjectKind::Enum _kind, const std::string& _name) const
{
	std::optional<ConfigChange> found;
	visit(*this, _kind,
	      [&found, _kind, &_name](const auto& _map, auto _member)
	      {
		      const auto entry = _map.find(_name);
		      if (_map.end() == entry)
		      {
			      return;
		      }
		      found.emplace();
		      found->kind = _kind;
		      found->name = _name;
		      (*found).*_member = entry->second.spec;
	      });
	return found;
}

uint64_t ConfigState::revisionOf(ObjectKind::Enum _kind, const std::string& _name) const
{
	uint64_t revision = 0;
	visit(*this, _kind,
	      [&revision, &_name](const auto& _map, auto)
	      {
		      const auto entry = _map.find(_name);
		      revision = _map.end() == entry ? 0 : entry->second.revision;
	      });
	return revision;
}

std::string ConfigState::authorOf(ObjectKind::Enum _kind, const std::string& _name) const
{
	std::string author;
	visit(*this, _kind,
	      [&author, &_name](const auto& _map, auto)
	      {
		      const auto entry = _map.find(_name);
		      author = _map.end() == entry ? std::string() : entry->second.author;
	      });
	return author;
}

ChangeReport ConfigState::apply(const ConfigChange& _change, Offset _offset)
{
	if (_offset < next_)
	{
		return makeReport(ChangeOutcome::Repeated);
	}
	next_ = Offset{_offset.value + 1};
	const auto earlier = reports_.find(_change.id);
	if (reports_.end() != earlier)
	{
		ChangeReport repeated = earlier->second;
		repeated.outcome = ChangeOutcome::Repeated;
		return repeated;
	}
	ChangeReport report = decide(_change, _offset.value + 1);
	report.offset = _offset.value;
	storeReport(_change.id, report);
	return report;
}

void ConfigState::storeReport(const std::string& _id, const ChangeReport& _report)
{
	reports_[_id] = _report;
	reportOrder_.push_back(_id);
	// Limited by count, not by time, so that every node drops the same ids.
	if (kMaxReports < reportOrder_.size())
	{
		reports_.erase(reportOrder_.front());
		reportOrder_.pop_front();
	}
}

void ConfigState::skip(Offset _offset)
{
	if (!(_offset < next_))
	{
		next_ = Offset{_offset.value + 1};
	}
}

const ChangeReport* ConfigState::reportOf(const std::string& _id) const
{
	const auto found = reports_.find(_id);
	return reports_.end() == found ? nullptr : &found->second;
}

ChangeReport ConfigState::decide(const ConfigChange& _change, uint64_t _revision)
{
	if (_change.hasPrecondition && _change.expectedRevision != revisionOf(_change.kind, _change.name))
	{
		ChangeReport lost = makeReport(ChangeOutcome::Lost);
		lost.winner = authorOf(_change.kind, _change.name);
		return lost;
	}
	switch (_change.verb)
	{
	case ChangeVerb::Put:
		return put(_change, _revision);
	case ChangeVerb::Remove:
		return remove(_change);
	case ChangeVerb::Drain:
		return setDraining(_change, _revision, true);
	case ChangeVerb::Resume:
		return setDraining(_change, _revision, false);
	case ChangeVerb::Release:
		return release(_change, _revision);
	case ChangeVerb::Take:
		return take(_change, _revision);
	case ChangeVerb::Move:
		return move(_change, _revision);
	case ChangeVerb::Assign:
		return assign(_change, _revision);
	case ChangeVerb::Count:
		break;
	}
	return makeReport(ChangeOutcome::Invalid);
}

ChangeReport ConfigState::setDraining(const ConfigChange& _change, uint64_t _revision, bool _draining)
{
	bool found = false;
	for (auto& entry : targets_)
	{
		const bool byName = ObjectKind::Target == _change.kind && entry.first == _change.name;
		const bool byHall = ObjectKind::Hall == _change.kind && entry.second.spec.hall == _change.name;
		if (!byName && !byHall)
		{
			continue;
		}
		found = true;
		entry.second.spec.draining = _draining;
		entry.second.revision = _revision;
		entry.second.author = _change.author;
	}
	return makeReport(found ? ChangeOutcome::Applied : ChangeOutcome::Missing);
}

ChangeReport ConfigState::release(const ConfigChange& _change, uint64_t _revision)
{
	const auto found = routes_.find(_change.name);
	if (ObjectKind::Route != _change.kind || routes_.end() == found)
	{
		return makeReport(ChangeOutcome::Missing);
	}
	if (found->second.spec.holder != _change.side || _change.side.empty())
	{
		ChangeReport refused = makeReport(ChangeOutcome::NotHolder);
		refused.winner = found->second.author;
		return refused;
	}
	found->second.spec.holder.clear();
	found->second.spec.releasedBy = _change.side;
	found->second.revision = _revision;
	found->second.author = _change.author;
	return makeReport(ChangeOutcome::Applied);
}

ChangeReport ConfigState::take(const ConfigChange& _change, uint64_t _revision)
{
	const auto found = routes_.find(_change.name);
	if (ObjectKind::Route != _change.kind || routes_.end() == found)
	{
		return makeReport(ChangeOutcome::Missing);
	}
	if (!found->second.spec.holder.empty() || _change.side.empty())
	{
		ChangeReport refused = makeReport(ChangeOutcome::NotReleased);
		refused.winner = found->second.author;
		return refused;
	}
	found->second.spec.holder = _change.side;
	found->second.revision = _revision;
	found->second.author = _change.author;
	return makeReport(ChangeOutcome::Applied);
}

ChangeReport ConfigState::move(const ConfigChange& _change, uint64_t _revision)
{
	if (_change.toSide.empty() || _change.toSide == _change.side)
	{
		return makeReport(ChangeOutcome::Invalid);
	}
	ChangeReport released = release(_change, _revision);
	if (ChangeOutcome::Applied == released.outcome)
	{
		routes_[_change.name].spec.holder = _change.toSide;
	}
	return released;
}

/// The first placement that names the route's last placement wins; those that follow were made by other nodes for the
/// same loss.
ChangeReport ConfigState::assign(const ConfigChange& _change, uint64_t _revision)
{
	const auto route = routes_.find(_change.forRoute);
	const auto target = targets_.find(_change.name);
	if (ObjectKind::Target != _change.kind || routes_.end() == route || targets_.end() == target)
	{
		return makeReport(ChangeOutcome::Missing);
	}
	if (route->second.spec.lastPlacement != _change.lastPlacement)
	{
		return makeReport(ChangeOutcome::Lost);
	}
	const bool fits = target->second.spec.model == route->second.spec.model &&
	                  _change.layers.first <= _change.layers.last && _change.layers.last < route->second.spec.layers;
	if (!fits || target->second.spec.draining)
	{
		return makeReport(ChangeOutcome::Invalid);
	}
	route->second.spec.lastPlacement = _revision;
	target->second.spec.layers = _change.layers;
	target->second.spec.spare = false;
	target->second.spec.fence = _revision;
	target->second.revision = _revision;
	target->second.author = _change.author;
	return makeReport(ChangeOutcome::Applied);
}

/// Replacing a route retains its last placement, which an operator's change does not contain.
ChangeReport ConfigState::putRoute(const ConfigChange& _change, uint64_t _revision)
{
	const auto earlier = routes_.find(_change.name);
	const uint64_t lastPlacement = routes_.end() == earlier ? 0 : earlier->second.spec.lastPlacement;
	ChangeReport stored = putObject(routes_, _change.name, _change.route, _revision, _change.author);
	RouteSpec& route = routes_[_change.name].spec;
	route.lastPlacement = std::max(route.lastPlacement, lastPlacement);
	return stored;
}

std::string ConfigState::sideOf(const std::string& _hall) const
{
	const auto found = halls_.find(_hall);
	return halls_.end() == found ? std::string() : found->second.spec.side;
}

ConfigImage ConfigState::image() const
{
	ConfigImage image;
	image.next = next_;
	appendObjects(image, halls_, ObjectKind::Hall, &ConfigChange::hall);
	appendObjects(image, links_, ObjectKind::Link, &ConfigChange::link);
	appendObjects(image, customers_, ObjectKind::Customer, &ConfigChange::customer);
	appendObjects(image, routes_, ObjectKind::Route, &ConfigChange::route);
	appendObjects(image, targets_, ObjectKind::Target, &ConfigChange::target);
	for (const std::string& id : reportOrder_)
	{
		const ChangeReport& entry = reports_.at(id);
		image.reports.push_back(KeptReport{id, static_cast<uint32_t>(entry.outcome), entry.winner, entry.offset});
	}
	return image;
}

bool ConfigState::install(const ConfigImage& _image)
{
	if (!(next_ < _image.next))
	{
		return false;
	}
	*this = ConfigState();
	next_ = _image.next;
	for (const KeptObject& object : _image.objects)
	{
		put(object.change, object.revision);
	}
	for (const KeptReport& entry : _image.reports)
	{
		const bool known = entry.outcome < static_cast<uint32_t>(ChangeOutcome::Count);
		ChangeReport report =
		    makeReport(known ? static_cast<ChangeOutcome::Enum>(entry.outcome) : ChangeOutcome::Invalid);
		report.winner = entry.winner;
		report.offset = entry.offset;
		storeReport(entry.id, report);
	}
	return true;
}

std::size_t ConfigState::size() const
{
	return halls_.size() + links_.size() + customers_.size() + routes_.size() + targets_.size();
}

uint64_t ConfigState::digest() const
{
	uint64_t digest = digestObjects(next_.value, halls_);
	digest = digestObjects(digest, links_);
	digest = digestObjects(digest, customers_);
	digest = digestObjects(digest, routes_);
	return digestObjects(digest, targets_);
}

} // namespace sedgecart
