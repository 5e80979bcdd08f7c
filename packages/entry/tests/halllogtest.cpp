// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/halllog_p.h"

#include <cppunit/extensions/HelperMacros.h>

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

	void newest(KeyedTopic::Enum, const std::string&, PageCall) override
	{
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
	CPPUNIT_TEST(whatWaitsGoesToTheStoreWhenTheHubGoes);
	CPPUNIT_TEST(oneReadTriesTheStore);
	CPPUNIT_TEST(whatWasReadIsAtHandForOthers);
	CPPUNIT_TEST(cacheDoesNotJoinWhatIsNotContiguous);
	CPPUNIT_TEST(largeRecordsAreNotHandedOn);
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
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.questions().size());
		CPPUNIT_ASSERT(log_.onNews(news(3, 700, page(StoreState::Done, 4, {record(3)}))));
		CPPUNIT_ASSERT(pages_.at(0).handedOn);
		CPPUNIT_ASSERT_EQUAL(int64_t(700), pages_[0].age.millis());
		CPPUNIT_ASSERT(log_.questions().empty());
	}

	void oldNewsAreNotTaken()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		CPPUNIT_ASSERT(!log_.onNews(news(3, 2600, page(StoreState::Done, 4, {record(3)}))));
		CPPUNIT_ASSERT(pages_.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.questions().size());
	}

	void whoIsTooFarBehindReadsTheStore()
	{
		log_.setWay(HallLog::Way::Hub);
		read(3);
		HallLog::News unknown = news(3, 0, page(StoreState::Done, 9));
		unknown.known = false;
		CPPUNIT_ASSERT(log_.onNews(std::move(unknown)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads.size());
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
		large.value.assign(100000, 'x');
		cache_.take(KeyedTopic::Operator, Offset{3}, page(StoreState::Done, 5, {large, record(4)}), clock_.now());
		CPPUNIT_ASSERT(!cache_.find(KeyedTopic::Operator, Offset{3}).known);
		CPPUNIT_ASSERT(cache_.find(KeyedTopic::Operator, Offset{4}).known);
	}

	void setUp() override
	{
		log_.setWatch(watch_);
	}

private:
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
	HallLog log_{store_, clock_, cache_};
	std::vector<KeyedPage> pages_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HallLogTest);

} // namespace sedgecart
