// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/recordpack_p.h"

#include <hall/halllog.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <vector>

namespace sedgecart
{

namespace
{

class ManualClock : public ClockI
{
public:
	Time now() const override
	{
		return now_;
	}

	void advance(int64_t _millis)
	{
		now_ = now_ + Duration::fromMillis(_millis);
	}

private:
	Time now_{1000000};
};

/// A store that answers reads only on request of the test.
class DeferredStore : public KeyedLogI
{
public:
	/// A read that has no answer yet.
	struct Read
	{
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		Offset from;
		Duration wait;
		PageCallback call;
	};

	void setAddress(const std::string&) override
	{
	}

	void readNewest(KeyedTopic::Enum _topic, const std::string&, PageCallback _call) override
	{
		loads.push_back(Read{_topic, Offset{}, Duration{}, std::move(_call)});
	}

	void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCallback _call) override
	{
		reads.push_back(Read{_topic, _from, _wait, std::move(_call)});
	}

	void append(KeyedTopic::Enum, const std::string&, const std::string&, std::optional<Offset>,
	            AppendCallback) override
	{
	}

	void answerLast(KeyedPage&& _page)
	{
		reads.back().call(std::move(_page));
	}

	std::vector<Read> reads;
	std::vector<Read> loads;
};

class RecordingListener : public StoreReadListenerI
{
public:
	void onStoreRead(bool _answered) override
	{
		answers.push_back(_answered);
	}

	std::vector<bool> answers;
};

class RecordingSource : public RegistrySourceI
{
public:
	bool requestRegistry() override
	{
		++requests;
		return isOther;
	}

	uint32_t requests = 0;
	bool isOther = true; //!< Another node is the source.
};

/// Number of the report that carries the waiting reads.
constexpr uint64_t kReport = 7;

KeyedPage page(StoreState::Enum _state, uint64_t _end, std::vector<KeyedRecord> _records = {})
{
	KeyedPage result;
	result.state = _state;
	result.end = Offset{_end};
	result.records = std::move(_records);
	return result;
}

KeyedRecord record(uint64_t _offset)
{
	return KeyedRecord{"key", "value", false, Offset{_offset}};
}

HallLog::TopicUpdate hubUpdate(uint64_t _from, int64_t _ageMillis, KeyedPage&& _page)
{
	HallLog::TopicUpdate result;
	result.from = Offset{_from};
	result.known = true;
	result.page = std::move(_page);
	result.page.proofAge = Duration::fromMillis(_ageMillis);
	return result;
}

} // namespace

class HallLogTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HallLogTest);
	CPPUNIT_TEST(withoutAHubTheStoreIsRead);
	CPPUNIT_TEST(hubUpdateAnswersRead);
	CPPUNIT_TEST(outdatedUpdateIsRejected);
	CPPUNIT_TEST(readsStoreWhenTooFarBehind);
	CPPUNIT_TEST(loadsSnapshotFromHubWhenTooFarBehind);
	CPPUNIT_TEST(cacheReportsAvailableSnapshot);
	CPPUNIT_TEST(waitingReadsGoToStoreWithoutHub);
	CPPUNIT_TEST(oneReadTriesTheStore);
	CPPUNIT_TEST(readWaitsForHubWhileStoreIsTried);
	CPPUNIT_TEST(renewedReadIsSentOnce);
	CPPUNIT_TEST(confirmationIsDatedFromReport);
	CPPUNIT_TEST(replacedReadSaysNothingAboutStore);
	CPPUNIT_TEST(lateAnswerToLongReadSaysNothingAboutStore);
	CPPUNIT_TEST(lateFailureOfLongReadSaysNothingAboutStore);
	CPPUNIT_TEST(recordsReadAreCached);
	CPPUNIT_TEST(cacheReturnsNewestOfEachKey);
	CPPUNIT_TEST(cacheDoesNotJoinNonContiguousRecords);
	CPPUNIT_TEST(largeRecordsAreNotForwarded);
	CPPUNIT_TEST(compressibleRecordsAreForwardedPacked);
	CPPUNIT_TEST(malformedPackIsRejected);
	CPPUNIT_TEST(packOfTooManyRecordsIsRejected);
	CPPUNIT_TEST(updateWithNegativeAgeIsRejected);
	CPPUNIT_TEST(inconsistentUpdateIsRejected);
	CPPUNIT_TEST(wholeTopicIsLoadedFromHub);
	CPPUNIT_TEST(hubLoadsFromStore);
	CPPUNIT_TEST(loadsOfNodesDoNotAffectTheChoiceOfAHub);
	CPPUNIT_TEST(laterPagesOfTheRegistryComeFromAnotherNode);
	CPPUNIT_TEST(overdueRegistryIsLoadedFromTheStore);
	CPPUNIT_TEST(aSourceLoadsTheRegistryFromTheStore);
	CPPUNIT_TEST(overdueLoadGoesToStore);
	CPPUNIT_TEST(answersToEarlierReportsDoNotCount);
	CPPUNIT_TEST(snapshotIncludesLaterRecords);
	CPPUNIT_TEST(largeValuesAreTruncated);
	CPPUNIT_TEST_SUITE_END();

