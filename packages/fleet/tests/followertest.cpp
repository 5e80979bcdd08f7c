// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/steadyclock.h>
#include <fleet/follower.h>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <vector>

namespace sedgecart
{

namespace
{

/// A store that gives scripted answers at once.
class ScriptedLog : public KeyedLogI
{
public:
	void setAddress(const std::string&) override
	{
	}

	void readNewest(KeyedTopic::Enum, const std::string& _afterKey, PageCallback _call) override
	{
		afterKeys.push_back(_afterKey);
		answer(newestPages, _call);
	}

	void read(KeyedTopic::Enum, Offset _from, Duration _wait, PageCallback _call) override
	{
		froms.push_back(_from.value);
		waits.push_back(_wait.millis());
		answer(readPages, _call);
	}

	void append(KeyedTopic::Enum, const std::string&, const std::string&, std::optional<Offset>,
	            AppendCallback) override
	{
	}

	std::deque<KeyedPage> newestPages;
	std::deque<KeyedPage> readPages;
	std::vector<std::string> afterKeys;
	std::vector<uint64_t> froms;
	std::vector<int64_t> waits;
	std::vector<PageCallback> hanging; //!< Callbacks of calls that were not answered.

private:
	/// Never answers once no page is left, which ends the test's loop.
	void answer(std::deque<KeyedPage>& _pages, const PageCallback& _call)
	{
		if (_pages.empty())
		{
			hanging.push_back(_call);
			return;
		}
		KeyedPage page = std::move(_pages.front());
		_pages.pop_front();
		_call(std::move(page));
	}
};

class RecordingHandler : public FollowHandlerI
{
public:
	void onRecord(const KeyedRecord& _record) override
	{
		seen.push_back(_record.removed ? "-" + _record.key : _record.key + '=' + _record.value);
	}
	void onCurrent(Time) override
	{
		++currents;
	}
	void onReadFailed(StoreState::Enum) override
	{
		++outs;
	}

