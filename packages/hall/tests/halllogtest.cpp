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

class SetClock : public ClockI
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

/// A store whose reads are answered when the test says so.
class HeldStore : public KeyedLogI
{
public:
	/// A read that has no answer yet.
	struct Read
	{
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		Offset from;
		Duration wait;
		PageCall call;
	};

	void setAddress(const std::string&) override
	{
	}

	void newest(KeyedTopic::Enum _topic, const std::string&, PageCall _call) override
	{
		loads.push_back(Read{_topic, Offset{}, Duration{}, std::move(_call)});
	}

	void read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCall _call) override
	{
		reads.push_back(Read{_topic, _from, _wait, std::move(_call)});
	}

	void append(KeyedTopic::Enum, const std::string&, const std::string&, std::optional<Offset>, AppendCall) override
	{
	}

	void answerLast(KeyedPage&& _page)
	{
		reads.back().call(std::move(_page));
	}

	std::vector<Read> reads;
	std::vector<Read> loads;
};

class Watch : public StoreWatchI
{
public:
	void onStoreRead(bool _answered) override
	{
		answers.push_back(_answered);
	}

	std::vector<bool> answers;
};

/// Number of the report that asks what waits.
constexpr uint64_t kReport = 7;

KeyedPage page(StoreState::Enum _state, uint64_t _end, std::vector<KeyedRecord> _records = {})
{
	KeyedPage made;
	made.state = _state;
	made.end = Offset{_end};
	made.records = std::move(_records);
	return made;
}

KeyedRecord record(uint64_t _offset)
{
	return KeyedRecord{"key", "value", false, Offset{_offset}};
}

HallLog::News news(uint64_t _from, int64_t _ageMillis, KeyedPage&& _page)
{
	HallLog::News made;
	made.from = Offset{_from};
	made.known = true;
	made.page = std::move(_page);
	made.page.age = Duration::fromMillis(_ageMillis);
	return made;
}

} // namespace

class HallLogTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HallLogTest);
	CPPUNIT_TEST(withoutAHubTheStoreIsRead);
	CPPUNIT_TEST(theHubsNewsAnswerARead);
	CPPUNIT_TEST(oldNewsAreNotTaken);
	CPPUNIT_TEST(whoIsTooFarBehindReadsTheStore);
	CPPUNIT_TEST(whoIsTooFarBehindLoadsWhatTheHubHolds);
	CPPUNIT_TEST(aHubTellsWhetherItHoldsTheWhole);
	CPPUNIT_TEST(whatWaitsGoesToTheStoreWhenTheHubGoes);
	CPPUNIT_TEST(oneReadTriesTheStore);
	CPPUNIT_TEST(aReadThatWasGivenUpSaysNothingOfTheStore);
	CPPUNIT_TEST(aLateAnswerToALongReadSaysNothingOfTheStore);
	CPPUNIT_TEST(theLateFailureOfALongReadSaysNothingOfTheStore);
	CPPUNIT_TEST(whatWasReadIsAtHandForOthers);
	CPPUNIT_TEST(whoIsBehindGetsTheNewestOfEachKey);
	CPPUNIT_TEST(cacheDoesNotJoinWhatIsNotContiguous);
	CPPUNIT_TEST(largeRecordsAreNotHandedOn);
	CPPUNIT_TEST(recordsThatShrinkAreHandedOnPacked);
	CPPUNIT_TEST(whatIsNoPackIsNotRead);
	CPPUNIT_TEST(aPackOfTooManyRecordsIsNotRead);
	CPPUNIT_TEST(newsFromTheFutureAreNotTaken);
	CPPUNIT_TEST(newsThatContradictThemselvesAreNotTaken);
	CPPUNIT_TEST(wholeTopicsComeFromTheHub);
	CPPUNIT_TEST(theHubLoadsFromTheStore);
	CPPUNIT_TEST(whatTheHubDoesNotHandOnComesFromTheStore);
	CPPUNIT_TEST(answersToEarlierReportsDoNotCount);
	CPPUNIT_TEST(wholeTopicFollowsItsRecords);
	CPPUNIT_TEST(largeEntriesOfOthersAreNotKept);
	CPPUNIT_TEST_SUITE_END();

