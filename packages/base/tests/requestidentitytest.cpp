// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/requestidentity.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace sedgecart
{

namespace
{

RequestParts parts()
{
	return RequestParts{"bank", "POST", "h.example", "/a/?x=1", "body"};
}

} // namespace

class RequestIdentityTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RequestIdentityTest);
	CPPUNIT_TEST(eachPartChangesTheIdentity);
	CPPUNIT_TEST(boundariesBetweenPartsCount);
	CPPUNIT_TEST(promptPartsAreNoRequests);
	CPPUNIT_TEST(textIsParsed);
	CPPUNIT_TEST(otherTextsAreRejected);
	CPPUNIT_TEST_SUITE_END();

public:
	void eachPartChangesTheIdentity()
	{
		std::set<RequestIdentity> seen{identifyCaller(parts())};
		RequestParts other = parts();
		other.customer = "shop";
		seen.insert(identifyCaller(other));
		other = parts();
		other.method = "GET";
		seen.insert(identifyCaller(other));
		other = parts();
		other.host = "g.example";
		seen.insert(identifyCaller(other));
		other = parts();
		other.target = "/a/?x=2";
		seen.insert(identifyCaller(other));
		other = parts();
		other.body = "bodz";
		seen.insert(identifyCaller(other));
		CPPUNIT_ASSERT_EQUAL(std::size_t(6), seen.size());
		CPPUNIT_ASSERT(identifyCaller(parts()) == identifyCaller(parts()));
	}

	void promptPartsAreNoRequests()
	{
		const RequestIdentity part = identifyPromptPart("engine", "a1");
		CPPUNIT_ASSERT(part.isPromptPart());
		CPPUNIT_ASSERT(!identifyCaller(parts()).isPromptPart());
		CPPUNIT_ASSERT(!(part == identifyPromptPart("engine", "a2")));
		CPPUNIT_ASSERT(!(part == identifyPromptPart("other", "a1")));
		RequestIdentity read;
		CPPUNIT_ASSERT(RequestIdentity::parse(part.text(), read) && part == read);
	}

	void boundariesBetweenPartsCount()
	{
		RequestParts moved = parts();
		moved.host = "h.example/";
		moved.target = "a/?x=1";
		CPPUNIT_ASSERT(!(identifyCaller(moved) == identifyCaller(parts())));
	}

	void textIsParsed()
	{
		const RequestIdentity small{1, 0, 0xab};
		RequestIdentity read;
		CPPUNIT_ASSERT(RequestIdentity::parse(small.text(), read));
		CPPUNIT_ASSERT(small == read);
		CPPUNIT_ASSERT(RequestIdentity::parse(identifyCaller(parts()).text(), read));
		CPPUNIT_ASSERT(identifyCaller(parts()) == read);
	}

	void otherTextsAreRejected()
	{
		RequestIdentity read{7, 7, 7};
		const std::string text = identifyCaller(parts()).text();
		CPPUNIT_ASSERT(!RequestIdentity::parse("", read));
		CPPUNIT_ASSERT(!RequestIdentity::parse(text + "0", read));
		CPPUNIT_ASSERT(!RequestIdentity::parse(text.substr(1), read));
		CPPUNIT_ASSERT(!RequestIdentity::parse("x" + text.substr(1), read));
		CPPUNIT_ASSERT(!RequestIdentity::parse("-" + text.substr(1), read));
		CPPUNIT_ASSERT(!RequestIdentity::parse(std::string(48, 'A'), read));
		CPPUNIT_ASSERT(RequestIdentity({7, 7, 7}) == read);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestIdentityTest);

} // namespace sedgecart
