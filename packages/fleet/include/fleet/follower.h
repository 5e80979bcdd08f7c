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

/// How a topic is followed.
struct FollowPlan
{
	KeyedTopic::Enum topic = KeyedTopic::Operator;
	Duration wait;     //!< The store holds a read for so long when there is no news; 0: it answers at once.
	Duration pause;    //!< Between two reads.
	Duration quiet;    //!< Without a proof for longer the store counts as having been out; 0: no matter.
	uint64_t seed = 0; //!< Spreads retries: each node's is another.
};

/// What a follower calls, on the control thread.
class FollowHandlerI
{
public:
	virtual ~FollowHandlerI() = default;

	/// A key has a new value, or none any more.
	virtual void onRecord(const KeyedRecord& _record) = 0;

	/// All records that stood in the store when a read was sent have been handed over.
	/// @param _sentAt when that read was sent.
	virtual void onCurrent(Time _sentAt) = 0;

	/// A read failed. Called at each failure.
	virtual void onOut(StoreState::Enum _state) = 0;
};

/// Follows one keyed topic: reads the newest record of each key once, then what comes behind them. Starts anew when the
/// store has dropped what it would read next.
class Follower
{
public:
	Follower(boost::asio::io_context& _loop, KeyedLogI& _log, const ClockI& _clock, const FollowPlan& _plan,
	         FollowHandlerI& _handler);

	void start();

	/// Gives up on the read under way and reads anew: its connection may have fallen silent, which shows only after the
	/// whole wait that was asked for.
	void renew();

	/// @returns the offset of the next record, if the topic has been read to its end.
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
	void take(const KeyedRecord& _record);
	void later(Duration _pause, void (Follower::*_step)());
	void startLoad();
	void resumeLoad();
	Duration nextRetry();
	void fail(StoreState::Enum _state);

	Timer timer_;
	KeyedLogI& log_;
	const ClockI& clock_;
	FollowPlan plan_;
	FollowHandlerI& handler_;
	std::map<std::string, Offset> known_; //!< Keys that have a value.
	std::set<std::string> found_;         //!< Keys that the load under way has shown.
	Offset next_;
	Offset loadEnd_;
	Time provenAt_; //!< When the read was sent that last found nothing more.
	Time loadSentAt_;
	Duration retry_;
	std::minstd_rand random_;
	std::string loadAfter_; //!< Last key that the load under way has shown.
	uint64_t reading_ = 0;  //!< Number of the read under way; the answer to an earlier one is passed over.
	bool loadFirst_ = true;
	bool loaded_ = false;
	bool loading_ = false; //!< A load is under way, the first one or one anew.
	bool failing_ = false; //!< The last read failed.
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_FOLLOWER_H_HEADER_GUARD
