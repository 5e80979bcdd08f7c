// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A target may give an answer a second time, late, in the place of the next one. Its id names the request, not the
// send: a node that sent a refused request again over the same connection took the repeated refusal for the answer,
// and a request that may run once ran twice.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// A target that is full when a request comes for the first time, and runs it otherwise. Over the connection on which
/// it refused the request it repeats that refusal first.
class RefusingTarget
{
public:
	TargetScript script()
	{
		return [this](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			if ("/once/" != _request.head.target)
			{
				answerWhole(*_caller, _request, 200, "{}"); // a question of the node
				return;
			}
			const std::string* const id = _request.head.headers.find("Attempt-Id");
			const auto refused = refusals_.find(*id);
			if (refusals_.end() == refused)
			{
				refusals_[*id] = _caller;
				answerNotRun(*_caller, _request);
				return;
			}
			if (_caller == refused->second.lock())
			{
				answerNotRun(*_caller, _request);
			}
			++runs_;
			target_->postAfter(Millis(60),
			                   [_caller, _request]
			                   {
				                   startStream(*_caller, _request, 0, 0);
				                   _caller->finish();
			                   });
		};
	}

	void setTarget(FakeTarget& _target)
	{
		target_ = &_target;
	}

	/// @returns how often a request was run.
	uint32_t runs() const
	{
		return runs_.load();
	}

private:
	std::map<std::string, std::weak_ptr<ServerConnection>> refusals_; //!< Connection of the first send, by request.
	FakeTarget* target_ = nullptr;
	std::atomic<uint32_t> runs_{0};
};

/// Adds a route of streams that may run once, and wait for a place since they are less urgent than others.
void addOnceRoute(EntryHarness& _harness)
{
	EntryHarness::State state = EntryHarness::usualState();
	const std::string route = R"([{"name":"once","host":"h.example","path_prefix":"/once/","kind":"streaming",)"
	                          R"("timeout_ms":20000,"priority":1,"service":"engine","max_attempts":2},)";
	state.routes.replace(state.routes.find('['), 1, route);
	_harness.putWhole(2, state);
}

TestRequest request(const std::string& _path, const std::string& _id)
{
	TestRequest made;
	made.path = _path;
	made.id = _id;
	return made;
}

} // namespace

class SurplusProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(SurplusProof);
	CPPUNIT_TEST(aRepeatedRefusalIsNotTheAnswerToTheNextSend);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against a second run of a request that may run once.
	void aRepeatedRefusalIsNotTheAnswerToTheNextSend()
	{
		constexpr uint32_t kRequests = 20;
		RefusingTarget one;
		RefusingTarget two;
		EntryHarness harness;
		one.setTarget(harness.addEngine(LayerSpan{0, 8}, one.script()));
		two.setTarget(harness.addEngine(LayerSpan{0, 8}, two.script()));
		addOnceRoute(harness);
		harness.start();
		for (uint32_t number = 0; number < kRequests; ++number)
		{
			const CallerAnswer answer = harness.call(request("/once/", "once" + std::to_string(number)));
			CPPUNIT_ASSERT_EQUAL(uint16_t(200), answer.status);
			CPPUNIT_ASSERT_EQUAL(eventText(0), answer.body);
		}
		CPPUNIT_ASSERT_EQUAL(kRequests, one.runs() + two.runs());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(SurplusProof);

} // namespace sedgecart
