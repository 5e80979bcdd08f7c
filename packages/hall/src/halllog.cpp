// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/halllog.h>

#include <base/digest.h>
#include <fleet/skippedrecords.h>
#include <logging/logging.h>
#include <ports/documentparser.h>

#include <algorithm>
#include <memory>

namespace sedgecart
{

namespace
{

/// Maximum age of the store read that confirms the hub's state of a topic. The hub's reads of the operator's topic wait
/// 1 s, those of the targets' topic are 0.9 s apart, and a slow store takes 0.2 s; a change must be known within two
/// seconds even when the hub fails. Reads of the other topics wait 20 s; these topics are fresh while the first two
/// are.
constexpr Duration kMaxAge[] = {
    Duration::fromMillis(2500),  // Operator
    Duration::fromMillis(1500),  // Runners
    Duration::fromMillis(60000), // Nodes
    Duration::fromMillis(60000), // Layout
    Duration::fromMillis(60000), // Blocked
};
static_assert(KeyedTopic::Count == sizeof(kMaxAge) / sizeof(kMaxAge[0]), "each topic needs a bound");

/// Minimum and maximum time that a read waits for a hub that answers other queries. A hub loads within some tenths of a
/// second; records that it cannot forward must come from the store well before the two seconds within which a change
/// must be known. The times are spread over the nodes, so that those of a hall do not read the store all at once.
constexpr Duration kMinHubTimeout = Duration::fromMillis(800);
constexpr Duration kMaxHubTimeout = Duration::fromMillis(1600);

/// Topics that are rarely updated: their reads wait long, and their readers are seldom out of date.
constexpr bool kRarelyUpdated[] = {
    false, // Operator
    false, // Runners
    true,  // Nodes
    true,  // Layout
    true,  // Blocked
};
static_assert(KeyedTopic::Count == sizeof(kRarelyUpdated) / sizeof(kRarelyUpdated[0]), "each topic needs an entry");

/// A node whose reads have been sent to the store for longer than this is expected to continue, not just until the hub
/// has recovered.
constexpr Duration kStoreModeSettled = Duration::fromMillis(750);

/// A node whose reads are sent to the store again within this time has found no hub that reads it.
constexpr Duration kStoreModeBreak = Duration::fromMillis(500);

/// Maximum number of bytes of a record's value that are retained, by topic; 0: no bound, since only the operator writes
/// there. A longer value is truncated to one byte more than the bound, so that its reader detects that it is too large.
/// Values of other writers may have any size, and every node would retain and forward them.
constexpr std::size_t kMaxValueBytes[] = {
    0,                 // Operator
    kMaxRunnerBytes,   // Runners
    16UL * 1024,       // Nodes
    4UL * 1024 * 1024, // Layout
    16UL * 1024,       // Blocked
};
static_assert(KeyedTopic::Count == sizeof(kMaxValueBytes) / sizeof(kMaxValueBytes[0]), "each topic needs a bound");

/// @returns true if the records can be the result of the read: within its bounds and, if they are an update, in order.
bool isConsistent(const HallLog::TopicUpdate& _update)
{
	const KeyedPage& page = _update.page;
	uint64_t least = _update.snapshot ? 0 : _update.from.value;
	if (page.end.value < least)
	{
		return false;
	}
	for (const KeyedRecord& record : page.records)
	{
		if (record.offset.value < least || page.end.value <= record.offset.value)
		{
			return false;
		}
		least = _update.snapshot ? 0 : record.offset.value + 1;
	}
	return true;
}

/// @returns how long reads of a node wait for a hub that answers other queries.
Duration hubTimeoutOf(const std::string& _node)
{
	const auto spread = static_cast<uint64_t>(kMaxHubTimeout.micros - kMinHubTimeout.micros);
	return Duration{kMinHubTimeout.micros + static_cast<int64_t>(hash64(_node) % spread)};
}

} // namespace

HallLog::HallLog(KeyedLogI& _store, const ClockI& _clock, TopicCache& _cache, const std::string& _node)
    : store_(_store),
      clock_(_clock),
      cache_(_cache),
      hubTimeout_(hubTimeoutOf(_node))
{
}

void HallLog::setReadListener(StoreReadListenerI& _listener)
{
	readListener_ = &_listener;
}

void HallLog::setAddress(const std::string& _address)
{
	store_.setAddress(_address);
}

void HallLog::readNewest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCallback _call)
{
	// The topic of nodes is loaded first, and from the store, since no hub is known before it has been read.
	const bool isFirstPage = _afterKey.empty();
	if (KeyedTopic::Nodes == _topic && !isFirstPage && loadsThroughHub_ && nullptr != registrySource_ &&
	    registrySource_->requestRegistry())
	{
		registryLoad_ = RegistryLoad{_afterKey, std::move(_call), clock_.now()};
		return;
	}
	if (!isFirstPage || !loadsThroughHub_ || KeyedTopic::Nodes == _topic)
	{
		loadStore(_topic, _afterKey, std::move(_call));
		return;
	}
	PendingRead load{Offset{}, Duration{}, std::move(_call), clock_.now()};
	load.snapshot = true;
	dispatch(_topic, std::move(load));
}

