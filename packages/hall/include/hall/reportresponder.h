// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_REPORTRESPONDER_H_HEADER_GUARD
#define SEDGECART_HALL_REPORTRESPONDER_H_HEADER_GUARD

#include <base/clock.h>
#include <core/bytebudget.h>

#include <string>

namespace sedgecart
{

namespace wire
{
class HallAnswer;
class HallReport;
class TopicQuestion;
} // namespace wire

class CapacityHub;
class HubFollower;
class LoadAggregator;
class TopicCache;
struct EntrySettings;

/// Answers the reports of the nodes of the hall, as their hub, with the loads of all nodes and the updates of the
/// store. Large updates are limited to a share of the node's link. Link's thread only.
class ReportResponder
{
public:
	/// @param _hub provides whether this node is the hub and reads the store.
	ReportResponder(const EntrySettings& _settings, const ClockI& _clock, const HubFollower& _hub,
	                LoadAggregator& _board, const TopicCache& _cache);

	/// Sets what answers the demands of reports; without it they are not answered. Must be called before the first
	/// report.
	void setCapacityHub(CapacityHub& _capacity)
	{
		capacity_ = &_capacity;
	}

	void answer(const wire::HallReport& _report, wire::HallAnswer& _answer);

private:
	void answerLoads(const wire::HallReport& _report, wire::HallAnswer& _answer);
	void answerQuery(const wire::TopicQuestion& _query, bool _omitsRenewals, wire::HallAnswer& _answer);

	std::string self_;
	const ClockI& clock_;
	const HubFollower& hub_;
	LoadAggregator& aggregator_;
	const TopicCache& cache_;
	CapacityHub* capacity_ = nullptr;
	ByteBudget updateBudget_; //!< Limits the bytes of large updates.
};

} // namespace sedgecart

#endif // SEDGECART_HALL_REPORTRESPONDER_H_HEADER_GUARD
