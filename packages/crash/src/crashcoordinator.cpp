// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <crash/crashcoordinator.h>

#include <fleet/fleetview.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// How long each report includes new information: in about six reports, so that nothing is lost if messages are dropped
/// or the hub changes.
constexpr Duration kReportedFor = Duration::fromMillis(1000);

/// If the store has no record of a blocked request after this time, any hub that knows of the request writes it. Before
/// that, only hubs whose hall observed a crash do.
constexpr Duration kOtherHubsWriteDelay = Duration::fromMillis(1000);

/// Minimum time between two attempts to write a blocked request.
constexpr Duration kWriteRetryDelay = Duration::fromMillis(1000);

/// How long a suspected prompt part is held: the hub decides after `CrashLedger::kObjectionTime`, and its verdict has
/// to reach all nodes.
constexpr Duration kHoldTime = CrashLedger::kObjectionTime + CrashLedger::kObjectionTime;

/// Maximum number of blocked requests in the store. It takes three target crashes to get one blocked.
constexpr std::size_t kMaxStoredRequests = 1024;

bool isSameState(const std::vector<CrashSuspect>& _a, const std::vector<CrashSuspect>& _b)
{
	return std::equal(_a.begin(), _a.end(), _b.begin(), _b.end(),
	                  [](const CrashSuspect& _x, const CrashSuspect& _y)
	                  {
		                  return _x.request == _y.request && _x.blocked == _y.blocked && _x.crashes == _y.crashes;
	                  });
}

std::string textOf(const std::vector<TargetIncarnation>& _targets)
{
	std::string text;
	for (const TargetIncarnation& target : _targets)
	{
		text += (text.empty() ? "" : ",") + target.instance.text;
	}
	return text;
}

} // namespace

CrashCoordinator::CrashCoordinator(KeyedLogI& _log, const ClockI& _clock, FleetCell& _cell, const std::string& _self)
    : log_(_log),
      clock_(_clock),
      cell_(_cell),
      self_(_self)
{
}

Time CrashCoordinator::updatesSince() const
{
	return Time{clock_.now().micros - kReportedFor.micros};
}

void CrashCoordinator::recordCrash(const LostRuns& _runs, const TargetIncarnation& _target)
{
	const Time now = clock_.now();
	uint32_t newRows = 0;
	for (const auto& run : _runs)
	{
		newRows += ledger_.recordCrash(CrashRow{run.first, _target, run.second}, CrashSource::Own, now) ? 1 : 0;
	}
	const auto parts = static_cast<std::size_t>(std::count_if(_runs.begin(), _runs.end(),
	                                                          [](const LostRuns::value_type& _run)
	                                                          {
		                                                          return _run.first.isPromptPart();
	                                                          }));
	if (nullptr != metrics_)
	{
		metrics_->add(Counter::TargetCrashes);
	}
	logEvent(LogPart::Targets, LogLevel::Warning, "Target ended under requests.",
	         {{"target", _target.instance.text},
	          {"born", std::to_string(_target.startTime.unixMillis)},
	          {"requests", std::to_string(_runs.size() - parts)},
	          {"prompt_parts", std::to_string(parts)},
	          {"news", std::to_string(newRows)},
	          {"identity", 1 == _runs.size() ? _runs.begin()->first.text() : std::string()}});
	refresh();
	if (0 < newRows)
	{
		notifyUpdate();
	}
}

void CrashCoordinator::recordResponse(const RequestIdentity& _request)
{
	if (ledger_.recordResponse(_request, CrashSource::Own, clock_.now()))
	{
		logRequest(_request, "Request is no longer suspected.", "answered");
		notifyUpdate(); // before the hub blocks it
	}
	refresh();
}

void CrashCoordinator::tick(const std::string& _hub)
{
	const Time now = clock_.now();
	if (hub_ != _hub)
	{
		ledger_.reportOwnAgain(now); // the previous hub may not have forwarded it
	}
	hub_ = _hub;
	isHub_ = self_ == _hub;
	for (const RequestIdentity& request : ledger_.expire(now))
	{
		logRequest(request, "Request is no longer blocked.", "time");
	}
	for (const RequestIdentity& request : neverBlocked_)
	{
		ledger_.clear(request, now);
	}
	refresh();
	syncStore(now);
}

