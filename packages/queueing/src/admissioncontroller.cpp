// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <queueing/admissioncontroller.h>

#include <admission/serviceaccount.h>
#include <base/clock.h>
#include <fleet/fleetview.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace sedgecart
{

namespace
{

/// Interval between looks for capacity that this node did not free itself. Short compared with the shortest usual
/// objective, 250 ms between events.
constexpr Duration kPollInterval = Duration::fromMillis(20);

/// Requests that are passed over in one look because they exclude the free targets. Each costs one search for a path.
constexpr uint32_t kMaxExcluded = 4;

} // namespace

AdmissionController::AdmissionController(boost::asio::io_context& _loop, const ClockI& _clock, const FleetCell& _cell)
    : clock_(_clock),
      cell_(_cell),
      timer_(_loop)
{
}

std::shared_ptr<ServiceAccount> AdmissionController::findAccount(const std::string& _service)
{
	const RcuCell<FleetView>::Reader view(cell_.view);
	const auto row = view->services.find(_service);
	if (view->services.end() == row || !row->second->account)
	{
		return nullptr;
	}
	ServiceQueue& queue = queues_[_service];
	queue.account = row->second->account;
	if (nullptr != row->second->spec)
	{
		queue.firstEvents.setPrefillRate(row->second->spec->engine.prefillTokensPerSecond);
	}
	return queue.account;
}

AdmissionController::ServiceQueue* AdmissionController::find(const std::string& _service)
{
	const auto row = queues_.find(_service);
	return queues_.end() == row ? nullptr : &row->second;
}

const AdmissionController::ServiceQueue* AdmissionController::find(const std::string& _service) const
{
	const auto row = queues_.find(_service);
	return queues_.end() == row ? nullptr : &row->second;
}

bool AdmissionController::hasWaiting(const std::string& _service) const
{
	const ServiceQueue* const queue = find(_service);
	return nullptr != queue && 0 < queue->queue.size();
}

/// Both the forecast and the recent rate of this node must say that capacity comes too late: the forecast covers only
/// the node's share, and the rate of a node with few requests says little. The first in the queue always waits.
bool AdmissionController::isExpectedInTime(const ServiceQueue& _queue, const PendingRequest& _request) const
{
	const Time now = clock_.now();
	const UrgencyTokens& waiting = _queue.queue.tokens();
	const uint64_t ahead =
	    std::accumulate(waiting.begin(), waiting.begin() + std::min<uint32_t>(_request.urgency + 1, kUrgencies),
	                    static_cast<uint64_t>(0));
	const uint64_t recent = totalTokens(_queue.admitted.sum(RecentTokens::kWindow, now));
	if (_request.hasBegun || 0 == ahead || 0 == recent)
	{
		return true;
	}
	const double windows = static_cast<double>(ahead + _request.tokens) / static_cast<double>(recent);
	const Duration byRate{static_cast<int64_t>(windows * static_cast<double>(RecentTokens::kWindow.micros))};
	const std::optional<Duration> byForecast =
	    _queue.account->returns.expectedIn(_request.tokens, _request.urgency, now);
	return now + std::min(byRate, byForecast.value_or(byRate)) < _request.startBy;
}

std::optional<std::size_t> AdmissionController::push(const std::string& _service,
                                                     const std::shared_ptr<ServiceAccount>& _account,
                                                     PendingRequest& _request,
                                                     const std::weak_ptr<AdmissionWaiterI>& _waiter)
{
	if ((isStopping_ && !_request.hasBegun) || !(clock_.now() < _request.expiresAt))
	{
		return std::nullopt;
	}
	ServiceQueue& queue = queues_[_service];
	queue.account = _account;
	_request.id = ++lastId_;
	const WaitQueue::PushOutcome outcome = queue.queue.push(_request, isExpectedInTime(queue, _request));
	if (!outcome.isQueued)
	{
		return std::nullopt;
	}
	queue.waiters[_request.id] = _waiter;
	// The first in the queue was not tried if others were waiting before it.
	const bool isUntried = 1 < queue.queue.size() && _request.id == queue.queue.next()->id;
	schedule(isUntried ? Duration{} : kPollInterval);
	publishWaiting(queue); // before the refusals, whose time to return depends on what still waits
	endWaits(queue, outcome.displaced, WaitEnd::Displaced);
	return outcome.ahead;
}

void AdmissionController::remove(const std::string& _service, uint64_t _id)
{
	ServiceQueue* const queue = find(_service);
	if (nullptr != queue && queue->queue.remove(_id))
	{
		queue->waiters.erase(_id);
		publishWaiting(*queue);
	}
}

void AdmissionController::charge(const std::string& _service, const std::string& _customer, uint32_t _urgency,
                                 uint64_t _tokens)
{
	ServiceQueue* const queue = find(_service);
	if (nullptr != queue)
	{
		queue->queue.charge(_customer, _urgency, _tokens);
		queue->admitted.add(_tokens, _urgency, clock_.now());
	}
}

void AdmissionController::onRequestEnded(const std::string& _service)
{
	if (hasWaiting(_service))
	{
		schedule(Duration{});
	}
}

Duration AdmissionController::expectedFirstEvent(const std::string& _service, uint64_t _promptTokens) const
{
	const ServiceQueue* const queue = find(_service);
	return nullptr == queue ? Duration{} : queue->firstEvents.estimate(_promptTokens, clock_.now());
}

void AdmissionController::onFirstEvent(const std::string& _service, uint64_t _promptTokens, Duration _taken)
{
	ServiceQueue* const queue = find(_service);
	if (nullptr != queue)
	{
		queue->firstEvents.onFirstEvent(_promptTokens, _taken, clock_.now());
	}
}

/// Notifies requests that were removed from the queue.
void AdmissionController::endWaits(ServiceQueue& _queue, const std::vector<PendingRequest>& _requests,
                                   WaitEnd::Enum _reason)
{
	for (const PendingRequest& request : _requests)
	{
		const std::shared_ptr<AdmissionWaiterI> waiter = _queue.waiters[request.id].lock();
		_queue.waiters.erase(request.id);
		if (waiter)
		{
			waiter->onWaitEnded(_reason);
		}
	}
}

void AdmissionController::stop()
{
	isStopping_ = true;
	for (auto& row : queues_)
	{
		ServiceQueue& queue = row.second;
		std::vector<PendingRequest> refused;
		for (PendingRequest& request : queue.queue.requests())
		{
			if (!request.hasBegun)
			{
				queue.queue.remove(request.id);
				refused.push_back(std::move(request));
			}
		}
		endWaits(queue, refused, WaitEnd::Stopping);
		publishWaiting(queue);
	}
}

void AdmissionController::admitWaiting(ServiceQueue& _queue)
{
	const std::vector<PendingRequest> expired = _queue.queue.expire(clock_.now());
	publishWaiting(_queue);
	endWaits(_queue, expired, WaitEnd::Expired);
	AdmissionRound round;
	// A request that returns to the queue meanwhile waits for the next look.
	for (std::size_t left = _queue.queue.size(); 0 < left && admitNext(_queue, round); --left)
	{
	}
	_queue.queue.restorePassedOver();
	publishWaiting(_queue);
}

/// @returns false if no further request can be admitted now.
bool AdmissionController::admitNext(ServiceQueue& _queue, AdmissionRound& _round)
{
	const PendingRequest* const next = _round.onlyBegun ? _queue.queue.nextBegun() : _queue.queue.next();
	if (nullptr == next)
	{
		return false;
	}
	const uint64_t id = next->id;
	const std::shared_ptr<AdmissionWaiterI> waiter = _queue.waiters[id].lock();
	if (!waiter)
	{
		_queue.queue.remove(id);
		_queue.waiters.erase(id);
		return true;
	}
	const ReserveOutcome::Enum outcome = waiter->reserve();
	if (ReserveOutcome::Reserved == outcome)
	{
		_queue.admitted.add(next->tokens, next->urgency, clock_.now());
		_queue.queue.admit(id);
		_queue.waiters.erase(id);
		waiter->onAdmitted();
		return true;
	}
	if (ReserveOutcome::NoTokens == outcome)
	{
		// The floor of a less urgent class must not hold up the more urgent ones.
		const bool isFloor = !_round.onlyBegun && _queue.queue.isNextByFloor();
		_round.onlyBegun = !isFloor;
		if (isFloor)
		{
			_queue.queue.passOver(id);
		}
		return !isFloor || ++_round.excluded < kMaxExcluded;
	}
	if (ReserveOutcome::NoCapacity == outcome)
	{
		return false;
	}
	_queue.queue.passOver(id);
	_round.excluded += ReserveOutcome::Excluded == outcome ? 1 : 0;
	return _round.excluded < kMaxExcluded;
}

void AdmissionController::publishWaiting(ServiceQueue& _queue)
{
	_queue.account->waiting.set(_queue.queue.tokens());
}

/// A request that returns to the queue during a poll waits for the next one, so that polls do not follow each other
/// without a pause.
void AdmissionController::schedule(Duration _wait)
{
	const bool isNow = 0 == _wait.micros;
	if (isPolling_ || (isPollScheduled_ && (isPollDueNow_ || !isNow)))
	{
		return;
	}
	isPollScheduled_ = true;
	isPollDueNow_ = isNow;
	timer_.expires_after(std::chrono::microseconds(_wait.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    poll();
		    }
	    });
}

void AdmissionController::poll()
{
	isPollScheduled_ = false;
	isPollDueNow_ = false;
	isPolling_ = true;
	bool isWaiting = false;
	for (auto& row : queues_)
	{
		if (0 < row.second.queue.size())
		{
			admitWaiting(row.second);
			isWaiting = isWaiting || 0 < row.second.queue.size();
		}
	}
	isPolling_ = false;
	if (isWaiting)
	{
		schedule(kPollInterval);
	}
}

} // namespace sedgecart