bool HallLog::awaitsRegistry()
{
	if (registryLoad_ && registryLoad_->startedAt + hubTimeout_ < clock_.now())
	{
		const RegistryLoad load = std::move(*registryLoad_);
		registryLoad_.reset();
		loadStore(KeyedTopic::Nodes, load.afterKey, load.call);
	}
	return registryLoad_.has_value();
}

void HallLog::onRegistry(TopicUpdate&& _update)
{
	const bool isUsable = KeyedTopic::Nodes == _update.topic && _update.snapshot && _update.known &&
	                      isConsistent(_update) && 0 <= _update.page.proofAge.micros;
	if (!registryLoad_ || !isUsable)
	{
		return;
	}
	const RegistryLoad load = std::move(*registryLoad_);
	registryLoad_.reset();
	_update.page.forwarded = true;
	const Time provenAt{load.startedAt.micros - _update.page.proofAge.micros};
	cache_.setSnapshot(_update.topic, _update.page.records, _update.page.end, provenAt);
	load.call(std::move(_update.page));
}

void HallLog::append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
                     std::optional<Offset> _onlyAt, AppendCallback _call)
{
	store_.append(_topic, _key, _value, _onlyAt, std::move(_call));
}

void HallLog::read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCallback _call)
{
	dispatch(_topic, PendingRead{_from, _wait, std::move(_call), clock_.now()});
}

void HallLog::dispatch(KeyedTopic::Enum _topic, PendingRead&& _read)
{
	if (readsFromStore(_topic) || (ReadMode::Store == readMode_ && _read.snapshot))
	{
		sendToStore(_topic, std::move(_read));
		return;
	}
	pendingReads_[_topic] = std::move(_read);
	if (ReadMode::Try == readMode_)
	{
		sendTryRead();
	}
}

void HallLog::sendToStore(KeyedTopic::Enum _topic, PendingRead&& _read)
{
	if (_read.snapshot)
	{
		loadStore(_topic, std::string(), std::move(_read.call));
		return;
	}
	readStore(_topic, std::move(_read));
}

void HallLog::readStore(KeyedTopic::Enum _topic, PendingRead&& _read)
{
	const Time sentAt = clock_.now();
	const std::shared_ptr<PendingRead> current = storeReads_[_topic].lock();
	if (current && current->call && current->from == _read.from && isExpectedToEnd(*current))
	{
		current->call = std::move(_read.call);
		return;
	}
	const uint64_t number = ++lastRead_[_topic];
	const auto read = std::make_shared<PendingRead>(std::move(_read));
	read->startedAt = sentAt;
	storeReads_[_topic] = read;
	store_.read(_topic, read->from, read->wait,
	            [this, _topic, sentAt, number, read](KeyedPage&& _page)
	            {
		            truncateValues(_topic, _page);
		            updateCache(_topic, read->from, _page, sentAt);
		            onStoreResult(_topic, number, sentAt, _page.state);
		            if (read->call) // otherwise it was recalled
		            {
			            const PageCallback call = std::move(read->call);
			            read->call = nullptr;
			            call(std::move(_page));
		            }
	            });
}