public:
	void withoutAHubTheStoreIsRead()
	{
		read(3);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
		store_.answerLast(page(StoreState::Done, 4, {record(3)}));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT(!pages_[0].handedOn);
		CPPUNIT_ASSERT((std::vector<bool>{true}) == watch_.answers);
	}

	void theHubsNewsAnswerARead()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		CPPUNIT_ASSERT(store_.reads.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.questions(kReport).size());
		CPPUNIT_ASSERT(log_.onNews(news(3, 700, page(StoreState::Done, 4, {record(3)})), kReport));
		CPPUNIT_ASSERT(pages_.at(0).handedOn);
		CPPUNIT_ASSERT_EQUAL(int64_t(700), pages_[0].age.millis());
		CPPUNIT_ASSERT(log_.questions(kReport).empty());
	}

	void oldNewsAreNotTaken()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		log_.questions(kReport);
		CPPUNIT_ASSERT(!log_.onNews(news(3, 2600, page(StoreState::Done, 4, {record(3)})), kReport));
		CPPUNIT_ASSERT(pages_.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.questions(kReport).size());
	}

	/// An age beyond what a signed number holds arrived as a negative one, and made the proof newer than any.
	void newsFromTheFutureAreNotTaken()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		log_.questions(kReport);
		HallLog::News odd = news(3, 0, page(StoreState::Done, 4, {record(3)}));
		odd.page.age = Duration{INT64_MIN};
		CPPUNIT_ASSERT(!log_.onNews(std::move(odd), kReport));
		CPPUNIT_ASSERT(pages_.empty());
	}

	/// Records that lie before what was asked for, beyond the end, or not in order would set the place from which this
	/// node reads on back, or beyond records that it never saw. The store is read in place of them.
	void newsThatContradictThemselvesAreNotTaken()
	{
		const std::vector<KeyedPage> odd = {
		    page(StoreState::Done, 4, {record(2)}), page(StoreState::Done, 4, {record(4)}),
		    page(StoreState::Done, 9, {record(5), record(4)}), page(StoreState::Done, 2)};
		for (const KeyedPage& given : odd)
		{
			log_.setWay(HallLog::Way::Hub);
			read(3);
			log_.questions(kReport);
			const std::size_t before = store_.reads.size();
			KeyedPage copy = given;
			log_.onNews(news(3, 0, std::move(copy)), kReport);
			CPPUNIT_ASSERT(pages_.empty());
			CPPUNIT_ASSERT_EQUAL(before + 1, store_.reads.size());
		}
	}

	/// Somebody writes megabytes under a key of the targets' topic: each node would keep them, and the hub hand them
	/// on.
	void largeEntriesOfOthersAreNotKept()
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
		const TopicCache::Found found = cache_.find(KeyedTopic::Runners, Offset{3});
		CPPUNIT_ASSERT(found.known);
	}

	void whoIsTooFarBehindReadsTheStore()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		log_.questions(kReport);
		HallLog::News unknown = news(3, 0, page(StoreState::Done, 9));
		unknown.known = false;
		CPPUNIT_ASSERT(log_.onNews(std::move(unknown), kReport));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
	}

	/// Changes came faster than the hub keeps them, and the store turned the node away: it asked the hub for news that
	/// were gone and the store for the rest, by turns, for eight seconds.
	void whoIsTooFarBehindLoadsWhatTheHubHolds()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		log_.questions(kReport);
		HallLog::News behind = news(3, 0, page(StoreState::Done, 9));
		behind.known = false;
		behind.wholeAtHand = true;
		CPPUNIT_ASSERT(log_.onNews(std::move(behind), kReport));
		CPPUNIT_ASSERT(store_.reads.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT(StoreState::Gone == pages_[0].state); // a follower then loads anew
	}

	void aHubTellsWhetherItHoldsTheWhole()
	{
		read(3);
		store_.answerLast(page(StoreState::Done, 5, {record(3), record(4)}));
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{2}).wholeAtHand);
		cache_.takeWhole(KeyedTopic::Operator, {record(4)}, Offset{5}, clock_.now());
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{2}).wholeAtHand);
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{4}).wholeAtHand); // the news do
	}

	void whatWaitsGoesToTheStoreWhenTheHubGoes()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		log_.setWay(HallLog::Way::Store);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
	}

	/// A store that does not answer gets one read without a wait, not one for each topic.
	void oneReadTriesTheStore()
	{
		log_.setWay(HallLog::Way::Hub);
		for (const KeyedTopic::Enum topic : {KeyedTopic::Layout, KeyedTopic::Operator, KeyedTopic::Runners})
		{
			log_.read(topic, Offset{1}, Duration::fromMillis(900), [](KeyedPage&&) {});
		}
		log_.setWay(HallLog::Way::Try);
		log_.setWay(HallLog::Way::Try);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
		CPPUNIT_ASSERT(KeyedTopic::Operator == store_.reads[0].topic);
		CPPUNIT_ASSERT_EQUAL(int64_t(0), store_.reads[0].wait.micros);
		store_.answerLast(page(StoreState::Refused, 0));
		CPPUNIT_ASSERT((std::vector<bool>{false}) == watch_.answers);
	}

	/// Its connection hung; the read that took its place was answered long ago.
	void aReadThatWasGivenUpSaysNothingOfTheStore()
	{
		read(3);
		read(3);
		store_.answerLast(page(StoreState::Done, 3));
		store_.reads.front().call(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT((std::vector<bool>{true}) == watch_.answers);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), pages_.size());
	}

	/// It was sent before the store turned this node away, and took its node for one that the store answers.
	void aLateAnswerToALongReadSaysNothingOfTheStore()
	{
		log_.read(KeyedTopic::Layout, Offset{0}, Duration::fromMillis(20000), [](KeyedPage&&) {});
		clock_.advance(100);
		read(3);
		store_.answerLast(page(StoreState::Refused, 0));
		clock_.advance(100);
		store_.reads.front().call(page(StoreState::Done, 1));
		CPPUNIT_ASSERT((std::vector<bool>{false}) == watch_.answers);
	}

	/// It hung over an outage, and failed when the store had long answered others.
	void theLateFailureOfALongReadSaysNothingOfTheStore()
	{
		log_.read(KeyedTopic::Layout, Offset{0}, Duration::fromMillis(20000), [](KeyedPage&&) {});
		clock_.advance(100);
		read(3);
		store_.answerLast(page(StoreState::Done, 5, {record(3), record(4)}));
		clock_.advance(100);
		store_.reads.front().call(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT((std::vector<bool>{true}) == watch_.answers);
	}

	void whatWasReadIsAtHandForOthers()
	{
		read(3);
		clock_.advance(500);
		store_.answerLast(page(StoreState::Done, 5, {record(3), record(4)}));
		const TopicCache::Found behind = cache_.find(KeyedTopic::Operator, Offset{2});
		CPPUNIT_ASSERT(!behind.known);
		const TopicCache::Found found = cache_.find(KeyedTopic::Operator, Offset{4});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.records.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), found.end.value);
		// The proof is as old as the read, not as its answer.
		CPPUNIT_ASSERT_EQUAL(int64_t(500), (clock_.now() - found.provenAt).millis());
		CPPUNIT_ASSERT_EQUAL(uint64_t(7), cache_.find(KeyedTopic::Operator, Offset{7}).end.value);
	}

	/// A hub's link was full of desired states that others had replaced.
	void whoIsBehindGetsTheNewestOfEachKey()
	{
		read(3);
		store_.answerLast(
		    page(StoreState::Done, 6, {record(3), KeyedRecord{"other", "value", false, Offset{4}}, record(5)}));
		const TopicCache::Found found = cache_.find(KeyedTopic::Operator, Offset{3});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), found.records.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(4), found.records[0].offset.value);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), found.records[1].offset.value);
		CPPUNIT_ASSERT_EQUAL(uint64_t(6), found.end.value);
	}

	void cacheDoesNotJoinWhatIsNotContiguous()
	{
		cache_.take(KeyedTopic::Runners, Offset{3}, page(StoreState::Done, 4, {record(3)}), clock_.now());
		cache_.take(KeyedTopic::Runners, Offset{9}, page(StoreState::Done, 10, {record(9)}), clock_.now());
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Runners, Offset{3}).known);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Runners, Offset{9}).known);
	}

	/// Handed to each node of a hall again and again they would fill the hub's link.
	void largeRecordsAreNotHandedOn()
	{
		KeyedRecord large = record(3);
		large.value = noise(600000);
		cache_.take(KeyedTopic::Operator, Offset{3}, page(StoreState::Done, 5, {large, record(4)}), clock_.now());
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{3}).known);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{4}).known);
	}

	/// A desired state of a thousand routes shrinks to what a hub can hand to each node of its hall; packed once.
	void recordsThatShrinkAreHandedOnPacked()
	{
		KeyedRecord large = record(3);
		for (int route = 0; route < 1000; ++route)
		{
			large.value +=
			    R"({"name":"extra-)" + std::to_string(route) + R"(","kind":"idempotent","timeout_ms":20000},)";
		}
		cache_.take(KeyedTopic::Operator, Offset{3}, page(StoreState::Done, 4, {large}), clock_.now());
		const TopicCache::Found found = cache_.find(KeyedTopic::Operator, Offset{3});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT(found.packed && found.packed->size() < large.value.size() / 5);
		CPPUNIT_ASSERT(found.packed == cache_.find(KeyedTopic::Operator, Offset{3}).packed);
		std::vector<KeyedRecord> records;
		CPPUNIT_ASSERT(unpackRecords(*found.packed, records));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
		CPPUNIT_ASSERT(large.value == records[0].value);
	}

	void whatIsNoPackIsNotRead()
	{
		std::vector<KeyedRecord> records;
		std::string packed = packRecords({record(1), record(2)});
		for (const std::string& text : {std::string(), noise(100), packed.substr(0, packed.size() - 3), packed + "x"})
		{
			CPPUNIT_ASSERT(!unpackRecords(text, records));
			CPPUNIT_ASSERT(records.empty());
		}
		packed[packed.size() / 2] = static_cast<char>(packed[packed.size() / 2] ^ 0x55);
		unpackRecords(packed, records); // whatever comes of it, nothing breaks
	}

	/// All nodes of a fleet start together: one of a hall loads, the others get the whole topic from it.
	/// A record without anything in it takes two bytes, which shrink to next to nothing when they are packed, and some
	/// hundred in memory: a text of some thousand bytes would take gigabytes.
	void aPackOfTooManyRecordsIsNotRead()
	{
		std::vector<KeyedRecord> read;
		CPPUNIT_ASSERT(unpackRecords(packRecords(std::vector<KeyedRecord>(50000)), read));
		CPPUNIT_ASSERT_EQUAL(std::size_t(50000), read.size());
		CPPUNIT_ASSERT(!unpackRecords(packRecords(std::vector<KeyedRecord>(1000000)), read));
		CPPUNIT_ASSERT(read.empty());
	}

	void wholeTopicsComeFromTheHub()
	{
		log_.setWay(HallLog::Way::Hub);
		load();
		CPPUNIT_ASSERT(store_.loads.empty());
		const std::vector<HallLog::Question> asked = log_.questions(kReport);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked.size());
		CPPUNIT_ASSERT(asked[0].whole);
		HallLog::News whole = news(0, 300, page(StoreState::Done, 9, {record(3)}));
		whole.whole = true;
		CPPUNIT_ASSERT(log_.onNews(std::move(whole), kReport));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), pages_[0].end.value);
		CPPUNIT_ASSERT_EQUAL(int64_t(300), pages_[0].age.millis());
		CPPUNIT_ASSERT(cache_.findWhole(KeyedTopic::Operator).known); // it may be a hub next
	}

	/// The hub asks the store; so does every node for the places of nodes, without which it knows no hub.
	void theHubLoadsFromTheStore()
	{
		load();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.loads.size());
		CPPUNIT_ASSERT(!cache_.findWhole(KeyedTopic::Operator).begun);
		store_.loads.back().call(page(StoreState::Done, 9, {record(3), record(8)}));
		const TopicCache::Found found = cache_.findWhole(KeyedTopic::Operator);
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), found.end.value);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{9}).known); // what follows can be asked as well
		log_.setWay(HallLog::Way::Hub);
		log_.newest(KeyedTopic::Nodes, std::string(), [](KeyedPage&&) {});
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.loads.size());
	}

	/// A hub that answers but cannot hand something on does not hold its hall up.
	void whatTheHubDoesNotHandOnComesFromTheStore()
	{
		log_.setWay(HallLog::Way::Hub);
		load();
		log_.questions(kReport);
		clock_.advance(700);
		log_.releaseOverdue();
		CPPUNIT_ASSERT(store_.loads.empty());
		clock_.advance(1000);
		log_.releaseOverdue();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.loads.size());
	}

	/// An answer that the hub gave before a read began proves nothing for it.
	void answersToEarlierReportsDoNotCount()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		CPPUNIT_ASSERT(log_.onNews(news(3, 0, page(StoreState::Done, 3)), kReport));
		log_.questions(kReport + 1);
		CPPUNIT_ASSERT(log_.onNews(news(3, 0, page(StoreState::Done, 3)), kReport));
		CPPUNIT_ASSERT(pages_.empty());
		CPPUNIT_ASSERT(log_.onNews(news(3, 0, page(StoreState::Done, 3)), kReport + 1));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages_.size());
	}

	/// What came behind a whole topic is contained, in whatever order both were taken.
	void wholeTopicFollowsItsRecords()
	{
		KeyedRecord changed = record(4);
		changed.value = "changed";
		KeyedRecord gone = record(5);
		gone.key = "other";
		gone.value.clear();
		gone.removed = true;
		KeyedRecord other = record(2);
		other.key = "other";
		cache_.take(KeyedTopic::Runners, Offset{3}, page(StoreState::Done, 5, {record(3), changed}), clock_.now());
		cache_.takeWhole(KeyedTopic::Runners, {other, record(3)}, Offset{4}, clock_.now());
		cache_.take(KeyedTopic::Runners, Offset{5}, page(StoreState::Done, 6, {gone}), clock_.now());
		const TopicCache::Found found = cache_.findWhole(KeyedTopic::Runners);
		CPPUNIT_ASSERT_EQUAL(uint64_t(6), found.end.value);
		std::vector<KeyedRecord> records;
		CPPUNIT_ASSERT(unpackRecords(*found.packed, records));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
		CPPUNIT_ASSERT_EQUAL(std::string("changed"), records[0].value);
	}

	void setUp() override
	{
		log_.setWatch(watch_);
	}

private:
	/// @returns bytes that do not shrink.
	static std::string noise(std::size_t _size)
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
		log_.newest(KeyedTopic::Operator, std::string(),
		            [this](KeyedPage&& _page)
		            {
			            pages_.push_back(std::move(_page));
		            });
	}

	void read(uint64_t _from)
	{
		log_.read(KeyedTopic::Operator, Offset{_from}, Duration::fromMillis(1000),
		          [this](KeyedPage&& _page)
		          {
			          pages_.push_back(std::move(_page));
		          });
	}

	SetClock clock_;
	HeldStore store_;
	Watch watch_;
	TopicCache cache_;
	HallLog log_{store_, clock_, cache_, "n1"};
	std::vector<KeyedPage> pages_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HallLogTest);

} // namespace sedgecart
