// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_HALLLOG_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_HALLLOG_P_H_HEADER_GUARD

#include "topiccache_p.h"

#include <base/clock.h>
#include <entry/keyedlog.h>

#include <array>
#include <optional>
#include <vector>

namespace sedgecart
{

/// Hears whether the store answers this node's reads.
class StoreWatchI
{
public:
	virtual ~StoreWatchI() = default;

	virtual void onStoreRead(bool _answered) = 0;
};

/// The store, read through the hub of the hall: of a hall's nodes one reads, and hands on. Reads wait for the hub's
/// next answer; without a hub that reads, they go to the store. Everything else goes there always. Control thread only.
class HallLog : public KeyedLogI
{
public:
	/// Where reads go.
	struct Way
	{
		enum Enum
		{
			Store,
			Try, //!< One read goes to the store, to see whether it answers; the others wait.
			Hub, //!< They wait for the hub's answer.

			Count
		};
	};

	/// A read that waits.
	struct Question
	{
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		Offset from;
	};

	/// What the hub answered to one question.
	struct News
	{
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		Offset from;
		bool known = false; //!< The hub has every record from there on.
		KeyedPage page;
	};

	HallLog(KeyedLogI& _store, const ClockI& _clock, TopicCache& _cache);

	void setWatch(StoreWatchI& _watch);

	void setAddress(const std::string& _address) override;
	void newest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCall _call) override;
	void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCall _call) override;
	void append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
	            std::optional<Offset> _onlyAt, AppendCall _call) override;

	void setWay(Way::Enum _way);

	/// @returns the reads that wait.
	std::vector<Question> questions() const;

	/// @returns false if what the hub says is too old to go by.
	bool onNews(News&& _news);

private:
	struct Waiting
	{
		Offset from;
		Duration wait;
		PageCall call;
		Time since;
	};

	void readStore(KeyedTopic::Enum _topic, Waiting&& _read);
	void release(KeyedTopic::Enum _topic);
	void tryOne();

	KeyedLogI& store_;
	const ClockI& clock_;
	TopicCache& cache_;
	StoreWatchI* watch_ = nullptr;
	Way::Enum way_ = Way::Store;
	bool trying_ = false; //!< A read has gone to the store to see whether it answers.
	std::array<std::optional<Waiting>, KeyedTopic::Count> waiting_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_HALLLOG_P_H_HEADER_GUARD
