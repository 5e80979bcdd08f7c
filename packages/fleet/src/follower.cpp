// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/follower.h>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Shortest and longest pause after a failed read. The first is for transient faults; the last is a fifth of the
/// shortest time limit that depends on these reads (configuration in effect within two seconds).
constexpr Duration kMinRetryPause = Duration::fromMillis(100);
constexpr Duration kMaxRetryPause = Duration::fromMillis(400);

} // namespace

Follower::Follower(boost::asio::io_context& _loop, KeyedLogI& _log, const ClockI& _clock, const FollowConfig& _plan,
                   FollowHandlerI& _handler)
    : timer_(_loop),
      log_(_log),
      clock_(_clock),
      config_(_plan),
      handler_(_handler),
      retryPause_(kMinRetryPause),
      random_(static_cast<std::minstd_rand::result_type>(_plan.seed))
{
}

void Follower::start()
{
	startLoad();
}

void Follower::startLoad()
{
	loadedKeys_.clear();
	++readNumber_;
	loading_ = true;
	loadFirst_ = true;
	loadAfter_.clear();
	load(loadAfter_);
}

/// Continues a load after a failure. The pages received before stay valid: later changes are read from the end offset
/// of the first page on.
void Follower::resumeLoad()
{
	load(loadAfter_);
}

/// @returns the next pause: doubles with each failure in a row, with a jitter of plus or minus one half so that nodes
/// that failed together do not retry together.
Duration Follower::nextRetry()
{
	const Duration pause = retryPause_;
	retryPause_ = std::min(kMaxRetryPause, retryPause_ + retryPause_);
	std::uniform_int_distribution<int64_t> jittered(pause.micros / 2, pause.micros / 2 + pause.micros);
	return Duration{jittered(random_)};
}

void Follower::load(const std::string& _afterKey)
{
	const Time sentAt = clock_.now();
	log_.readNewest(config_.topic, _afterKey,
	                [this, sentAt](KeyedPage&& _page)
	                {
		                onNewest(std::move(_page), sentAt);
	                });
}

void Follower::onNewest(KeyedPage&& _page, Time _sentAt)
{
	if (StoreState::Done != _page.state)
	{
		handler_.onReadFailed(_page.state);
		schedule(nextRetry(), &Follower::resumeLoad);
		return;
	}
	retryPause_ = kMinRetryPause;
	if (loadFirst_)
	{
		// Pages are no snapshot: what changed after the first one is read again from its end offset on.
		loadFirst_ = false;
		loadEnd_ = _page.end;
		loadSentAt_ = Time{_sentAt.micros - _page.proofAge.micros};
	}
	if (_page.forwarded)
	{
		loadEnd_ = std::min(loadEnd_, _page.end); // of the whole topic, but it may be older than the first page
	}
	for (const KeyedRecord& record : _page.records)
	{
		loadedKeys_.insert(record.key);
		applyRecord(record);
	}
	if (_page.partial && !_page.records.empty())
	{
		loadAfter_ = _page.records.back().key;
		load(loadAfter_);
		return;
	}
	finishLoad();
}

void Follower::finishLoad()
{
	std::vector<std::string> removed;
	for (const auto& row : keyOffsets_)
	{
		if (0 == loadedKeys_.count(row.first))
		{
			removed.push_back(row.first);
		}
	}
	for (const std::string& key : removed)
	{
		KeyedRecord record;
		record.key = key;
		record.removed = true;
		record.offset = loadEnd_;
		applyRecord(record);
	}
	next_ = loadEnd_;
	loaded_ = true;
	loading_ = false;
	provenAt_ = loadSentAt_;
	handler_.onCurrent(loadSentAt_);
	read();
}

void Follower::read()
{
	const Time sentAt = clock_.now();
	// A long poll that is sent during an outage of the store could hang for its full time after the store is back.
	const Duration wait = failing_ ? Duration{} : config_.longPollTimeout;
	const uint64_t number = ++readNumber_;
	log_.read(config_.topic, next_, wait,
	          [this, sentAt, number](KeyedPage&& _page)
	          {
		          if (number == readNumber_)
		          {
			          onRead(std::move(_page), sentAt);
		          }
	          });
}

void Follower::restartRead()
{
	if (loaded_ && !loading_)
	{
		timer_.cancel();
		read();
	}
}

void Follower::onRead(KeyedPage&& _page, Time _sentAt)
{
	if (StoreState::Gone == _page.state)
	{
		startLoad();
		return;
	}
	if (StoreState::Done != _page.state)
	{
		fail(_page.state);
		return;
	}
	retryPause_ = kMinRetryPause;
	failing_ = false;
	const Time provenAt{_sentAt.micros - _page.proofAge.micros};
	const bool hadOutage =
	    0 < config_.maxProofAge.micros && 0 < provenAt_.micros && provenAt_ + config_.maxProofAge < provenAt;
	if (hadOutage)
	{
		handler_.onReadFailed(
		    StoreState::Unknown); // the node that forwards the store's answers did not report the outage
	}
	for (const KeyedRecord& record : _page.records)
	{
		applyRecord(record);
		next_ = Offset{record.offset.value + 1};
	}
	if (_page.forwarded)
	{
		next_ = std::max(next_, _page.end); // the hub's answer is complete, but omits records that change nothing
	}
	const bool behind = next_ < _page.end;
	if (!behind)
	{
		provenAt_ = provenAt;
		handler_.onCurrent(provenAt);
	}
	if (_page.forwarded)
	{
		read(); // waits for the next answer of the node that forwards, which limits the rate
		return;
	}
	schedule(behind ? Duration{} : config_.pause, &Follower::read);
}

void Follower::fail(StoreState::Enum _state)
{
	failing_ = true;
	handler_.onReadFailed(_state);
	schedule(nextRetry(), &Follower::read);
}

void Follower::applyRecord(const KeyedRecord& _record)
{
	const auto known = keyOffsets_.find(_record.key);
	if (keyOffsets_.end() != known && _record.offset < known->second)
	{
		return;
	}
	if (_record.removed)
	{
		if (keyOffsets_.end() == known)
		{
			return;
		}
		keyOffsets_.erase(known);
	}
	else
	{
		keyOffsets_[_record.key] = _record.offset;
	}
	handler_.onRecord(_record);
}

void Follower::schedule(Duration _pause, void (Follower::*_action)())
{
	timer_.expires_after(std::chrono::microseconds(_pause.micros));
	timer_.async_wait(
	    [this, _action](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    (this->*_action)();
		    }
	    });
}

} // namespace sedgecart