public:
	void withoutAHubTheStoreIsRead()
	{
		read(3);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
		store_.answerLast(page(StoreState::Done, 4, {record(3)}));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT(!pages_[0].forwarded);
		CPPUNIT_ASSERT((std::vector<bool>{true}) == listener_.answers);
	}

	void hubUpdateAnswersRead()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		CPPUNIT_ASSERT(store_.reads.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.pendingQueries(kReport).size());
		CPPUNIT_ASSERT(log_.onUpdate(hubUpdate(3, 700, page(StoreState::Done, 4, {record(3)})), kReport));
		CPPUNIT_ASSERT(pages_.at(0).forwarded);
		CPPUNIT_ASSERT_EQUAL(int64_t(700), pages_[0].proofAge.millis());
		CPPUNIT_ASSERT(log_.pendingQueries(kReport).empty());
	}

	void outdatedUpdateIsRejected()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		log_.pendingQueries(kReport);
		CPPUNIT_ASSERT(!log_.onUpdate(hubUpdate(3, 2600, page(StoreState::Done, 4, {record(3)})), kReport));
		CPPUNIT_ASSERT(pages_.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.pendingQueries(kReport).size());
	}

	/// An age beyond the range of a signed number was read as a negative one, and made the state newer than any other.
	void updateWithNegativeAgeIsRejected()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		log_.pendingQueries(kReport);
		HallLog::TopicUpdate invalid = hubUpdate(3, 0, page(StoreState::Done, 4, {record(3)}));
		invalid.page.proofAge = Duration{INT64_MIN};
		CPPUNIT_ASSERT(!log_.onUpdate(std::move(invalid), kReport));
		CPPUNIT_ASSERT(pages_.empty());
	}

	/// Records before the requested offset, beyond the end or out of order would move the offset from which this node
	/// reads back, or beyond records that it never received. The store is read instead.
	void inconsistentUpdateIsRejected()
	{
		const std::vector<KeyedPage> invalid = {
		    page(StoreState::Done, 4, {record(2)}), page(StoreState::Done, 4, {record(4)}),
		    page(StoreState::Done, 9, {record(5), record(4)}), page(StoreState::Done, 2)};
		for (const KeyedPage& invalidPage : invalid)
		{
			log_.setReadMode(HallLog::ReadMode::Hub);
			read(3);
			log_.pendingQueries(kReport);
			const std::size_t before = store_.reads.size();
			KeyedPage copy = invalidPage;
			log_.onUpdate(hubUpdate(3, 0, std::move(copy)), kReport);
			CPPUNIT_ASSERT(pages_.empty());
			CPPUNIT_ASSERT_EQUAL(before + 1, store_.reads.size());
		}
	}

	/// If some writer stores megabytes under a key of the targets' topic, each node would retain them, and the hub
	/// would forward them.
	void largeValuesAreTruncated()
	{
		log_.read(KeyedTopic::Runners, Offset{3}, Duration{},
		          [this](KeyedPage&& _page)
		          {
			          pages_.push_back(std::move(_page));
		          });
		KeyedRecord large = record(3);
		large.value = std::string(8UL << 20U, 'x');
		store_.answerLast(page(StoreState::Done, 5, {large, record(4)}));
		CPPUNIT_ASSERT(pages_.at(0).records.at(0).value.size() < 100000);
		CPPUNIT_ASSERT_EQUAL(std::string("value"), pages_[0].records.at(1).value);
		const TopicCache::Lookup found = cache_.find(KeyedTopic::Runners, Offset{3});
		CPPUNIT_ASSERT(found.known);
	}

	void readsStoreWhenTooFarBehind()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		log_.pendingQueries(kReport);
		HallLog::TopicUpdate unknown = hubUpdate(3, 0, page(StoreState::Done, 9));
		unknown.known = false;
		CPPUNIT_ASSERT(log_.onUpdate(std::move(unknown), kReport));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
	}

	/// Changes arrived faster than the hub retains them, and the store refused the node: the node requested evicted
	/// records from the hub and the rest from the store, in turns, for eight seconds.
	void loadsSnapshotFromHubWhenTooFarBehind()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		log_.pendingQueries(kReport);
		HallLog::TopicUpdate behind = hubUpdate(3, 0, page(StoreState::Done, 9));
		behind.known = false;
		behind.snapshotAvailable = true;
		CPPUNIT_ASSERT(log_.onUpdate(std::move(behind), kReport));
		CPPUNIT_ASSERT(store_.reads.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT(StoreState::Gone == pages_[0].state); // a follower then reloads the topic
	}

	void cacheReportsAvailableSnapshot()
	{
		read(3);
		store_.answerLast(page(StoreState::Done, 5, {record(3), record(4)}));
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{2}).snapshotAvailable);
		cache_.setSnapshot(KeyedTopic::Operator, {record(4)}, Offset{5}, clock_.now());
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{2}).snapshotAvailable);
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{4}).snapshotAvailable); // an update is sufficient
	}

	void waitingReadsGoToStoreWithoutHub()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		log_.setReadMode(HallLog::ReadMode::Store);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
	}

	/// A store that does not answer receives one read without a wait, not one for each topic.
	void oneReadTriesTheStore()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		for (const KeyedTopic::Enum topic : {KeyedTopic::Layout, KeyedTopic::Operator, KeyedTopic::Runners})
		{
			log_.read(topic, Offset{1}, Duration::fromMillis(900), [](KeyedPage&&) {});
		}
		log_.setReadMode(HallLog::ReadMode::Try);
		log_.setReadMode(HallLog::ReadMode::Try);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
		CPPUNIT_ASSERT(KeyedTopic::Operator == store_.reads[0].topic);
		CPPUNIT_ASSERT_EQUAL(int64_t(0), store_.reads[0].wait.micros);
		store_.answerLast(page(StoreState::Refused, 0));
		CPPUNIT_ASSERT((std::vector<bool>{false}) == listener_.answers);
	}

	/// A trial read that hung at a silent store kept the updates of a node that reads it from the hub for 0.7 s.
	void readWaitsForHubWhileStoreIsTried()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		log_.setReadMode(HallLog::ReadMode::Try);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.pendingQueries(kReport).size());
		CPPUNIT_ASSERT(log_.onUpdate(hubUpdate(3, 100, page(StoreState::Done, 4, {record(3)})), kReport));
		store_.answerLast(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT(pages_[0].forwarded);
		CPPUNIT_ASSERT((std::vector<bool>{false}) == listener_.answers);
	}

	/// A node that found the store after an outage sent each long read twice.
	void renewedReadIsSentOnce()
	{
		read(3);
		store_.answerLast(page(StoreState::Done, 3));
		read(3);
		read(3);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.reads.size());
		store_.answerLast(page(StoreState::Done, 4, {record(3)}));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), pages_.size());
	}

	/// A hub whose reads had waited during an outage forwarded records as if they were confirmed before it.
	void confirmationIsDatedFromReport()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		clock_.advance(5000);
		log_.pendingQueries(kReport);
		CPPUNIT_ASSERT(log_.onUpdate(hubUpdate(3, 100, page(StoreState::Done, 4, {record(3)})), kReport));
		const Time provenAt = cache_.find(KeyedTopic::Operator, Offset{4}).provenAt;
		CPPUNIT_ASSERT_EQUAL(int64_t(100), (clock_.now() - provenAt).millis());
	}

	/// The connection of the replaced read was stuck; the read that replaced it was answered long ago.
	void replacedReadSaysNothingAboutStore()
	{
		read(3);
		read(3);
		store_.answerLast(page(StoreState::Done, 3));
		store_.reads.front().call(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT((std::vector<bool>{true}) == listener_.answers);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), pages_.size());
	}

	/// The read was sent before the store refused this node; its answer made the node appear to be served by the store.
	void lateAnswerToLongReadSaysNothingAboutStore()
	{
		log_.read(KeyedTopic::Layout, Offset{0}, Duration::fromMillis(20000), [](KeyedPage&&) {});
		clock_.advance(100);
		read(3);
		store_.answerLast(page(StoreState::Refused, 0));
		clock_.advance(100);
		store_.reads.front().call(page(StoreState::Done, 1));
		CPPUNIT_ASSERT((std::vector<bool>{false}) == listener_.answers);
	}

	/// The read was stuck during an outage, and failed long after the store had answered other reads.
	void lateFailureOfLongReadSaysNothingAboutStore()
	{
		log_.read(KeyedTopic::Layout, Offset{0}, Duration::fromMillis(20000), [](KeyedPage&&) {});
		clock_.advance(100);
		read(3);
		store_.answerLast(page(StoreState::Done, 5, {record(3), record(4)}));
		clock_.advance(100);
		store_.reads.front().call(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT((std::vector<bool>{true}) == listener_.answers);
	}

	/// Every node loads the nodes' topic from the store when it starts. A thousand nodes that start together overload
	/// it; those whose load failed at first then loaded the targets from the store, too.
	void loadsOfNodesDoNotAffectTheChoiceOfAHub()
	{
		log_.readNewest(KeyedTopic::Nodes, "", [](KeyedPage&&) {});
		store_.loads.back().call(page(StoreState::Unknown, 0));
		log_.readNewest(KeyedTopic::Nodes, "", [](KeyedPage&&) {});
		store_.loads.back().call(page(StoreState::Done, 0));
		CPPUNIT_ASSERT(listener_.answers.empty());
		log_.readNewest(KeyedTopic::Layout, "", [](KeyedPage&&) {});
		store_.loads.back().call(page(StoreState::Done, 0));
		CPPUNIT_ASSERT((std::vector<bool>{true}) == listener_.answers);
	}

	/// A thousand nodes that started together read a hundred megabytes of the registry from the store.
	void laterPagesOfTheRegistryComeFromAnotherNode()
	{
		log_.setRegistrySource(source_);
		loadRegistry("n200");
		CPPUNIT_ASSERT(store_.loads.empty());
		CPPUNIT_ASSERT(log_.awaitsRegistry());
		log_.onRegistry(registry(false));
		CPPUNIT_ASSERT(pages_.empty());
		log_.onRegistry(registry(true));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT(pages_.front().forwarded);
		CPPUNIT_ASSERT(!log_.awaitsRegistry());
		CPPUNIT_ASSERT(cache_.findSnapshot(KeyedTopic::Nodes).known);
		log_.onRegistry(registry(true)); // answered twice
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
	}

	void overdueRegistryIsLoadedFromTheStore()
	{
		log_.setRegistrySource(source_);
		loadRegistry("n200");
		clock_.advance(1700);
		CPPUNIT_ASSERT(!log_.awaitsRegistry());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.loads.size());
	}

	void aSourceLoadsTheRegistryFromTheStore()
	{
		source_.isOther = false;
		log_.setRegistrySource(source_);
		loadRegistry("n200");
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.loads.size());
		loadRegistry("");
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.loads.size());
		CPPUNIT_ASSERT_EQUAL(1U, source_.requests); // not for the first page
	}

	void recordsReadAreCached()
	{
		read(3);
		clock_.advance(500);
		store_.answerLast(page(StoreState::Done, 5, {record(3), record(4)}));
		const TopicCache::Lookup behind = cache_.find(KeyedTopic::Operator, Offset{2});
		CPPUNIT_ASSERT(!behind.known);
		const TopicCache::Lookup found = cache_.find(KeyedTopic::Operator, Offset{4});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.records.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), found.end.value);
		// The state is as old as the read, not as its answer.
		CPPUNIT_ASSERT_EQUAL(int64_t(500), (clock_.now() - found.provenAt).millis());
		CPPUNIT_ASSERT_EQUAL(uint64_t(7), cache_.find(KeyedTopic::Operator, Offset{7}).end.value);
	}

	/// A hub's link was saturated by desired states that later ones had replaced.
	void cacheReturnsNewestOfEachKey()
	{
		read(3);
		store_.answerLast(
		    page(StoreState::Done, 6, {record(3), KeyedRecord{"other", "value", false, Offset{4}}, record(5)}));
		const TopicCache::Lookup found = cache_.find(KeyedTopic::Operator, Offset{3});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), found.records.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(4), found.records[0].offset.value);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), found.records[1].offset.value);
		CPPUNIT_ASSERT_EQUAL(uint64_t(6), found.end.value);
	}

	void cacheDoesNotJoinNonContiguousRecords()
	{
		cache_.addPage(KeyedTopic::Runners, Offset{3}, page(StoreState::Done, 4, {record(3)}), clock_.now());
		cache_.addPage(KeyedTopic::Runners, Offset{9}, page(StoreState::Done, 10, {record(9)}), clock_.now());
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Runners, Offset{3}).known);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Runners, Offset{9}).known);
	}

	/// Repeated for each node of a hall they would saturate the hub's link.
	void largeRecordsAreNotForwarded()
	{
		KeyedRecord large = record(3);
		large.value = randomBytes(600000);
		cache_.addPage(KeyedTopic::Operator, Offset{3}, page(StoreState::Done, 5, {large, record(4)}), clock_.now());
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{3}).known);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{4}).known);
	}

	/// A desired state of a thousand routes is small enough to be sent to each node of a hall once it is compressed. It
	/// is packed once.
	void compressibleRecordsAreForwardedPacked()
	{
		KeyedRecord large = record(3);
		for (int route = 0; route < 1000; ++route)
		{
			large.value +=
			    R"({"name":"extra-)" + std::to_string(route) + R"(","kind":"idempotent","timeout_ms":20000},)";
		}
		cache_.addPage(KeyedTopic::Operator, Offset{3}, page(StoreState::Done, 4, {large}), clock_.now());
		const TopicCache::Lookup found = cache_.find(KeyedTopic::Operator, Offset{3});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT(found.packed && found.packed->size() < large.value.size() / 5);
		CPPUNIT_ASSERT(found.packed == cache_.find(KeyedTopic::Operator, Offset{3}).packed);
		std::vector<KeyedRecord> records;
		CPPUNIT_ASSERT(unpackRecords(*found.packed, records));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
		CPPUNIT_ASSERT(large.value == records[0].value);
	}

	void malformedPackIsRejected()
	{
		std::vector<KeyedRecord> records;
		std::string packed = packRecords({record(1), record(2)});
		for (const std::string& text :
		     {std::string(), randomBytes(100), packed.substr(0, packed.size() - 3), packed + "x"})
		{
			CPPUNIT_ASSERT(!unpackRecords(text, records));
			CPPUNIT_ASSERT(records.empty());
		}
		packed[packed.size() / 2] = static_cast<char>(packed[packed.size() / 2] ^ 0x55);
		unpackRecords(packed, records); // may succeed or fail, but must not crash
	}

	/// An empty record takes two bytes, almost none once it is compressed, and about a hundred in memory: a pack of
	/// some thousand bytes would take gigabytes.
	void packOfTooManyRecordsIsRejected()
	{
		std::vector<KeyedRecord> read;
		CPPUNIT_ASSERT(unpackRecords(packRecords(std::vector<KeyedRecord>(50000)), read));
		CPPUNIT_ASSERT_EQUAL(std::size_t(50000), read.size());
		CPPUNIT_ASSERT(!unpackRecords(packRecords(std::vector<KeyedRecord>(1000000)), read));
		CPPUNIT_ASSERT(read.empty());
	}

	/// When all nodes of a fleet start together, one node of a hall loads, and the others get the whole topic from it.
	void wholeTopicIsLoadedFromHub()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		load();
		CPPUNIT_ASSERT(store_.loads.empty());
		const std::vector<HallLog::TopicQuery> queries = log_.pendingQueries(kReport);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), queries.size());
		CPPUNIT_ASSERT(queries[0].snapshot);
		HallLog::TopicUpdate whole = hubUpdate(0, 300, page(StoreState::Done, 9, {record(3)}));
		whole.snapshot = true;
		CPPUNIT_ASSERT(log_.onUpdate(std::move(whole), kReport));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), pages_[0].end.value);
		CPPUNIT_ASSERT_EQUAL(int64_t(300), pages_[0].proofAge.millis());
		CPPUNIT_ASSERT(cache_.findSnapshot(KeyedTopic::Operator).known); // this node may be the next hub
	}

	/// The hub loads from the store; every node does so for the topic of nodes, without which it knows no hub.
	void hubLoadsFromStore()
	{
		load();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.loads.size());
		CPPUNIT_ASSERT(!cache_.findSnapshot(KeyedTopic::Operator).loaded);
		store_.loads.back().call(page(StoreState::Done, 9, {record(3), record(8)}));
		const TopicCache::Lookup found = cache_.findSnapshot(KeyedTopic::Operator);
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), found.end.value);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{9}).known); // later records can be requested as well
		log_.setReadMode(HallLog::ReadMode::Hub);
		log_.readNewest(KeyedTopic::Nodes, std::string(), [](KeyedPage&&) {});
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.loads.size());
	}

	/// A hub that answers but cannot forward a topic must not block its hall.
	void overdueLoadGoesToStore()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		load();
		log_.pendingQueries(kReport);
		clock_.advance(700);
		log_.sendOverdueToStore();
		CPPUNIT_ASSERT(store_.loads.empty());
		clock_.advance(1000);
		log_.sendOverdueToStore();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.loads.size());
	}

	/// An answer that the hub sent before a read began confirms nothing for it.
	void answersToEarlierReportsDoNotCount()
	{
		log_.setReadMode(HallLog::ReadMode::Hub);
		read(3);
		CPPUNIT_ASSERT(log_.onUpdate(hubUpdate(3, 0, page(StoreState::Done, 3)), kReport));
		log_.pendingQueries(kReport + 1);
		CPPUNIT_ASSERT(log_.onUpdate(hubUpdate(3, 0, page(StoreState::Done, 3)), kReport));
		CPPUNIT_ASSERT(pages_.empty());
		CPPUNIT_ASSERT(log_.onUpdate(hubUpdate(3, 0, page(StoreState::Done, 3)), kReport + 1));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
	}

	/// Records after a whole topic are included, in whatever order both were added.
	void snapshotIncludesLaterRecords()
	{
		KeyedRecord changed = record(4);
		changed.value = "changed";
		KeyedRecord gone = record(5);
		gone.key = "other";
		gone.value.clear();
		gone.removed = true;
		KeyedRecord other = record(2);
		other.key = "other";
		cache_.addPage(KeyedTopic::Runners, Offset{3}, page(StoreState::Done, 5, {record(3), changed}), clock_.now());
		cache_.setSnapshot(KeyedTopic::Runners, {other, record(3)}, Offset{4}, clock_.now());
		cache_.addPage(KeyedTopic::Runners, Offset{5}, page(StoreState::Done, 6, {gone}), clock_.now());
		const TopicCache::Lookup found = cache_.findSnapshot(KeyedTopic::Runners);
		CPPUNIT_ASSERT_EQUAL(uint64_t(6), found.end.value);
		std::vector<KeyedRecord> records;
		CPPUNIT_ASSERT(unpackRecords(*found.packed, records));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
		CPPUNIT_ASSERT_EQUAL(std::string("changed"), records[0].value);
	}

	void setUp() override
	{
		log_.setReadListener(listener_);
	}

