// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/bodymemory.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <deque>

namespace sedgecart
{

namespace
{

/// The limit divided by this is what bodies may wait for together. A body keeps its memory for some seconds, while
/// callers wait for one: more than a part of the limit does not become free in that time.
constexpr uint64_t kLimitPerWaiting = 4;

} // namespace

class BodyMemory::State : public std::enable_shared_from_this<BodyMemory::State>
{
public:
	State(boost::asio::io_context& _loop, uint64_t _limit) : loop_(_loop), limit_(_limit)
	{
	}

	/// A body that alone exceeds the limit is let through when nothing else is reserved.
	bool fits(uint64_t _bytes) const
	{
		return 0 == reserved_ || reserved_ + _bytes <= limit_;
	}

	bool tryTake(uint64_t _bytes)
	{
		if (!fits(_bytes))
		{
			return false;
		}
		reserved_ += _bytes;
		return true;
	}

	void take(uint64_t _bytes)
	{
		reserved_ += _bytes;
	}

	void giveBack(uint64_t _bytes)
	{
		reserved_ -= _bytes;
		if (!waiting_.empty() && !isServing_)
		{
			isServing_ = true;
			// A waiter reads and may complete its request: not within the call that ends another one.
			boost::asio::post(loop_,
			                  [weak = weak_from_this()]
			                  {
				                  if (const std::shared_ptr<State> self = weak.lock())
				                  {
					                  self->serve();
				                  }
			                  });
		}
	}

	Admission::Enum wait(uint64_t _bytes, std::weak_ptr<BodyWaiterI>&& _waiter)
	{
		dropGone();
		if (limit_ / kLimitPerWaiting < waitingBytes_ + _bytes)
		{
			return Admission::Refuse;
		}
		waitingBytes_ += _bytes;
		waiting_.push_back(Waiting{_bytes, std::move(_waiter)});
		return Admission::Wait;
	}

	bool isWaitedFor()
	{
		dropGone();
		return !waiting_.empty();
	}

	uint64_t reserved() const
	{
		return reserved_;
	}

private:
	struct Waiting
	{
		uint64_t bytes;
		std::weak_ptr<BodyWaiterI> waiter;
	};

	/// Drops those that gave up, and those whose connections have ended.
	void dropGone()
	{
		while (!waiting_.empty() && !isPresent(waiting_.front()))
		{
			popFirst();
		}
	}

	static bool isPresent(const Waiting& _waiting)
	{
		const std::shared_ptr<BodyWaiterI> waiter = _waiting.waiter.lock();
		return waiter && waiter->waitsForMemory();
	}

	void popFirst()
	{
		waitingBytes_ -= waiting_.front().bytes;
		waiting_.pop_front();
	}

	void serve()
	{
		isServing_ = false;
		while (isWaitedFor() && tryTake(waiting_.front().bytes))
		{
			const auto lease = std::make_shared<BodyLease>(weak_from_this(), waiting_.front().bytes);
			const std::shared_ptr<BodyWaiterI> waiter = waiting_.front().waiter.lock();
			popFirst();
			if (waiter)
			{
				waiter->onBodyMemory(lease);
			}
		}
	}

	boost::asio::io_context& loop_;
	uint64_t limit_;
	uint64_t reserved_ = 0;
	uint64_t waitingBytes_ = 0;
	std::deque<Waiting> waiting_; //!< First come, first served.
	bool isServing_ = false;      //!< A call of `serve` is posted.
};

BodyMemory::BodyMemory(boost::asio::io_context& _loop, uint64_t _limit) : state_(std::make_shared<State>(_loop, _limit))
{
}

BodyMemory::~BodyMemory() = default;

BodyMemory::Admission::Enum BodyMemory::reserve(uint64_t _bytes, std::weak_ptr<BodyWaiterI> _waiter,
                                                std::shared_ptr<BodyLease>& _lease)
{
	if (!state_->isWaitedFor() && state_->tryTake(_bytes))
	{
		_lease = std::make_shared<BodyLease>(state_, _bytes);
		return Admission::Read;
	}
	return state_->wait(_bytes, std::move(_waiter));
}

bool BodyMemory::extendTo(uint64_t _bytes, std::shared_ptr<BodyLease>& _lease)
{
	const uint64_t held = _lease ? _lease->bytes() : 0;
	if (held < _bytes && !state_->fits(_bytes - held))
	{
		return false;
	}
	countTo(_bytes, _lease);
	return true;
}

void BodyMemory::countTo(uint64_t _bytes, std::shared_ptr<BodyLease>& _lease)
{
	if (!_lease)
	{
		_lease = std::make_shared<BodyLease>(state_, 0);
	}
	if (_lease->bytes_ < _bytes)
	{
		state_->take(_bytes - _lease->bytes_);
		_lease->bytes_ = _bytes;
	}
}

uint64_t BodyMemory::reserved() const
{
	return state_->reserved();
}

BodyLease::BodyLease(std::weak_ptr<BodyMemory::State> _state, uint64_t _bytes)
    : state_(std::move(_state)),
      bytes_(_bytes)
{
}

BodyLease::~BodyLease()
{
	if (const std::shared_ptr<BodyMemory::State> state = state_.lock())
	{
		state->giveBack(bytes_);
	}
}

} // namespace sedgecart
