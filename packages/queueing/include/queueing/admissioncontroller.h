// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `queueing`: the queues in which requests of prioritized services wait at a node, with their timer.

#ifndef SEDGECART_QUEUEING_ADMISSIONCONTROLLER_H_HEADER_GUARD
#define SEDGECART_QUEUEING_ADMISSIONCONTROLLER_H_HEADER_GUARD

#include <admission/firsteventestimator.h>
#include <admission/pendingrequest.h>
#include <admission/waitqueue.h>
#include <aio/timer.h>
#include <base/units.h>
#include <demand/recenttokens.h>
#include <queueing/admissionwaiter.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class ClockI;
struct FleetCell;
struct ServiceAccount;

/// Owns the queues of the prioritized services of a node, and admits from them as capacity becomes free: while requests
/// wait, every 20 ms and whenever a request of the service ends. It keeps the most urgent requests served while more
/// are sent than the targets can hold. Loop thread only.
class AdmissionController
{
public:
	/// All arguments must outlive this object.
	AdmissionController(boost::asio::io_context& _loop, const ClockI& _clock, const FleetCell& _cell);

	/// @returns the account of a service in the current view of the fleet; null unless it is prioritized.
	std::shared_ptr<ServiceAccount> findAccount(const std::string& _service);

	/// @returns true if requests of the service wait: a new one must wait behind them.
	bool hasWaiting(const std::string& _service) const;

	/// Queues a request.
	/// @param _request its id is set.
	/// @param _waiter is no longer queued once it has been destroyed.
	/// @returns the number of requests ahead of it; none if the request is refused, because the queue is full or
	/// because capacity is expected too late for it.
	std::optional<std::size_t> push(const std::string& _service, const std::shared_ptr<ServiceAccount>& _account,
	                                PendingRequest& _request, const std::weak_ptr<AdmissionWaiterI>& _waiter);

	/// Removes a request whose caller has left or whose deadline has passed; nothing happens if it is not queued.
	void remove(const std::string& _service, uint64_t _id);

	/// Charges a customer for a request that was admitted without a wait.
	void charge(const std::string& _service, const std::string& _customer, uint32_t _urgency, uint64_t _tokens);

	/// Looks for capacity soon, as a request of the service has ended.
	void onRequestEnded(const std::string& _service);

	/// @returns the expected time from sending a request to its first event.
	Duration expectedFirstEvent(const std::string& _service, uint64_t _promptTokens) const;

	/// Records the time from sending a request to its first event.
	void onFirstEvent(const std::string& _service, uint64_t _promptTokens, Duration _taken);

	/// Refuses the waiting requests that have not begun, and all later ones that would have to wait: this node stops.
	void stop();

private:
	/// The queue of a service. There are at most as many as services were prioritized since the start.
	struct ServiceQueue
	{
		std::shared_ptr<ServiceAccount> account;
		WaitQueue queue;
		FirstEventEstimator firstEvents;
		RecentTokens admitted;
		std::unordered_map<uint64_t, std::weak_ptr<AdmissionWaiterI>> waiters; //!< Of the queued requests.
	};

	/// State of one look for capacity.
	struct AdmissionRound
	{
		uint32_t excluded = 0;  //!< Requests that were passed over because they exclude the free targets.
		bool onlyBegun = false; //!< The lease has no tokens left: only started streams can be admitted.
	};

	ServiceQueue* find(const std::string& _service);
	const ServiceQueue* find(const std::string& _service) const;
	bool isExpectedInTime(const ServiceQueue& _queue, const PendingRequest& _request) const;
	void endWaits(ServiceQueue& _queue, const std::vector<PendingRequest>& _requests, WaitEnd::Enum _reason);
	void admitWaiting(ServiceQueue& _queue);
	bool admitNext(ServiceQueue& _queue, AdmissionRound& _round);
	void publishWaiting(ServiceQueue& _queue);
	void schedule(Duration _wait);
	void poll();

	const ClockI& clock_;
	const FleetCell& cell_;
	Timer timer_;
	std::map<std::string, ServiceQueue> queues_; //!< By service.
	uint64_t lastId_ = 0;
	bool isPollScheduled_ = false;
	bool isPollDueNow_ = false;
	bool isPolling_ = false;
	bool isStopping_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_QUEUEING_ADMISSIONCONTROLLER_H_HEADER_GUARD