private:
	/// @returns incompressible bytes.
	static std::string randomBytes(std::size_t _size)
	{
		std::minstd_rand random(5);
		std::string bytes;
		while (bytes.size() < _size)
		{
			bytes += static_cast<char>(random() >> 8U);
		}
		return bytes;
	}

	void load()
	{
		log_.readNewest(KeyedTopic::Operator, std::string(),
		                [this](KeyedPage&& _page)
		                {
			                pages_.push_back(std::move(_page));
		                });
	}

	/// Loads a page of the nodes' topic.
	void loadRegistry(const char* _afterKey)
	{
		log_.readNewest(KeyedTopic::Nodes, _afterKey,
		                [this](KeyedPage&& _page)
		                {
			                pages_.push_back(std::move(_page));
		                });
	}

	/// @param _known false: the node that answers has not loaded it.
	static HallLog::TopicUpdate registry(bool _known)
	{
		HallLog::TopicUpdate update = hubUpdate(0, 0, page(StoreState::Done, 9, {record(3)}));
		update.topic = KeyedTopic::Nodes;
		update.snapshot = true;
		update.known = _known;
		return update;
	}

	void read(uint64_t _from)
	{
		log_.read(KeyedTopic::Operator, Offset{_from}, Duration::fromMillis(1000),
		          [this](KeyedPage&& _page)
		          {
			          pages_.push_back(std::move(_page));
		          });
	}

	ManualClock clock_;
	DeferredStore store_;
	RecordingListener listener_;
	RecordingSource source_;
	TopicCache cache_;
	HallLog log_{store_, clock_, cache_, "n1"};
	std::vector<KeyedPage> pages_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HallLogTest);

} // namespace sedgecart