/// Readers renew their long reads after an outage, since the store may have lost them. A read that was sent after the
/// newest one that was answered is not lost, and sending it again would cost the store a call.
bool HallLog::isExpectedToEnd(const PendingRead& _read) const
{
	return failedAt_ < lastAnsweredSentAt_ && !(_read.startedAt < lastAnsweredSentAt_);
}

/// Reads the store once without a wait, to check whether it answers. The read waits for the hub meanwhile: a silent
/// store would otherwise keep it, and a hub that reads through another node would get no updates from that node.
void HallLog::tryStore(KeyedTopic::Enum _topic)
{
	const Time sentAt = clock_.now();
	const uint64_t number = ++lastRead_[_topic];
	const Offset from = pendingReads_[_topic]->from;
	store_.read(_topic, from, Duration{},
	            [this, _topic, sentAt, number, from](KeyedPage&& _page)
	            {
		            truncateValues(_topic, _page);
		            const bool answered = StoreState::Done == _page.state || StoreState::Gone == _page.state;
		            PageCallback call = answered ? takePendingRead(_topic, from, sentAt) : PageCallback();
		            updateCache(_topic, from, _page, sentAt);
		            onStoreResult(_topic, number, sentAt, _page.state);
		            if (call)
		            {
			            call(std::move(_page));
		            }
	            });
}

/// @returns the call of the read that waits since a time or longer; empty if there is none.
KeyedLogI::PageCallback HallLog::takePendingRead(KeyedTopic::Enum _topic, Offset _from, Time _since)
{
	std::optional<PendingRead>& slot = pendingReads_[_topic];
	if (!slot || slot->snapshot || !(slot->from == _from) || _since < slot->startedAt)
	{
		return PageCallback();
	}
	PageCallback call = std::move(slot->call);
	slot.reset();
	return call;
}

void HallLog::updateCache(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _sentAt)
{
	if (StoreState::Done == _page.state)
	{
		cache_.addPage(_topic, _from, _page, _sentAt);
	}
	if (StoreState::Gone == _page.state)
	{
		cache_.clear(_topic);
	}
}

/// The outcome of loading the nodes' topic does not affect the choice of a hub: every node of a fleet that starts loads
/// it, and when some of these loads fail and are repeated, their nodes must not load the other topics themselves, too.
void HallLog::loadStore(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCallback _call)
{
	const Time sentAt = clock_.now();
	const bool first = _afterKey.empty();
	const uint64_t number = ++lastRead_[_topic];
	store_.readNewest(_topic, _afterKey,
	                  [this, _topic, first, sentAt, number, call = std::move(_call)](KeyedPage&& _page)
	                  {
		                  truncateValues(_topic, _page);
		                  if (StoreState::Done == _page.state)
		                  {
			                  cacheLoadedPage(_topic, first, _page, sentAt);
		                  }
		                  if (KeyedTopic::Nodes != _topic)
		                  {
			                  onStoreResult(_topic, number, sentAt, _page.state);
		                  }
		                  call(std::move(_page));
	                  });
}

/// Truncates values that are too long, and counts records whose key could not be read.
void HallLog::truncateValues(KeyedTopic::Enum _topic, KeyedPage& _page)
{
	const std::size_t bound = kMaxValueBytes[_topic];
	for (KeyedRecord& record : _page.records)
	{
		if (0 < bound && bound < record.value.size())
		{
			record.value.resize(bound + 1);
			record.value.shrink_to_fit();
		}
		if (record.key.empty() && nullptr != skippedRecords_)
		{
			skippedRecords_->onTransientSkip(RecordKind::LogRecord, nameOf(_topic), RecordFault::Unreadable);
		}
	}
}

void HallLog::cacheLoadedPage(KeyedTopic::Enum _topic, bool _first, const KeyedPage& _page, Time _sentAt)
{
	Loading& loading = loading_[_topic];
	if (_first)
	{
		loading = Loading{{}, _page.end, _sentAt};
	}
	loading.records.insert(loading.records.end(), _page.records.begin(), _page.records.end());
	if (_page.partial && !_page.records.empty())
	{
		return;
	}
	cache_.setSnapshot(_topic, loading.records, loading.end, loading.sentAt);
	loading = Loading{};
}

