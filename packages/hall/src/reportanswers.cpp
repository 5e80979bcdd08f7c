// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/reportanswers.h>

#include "topicnews_p.h"

#include <hall/hubfollower.h>
#include <hall/topiccache.h>
#include <loads/loadboard.h>
#include <loads/loadrows.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// Part of its link that a hub gives to large news, so that the requests that it carries and the answers to reports,
/// which are small, stay as quick as before.
constexpr double kHandOnShare = 0.5;

/// News of fewer bytes are always handed on: a report's answer without news has about as many.
constexpr std::size_t kSmallNews = 4UL * 1024;

constexpr double kBytesPerMbit = 1e6 / 8;

} // namespace

ReportAnswers::ReportAnswers(const EntrySettings& _settings, const ClockI& _clock, const HubFollower& _hub,
                             LoadBoard& _board, const TopicCache& _cache)
    : self_(_settings.name),
      clock_(_clock),
      hub_(_hub),
      board_(_board),
      cache_(_cache),
      handOn_(_settings.linkMbps * kBytesPerMbit * kHandOnShare)
{
}

void ReportAnswers::answer(const wire::HallReport& _report, wire::HallAnswer& _answer)
{
	board_.takeReport(_report.node(), _report.number(), loadTableOf(_report.loads(), clock_.now()), clock_.now());
	_answer.set_node(self_);
	_answer.set_number(_report.number());
	_answer.set_is_hub(hub_.isHub());
	_answer.set_reads(hub_.reads());
	answerLoads(_report, _answer);
	for (const wire::TopicQuestion& question : _report.questions())
	{
		answerQuestion(question, _answer);
	}
}

void ReportAnswers::answerLoads(const wire::HallReport& _report, wire::HallAnswer& _answer)
{
	const std::shared_ptr<const LoadTotals> totals = board_.totals();
	if (!totals)
	{
		return;
	}
	putLoadRows(totals->loads, clock_.now(), *_answer.mutable_totals());
	const auto counted = totals->counted.find(_report.node());
	_answer.set_counted(totals->counted.end() == counted ? 0 : counted->second);
}

/// What is not answered is asked again with the next report, until its author goes to the store.
void ReportAnswers::answerQuestion(const wire::TopicQuestion& _question, wire::HallAnswer& _answer)
{
	if (!isKnownTopic(_question.topic()))
	{
		return; // of a newer version; its author reads the store itself
	}
	const Time now = clock_.now();
	const auto topic = static_cast<KeyedTopic::Enum>(_question.topic());
	const TopicCache::Found found =
	    _question.whole() ? cache_.findWhole(topic) : cache_.find(topic, Offset{_question.from()});
	if (!found.begun)
	{
		return; // this node is still loading it
	}
	const std::size_t bytes = found.packed ? found.packed->size() : 0;
	if (found.known && kSmallNews < bytes && !handOn_.take(bytes, now))
	{
		return; // the link has enough to do
	}
	wire::TopicNews* const news = _answer.add_news();
	news->set_topic(_question.topic());
	news->set_from(_question.from());
	news->set_whole(_question.whole());
	putTopicNews(found, now, *news);
}

} // namespace sedgecart
