// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CONFIGSTATE_H_HEADER_GUARD
#define SEDGECART_CORE_CONFIGSTATE_H_HEADER_GUARD

#include <base/configchange.h>
#include <base/units.h>
#include <core/configimage.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace sedgecart
{

/// Result of applying a change. It is the same on every node, since it depends only on the preceding records.
struct ChangeOutcome
{
	enum Enum
	{
		Applied,
		Repeated,    //!< A record with this id was applied before.
		Lost,        //!< The object's revision is not the expected one.
		NotHolder,   //!< Only the side that holds a route may release it.
		NotReleased, //!< The route is held and was not released.
		Missing,     //!< The object does not exist.
		Invalid,     //!< The change is not valid for this object.

		Count
	};
};

/// @returns a short description.
const char* nameOf(ChangeOutcome::Enum _outcome);

/// A configured object with the record that changed it last.
template <typename Spec> struct Revised
{
	Spec spec;
	uint64_t revision = 0; //!< 1 + offset of the last record that changed it.
	std::string author;    //!< Author of that record.
};

/// Result of one change.
struct ChangeReport
{
	ChangeOutcome::Enum outcome = ChangeOutcome::Invalid;
	std::string winner; //!< Lost, NotHolder, NotReleased: author of the record that is in effect.
	uint64_t offset = 0;
};

/// The configuration: a pure function of the records of the config stream, applied in the order of their offsets.
class ConfigState
{
public:
	/// Applies the record at `_offset`. Records below `next()` are ignored.
	ChangeReport apply(const ConfigChange& _change, Offset _offset);

	/// Skips a record that no reader can decode. It counts as applied, so that all nodes have the same offset.
	void skip(Offset _offset);

	/// @returns the whole state, to be stored or forwarded.
	ConfigImage image() const;

	/// Replaces the state by an image that is ahead of it.
	/// @returns false if it is not ahead; the state is then unchanged.
	bool install(const ConfigImage& _image);

	/// @returns the number of objects of all kinds.
	std::size_t size() const;

	/// @returns the first offset that is not yet applied; it never decreases.
	Offset next() const
	{
		return next_;
	}

	/// @returns the report on the change with this id, null if it was not applied yet or its report was dropped.
	const ChangeReport* reportOf(const std::string& _id) const;

	/// @returns revision of an object, 0 if it does not exist.
	uint64_t revisionOf(ObjectKind::Enum _kind, const std::string& _name) const;

	/// @returns an object as the change that would create it, none if it does not exist.
	std::optional<ConfigChange> find(ObjectKind::Enum _kind, const std::string& _name) const;

	const std::map<std::string, Revised<HallSpec>>& halls() const
	{
		return halls_;
	}
	const std::map<std::string, Revised<LinkSpec>>& links() const
	{
		return links_;
	}
	const std::map<std::string, Revised<CustomerSpec>>& customers() const
	{
		return customers_;
	}
	const std::map<std::string, Revised<RouteSpec>>& routes() const
	{
		return routes_;
	}
	const std::map<std::string, Revised<TargetSpec>>& targets() const
	{
		return targets_;
	}

	/// @returns the side that a hall belongs to, empty if the hall is unknown.
	std::string sideOf(const std::string& _hall) const;

	/// @returns a digest of all objects and revisions: equal states have equal digests.
	uint64_t digest() const;

private:
	/// @param _state this state, const or not.
	template <typename State, typename Visitor>
	static void visit(State& _state, ObjectKind::Enum _kind, const Visitor& _visitor);
	void storeReport(const std::string& _id, const ChangeReport& _report);
	ChangeReport decide(const ConfigChange& _change, uint64_t _revision);
	ChangeReport put(const ConfigChange& _change, uint64_t _revision);
	ChangeReport remove(const ConfigChange& _change);
	ChangeReport setDraining(const ConfigChange& _change, uint64_t _revision, bool _draining);
	ChangeReport release(const ConfigChange& _change, uint64_t _revision);
	ChangeReport move(const ConfigChange& _change, uint64_t _revision);
	ChangeReport assign(const ConfigChange& _change, uint64_t _revision);
	ChangeReport putRoute(const ConfigChange& _change, uint64_t _revision);
	ChangeReport take(const ConfigChange& _change, uint64_t _revision);
	std::string authorOf(ObjectKind::Enum _kind, const std::string& _name) const;

	Offset next_;
	std::map<std::string, Revised<HallSpec>> halls_;
	std::map<std::string, Revised<LinkSpec>> links_;
	std::map<std::string, Revised<CustomerSpec>> customers_;
	std::map<std::string, Revised<RouteSpec>> routes_;
	std::map<std::string, Revised<TargetSpec>> targets_;
	std::unordered_map<std::string, ChangeReport> reports_; //!< By change id, the latest ones.
	std::deque<std::string> reportOrder_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CONFIGSTATE_H_HEADER_GUARD
