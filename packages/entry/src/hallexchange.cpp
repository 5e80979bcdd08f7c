// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "hallexchange_p.h"

#include "recordpack_p.h"

#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two reports. A stream takes about two seconds, so that loads change by a tenth until a total is back; news
/// of the store are late by as much.
constexpr Duration kReportPause = Duration::fromMillis(150);

/// A hub that has not answered for so long is passed over: three reports. Together with the age that news may have
/// (HallLog) it keeps a change known within two seconds when a hub dies.
constexpr Duration kSilent = Duration::fromMillis(450);

/// Reports that are kept to be taken off the totals that contain them.
constexpr std::size_t kKeptReports = 8;

/// Nodes of another hall that are told its sums while its hub is not known.
constexpr std::size_t kLikelyHubs = 2;

/// Name of the row that tells how much of the link between halls is taken; no target is named so.
constexpr const char* kLinkRow = "link between halls";

/// A target that is slower than usual by less is as usual: it costs no row in a report.
constexpr double kUsualPace = 1.05;

/// Part of its link that a hub gives to large news, so that the requests that it carries and the answers to reports,
/// which are small, stay as quick as before.
constexpr double kHandOnShare = 0.5;

/// News of fewer bytes are always handed on: a report's answer without news has about as many.
constexpr std::size_t kSmallNews = 4UL * 1024;

constexpr double kBytesPerMbit = 1e6 / 8;

using LoadRows = google::protobuf::RepeatedPtrField<wire::FleetLoadRow>;

LoadTable tableOf(const LoadRows& _rows)
{
	LoadTable table;
	for (const wire::FleetLoadRow& row : _rows)
	{
		table[row.target()] = LoadAmount{row.token_layers(), row.requests(), row.suspicion(), row.pace()};
	}
	return table;
}

void putRows(const LoadTable& _table, LoadRows& _rows)
{
	for (const auto& row : _table)
	{
		wire::FleetLoadRow* const out = _rows.Add();
		out->set_target(row.first);
		out->set_token_layers(row.second.tokenLayers);
		out->set_requests(row.second.requests);
		out->set_pace(row.second.pace);
		out->set_suspicion(row.second.suspicion);
	}
}

bool isTopic(uint32_t _number)
{
	return _number < KeyedTopic::Count;
}

void putNews(const TopicCache::Found& _found, Time _now, wire::TopicNews& _news)
{
	_news.set_known(_found.known);
	_news.set_end(_found.end.value);
	_news.set_age_us(static_cast<uint64_t>(std::max<int64_t>(0, (_now - _found.provenAt).micros)));
	if (_found.packed)
	{
		_news.set_packed(*_found.packed);
		return;
	}
	for (const KeyedRecord& record : _found.records)
	{
		putRecord(record, *_news.add_records());
	}
}

HallLog::News newsOf(const wire::TopicNews& _news)
{
	HallLog::News news;
	news.topic = static_cast<KeyedTopic::Enum>(_news.topic());
	news.from = Offset{_news.from()};
	news.whole = _news.whole();
	news.known = _news.known();
	news.page.state = StoreState::Done;
	news.page.end = Offset{_news.end()};
	news.page.age = Duration{static_cast<int64_t>(_news.age_us())};
	for (const wire::TopicRecord& record : _news.records())
	{
		news.page.records.push_back(recordOf(record));
	}
	if (!_news.packed().empty() && !unpackRecords(_news.packed(), news.page.records))
	{
		logEvent(LogPart::Store, LogLevel::Error, "Records that a hub handed on cannot be read, the store is asked.",
		         {{"topic", std::to_string(_news.topic())}, {"bytes", std::to_string(_news.packed().size())}});
		news.known = false;
	}
	return news;
}

} // namespace

HallExchange::HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
                           const FleetController& _fleet, HallLog& _log, const TopicCache& _cache)
    : loop_(_loop),
      timer_(_loop),
      name_(_settings.name),
      hall_(_settings.hall),
      clock_(_clock),
      fleet_(_fleet),
      log_(_log),
      cache_(_cache),
      choice_(_settings.name),
      handOn_(_settings.linkMbps * kBytesPerMbit * kHandOnShare)
{
	_log.setWatch(*this);
	PeerSettings settings;
	settings.endpoint = peerAddress(_settings);
	link_ = std::make_unique<PeerLink>(settings, *this);
}

void HallExchange::start()
{
	tick();
}

void HallExchange::onNodesChanged()
{
	choice_.setCandidates(candidatesOf(hall_));
}

std::vector<HubCandidate> HallExchange::candidatesOf(const std::string& _hall) const
{
	std::vector<HubCandidate> candidates;
	for (const auto& row : fleet_.nodes())
	{
		if (_hall == row.second.hall)
		{
			candidates.push_back(HubCandidate{row.first, row.second.cpuShare});
		}
	}
	return candidates;
}

