// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "plaindocuments.h"

#include <hall/renewalfilter.h>
#include <hall/topiccache.h>
#include <ports/keyedlog.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace sedgecart
{

/// Targets renew their records every few seconds. A hub forwarded each renewal to each node of its hall: with 3,000
/// targets a node received and parsed 1,000 records per second.
class RenewalFilterTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RenewalFilterTest);
	CPPUNIT_TEST(aRenewalChangesNothing);
	CPPUNIT_TEST(changesAreNoRenewals);
	CPPUNIT_TEST(aRecordThatReturnsIsNoRenewal);
	CPPUNIT_TEST(contestedAddressesAreNeverFiltered);
	CPPUNIT_TEST(theCacheOmitsRenewals);
	CPPUNIT_TEST(aNodeThatBecomesHubKnowsWhatItWasForwarded);
	CPPUNIT_TEST(aLateRecordDoesNotReplaceALaterOne);
	CPPUNIT_TEST_SUITE_END();

public:
	void aRenewalChangesNothing()
	{
		CPPUNIT_ASSERT(!take("t1", "10.0.0.1:80 0 10 1"));
		CPPUNIT_ASSERT(take("t1", "10.0.0.1:80 0 10 2"));
		CPPUNIT_ASSERT(take("t1", "10.0.0.1:80 0 10 3"));
		filter_.clear();
		CPPUNIT_ASSERT(!take("t1", "10.0.0.1:80 0 10 4"));
	}

	void changesAreNoRenewals()
	{
		take("t1", "10.0.0.1:80 0 10 1");
		CPPUNIT_ASSERT(!take("t1", "10.0.0.1:80 0 12 2"));
		CPPUNIT_ASSERT(!take("t1", "10.0.0.9:80 0 12 3"));
		CPPUNIT_ASSERT(!take("t1", "unusable"));
		CPPUNIT_ASSERT(take("t1", "unusable too"));
		CPPUNIT_ASSERT(!take("t1", "10.0.0.9:80 0 12 4"));
	}

	void aRecordThatReturnsIsNoRenewal()
	{
		take("t1", "10.0.0.1:80 0 10 1");
		CPPUNIT_ASSERT(!filter_.isRedundant(KeyedRecord{"t1", "", true, Offset{1}}, kNow));
		CPPUNIT_ASSERT(!take("t1", "10.0.0.1:80 0 10 2"));
	}

	/// Nodes count the claims of each target to an address that several of them claim, and the last renewal after such
	/// a conflict gives the address to the target that is left.
	void contestedAddressesAreNeverFiltered()
	{
		take("holder", "10.0.0.1:80 0 10 1");
		take("rival", "10.0.0.1:80 0 10 1");
		for (int renewal = 0; renewal < 3; ++renewal)
		{
			CPPUNIT_ASSERT(!take("holder", "10.0.0.1:80 0 10 2"));
			CPPUNIT_ASSERT(!take("rival", "10.0.0.1:80 0 10 2"));
		}
		filter_.isRedundant(KeyedRecord{"holder", "", true, Offset{1}}, kNow);
		CPPUNIT_ASSERT(!take("rival", "10.0.0.1:80 0 10 3"));
		CPPUNIT_ASSERT(take("rival", "10.0.0.1:80 0 10 4"));
	}

	void theCacheOmitsRenewals()
	{
		TopicCache cache(documents_);
		cache.setSnapshot(KeyedTopic::Runners, {record("t1", "10.0.0.1:80 0 10 1", 0)}, Offset{1}, kNow);
		KeyedPage page = pageOf({record("t1", "10.0.0.1:80 0 10 2", 1), record("t1", "10.0.0.1:80 0 12 3", 2),
		                         record("t1", "10.0.0.1:80 0 12 4", 3)});
		cache.addPage(KeyedTopic::Runners, Offset{1}, page, kNow);
		const TopicCache::Lookup found = cache.find(KeyedTopic::Runners, Offset{1});
		CPPUNIT_ASSERT(found.known);
		CPPUNIT_ASSERT_EQUAL(uint64_t(4), found.end.value);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.records.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(2), found.records.front().offset.value);
	}

	/// Changes that a former hub forwarded count as known, and the end of its last answer as read.
	void aNodeThatBecomesHubKnowsWhatItWasForwarded()
	{
		TopicCache cache(documents_);
		cache.setSnapshot(KeyedTopic::Runners, {record("t1", "10.0.0.1:80 0 10 1", 0)}, Offset{1}, kNow);
		KeyedPage forwarded = pageOf({record("t1", "10.0.0.1:80 0 12 3", 2)});
		forwarded.end = Offset{8}; // later records were renewals
		forwarded.forwarded = true;
		cache.addPage(KeyedTopic::Runners, Offset{1}, forwarded, kNow);
		cache.addPage(KeyedTopic::Runners, Offset{8}, pageOf({record("t1", "10.0.0.1:80 0 12 9", 8)}), kNow);
		CPPUNIT_ASSERT(cache.find(KeyedTopic::Runners, Offset{8}).records.empty());
		cache.addPage(KeyedTopic::Runners, Offset{9}, pageOf({record("t1", "10.0.0.1:80 0 10 9", 9)}), kNow);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), cache.find(KeyedTopic::Runners, Offset{8}).records.size());
	}

	/// A hub that forwarded a target's late record in place of the later one told its hall that a leaving target is
	/// ready.
	void aLateRecordDoesNotReplaceALaterOne()
	{
		TopicCache cache(documents_);
		cache.setSnapshot(KeyedTopic::Runners, {record("t1", "10.0.0.1:80 0 10 3", 0)}, Offset{1}, kNow);
		KeyedPage page = pageOf({record("t1", "10.0.0.1:80 0 12 7", 1), record("t1", "10.0.0.1:80 0 10 4", 2)});
		cache.addPage(KeyedTopic::Runners, Offset{1}, page, kNow);
		const TopicCache::Lookup found = cache.find(KeyedTopic::Runners, Offset{1});
		CPPUNIT_ASSERT_EQUAL(uint64_t(3), found.end.value);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.records.size());
		CPPUNIT_ASSERT_EQUAL(uint64_t(1), found.records.front().offset.value);
	}

private:
	bool take(const char* _target, const char* _value)
	{
		return filter_.isRedundant(record(_target, _value, 0), kNow);
	}

	static KeyedRecord record(const char* _target, const char* _value, uint64_t _offset)
	{
		return KeyedRecord{_target, _value, false, Offset{_offset}};
	}

	static KeyedPage pageOf(std::vector<KeyedRecord> _records)
	{
		KeyedPage page;
		page.state = StoreState::Done;
		page.end = Offset{_records.back().offset.value + 1};
		page.records = std::move(_records);
		return page;
	}

	static constexpr Time kNow{5000000};
	PlainDocuments documents_;
	RenewalFilter filter_{documents_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RenewalFilterTest);

} // namespace sedgecart
