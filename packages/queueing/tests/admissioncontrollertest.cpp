// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <queueing/admissioncontroller.h>

#include <admission/serviceaccount.h>
#include <base/steadyclock.h>
#include <fleet/fleetview.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr uint64_t kTokens = 100;
const std::string kService = "engine";

class FakeWaiter : public AdmissionWaiterI
{
public:
	ReserveOutcome::Enum reserve() override
	{
		++attempts;
		return outcome;
	}
	void onAdmitted() override
	{
		++admissions;
		if (onAdmittedCall)
		{
			onAdmittedCall();
		}
	}
	void onWaitEnded(WaitEnd::Enum _reason) override
	{
		ends.push_back(_reason);
	}

	ReserveOutcome::Enum outcome = ReserveOutcome::NoCapacity;
	uint32_t attempts = 0;
	uint32_t admissions = 0;
	std::vector<WaitEnd::Enum> ends;
	std::function<void()> onAdmittedCall;
};

} // namespace

class AdmissionControllerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(AdmissionControllerTest);
	CPPUNIT_TEST(waitingTokensAreKeptUpToDate);
	CPPUNIT_TEST(requestWithExcludedTargetsDoesNotBlockOthers);
	CPPUNIT_TEST(requestThatReturnsWaitsForTheNextLook);
	CPPUNIT_TEST(outageEndsTheWaitsInTime);
	CPPUNIT_TEST(stopRefusesWhatHasNotBegun);
	CPPUNIT_TEST_SUITE_END();

public:
	void waitingTokensAreKeptUpToDate()
	{
		const uint64_t id = push(0, false, 1000);
		push(2, true, 1000);
		CPPUNIT_ASSERT_EQUAL(2 * kTokens, totalTokens(account_->waiting.get()));
		CPPUNIT_ASSERT_EQUAL(kTokens, account_->waiting.get()[0]);
		controller_.remove(kService, id);
		CPPUNIT_ASSERT_EQUAL(kTokens, totalTokens(account_->waiting.get()));
		waiters_.back()->outcome = ReserveOutcome::Reserved;
		run(50);
		CPPUNIT_ASSERT_EQUAL(1U, waiters_.back()->admissions);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), totalTokens(account_->waiting.get()));
		CPPUNIT_ASSERT(!controller_.hasWaiting(kService));
	}

	/// One that finds no capacity at all does block them: the free capacity must add up for it. One that lacks a lease
	/// blocks all but started streams, which need none, even if they are late.
	void requestWithExcludedTargetsDoesNotBlockOthers()
	{
		push(0, false, 1000);
		push(1, false, 1000);
		push(2, true, 0);
		push(1, false, 1000);
		run(30);
		waiters_[1]->outcome = ReserveOutcome::NoTokens;
		waiters_[2]->outcome = ReserveOutcome::Reserved;
		run(30);
		CPPUNIT_ASSERT_EQUAL(0U, waiters_[1]->attempts);
		waiters_[0]->outcome = ReserveOutcome::Excluded;
		run(30);
		CPPUNIT_ASSERT(0U < waiters_[1]->attempts);
		CPPUNIT_ASSERT_EQUAL(1U, waiters_[2]->admissions);
		CPPUNIT_ASSERT_EQUAL(0U, waiters_[3]->attempts);
	}

	/// A request that is admitted but cannot be sent returns to the queue: this must not become a busy loop.
	void requestThatReturnsWaitsForTheNextLook()
	{
		push(1, false, 1000);
		push(0, false, 1000);
		waiters_[1]->outcome = ReserveOutcome::Reserved;
		waiters_[1]->onAdmittedCall = [this]
		{
			PendingRequest again = request(0, false, 1000);
			controller_.push(kService, account_, again, waiters_[1]);
		};
		run(100);
		CPPUNIT_ASSERT(2U <= waiters_[1]->admissions);
		CPPUNIT_ASSERT(waiters_[1]->admissions < 20U);
	}

	/// All capacity is gone for longer than the objectives. Requests are refused when they can no longer be in time; a
	/// started stream waits on, and one whose relay has ended leaves no row.
	void outageEndsTheWaitsInTime()
	{
		push(0, false, 60);
		push(2, true, 60);
		push(1, false, 1000);
		waiters_.pop_back();
		run(120);
		CPPUNIT_ASSERT((std::vector<WaitEnd::Enum>{WaitEnd::Expired}) == waiters_[0]->ends);
		CPPUNIT_ASSERT(waiters_[1]->ends.empty());
		waiters_[1]->outcome = ReserveOutcome::Reserved;
		run(50);
		CPPUNIT_ASSERT_EQUAL(1U, waiters_[1]->admissions);
		CPPUNIT_ASSERT(!controller_.hasWaiting(kService));
	}

	void stopRefusesWhatHasNotBegun()
	{
		push(0, false, 1000);
		push(2, true, 1000);
		controller_.stop();
		CPPUNIT_ASSERT((std::vector<WaitEnd::Enum>{WaitEnd::Stopping}) == waiters_[0]->ends);
		CPPUNIT_ASSERT(waiters_[1]->ends.empty());
		PendingRequest later = request(0, false, 1000);
		CPPUNIT_ASSERT(!controller_.push(kService, account_, later, waiters_[0]));
		CPPUNIT_ASSERT_EQUAL(kTokens, totalTokens(account_->waiting.get()));
	}

private:
	PendingRequest request(uint32_t _urgency, bool _hasBegun, int64_t _startInMs) const
	{
		PendingRequest made;
		made.customer = "a";
		made.urgency = _urgency;
		made.tokens = kTokens;
		made.hasBegun = _hasBegun;
		made.startBy = clock_.now() + Duration::fromMillis(_startInMs);
		made.expiresAt = _hasBegun ? clock_.now() + Duration::fromMillis(2000) : made.startBy;
		return made;
	}

	uint64_t push(uint32_t _urgency, bool _hasBegun, int64_t _startInMs)
	{
		waiters_.push_back(std::make_shared<FakeWaiter>());
		PendingRequest made = request(_urgency, _hasBegun, _startInMs);
		CPPUNIT_ASSERT(controller_.push(kService, account_, made, waiters_.back()));
		return made.id;
	}

	void run(int64_t _millis)
	{
		loop_.restart();
		loop_.run_for(std::chrono::milliseconds(_millis));
	}

	boost::asio::io_context loop_;
	SteadyClock clock_;
	FleetCell cell_;
	AdmissionController controller_{loop_, clock_, cell_};
	std::shared_ptr<ServiceAccount> account_ = std::make_shared<ServiceAccount>();
	std::vector<std::shared_ptr<FakeWaiter>> waiters_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);

} // namespace sedgecart
