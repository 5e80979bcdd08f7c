// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_MEMORYLOG_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_MEMORYLOG_H_HEADER_GUARD

#include <ports/keyedlog.h>

#include <boost/asio/io_context.hpp>

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

/// Records of a store that lives in the test. Any thread.
class MemoryStore
{
public:
	Offset put(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value);

	/// From now on nothing answers, or everything does.
	void setOut(bool _out);

	/// From now on it turns the node away that knows it under an address.
	void turnAway(const std::string& _address);

	/// From now on it gives that node no whole topic, but for the places of nodes.
	void refuseLoads(const std::string& _address);

	bool out(const std::string& _address) const;

	bool refusesLoad(const std::string& _address, KeyedTopic::Enum _topic) const;

	/// Counts a read of the node that knows it under an address.
	void countRead(const std::string& _address);

	/// @returns reads so far.
	uint64_t reads(const std::string& _address) const;

	std::vector<KeyedRecord> records(KeyedTopic::Enum _topic) const;

	/// From now on the node that knows it under an address reads `_to` wherever a record holds `_from`.
	void substitute(const std::string& _address, const std::string& _from, const std::string& _to);

	/// @returns the record as the node that knows the store under an address reads it.
	KeyedRecord recordFor(const std::string& _address, KeyedRecord _record) const;

private:
	mutable std::mutex mutex_;
	std::array<std::vector<KeyedRecord>, KeyedTopic::Count> topics_;
	bool out_ = false;
	std::set<std::string> turnedAway_;
	std::set<std::string> loadsRefused_;
	std::map<std::string, uint64_t> reads_;
	std::map<std::string, std::map<std::string, std::string>> substitutes_; //!< By address of the store.
};

/// A node's way to a MemoryStore. A read that waits looks again every few milliseconds.
class MemoryLog : public KeyedLogI
{
public:
	/// @param _address under which the node knows the store.
	MemoryLog(boost::asio::io_context& _loop, MemoryStore& _store, const std::string& _address);

	void setAddress(const std::string& _address) override;
	void readNewest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCallback _call) override;
	void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCallback _call) override;
	void append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
	            std::optional<Offset> _onlyAt, AppendCallback _call) override;

private:
	void look(KeyedTopic::Enum _topic, Offset _from, Duration _wait, const PageCallback& _call);

	boost::asio::io_context& loop_;
	MemoryStore& store_;
	std::string address_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_MEMORYLOG_H_HEADER_GUARD
