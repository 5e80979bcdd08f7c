// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_TESTS_PLAYEDSTORE_H_HEADER_GUARD
#define SEDGECART_ENTRY_TESTS_PLAYEDSTORE_H_HEADER_GUARD

#include <harness/playedloop.h>
#include <ports/keyedlog.h>

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

/// A store in virtual time that can be silent, or turn nodes away. Counts its calls by the second.
class PlayedStore
{
public:
	explicit PlayedStore(PlayedLoop& _loop) : loop_(_loop)
	{
	}

	/// @param _silent it answers nobody; what was asked before gets no answer either.
	void setSilent(bool _silent);

	/// It refuses everybody at once.
	void setRefuses(bool _refuses)
	{
		refuses_ = _refuses;
	}

	/// It refuses a node at once.
	void turnAway(const std::string& _node)
	{
		turnedAway_.insert(_node);
	}

	/// From now on it serves everybody.
	void turnNobodyAway()
	{
		turnedAway_.clear();
	}

	/// @returns the end of the topic behind the new record.
	Offset put(KeyedTopic::Enum _topic)
	{
		return put(_topic, "value");
	}

	/// @returns the end of the topic behind the new record, which has this value.
	Offset put(KeyedTopic::Enum _topic, const std::string& _value);

	/// Answers with the newest record of the one key.
	void newest(const std::string& _node, KeyedTopic::Enum _topic, const KeyedLogI::PageCall& _call);

	void read(const std::string& _node, KeyedTopic::Enum _topic, Offset _from, Duration _wait,
	          const KeyedLogI::PageCall& _call);

	/// @returns most calls in a second, from one second to before another.
	uint64_t mostCalls(int64_t _fromSecond, int64_t _toSecond) const;

	/// @returns calls from one second to before another.
	uint64_t calls(int64_t _fromSecond, int64_t _toSecond) const;

private:
	/// Counts a call. @returns true if it is answered with a failure.
	bool fails(const std::string& _node, Duration _wait, const KeyedLogI::PageCall& _call);
	void look(KeyedTopic::Enum _topic, Offset _from, Time _until, uint64_t _outage, const KeyedLogI::PageCall& _call);

	PlayedLoop& loop_;
	bool silent_ = false;
	bool refuses_ = false;
	uint64_t outages_ = 0;
	std::set<std::string> turnedAway_;
	std::array<std::vector<KeyedRecord>, KeyedTopic::Count> topics_;
	std::map<int64_t, uint64_t> calls_; //!< By second.
};

/// A node's way to it.
class PlayedStoreWay : public KeyedLogI
{
public:
	PlayedStoreWay(PlayedStore& _store, const std::string& _node) : store_(_store), node_(_node)
	{
	}

	void setAddress(const std::string&) override
	{
	}

	void newest(KeyedTopic::Enum _topic, const std::string&, PageCall _call) override
	{
		store_.newest(node_, _topic, _call);
	}

	void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCall _call) override
	{
		store_.read(node_, _topic, _from, _wait, _call);
	}

	void append(KeyedTopic::Enum, const std::string&, const std::string&, std::optional<Offset>, AppendCall) override
	{
	}

private:
	PlayedStore& store_;
	std::string node_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_TESTS_PLAYEDSTORE_H_HEADER_GUARD
