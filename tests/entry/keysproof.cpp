// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace sedgecart
{

namespace
{

constexpr const char* kHeldKey = "k1";
constexpr const char* kUnknownKey = "nobody";
constexpr const char* kNoKey = "";

constexpr const char* kEmptyList = R"("tenants":[],)";

/// Puts the usual routes and services with a list of customers, and waits until that is in force.
/// @param _customers a field of the desired state that ends with a comma; empty: the field is not there.
void putCustomers(EntryHarness& _harness, const std::string& _customers)
{
	const EntryHarness::State usual = EntryHarness::usualState();
	const std::string marker = R"([{"name":"marker","host":"h.example","path_prefix":"/marker/","kind":"idempotent",)"
	                           R"("timeout_ms":20000,"service":"plain","max_attempts":1,"auth_exempt":true},)";
	_harness.store().put(KeyedTopic::Operator, "config",
	                     R"({"version":2,)" + _customers + R"("routes":)" + marker + usual.routes.substr(1) +
	                         R"(,"services":)" + usual.services + "}");
	TestRequest request;
	request.path = "/marker/";
	request.key = kNoKey;
	CPPUNIT_ASSERT(_harness.callUntil(request, 200));
}

uint16_t statusOf(const EntryHarness& _harness, const char* _key)
{
	TestRequest request;
	request.key = _key;
	return _harness.call(request).status;
}

} // namespace

/// Which keys let a request in after a change of the customers.
class KeysProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(KeysProof);
	CPPUNIT_TEST(emptyListOfCustomersLetsNoKeyIn);
	CPPUNIT_TEST(customerWithoutKeysLetsNoKeyIn);
	CPPUNIT_TEST(emptyKeyOfACustomerLetsNoRequestIn);
	CPPUNIT_TEST(emptyListHoldsAfterARestart);
	CPPUNIT_TEST(emptyListHoldsWhereTheHubServesTheState);
	CPPUNIT_TEST(listThatIsNotThereNeedsNoKey);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against taking the end of the last customer for the end of all keys, so that every request is run.
	void emptyListOfCustomersLetsNoKeyIn()
	{
		EntryHarness harness;
		start(harness);
		putCustomers(harness, kEmptyList);
		letsNoKeyIn(harness);
	}

	void customerWithoutKeysLetsNoKeyIn()
	{
		EntryHarness harness;
		start(harness);
		putCustomers(harness, R"("tenants":[{"name":"bank"}],)");
		letsNoKeyIn(harness);
	}

	/// Guards against taking a request without a key for one of a customer whose list holds an empty key.
	void emptyKeyOfACustomerLetsNoRequestIn()
	{
		EntryHarness harness;
		start(harness);
		putCustomers(harness, R"("tenants":[{"name":"bank","api_keys":[""]}],)");
		letsNoKeyIn(harness);
	}

	void emptyListHoldsAfterARestart()
	{
		EntryHarness harness;
		start(harness);
		putCustomers(harness, kEmptyList);
		harness.killFirst();
		harness.start();
		letsNoKeyIn(harness);
	}

	void emptyListHoldsWhereTheHubServesTheState()
	{
		EntryHarness harness;
		start(harness);
		harness.startSecond();
		harness.store().turnAway(harness.settings().storeAddress);
		putCustomers(harness, kEmptyList);
		letsNoKeyIn(harness);
	}

	void listThatIsNotThereNeedsNoKey()
	{
		EntryHarness harness;
		start(harness);
		CPPUNIT_ASSERT_EQUAL(uint16_t(401), statusOf(harness, kNoKey));
		putCustomers(harness, "");
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), statusOf(harness, kUnknownKey));
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), statusOf(harness, kNoKey));
	}

private:
	static void letsNoKeyIn(const EntryHarness& _harness)
	{
		CPPUNIT_ASSERT_EQUAL(uint16_t(401), statusOf(_harness, kHeldKey));
		CPPUNIT_ASSERT_EQUAL(uint16_t(401), statusOf(_harness, kUnknownKey));
		CPPUNIT_ASSERT_EQUAL(uint16_t(401), statusOf(_harness, kNoKey));
	}

	static void start(EntryHarness& _harness)
	{
		_harness.addPlain(
		    [](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    answerWhole(*_caller, _request, 200, "{}");
		    });
		_harness.start();
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeysProof);

} // namespace sedgecart
