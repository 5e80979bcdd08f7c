// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_HALLLOG_H_HEADER_GUARD
#define SEDGECART_HALL_HALLLOG_H_HEADER_GUARD

#include <base/clock.h>
#include <hall/topiccache.h>
#include <ports/keyedlog.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

class SkippedRecords;

/// Receives the outcome of this node's reads of the store.
class StoreReadListenerI
{
public:
	virtual ~StoreReadListenerI() = default;

	virtual void onStoreRead(bool _answered) = 0;
};

/// Requests the registry of nodes from a node that has loaded it.
class RegistrySourceI
{
public:
	virtual ~RegistrySourceI() = default;

	/// The first page of the registry has been read, and more follow.
	/// @returns false if this node is to load the others from the store itself.
	virtual bool requestRegistry() = 0;
};

/// Reads the store through the hub of the hall: one node of a hall reads the store and forwards the records. Reads wait
/// for the hub's next answer; without a hub that reads, they are sent to the store. Loads of a whole topic are handled
/// the same way: if all nodes of a fleet that start together loaded from the store, it would be busy for seconds, and
/// some of the nodes would be restarted. Appends are always sent to the store. Control thread only.
class HallLog : public KeyedLogI
{
public:
	/// Where reads are sent.
	struct ReadMode
	{
		enum Enum
		{
			Store,
			Try, //!< One read is sent to the store to check whether it answers; the others wait.
			Hub, //!< Reads wait for the hub's answer.

			Count
		};
	};

	/// A read that waits for the hub's answer.
	struct TopicQuery
	{
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		Offset from;
		bool snapshot = false; //!< Requests the newest record of each key.
	};

	/// The hub's answer to one query.
	struct TopicUpdate
	{
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		Offset from;
		bool snapshot = false;          //!< The page holds the newest record of each key.
		bool known = false;             //!< The hub has every record from `from` on.
		bool snapshotAvailable = false; //!< The hub does not have them all, but has the newest of each key.
		KeyedPage page;
	};

	/// @param _node name of this node; its hash spreads the times at which nodes stop waiting for a hub.
	HallLog(KeyedLogI& _store, const ClockI& _clock, TopicCache& _cache, const std::string& _node);

	/// Enables or disables loading whole topics through the hub. Enabled by default.
	void setLoadThroughHub(bool _enabled)
	{
		loadsThroughHub_ = _enabled;
	}

	bool loadsThroughHub() const
	{
		return loadsThroughHub_;
	}

	void setReadListener(StoreReadListenerI& _listener);

	/// Sets where all but the first page of the nodes' topic are requested; the store if it is not set.
	void setRegistrySource(RegistrySourceI& _source)
	{
		registrySource_ = &_source;
	}

	/// @returns true while the registry is requested from another node. Sends the load to the store if that node has
	/// not answered in time.
	bool awaitsRegistry();

	/// Completes the load of the registry.
	void onRegistry(TopicUpdate&& _update);

	/// Sets where records whose key cannot be read are counted.
	void setSkippedRecords(SkippedRecords& _skipped)
	{
		skippedRecords_ = &_skipped;
	}

	void setAddress(const std::string& _address) override;
	void readNewest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCallback _call) override;
	void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCallback _call) override;
	void append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
	            std::optional<Offset> _onlyAt, AppendCallback _call) override;

	void setReadMode(ReadMode::Enum _mode);

	/// @returns true if a load of a whole topic waits for the hub.
	bool hasPendingLoad() const;

	/// @param _report number of the report that carries the queries; numbers increase.
	/// @returns the reads that wait for the hub.
	std::vector<TopicQuery> pendingQueries(uint64_t _report);

	/// Completes the read that waits for an update.
	/// @param _report number of the report that this answers: an answer to an earlier report confirms nothing for a
	/// read that began later.
	/// @returns false if the hub's state of the topic is too old to be applied.
	bool onUpdate(TopicUpdate&& _update, uint64_t _report);

	/// Sends reads that have waited too long for the hub to the store. Called after an answer of a hub that reads it.
	void sendOverdueToStore();

private:
	struct PendingRead
	{
		Offset from;
		Duration wait;
		PageCallback call;
		Time startedAt; //!< When it began to wait for the hub, or was sent to the store.
		bool snapshot = false;
		uint64_t firstReport = 0; //!< Number of the first report that carried it; 0: none yet.
	};

	/// A load of the registry that waits for another node.
	struct RegistryLoad
	{
		std::string afterKey; //!< Last key of the first page.
		PageCallback call;
		Time startedAt;
	};

	/// A topic that is being loaded from the store.
	struct Loading
	{
		std::vector<KeyedRecord> records;
		Offset end; //!< End of the topic as of the first page.
		Time sentAt;
	};

	void dispatch(KeyedTopic::Enum _topic, PendingRead&& _read);
	void sendToStore(KeyedTopic::Enum _topic, PendingRead&& _read);
	void readStore(KeyedTopic::Enum _topic, PendingRead&& _read);
	void loadStore(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCallback _call);
	void cacheLoadedPage(KeyedTopic::Enum _topic, bool _first, const KeyedPage& _page, Time _sentAt);
	void truncateValues(KeyedTopic::Enum _topic, KeyedPage& _page);
	void onStoreResult(KeyedTopic::Enum _topic, uint64_t _number, Time _sentAt, StoreState::Enum _state);
	bool isExpectedToEnd(const PendingRead& _read) const;
	void tryStore(KeyedTopic::Enum _topic);
	PageCallback takePendingRead(KeyedTopic::Enum _topic, Offset _from, Time _since);
	void updateCache(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _sentAt);
	bool readsFromStore(KeyedTopic::Enum _topic) const;
	void recallReads();
	void releaseToStore(KeyedTopic::Enum _topic);
	void onMissingRecords(const TopicUpdate& _update);
	void sendTryRead();

	KeyedLogI& store_;
	const ClockI& clock_;
	TopicCache& cache_;
	StoreReadListenerI* readListener_ = nullptr;
	SkippedRecords* skippedRecords_ = nullptr;
	RegistrySourceI* registrySource_ = nullptr;
	std::optional<RegistryLoad> registryLoad_;
	ReadMode::Enum readMode_ = ReadMode::Store;
	Duration hubTimeout_; //!< How long a read waits for a hub that answers other queries.
	bool loadsThroughHub_ = true;
	std::array<Loading, KeyedTopic::Count> loading_;
	std::array<uint64_t, KeyedTopic::Count> lastRead_{}; //!< Number of the last store read of each topic.
	Time failedAt_;                                      //!< When the last read failed.
	Time storeModeSince_;                                //!< Since when reads go to the store, short breaks included.
	Time storeModeUntil_;                                //!< When reads were last switched away from the store.
	Time lastAnsweredSentAt_;                            //!< When the latest answered read was sent.
	uint64_t lastReport_ = 0;                            //!< Number of the last report.
	Time lastReportAt_;                                  //!< When it was sent.
	bool tryInFlight_ = false;                           //!< A trial read of the store is in flight.
	std::array<std::optional<PendingRead>, KeyedTopic::Count> pendingReads_; //!< Reads that wait for the hub.
	std::array<std::weak_ptr<PendingRead>, KeyedTopic::Count> storeReads_;   //!< Last store read of each topic.
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HALLLOG_H_HEADER_GUARD
