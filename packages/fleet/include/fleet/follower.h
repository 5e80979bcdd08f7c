// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_FOLLOWER_H_HEADER_GUARD
#define SEDGECART_FLEET_FOLLOWER_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <ports/keyedlog.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace sedgecart
{

/// How a topic is read.
struct FollowConfig
{
	KeyedTopic::Enum topic = KeyedTopic::Operator;
	Duration longPollTimeout; //!< How long the store delays its answer while there are no new records; 0: not at all.
	Duration pause;           //!< Between two reads.
	Duration maxProofAge;     //!< A longer gap without a confirmed read counts as an outage of the store; 0: no limit.
	uint64_t seed = 0;        //!< For the jitter of retries; differs from node to node.
};

/// Callbacks of a follower, on the control thread.
class FollowHandlerI
{
public:
	virtual ~FollowHandlerI() = default;

	/// A key got a new value, or was removed.
	virtual void onRecord(const KeyedRecord& _record) = 0;

	/// All records that were in the store when a read was sent have been passed to `onRecord`.
	/// @param _sentAt when that read was sent.
	virtual void onCurrent(Time _sentAt) = 0;

	/// A read failed. Called for each failure.
	virtual void onReadFailed(StoreState::Enum _state) = 0;
};

/// Follows one keyed topic: loads the newest record of each key once, then reads what is appended. Loads again if the
/// store no longer has the record that it would read next.
class Follower
{
public:
	Follower(boost::asio::io_context& _loop, KeyedLogI& _log, const ClockI& _clock, const FollowConfig& _plan,
	         FollowHandlerI& _handler);

	void start();

	/// Abandons the current read and starts another: its connection may be dead, which would otherwise be noticed only
	/// after the full `FollowConfig::longPollTimeout`.
	void restartRead();

	/// @returns the offset of the next record to read: the end of the topic, if it has been read to its end.
	Offset end() const
	{
		return next_;
	}

	bool loaded() const
	{
		return loaded_;
	}

private:
	void load(const std::string& _afterKey);
	void onNewest(KeyedPage&& _page, Time _sentAt);
	void finishLoad();
	void read();
	void onRead(KeyedPage&& _page, Time _sentAt);
	void applyRecord(const KeyedRecord& _record);
	void schedule(Duration _pause, void (Follower::*_step)());
	void startLoad();
	void resumeLoad();
	Duration nextRetry();
	void fail(StoreState::Enum _state);

	Timer timer_;
	KeyedLogI& log_;
	const ClockI& clock_;
	FollowConfig config_;
	FollowHandlerI& handler_;
	std::map<std::string, Offset> keyOffsets_; //!< Offset of the newest record of each key that has a value.
	std::set<std::string> loadedKeys_;         //!< Keys that the current load has returned.
	Offset next_;
	Offset loadEnd_;
	Time provenAt_; //!< When the last read was sent that reached the end of the topic.
	Time loadSentAt_;
	Duration retryPause_;
	std::minstd_rand random_;
	std::string loadAfter_;   //!< Last key that the current load has returned.
	uint64_t readNumber_ = 0; //!< Number of the current read; answers to earlier ones are ignored.
	bool loadFirst_ = true;
	bool loaded_ = false;
	bool loading_ = false; //!< A load is in progress, the first or a later one.
	bool failing_ = false; //!< The last read failed.
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_FOLLOWER_H_HEADER_GUARD
