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

/// A store that answers as it is told, at once.
class ScriptedLog : public KeyedLogI
{
public:
	void setAddress(const std::string&) override
	{
	}

	void newest(KeyedTopic::Enum, const std::string& _afterKey, PageCall _call) override
	{
		afterKeys.push_back(_afterKey);
		answer(newestPages, _call);
	}

	void read(KeyedTopic::Enum, Offset _from, Duration _wait, PageCall _call) override
	{
		froms.push_back(_from.value);
		waits.push_back(_wait.millis());
		answer(readPages, _call);
	}

	void append(KeyedTopic::Enum, const std::string&, const std::string&, std::optional<Offset>, AppendCall) override
	{
	}

	std::deque<KeyedPage> newestPages;
	std::deque<KeyedPage> readPages;
	std::vector<std::string> afterKeys;
	std::vector<uint64_t> froms;
	std::vector<int64_t> waits;
	std::vector<PageCall> hanging; //!< Calls without an answer.

private:
	/// Without a page left it never answers, which ends the test's loop.
	void answer(std::deque<KeyedPage>& _pages, const PageCall& _call)
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

class Notes : public FollowHandlerI
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
	void onOut(StoreState::Enum) override
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
	CPPUNIT_TEST(pagesThenNews);
	CPPUNIT_TEST(afterAFailureReadsDoNotWait);
	CPPUNIT_TEST(droppedHistoryIsLoadedAnew);
	CPPUNIT_TEST(aLoadGoesOnWhereItFailed);
	CPPUNIT_TEST(aReadThatHangsIsRenewed);
	CPPUNIT_TEST(aGapInTheProofsIsAnOutage);
	CPPUNIT_TEST_SUITE_END();

public:
	void pagesThenNews()
	{
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)}, true),
		                    page(StoreState::Done, 7, {record("b", "1", 6)})};
		log_.readPages = {page(StoreState::Done, 8, {record("c", "1", 5), record("b", "1", 6), record("a", "", 7)})};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "b=1", "c=1", "b=1", "-a"}) == notes_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), log_.froms.at(0)); // behind the first page, since pages are no snapshot
		CPPUNIT_ASSERT_EQUAL(uint64_t(8), log_.froms.at(1));
	}

	void afterAFailureReadsDoNotWait()
	{
		log_.newestPages = {page(StoreState::Done, 0)};
		log_.readPages = {page(StoreState::Unknown, 0), page(StoreState::Refused, 0), page(StoreState::Done, 0)};
		run();
		CPPUNIT_ASSERT((std::vector<int64_t>{1000, 0, 0, 1000}) == log_.waits);
		CPPUNIT_ASSERT_EQUAL(2U, notes_.outs);
	}

	/// What has come is not asked for again: nodes that load anew keep a busy store busy.
	void aLoadGoesOnWhereItFailed()
	{
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)}, true), page(StoreState::Unknown, 0),
		                    page(StoreState::Done, 7, {record("b", "1", 6)})};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"", "a", "a"}) == log_.afterKeys);
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "b=1"}) == notes_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), log_.froms.at(0));
	}

	/// A connection that fell silent shows only at the end of a long wait; its late answer changes nothing then.
	void aReadThatHangsIsRenewed()
	{
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)})};
		const FollowPlan plan{KeyedTopic::Layout, Duration::fromMillis(20000), Duration{}, Duration{}, 0};
		Follower follower(loop_, log_, clock_, plan, notes_);
		follower.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.hanging.size());
		log_.readPages = {page(StoreState::Done, 6, {record("a", "2", 5)})};
		follower.renew();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "a=2"}) == notes_.seen);
		log_.hanging.front()(page(StoreState::Unknown, 0));
		CPPUNIT_ASSERT_EQUAL(0U, notes_.outs);
	}

	void droppedHistoryIsLoadedAnew()
	{
		log_.newestPages = {page(StoreState::Done, 2, {record("a", "1", 0), record("b", "1", 1)}),
		                    page(StoreState::Done, 9, {record("b", "2", 8)})};
		log_.readPages = {page(StoreState::Gone, 0)};
		run();
		CPPUNIT_ASSERT((std::vector<std::string>{"a=1", "b=1", "b=2", "-a"}) == notes_.seen);
		CPPUNIT_ASSERT_EQUAL(uint64_t(9), log_.froms.back());
	}

	/// Another node reads for this one, and did not say that the store was out.
	void aGapInTheProofsIsAnOutage()
	{
		KeyedPage handedOn = page(StoreState::Done, 6, {record("a", "", 5)});
		handedOn.handedOn = true;
		handedOn.age = Duration::fromMillis(-5000); // its proof is 5 s later than that of the load
		log_.newestPages = {page(StoreState::Done, 5, {record("a", "1", 3)})};
		log_.readPages = {handedOn};
		run();
		CPPUNIT_ASSERT_EQUAL(1U, notes_.outs);
		CPPUNIT_ASSERT_EQUAL(2U, notes_.currents);
	}

private:
	void run()
	{
		const FollowPlan plan{KeyedTopic::Operator, Duration::fromMillis(1000), Duration{}, Duration::fromMillis(2500)};
		Follower follower(loop_, log_, clock_, plan, notes_);
		follower.start();
		loop_.run();
	}

	boost::asio::io_context loop_;
	SteadyClock clock_;
	ScriptedLog log_;
	Notes notes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerTest);

} // namespace sedgecart
