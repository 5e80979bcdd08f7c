// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_KEYEDLOG_H_HEADER_GUARD
#define SEDGECART_PORTS_KEYEDLOG_H_HEADER_GUARD

#include <base/units.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

/// Topics of the platform's store that keep the newest record of each key.
struct KeyedTopic
{
	enum Enum
	{
		Operator, //!< The operator's desired state.
		Runners,  //!< What targets say of themselves.
		Nodes,    //!< Where nodes are.
		Layout,   //!< Which target is to hold which layers.
		Blocked,  //!< Requests that end the targets that run them.

		Count
	};
};

/// @returns "operator" and so on.
const char* nameOf(KeyedTopic::Enum _topic);

/// What is known of a call to the store.
struct StoreState
{
	enum Enum
	{
		Done,
		Conflict, //!< The condition does not hold: not done.
		Gone,     //!< The records asked for are kept no more.
		Refused,  //!< Not done; the store is busy, turns this node away, or was not reached.
		Unknown,  //!< No answer: it may have been done, or may be done later.

		Count
	};
};

/// @returns "done" and so on.
const char* nameOf(StoreState::Enum _state);

/// One record of a keyed topic.
struct KeyedRecord
{
	std::string key; //!< Empty: it could not be read. Such a record is there only for its offset.
	std::string value;
	bool removed = false; //!< The key has no value any more.
	Offset offset;
};

/// What one read gave.
struct KeyedPage
{
	StoreState::Enum state = StoreState::Unknown;
	std::vector<KeyedRecord> records;
	Offset end;            //!< Offset that the next record gets.
	bool partial = false;  //!< More keys follow the last one.
	Duration age;          //!< Of the proof that nothing stands behind the end, when the read was sent.
	bool handedOn = false; //!< Another node read it from the store.
};

/// What came of an append.
struct KeyedAppend
{
	StoreState::Enum state = StoreState::Unknown;
	Offset offset; //!< Of the record, when done.
	Offset end;    //!< Of the topic, when there was a conflict.
};

/// The platform's store, as this product uses it. Calls return at once; answers come on the loop's thread.
class KeyedLogI
{
public:
	virtual ~KeyedLogI() = default;

	using PageCall = std::function<void(KeyedPage&&)>;
	using AppendCall = std::function<void(const KeyedAppend&)>;

	/// From the next call on the store is at this address, "ip:port".
	virtual void setAddress(const std::string& _address) = 0;

	/// Reads the newest record of each key behind `_afterKey`. Pages are no snapshot of one moment.
	virtual void newest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCall _call) = 0;

	/// Reads records from an offset on, and waits for the first one if there is none.
	virtual void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCall _call) = 0;

	/// Appends one record.
	/// @param _onlyAt append only if the topic ends there.
	virtual void append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
	                    std::optional<Offset> _onlyAt, AppendCall _call) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_KEYEDLOG_H_HEADER_GUARD