/// Ignores the result of a read that was replaced by another read of its topic: it was stuck on its connection, so that
/// its end says nothing about the store. Ignores too the answer to a long read that was sent before another read
/// failed, and the failure of one that was sent before another read that was answered: a read that is stuck during an
/// outage fails long after the store has recovered.
void HallLog::onStoreResult(KeyedTopic::Enum _topic, uint64_t _number, Time _sentAt, StoreState::Enum _state)
{
	const bool answered = StoreState::Done == _state || StoreState::Gone == _state;
	const bool isOutdated = answered ? _sentAt < failedAt_ : _sentAt < lastAnsweredSentAt_;
	if (_number != lastRead_[_topic] || isOutdated)
	{
		return;
	}
	tryInFlight_ = false;
	if (answered)
	{
		lastAnsweredSentAt_ = std::max(lastAnsweredSentAt_, _sentAt);
	}
	else
	{
		failedAt_ = clock_.now();
	}
	if (nullptr != readListener_)
	{
		readListener_->onStoreRead(answered);
	}
}

void HallLog::setReadMode(ReadMode::Enum _mode)
{
	const Time now = clock_.now();
	if (ReadMode::Store == readMode_ && ReadMode::Store != _mode)
	{
		storeModeUntil_ = now;
		recallReads();
	}
	// A node that alternates between a hub and the store must not wait for rarely updated topics anew each time.
	const bool isRepeated = now < storeModeUntil_ + kStoreModeBreak;
	if (ReadMode::Store != readMode_ && ReadMode::Store == _mode && !isRepeated)
	{
		storeModeSince_ = now;
	}
	readMode_ = _mode;
	if (ReadMode::Try == readMode_)
	{
		sendTryRead();
	}
	for (uint32_t topic = 0; topic < KeyedTopic::Count; ++topic)
	{
		if (readsFromStore(static_cast<KeyedTopic::Enum>(topic)))
		{
			releaseToStore(static_cast<KeyedTopic::Enum>(topic));
		}
	}
}

/// A node that has just begun to read the store itself does not need rarely updated topics at first: after an outage
/// the nodes of a hall that check whether the store answers would all read every topic.
bool HallLog::readsFromStore(KeyedTopic::Enum _topic) const
{
	const bool isSettled = storeModeSince_ + kStoreModeSettled < clock_.now();
	return ReadMode::Store == readMode_ && (isSettled || !kRarelyUpdated[_topic]);
}

/// Returns reads of the store to the reads that wait for the hub. A read that the store has lost would otherwise block
/// until it ends, and keep the hub's updates from this node.
void HallLog::recallReads()
{
	for (uint32_t topic = 0; topic < KeyedTopic::Count; ++topic)
	{
		const std::shared_ptr<PendingRead> read = storeReads_[topic].lock();
		if (!read || !read->call)
		{
			continue;
		}
		++lastRead_[topic];
		pendingReads_[topic] = PendingRead{read->from, read->wait, std::move(read->call), clock_.now()};
		read->call = nullptr;
	}
}

/// Sends a read that waits for the hub to the store. It has waited for a part of its time already: waiting for all of
/// it again would delay the proof of a state that is already old.
void HallLog::releaseToStore(KeyedTopic::Enum _topic)
{
	std::optional<PendingRead>& slot = pendingReads_[_topic];
	if (!slot)
	{
		return;
	}
	PendingRead read = std::move(*slot);
	slot.reset();
	read.wait = std::max(Duration{}, read.wait - (clock_.now() - read.startedAt));
	sendToStore(_topic, std::move(read));
}