CrashUpdate CrashCoordinator::reportUpdate() const
{
	const std::set<CrashSource::Enum> own = {CrashSource::Own};
	return CrashUpdate{ledger_.crashesSince(updatesSince(), own), ledger_.responsesSince(updatesSince(), own), {}};
}

CrashUpdate CrashCoordinator::sumUpdate() const
{
	const std::set<CrashSource::Enum> hall = {CrashSource::Own, CrashSource::Hall};
	return CrashUpdate{ledger_.crashesSince(updatesSince(), hall), ledger_.responsesSince(updatesSince(), hall), {}};
}

void CrashCoordinator::applyReport(const CrashUpdate& _update)
{
	apply(_update, CrashSource::Hall);
}

void CrashCoordinator::applySum(const CrashUpdate& _update)
{
	apply(_update, CrashSource::Fleet);
}

void CrashCoordinator::apply(const CrashUpdate& _update, CrashSource::Enum _source)
{
	const Time now = clock_.now();
	bool hasNew = false;
	for (const RequestIdentity& request : _update.answered)
	{
		hasNew = ledger_.recordResponse(request, _source, now) || hasNew;
	}
	for (const CrashRow& row : _update.crashes)
	{
		hasNew = ledger_.recordCrash(row, _source, now) || hasNew;
	}
	if (!hasNew)
	{
		return;
	}
	refresh();
	if (CrashSource::Hall == _source)
	{
		notifyUpdate(); // to the hubs of other halls
	}
}

void CrashCoordinator::applyAnswer(const CrashUpdate& _update)
{
	const Time now = clock_.now();
	for (const RequestIdentity& request : _update.answered)
	{
		ledger_.recordResponse(request, CrashSource::Fleet, now);
	}
	for (const CrashSuspect& suspect : _update.suspects)
	{
		ledger_.applyReported(suspect, now);
	}
	if (!_update.empty())
	{
		refresh();
	}
}

void CrashCoordinator::writeAnswer(wire::CrashNews& _out) const
{
	std::shared_ptr<const CrashUpdate> update;
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		update = answerUpdate_;
	}
	if (update)
	{
		putCrashUpdate(*update, _out);
	}
}

void CrashCoordinator::notifyUpdate() const
{
	if (onUpdate_)
	{
		onUpdate_();
	}
}

/// Blocks requests that are proven to crash targets. Only a hub may do so, since it receives the observations of all
/// nodes: those of others may explain what this node observed.
void CrashCoordinator::blockProven()
{
	const Time now = clock_.now();
	for (const RequestIdentity& request : ledger_.blockProven(now))
	{
		if (nullptr != metrics_)
		{
			metrics_->add(Counter::RequestsBlocked);
		}
		logRequest(request, "Request is blocked.", "targets end under it");
		const std::vector<CrashRow> observed =
		    ledger_.crashesSince(Time{INT64_MIN}, {CrashSource::Own, CrashSource::Hall});
		const bool isOwnHall = std::any_of(observed.begin(), observed.end(),
		                                   [&request](const CrashRow& _row)
		                                   {
			                                   return request == _row.request;
		                                   });
		appendDue_[request] = isOwnHall ? now : now + kOtherHubsWriteDelay;
	}
}

void CrashCoordinator::logRequest(const RequestIdentity& _request, const char* _message, const char* _cause) const
{
	const std::vector<TargetIncarnation> targets = ledger_.crashesOf(_request);
	logEvent(LogPart::Requests, LogLevel::Warning, _message,
	         {{"identity", _request.text()},
	          {"kind", _request.isPromptPart() ? "prompt_part" : "request"},
	          {"cause", _cause},
	          {"crashes", std::to_string(targets.size())},
	          {"targets", textOf(targets)},
	          {"blocked_s", std::to_string(CrashLedger::kBlockDuration.millis() / 1000)}});
}

bool CrashCoordinator::isBlocked(const RequestIdentity& _request) const
{
	return std::any_of(published_.begin(), published_.end(),
	                   [&_request](const CrashSuspect& _suspect)
	                   {
		                   return _suspect.blocked && _request == _suspect.request;
	                   });
}