	std::vector<std::string> seen;
	uint32_t currents = 0;
	uint32_t outs = 0;
};

KeyedPage page(StoreState::Enum _state, uint64_t _end, std::vector<KeyedRecord> _records = {}, bool _partial = false)
{
	KeyedPage made;
	made.state = _state;
	made.end = Offset{_end};
	made.records = std::move(_records);
	made.partial = _partial;
	return made;
}

KeyedRecord record(const char* _key, const char* _value, uint64_t _offset)
{
	return KeyedRecord{_key, _value, '\0' == *_value, Offset{_offset}};
}

} // namespace

class FollowerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(FollowerTest);
	CPPUNIT_TEST(loadsThePagesAndThenFollows);
	CPPUNIT_TEST(afterAFailureReadsDoNotLongPoll);
	CPPUNIT_TEST(loadsAgainIfHistoryWasDropped);
	CPPUNIT_TEST(aLoadContinuesWhereItFailed);
	CPPUNIT_TEST(aHangingReadCanBeRestarted);
	CPPUNIT_TEST(aLongGapBetweenConfirmedReadsIsAnOutage);
	CPPUNIT_TEST(forwardedAnswersMayOmitTheLastRecords);
	CPPUNIT_TEST(aForwardedTopicMayBeOlderThanTheFirstPage);
	CPPUNIT_TEST_SUITE_END();

public:
	void loadsThePagesAndThenFollows()
	{
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)}, true),
		                    page(StoreState::Done, 7, {record("b", "1", 6)})};
		log_.readPages = {page(StoreState::Done, 8, {record("c", "1", 5), record("b", "1", 6), record("a", "", 7)})};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "b=1", "c=1", "b=1", "-a"}) == handler_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5),
		                     log_.froms.at(0)); // from the end of the first page, since pages are no snapshot
		CPPUNIT_ASSERT_EQUAL(uint64_t(8), log_.froms.at(1));
	}

	void afterAFailureReadsDoNotLongPoll()
	{
		log_.newestPages = {page(StoreState::Done, 0)};
		log_.readPages = {page(StoreState::Unknown, 0), page(StoreState::Refused, 0), page(StoreState::Done, 0)};
		run();
		CPPUNIT_ASSERT((std::vector<int64_t>{1000, 0, 0, 1000}) == log_.waits);
		CPPUNIT_ASSERT_EQUAL(2U, handler_.outs);
	}

	/// Pages already received are not requested again: repeated loads would keep a busy store overloaded.
	void aLoadContinuesWhereItFailed()
	{
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)}, true), page(StoreState::Unknown, 0),
		                    page(StoreState::Done, 7, {record("b", "1", 6)})};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"", "a", "a"}) == log_.afterKeys);
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "b=1"}) == handler_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), log_.froms.at(0));
	}

	/// A dead connection is noticed only at the end of a long poll. The late answer to the abandoned read is ignored.
	void aHangingReadCanBeRestarted()
	{
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)})};
		const FollowConfig config{KeyedTopic::Layout, Duration::fromMillis(20000), Duration{}, Duration{}, 0};
		Follower follower(loop_, log_, clock_, config, handler_);
		follower.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.hanging.size());
		log_.readPages = {page(StoreState::Done, 6, {record("a", "2", 5)})};
		follower.restartRead();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "a=2"}) == handler_.seen);
		log_.hanging.front()(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT_EQUAL(0U, handler_.outs);
	}

	void loadsAgainIfHistoryWasDropped()
	{
		log_.newestPages = {page(StoreState::Done, 2, {record("a", "1", 0), record("b", "1", 1)}),
		                    page(StoreState::Done, 9, {record("b", "2", 8)})};
		log_.readPages = {page(StoreState::Gone, 0)};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "b=1", "b=2", "-a"}) == handler_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), log_.froms.back());
	}

	/// Another node forwards the store's answers and did not report its outage.
	void aLongGapBetweenConfirmedReadsIsAnOutage()
	{
		KeyedPage forwarded = page(StoreState::Done, 6, {record("a", "", 5)});
		forwarded.forwarded = true;
		forwarded.proofAge = Duration::fromMillis(-5000); // confirmed 5 s later than the load
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)})};
		log_.readPages = {forwarded};
		run();
		CPPUNIT_ASSERT_EQUAL(1U, handler_.outs);
		CPPUNIT_ASSERT_EQUAL(2U, handler_.currents);
	}

	/// A hub omits records that change nothing. Its answer is complete up to its end all the same.
	void forwardedAnswersMayOmitTheLastRecords()
	{
		KeyedPage forwarded = page(StoreState::Done, 9, {record("a", "2", 5)});
		forwarded.forwarded = true;
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)})};
		log_.readPages = {forwarded};
		run();
		CPPUNIT_ASSERT_EQUAL(2U, handler_.currents);
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), log_.froms.back());
	}

	/// The first page was read from the store, the rest from a node that had loaded the topic before.
	void aForwardedTopicMayBeOlderThanTheFirstPage()
	{
		KeyedPage forwarded = page(StoreState::Done, 4, {record("a", "1", 0), record("b", "1", 3)});
		forwarded.forwarded = true;
		log_.newestPages = {page(StoreState::Done, 7, {record("a", "2", 5)}, true), forwarded};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=2", "b=1"}) == handler_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(4), log_.froms.at(0));
	}

private:
	void run()
	{
		const FollowConfig config{KeyedTopic::Operator, Duration::fromMillis(1000), Duration{},
		                          Duration::fromMillis(2500)};
		Follower follower(loop_, log_, clock_, config, handler_);
		follower.start();
		loop_.run();
	}

	boost::asio::io_context loop_;
	SteadyClock clock_;
	ScriptedLog log_;
	RecordingHandler handler_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerTest);

} // namespace sedgecart
