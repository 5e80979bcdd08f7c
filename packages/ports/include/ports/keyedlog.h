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

/// Topics of the platform's store. Each retains the newest record of each key.
struct KeyedTopic
{
	enum Enum
	{
		Operator, //!< The operator's desired state.
		Runners,  //!< Records of targets, written by the targets.
		Nodes,    //!< Addresses of the entry nodes.
		Layout,   //!< Which target holds which layers.
		Blocked,  //!< Requests that crash the targets that run them.

		Count
	};
};

/// @returns the name used in logs, such as "operator".
const char* nameOf(KeyedTopic::Enum _topic);

/// Outcome of a call to the store.
struct StoreState
{
	enum Enum
	{
		Done,
		Conflict, //!< Not done: the condition does not hold.
		Gone,     //!< The requested records are no longer retained.
		Refused,  //!< Not done: the store is busy, rejects this node, or was not reached.
		Unknown,  //!< No answer: the call may have been carried out, or may be later.

		Count
	};
};

/// @returns the name used in logs, such as "done".
const char* nameOf(StoreState::Enum _state);

/// One record of a keyed topic.
struct KeyedRecord
{
	std::string key; //!< Empty: the record could not be parsed; only its offset is valid.
	std::string value;
	bool removed = false; //!< The key was removed.
	Offset offset;
};

/// Result of one read.
struct KeyedPage
{
	StoreState::Enum state = StoreState::Unknown;
	std::vector<KeyedRecord> records;
	Offset end;             //!< Offset that the next record gets.
	bool partial = false;   //!< More keys follow the last one.
	Duration proofAge;      //!< How old the confirmation of `end` was when the read was sent.
	bool forwarded = false; //!< Another node read it from the store and forwarded it.
};

/// Result of an append.
struct KeyedAppend
{
	StoreState::Enum state = StoreState::Unknown;
	Offset offset; //!< Of the record, if done.
	Offset end;    //!< End of the topic, if there was a conflict.
};

/// The part of the platform's store that this product uses. Calls return at once; callbacks run on the loop's thread.
class KeyedLogI
{
public:
	virtual ~KeyedLogI() = default;

	using PageCallback = std::function<void(KeyedPage&&)>;
	using AppendCallback = std::function<void(const KeyedAppend&)>;

	/// Sets the store's address, "ip:port", from the next call on.
	virtual void setAddress(const std::string& _address) = 0;

	/// Reads the newest record of each key that sorts after `_afterKey`. The pages of several calls are no consistent
	/// snapshot.
	virtual void readNewest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCallback _call) = 0;

	/// Reads records from an offset on.
	/// @param _wait how long the store waits for a record if there is none.
	virtual void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCallback _call) = 0;

	/// Appends one record.
	/// @param _onlyAt append only if the topic ends at this offset; unset: unconditionally.
	virtual void append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
	                    std::optional<Offset> _onlyAt, AppendCallback _call) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_KEYEDLOG_H_HEADER_GUARD
