// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/reportresponder.h>

#include "reportnumber_p.h"
#include "topicupdate_p.h"

#include <hall/capacityhub.h>
#include <hall/hubfollower.h>
#include <hall/topiccache.h>
#include <loads/loadaggregator.h>
#include <loads/loadrows.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// Share of its link that a hub uses for large updates, so that they do not slow down the requests that the link
/// carries and the answers to reports, which are small.
constexpr double kUpdateLinkShare = 0.5;

/// Updates of fewer bytes are always sent: the answer to a report has about as many without any update.
constexpr std::size_t kSmallUpdateBytes = 4UL * 1024;

constexpr double kBytesPerMbit = 1e6 / 8;

} // namespace

ReportResponder::ReportResponder(const EntrySettings& _settings, const ClockI& _clock, const HubFollower& _hub,
                                 LoadAggregator& _board, const TopicCache& _cache)
    : self_(_settings.name),
      clock_(_clock),
      hub_(_hub),
      aggregator_(_board),
      cache_(_cache),
      updateBudget_(_settings.linkMbps * kBytesPerMbit * kUpdateLinkShare)
{
}

void ReportResponder::answer(const wire::HallReport& _report, wire::HallAnswer& _answer)
{
	_answer.set_node(self_);
	_answer.set_number(_report.number());
	_answer.set_is_hub(hub_.isHub());
	_answer.set_reads(hub_.reads());
	if (kUncountedReport != _report.number())
	{
		aggregator_.onReport(_report.node(), _report.number(), loadTableOf(_report.loads(), clock_.now()),
		                     clock_.now());
		answerLoads(_report, _answer);
		if (nullptr != capacity_)
		{
			capacity_->answer(_report, _answer.is_hub(), _answer);
		}
	}
	for (const wire::TopicQuestion& query : _report.questions())
	{
		answerQuery(query, _report.takes_changes(), _answer);
	}
}

void ReportResponder::answerLoads(const wire::HallReport& _report, wire::HallAnswer& _answer)
{
	const std::shared_ptr<const LoadTotals> totals = aggregator_.totals();
	if (!totals)
	{
		return;
	}
	if (_report.takes_changes())
	{
		const LoadUpdate update = aggregator_.updateSince(_report.totals_version());
		_answer.set_totals_version(update.version);
		_answer.set_totals_base(update.base);
		putLoadRows(*update.rows, clock_.now(), *_answer.mutable_totals());
	}
	else
	{
		putLoadRows(totals->loads, clock_.now(), *_answer.mutable_totals()); // a node of an earlier version
	}
	const auto counted = totals->countedReports.find(_report.node());
	_answer.set_counted(totals->countedReports.end() == counted ? 0 : counted->second);
}

/// A query that is not answered is repeated with the next report, until its sender reads the store itself. A node of an
/// earlier version would take an answer that omits the last records for an incomplete one.
/// @param _omitsRenewals the sender expects answers that omit records which change nothing.
void ReportResponder::answerQuery(const wire::TopicQuestion& _query, bool _omitsRenewals, wire::HallAnswer& _answer)
{
	if (!isKnownTopic(_query.topic()))
	{
		return; // from a newer version; its sender reads the store itself
	}
	const Time now = clock_.now();
	const auto topic = static_cast<KeyedTopic::Enum>(_query.topic());
	const TopicCache::Lookup found =
	    _query.whole() ? cache_.findSnapshot(topic) : cache_.find(topic, Offset{_query.from()});
	if (!found.loaded)
	{
		return; // this node is still loading the topic
	}
	const std::size_t bytes = found.packed ? found.packed->size() : 0;
	if (found.known && kSmallUpdateBytes < bytes && !updateBudget_.tryTake(bytes, now))
	{
		return; // the budget of the link is used up
	}
	wire::TopicNews* const update = _answer.add_news();
	update->set_topic(_query.topic());
	update->set_from(_query.from());
	update->set_whole(_query.whole());
	putTopicUpdate(found, _omitsRenewals ? found.end : found.recordsEnd, now, *update);
}

} // namespace sedgecart