/// Tries the store with one waiting read. The operator's topic comes first, since the validity of keys depends on when
/// it was last confirmed.
void HallLog::sendTryRead()
{
	for (uint32_t topic = 0; !tryInFlight_ && topic < KeyedTopic::Count; ++topic)
	{
		if (!pendingReads_[topic])
		{
			continue;
		}
		tryInFlight_ = true;
		if (pendingReads_[topic]->snapshot)
		{
			releaseToStore(static_cast<KeyedTopic::Enum>(topic));
			continue;
		}
		tryStore(static_cast<KeyedTopic::Enum>(topic));
	}
}

bool HallLog::hasPendingLoad() const
{
	return std::any_of(pendingReads_.begin(), pendingReads_.end(),
	                   [](const std::optional<PendingRead>& _read)
	                   {
		                   return _read && _read->snapshot;
	                   });
}

std::vector<HallLog::TopicQuery> HallLog::pendingQueries(uint64_t _report)
{
	std::vector<TopicQuery> queries;
	lastReport_ = _report;
	lastReportAt_ = clock_.now();
	for (uint32_t topic = 0; topic < KeyedTopic::Count; ++topic)
	{
		std::optional<PendingRead>& slot = pendingReads_[topic];
		if (!slot)
		{
			continue;
		}
		slot->firstReport = 0 == slot->firstReport ? _report : slot->firstReport;
		queries.push_back(TopicQuery{static_cast<KeyedTopic::Enum>(topic), slot->from, slot->snapshot});
	}
	return queries;
}

bool HallLog::onUpdate(TopicUpdate&& _update, uint64_t _report)
{
	std::optional<PendingRead>& slot = pendingReads_[_update.topic];
	if (!slot || !(slot->from == _update.from) || slot->snapshot != _update.snapshot)
	{
		return true;
	}
	if (0 == slot->firstReport || _report < slot->firstReport)
	{
		return true;
	}
	if (!_update.known)
	{
		onMissingRecords(_update);
		return true;
	}
	if (!isConsistent(_update))
	{
		logEvent(LogPart::Store, LogLevel::Warning, "Update from the hub is inconsistent, the store is read instead.",
		         {{"topic", nameOf(_update.topic)},
		          {"from", std::to_string(_update.from.value)},
		          {"end", std::to_string(_update.page.end.value)},
		          {"records", std::to_string(_update.page.records.size())}});
		releaseToStore(_update.topic);
		return true;
	}
	if (_update.page.proofAge.micros < 0 || kMaxAge[_update.topic] < _update.page.proofAge)
	{
		return false;
	}
	const PendingRead read = std::move(*slot);
	slot.reset();
	// The hub answered after this read began and after the report was sent, so that its confirmation is no older than
	// this. A read may have waited for seconds while the store was down.
	const Time askedAt = _report == lastReport_ ? std::max(read.startedAt, lastReportAt_) : read.startedAt;
	const Time provenAt = Time{askedAt.micros - _update.page.proofAge.micros};
	_update.page.forwarded = true;
	if (read.snapshot)
	{
		cache_.setSnapshot(_update.topic, _update.page.records, _update.page.end, provenAt);
	}
	else
	{
		cache_.addPage(_update.topic, read.from, _update.page, provenAt);
	}
	read.call(std::move(_update.page));
	return true;
}

/// Handles an answer of a hub that no longer has the records from the requested offset on. If the hub has the newest of
/// each key, these are requested from it: the store may answer the hub and not this node.
void HallLog::onMissingRecords(const TopicUpdate& _update)
{
	if (!_update.snapshotAvailable || _update.snapshot || !loadsThroughHub_)
	{
		releaseToStore(_update.topic);
		return;
	}
	std::optional<PendingRead>& slot = pendingReads_[_update.topic];
	const PendingRead read = std::move(*slot);
	slot.reset();
	KeyedPage gone;
	gone.state = StoreState::Gone;
	read.call(std::move(gone));
}

void HallLog::sendOverdueToStore()
{
	const Time now = clock_.now();
	for (uint32_t topic = 0; topic < KeyedTopic::Count; ++topic)
	{
		if (pendingReads_[topic] && pendingReads_[topic]->startedAt + hubTimeout_ < now)
		{
			releaseToStore(static_cast<KeyedTopic::Enum>(topic));
		}
	}
}

} // namespace sedgecart
