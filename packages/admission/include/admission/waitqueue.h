// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `admission`: the order in which requests of prioritized services wait for capacity, and who is refused.

#ifndef SEDGECART_ADMISSION_WAITQUEUE_H_HEADER_GUARD
#define SEDGECART_ADMISSION_WAITQUEUE_H_HEADER_GUARD

#include <admission/pendingrequest.h>
#include <base/units.h>
#include <demand/servicedemand.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sedgecart
{

class UrgencyQueue;

/// Streams of one prioritized service that wait for capacity on this node, while more are sent than the targets can
/// hold: a burst of one urgency or of one customer, or the loss of targets.
///
/// Order: started streams that can still meet their gap objective; then by urgency, where each urgency with waiting
/// requests gets at least `kUrgencyFloor` of the admitted tokens; within an urgency start-time fair queueing across
/// customers; within a customer the earliest `startBy`. Not thread-safe.
class WaitQueue
{
public:
	/// Maximum number of requests. Within an objective of 1 s a node admits fewer than these; it bounds the memory.
	static constexpr std::size_t kMaxRequests = 512;

	/// Least share of the admitted tokens of each urgency that has waiting requests.
	static constexpr double kUrgencyFloor = 0.1;

	struct PushOutcome
	{
		bool isQueued = false;                 //!< False: refused.
		std::size_t ahead = 0;                 //!< Requests that are at least as urgent and were queued before.
		std::vector<PendingRequest> displaced; //!< Less urgent requests that left the queue in favor of this one.
	};

	explicit WaitQueue(std::size_t _maxRequests = kMaxRequests);
	~WaitQueue();

	/// Queues a request. If it does not fit, it displaces requests that are less urgent and have not begun, the least
	/// urgent first; it is refused if these are not enough.
	/// @param _request its id must not be queued.
	/// @param _hasRoom false if the forecast has no room for it beyond the queued requests: it then has to displace at
	/// least its tokens. Ignored for a request that has begun.
	PushOutcome push(const PendingRequest& _request, bool _hasRoom);

	/// @returns the request to admit next; null if none waits or all were passed over.
	const PendingRequest* next() const;

	/// @returns true if `next` is the turn of an urgency's floor, while more urgent requests wait.
	bool isNextByFloor() const;

	/// @returns the started stream to admit next, also behind requests that have not begun; null if none waits or all
	/// were passed over.
	const PendingRequest* nextBegun() const;

	/// Removes a request that is admitted.
	/// @param _id of a queued request that was not passed over.
	void admit(uint64_t _id);

	/// Leaves a request out until `restorePassedOver`, since it cannot use the free capacity.
	/// @param _id of a queued request that was not passed over.
	void passOver(uint64_t _id);

	/// Makes `next` consider all requests again.
	void restorePassedOver();

	/// Removes a request at any position.
	/// @returns false if it is not queued.
	bool remove(uint64_t _id);

	/// Removes and returns the requests whose wait has expired. Started streams that no longer meet their gap objective
	/// move behind those that do.
	std::vector<PendingRequest> expire(Time _now);

	/// Charges a customer for a request that was admitted without a wait.
	void charge(const std::string& _customer, uint32_t _urgency, uint64_t _tokens);

	/// @returns all queued requests, in no order.
	std::vector<PendingRequest> requests() const;

	std::size_t size() const
	{
		return requests_.size();
	}

	/// @returns the tokens of the queued requests, by urgency.
	const UrgencyTokens& tokens() const
	{
		return tokens_;
	}

private:
	/// Key of a started stream: urgency and `startBy` in microseconds, then id.
	using BegunKey = std::pair<std::pair<uint32_t, int64_t>, uint64_t>;

	/// Time in microseconds and id.
	using AlarmKey = std::pair<int64_t, uint64_t>;

	struct Entry
	{
		PendingRequest request;
		bool isOnTime = false; //!< It has begun and can still meet its gap objective.
		bool isPassedOver = false;
	};

	static BegunKey begunKey(const PendingRequest& _request);
	static AlarmKey alarmKey(const Entry& _entry);
	const UrgencyQueue* nextClass() const;
	void insert(const Entry& _entry);
	void erase(const Entry& _entry);
	void removeAll(const Entry& _entry);
	void demote(Entry& _entry);
	void creditFloors(const PendingRequest& _admitted);
	bool displaceFor(const PendingRequest& _request, uint64_t _tokens, std::vector<PendingRequest>& _displaced);
	std::size_t ahead(const PendingRequest& _request) const;

	const std::size_t maxRequests_;
	std::unordered_map<uint64_t, Entry> requests_; //!< By id.
	std::set<BegunKey> begun_;                     //!< Those on time, in the order of admission.
	std::set<BegunKey> lateBegun_;                 //!< Those that miss their gap objective; also in `classes_`.
	std::array<std::unique_ptr<UrgencyQueue>, kUrgencies> classes_;
	std::array<double, kUrgencies>
	    floorCredit_{};         //!< Tokens that an urgency with waiting requests is short of its floor.
	std::set<AlarmKey> alarms_; //!< When each request expires or ceases to be on time.
	std::vector<uint64_t> passedOver_;
	UrgencyTokens tokens_{};
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_WAITQUEUE_H_HEADER_GUARD