void HallExchange::tick()
{
	const Time now = clock_.now();
	noteSilence(now);
	follow(choice_.choose(now));
	const LoadTable own = ownLoads();
	if (name_ == hub_.name)
	{
		addUp(own);
	}
	else
	{
		report(hub_, own);
	}
	timer_.expires_after(std::chrono::microseconds(kReportPause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void HallExchange::noteSilence(Time _now)
{
	if (0 != askedAt_.micros && askedAt_ + kSilent < _now)
	{
		choice_.onSilent(hub_.name, _now);
		askedAt_ = Time{};
	}
}

void HallExchange::follow(const Hub& _hub)
{
	const bool changed = hub_.name != _hub.name || hub_.reads != _hub.reads;
	const bool isSelf = name_ == _hub.name;
	if (changed)
	{
		logEvent(LogPart::Store, LogLevel::Info, "Hub of the hall is chosen.",
		         {{"hub", _hub.name}, {"before", hub_.name}, {"reads", _hub.reads ? "true" : "false"}});
		askedAt_ = Time{};
		answered_ = reports_; // what another hub still answers counts no more
		hub_ = _hub;
	}
	isHub_.store(isSelf);
	reads_.store(isSelf && _hub.reads && choice_.storeAnswers());
	if (isSelf && _hub.reads)
	{
		log_.setWay(choice_.storeAnswers() ? HallLog::Way::Store : HallLog::Way::Try);
		return;
	}
	log_.setWay(HallLog::Way::Hub);
}

void HallExchange::onStoreRead(bool _answered)
{
	choice_.onStore(_answered, clock_.now());
	follow(choice_.choose(clock_.now()));
}

void HallExchange::report(const Hub& _hub, const LoadTable& _own)
{
	const std::string address = addressOf(_hub.name);
	if (address.empty())
	{
		return; // it left the registry of nodes a moment ago
	}
	connect({address});
	wire::PeerMessage message;
	wire::HallReport* const report = message.mutable_hall_report();
	report->set_node(name_);
	report->set_number(++reports_);
	putRows(_own, *report->mutable_loads());
	for (const HallLog::Question& question : log_.questions(reports_))
	{
		wire::TopicQuestion* const out = report->add_questions();
		out->set_topic(question.topic);
		out->set_from(question.from.value);
		out->set_whole(question.whole);
	}
	link_->send(address, message);
	sent_.push_back(Sent{reports_, _own});
	if (kKeptReports < sent_.size())
	{
		sent_.pop_front();
	}
	askedAt_ = 0 == askedAt_.micros ? clock_.now() : askedAt_;
}

void HallExchange::addUp(const LoadTable& _own)
{
	const LoadTable hall = board_.addUp(_own, clock_.now());
	LoadTable others = board_.totals()->loads;
	subtractLoads(others, _own);
	setOthers(others);
	tellHubs(hall);
}

void HallExchange::tellHubs(const LoadTable& _hall)
{
	const std::vector<std::string> hubs = otherHubs();
	std::vector<std::string> addresses;
	for (const std::string& hub : hubs)
	{
		addresses.push_back(addressOf(hub)); // each is in the registry of nodes
	}
	connect(addresses);
	if (addresses.empty())
	{
		return;
	}
	wire::PeerMessage message;
	message.mutable_hall_sum()->set_node(name_);
	putRows(_hall, *message.mutable_hall_sum()->mutable_loads());
	for (const std::string& address : addresses)
	{
		link_->send(address, message);
	}
}

/// @returns the hubs that were heard lately, and of each hall without one the nodes that are most likely its hub.
std::vector<std::string> HallExchange::otherHubs() const
{
	std::vector<std::string> hubs;
	std::set<std::string> halls{hall_};
	for (const std::string& hub : board_.hubs(clock_.now()))
	{
		const auto node = fleet_.nodes().find(hub);
		if (fleet_.nodes().end() != node)
		{
			hubs.push_back(hub);
			halls.insert(node->second.hall);
		}
	}
	for (const auto& row : fleet_.nodes())
	{
		if (!halls.insert(row.second.hall).second)
		{
			continue;
		}
		const std::vector<std::string> likely = firstNodes(row.second.hall);
		hubs.insert(hubs.end(), likely.begin(), likely.end());
	}
	return hubs;
}

std::vector<std::string> HallExchange::firstNodes(const std::string& _hall) const
{
	std::vector<HubCandidate> candidates = candidatesOf(_hall);
	sortHubCandidates(candidates);
	std::vector<std::string> names;
	for (std::size_t index = 0; index < std::min(kLikelyHubs, candidates.size()); ++index)
	{
		names.push_back(candidates[index].name);
	}
	return names;
}

void HallExchange::connect(const std::vector<std::string>& _addresses)
{
	if (connected_ != _addresses)
	{
		connected_ = _addresses;
		link_->setPeers(connected_);
	}
}

std::string HallExchange::addressOf(const std::string& _node) const
{
	const auto node = fleet_.nodes().find(_node);
	return fleet_.nodes().end() == node ? std::string() : node->second.address;
}

void HallExchange::onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	if (_message.has_hall_report())
	{
		answer(_message.hall_report(), *_reply.mutable_hall_answer());
	}
	else if (_message.has_hall_sum())
	{
		const wire::HallSum& sum = _message.hall_sum();
		board_.takeSum(sum.node(), tableOf(sum.loads()), clock_.now());
	}
	else if (_message.has_hall_answer())
	{
		boost::asio::post(loop_,
		                  [this, answer = _message.hall_answer()]
		                  {
			                  onAnswer(answer);
		                  });
	}
}

/// Link's thread.
void HallExchange::answer(const wire::HallReport& _report, wire::HallAnswer& _answer)
{
	const Time now = clock_.now();
	board_.takeReport(_report.node(), _report.number(), tableOf(_report.loads()), now);
	_answer.set_node(name_);
	_answer.set_number(_report.number());
	_answer.set_is_hub(isHub_.load());
	_answer.set_reads(reads_.load());
	const std::shared_ptr<const LoadTotals> totals = board_.totals();
	if (totals)
	{
		putRows(totals->loads, *_answer.mutable_totals());
		const auto counted = totals->counted.find(_report.node());
		_answer.set_counted(totals->counted.end() == counted ? 0 : counted->second);
	}
	for (const wire::TopicQuestion& question : _report.questions())
	{
		answerQuestion(question, _answer);
	}
}

/// Link's thread. What is not answered is asked again with the next report, until its author goes to the store.
void HallExchange::answerQuestion(const wire::TopicQuestion& _question, wire::HallAnswer& _answer)
{
	if (!isTopic(_question.topic()))
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
	putNews(found, now, *news);
}

void HallExchange::onAnswer(const wire::HallAnswer& _answer)
{
	if (hub_.name != _answer.node() || _answer.number() <= answered_ || reports_ < _answer.number())
	{
		return; // of a hub that was left
	}
	noteAnswered(_answer.number());
	const bool fresh = _answer.reads() && takeNews(_answer);
	choice_.onAnswer(_answer.node(), fresh, clock_.now());
	if (_answer.is_hub())
	{
		takeTotals(_answer);
	}
}

/// An answer that comes after the next report was sent is as good: a hub that sends much at once is late, not silent.
void HallExchange::noteAnswered(uint64_t _number)
{
	answered_ = _number;
	askedAt_ = reports_ == _number ? Time{} : clock_.now();
}

/// @returns false if something is too old to go by.
bool HallExchange::takeNews(const wire::HallAnswer& _answer)
{
	bool fresh = true;
	for (const wire::TopicNews& news : _answer.news())
	{
		fresh = !isTopic(news.topic()) || log_.onNews(newsOf(news), _answer.number()) ? fresh : false;
	}
	log_.releaseOverdue();
	return fresh;
}

void HallExchange::takeTotals(const wire::HallAnswer& _answer)
{
	LoadTable others = tableOf(_answer.totals());
	for (const Sent& sent : sent_)
	{
		if (sent.number == _answer.counted())
		{
			subtractLoads(others, sent.loads);
		}
	}
	setOthers(others);
}

LoadTable HallExchange::ownLoads() const
{
	LoadTable loads;
	const Time now = clock_.now();
	for (const auto& row : fleet_.loads())
	{
		const double pace = row.second->polledPace.load(std::memory_order_relaxed);
		const LoadAmount amount{row.second->tokenLayers.load(std::memory_order_relaxed),
		                        row.second->requests.load(std::memory_order_relaxed), row.second->ownSuspicion(now),
		                        kUsualPace < pace ? pace : 0};
		if (0 < amount.tokenLayers || 0 < amount.requests || 0 < amount.suspicion || 0 < amount.pace)
		{
			loads[row.first] = amount;
		}
	}
	const Duration link = fleet_.link().own(now);
	if (0 < link.micros)
	{
		loads[kLinkRow].tokenLayers = static_cast<uint64_t>(link.micros);
	}
	return loads;
}

void HallExchange::setOthers(const LoadTable& _others)
{
	for (const auto& row : fleet_.loads())
	{
		const auto found = _others.find(row.first);
		const LoadAmount amount = _others.end() == found ? LoadAmount{} : found->second;
		row.second->othersTokenLayers.store(amount.tokenLayers, std::memory_order_relaxed);
		row.second->othersRequests.store(amount.requests, std::memory_order_relaxed);
		row.second->othersSuspicion.store(amount.suspicion, std::memory_order_relaxed);
		row.second->toldPace.store(std::max(1.0, amount.pace), std::memory_order_relaxed);
	}
	const auto link = _others.find(kLinkRow);
	fleet_.link().setOthers(Duration{_others.end() == link ? 0 : static_cast<int64_t>(link->second.tokenLayers)});
}

} // namespace sedgecart