/// Writes blocked requests that the store lacks, and removes those that are no longer blocked. Only on a hub.
void CrashCoordinator::syncStore(Time _now)
{
	if (!isHub_)
	{
		appendDue_.clear();
		return;
	}
	for (const RequestIdentity& request : storedRequests_)
	{
		if (!isBlocked(request))
		{
			append(request, std::string());
		}
	}
	for (auto row = appendDue_.begin(); appendDue_.end() != row;)
	{
		const bool isDone = 0 < storedRequests_.count(row->first) || !isBlocked(row->first);
		if (!isDone && row->second < _now + Duration{1} && storedRequests_.size() < kMaxStoredRequests)
		{
			row->second = _now + kWriteRetryDelay;
			append(row->first, writeBlockedRecord(row->first, BlockedRecord{ledger_.crashesOf(row->first), self_}));
		}
		row = isDone ? appendDue_.erase(row) : std::next(row);
	}
}

void CrashCoordinator::append(const RequestIdentity& _request, const std::string& _value)
{
	if (!pendingAppends_.insert(_request).second)
	{
		return;
	}
	log_.append(KeyedTopic::Blocked, _request.text(), _value, std::nullopt,
	            [this, _request](const KeyedAppend& _outcome)
	            {
		            pendingAppends_.erase(_request);
		            if (StoreState::Done != _outcome.state)
		            {
			            logEvent(LogPart::Store, LogLevel::Info,
			                     "Blocked request could not be written to the store, it will be retried.",
			                     {{"identity", _request.text()}, {"outcome", nameOf(_outcome.state)}});
		            }
	            });
}

void CrashCoordinator::onRecord(const KeyedRecord& _record)
{
	RequestIdentity request;
	if (_record.removed)
	{
		cell_.skippedRecords.onRemoved(RecordKind::BlockedRequest, _record.key);
		if (RequestIdentity::parse(_record.key, request) && 0 < storedRequests_.erase(request))
		{
			if (isBlocked(request))
			{
				ledger_.release(request);
				logRequest(request, "Request is no longer blocked.", "released");
			}
			refresh();
		}
		return;
	}
	BlockedRecord read;
	const RecordFault::Enum fault = readBlockedRecord(_record.key, _record.value, request, read);
	if (RecordFault::None != fault)
	{
		cell_.skippedRecords.onSkipped(RecordKind::BlockedRequest, _record.key, fault);
		return;
	}
	cell_.skippedRecords.onValid(RecordKind::BlockedRequest, _record.key);
	storedRequests_.insert(request);
	ledger_.recordBlocked(request, read.crashes, clock_.now());
	refresh();
}

void CrashCoordinator::refresh()
{
	if (isHub_)
	{
		blockProven();
	}
	const Time now = clock_.now();
	const std::vector<CrashSuspect> suspects = ledger_.suspects(now);
	if (!isSameState(published_, suspects))
	{
		publish(suspects, now);
	}
	auto update = std::make_shared<CrashUpdate>();
	update->answered =
	    ledger_.responsesSince(updatesSince(), {CrashSource::Own, CrashSource::Hall, CrashSource::Fleet});
	update->suspects = ledger_.suspectsSince(updatesSince(), now);
	const std::lock_guard<std::mutex> lock(mutex_);
	answerUpdate_ = update->empty() ? nullptr : std::move(update);
}

/// A suspected prompt part is held until the hub has decided, anew with each crash. If it blocks the part neither then
/// nor after the next crash, the crashes had another cause.
Time CrashCoordinator::heldUntil(const CrashSuspect& _suspect, Time _now) const
{
	const RcuCell<SuspectTable>::Reader table(cell_.suspects);
	const auto known = table->rows.find(_suspect.request);
	const bool isKnown = table->rows.end() != known && _suspect.crashes <= known->second.crashes;
	return isKnown ? known->second.heldUntil : _now + kHoldTime;
}

void CrashCoordinator::publish(const std::vector<CrashSuspect>& _suspects, Time _now)
{
	published_ = _suspects;
	auto table = std::make_unique<SuspectTable>();
	for (const CrashSuspect& suspect : _suspects)
	{
		table->rows[suspect.request] =
		    Suspect{suspect.crashes, suspect.blocked, _now + suspect.blockedFor, heldUntil(suspect, _now)};
	}
	cell_.suspects.publish(std::move(table));
	if (onSuspects_)
	{
		onSuspects_();
	}
}

} // namespace sedgecart
