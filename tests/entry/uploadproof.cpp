// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A burst of uploads, each within the limits, ended nodes by their memory, and all requests on them with it.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

constexpr std::size_t kBody = 4UL * 1024 * 1024;

/// At two thirds of a second for each, all of them take longer than a body may wait.
constexpr int kUploads = 40;
constexpr Millis kWork{300};

/// Longer than an upload may stall while others wait.
constexpr Millis kStall{1500};

/// Memory of the node.
constexpr double kMemoryMb = 32;

constexpr std::size_t kBytesPerMb = 1000UL * 1000;

TestRequest upload(int _number)
{
	TestRequest made;
	made.id = "upload" + std::to_string(_number);
	made.body.assign(kBody, 'x');
	return made;
}

/// A target that reads and drops bodies, and answers after its work.
class UploadTarget
{
public:
	TargetScript script()
	{
		return [this](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			const bool isWhole = kBody == _request.body.size();
			whole_ += isWhole ? 1 : 0;
			ServerRequest head;
			head.head = _request.head;
			target_->postAfter(isWhole ? kWork : Millis(0),
			                   [_caller, head]
			                   {
				                   answerWhole(*_caller, head, 200, "done");
			                   });
		};
	}

	void setTarget(FakeTarget& _target)
	{
		target_ = &_target;
	}

	int whole() const
	{
		return whole_.load();
	}

private:
	FakeTarget* target_ = nullptr;
	std::atomic<int> whole_{0};
};

} // namespace

class UploadProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(UploadProof);
	CPPUNIT_TEST(aBurstOfUploadsIsServedOrRefused);
	CPPUNIT_TEST(smallRequestsDoNotWaitForUploads);
	CPPUNIT_TEST(uploadsInChunksAreBoundedToo);
	CPPUNIT_TEST(stalledUploadsMakeRoom);
	CPPUNIT_TEST_SUITE_END();

public:
	/// No upload may be left without an answer, and none may run that is refused.
	void aBurstOfUploadsIsServedOrRefused()
	{
		UploadTarget target;
		EntryHarness harness;
		harness.settings().memoryMb = kMemoryMb;
		target.setTarget(harness.addPlain(target.script()));
		harness.start();
		std::atomic<int> served{0};
		std::atomic<int> refused{0};
		std::vector<std::thread> callers;
		for (int number = 0; number < kUploads; ++number)
		{
			callers.emplace_back(
			    [&, number]
			    {
				    const CallerAnswer answer = harness.call(upload(number));
				    served += 200 == answer.status ? 1 : 0;
				    refused += 429 == answer.status && 0 < comeBackOf(answer) ? 1 : 0;
			    });
		}
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		CPPUNIT_ASSERT_EQUAL(kUploads, served + refused);
		CPPUNIT_ASSERT_EQUAL(served.load(), target.whole());
		CPPUNIT_ASSERT(0 < served && 0 < refused);
	}

	void smallRequestsDoNotWaitForUploads()
	{
		UploadTarget target;
		EntryHarness harness;
		harness.settings().memoryMb = kMemoryMb;
		target.setTarget(harness.addPlain(target.script()));
		harness.start();
		std::vector<std::thread> callers;
		for (int number = 0; number < kUploads / 4; ++number)
		{
			callers.emplace_back(
			    [&harness, number]
			    {
				    harness.call(upload(number));
			    });
		}
		std::this_thread::sleep_for(kWork / 3);
		const auto start = std::chrono::steady_clock::now();
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), harness.call(TestRequest{}).status);
		const auto lasted = std::chrono::steady_clock::now() - start;
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		CPPUNIT_ASSERT(lasted < kWork);
	}

	/// Their length is not known before they are read.
	void uploadsInChunksAreBoundedToo()
	{
		UploadTarget target;
		EntryHarness harness;
		harness.settings().memoryMb = kMemoryMb;
		target.setTarget(harness.addPlain(target.script()));
		harness.start();
		std::vector<std::unique_ptr<TestCaller>> callers;
		std::string text = textOf(TestRequest{});
		text.replace(text.find("Content-Length: 5\r\n"), 19, "Transfer-Encoding: chunked\r\n");
		text.erase(text.find("\r\n\r\n") + 4);
		const std::string chunk = "100000\r\n" + std::string(1024UL * 1024, 'x') + "\r\n";
		const std::string start = text + chunk + chunk;
		for (int number = 0; number < kUploads / 2; ++number)
		{
			callers.push_back(std::make_unique<TestCaller>(harness.callerAddress()));
			callers.back()->send(start); // and no end
		}
		std::this_thread::sleep_for(kWork);
		const int refused = overloadedOf(harness);
		CPPUNIT_ASSERT(0 < refused);
		CPPUNIT_ASSERT(kUploads / 2 - refused <= static_cast<int>(kMemoryMb * kBytesPerMb / (2UL * 1024 * 1024)));
	}

	/// Guards against uploads that are refused because others were begun and never sent.
	void stalledUploadsMakeRoom()
	{
		UploadTarget target;
		EntryHarness harness;
		harness.settings().memoryMb = kMemoryMb;
		target.setTarget(harness.addPlain(target.script()));
		harness.start();
		const std::string text = textOf(upload(0));
		std::vector<std::unique_ptr<TestCaller>> stalled;
		for (int number = 0; number < kUploads / 2; ++number)
		{
			stalled.push_back(std::make_unique<TestCaller>(harness.callerAddress()));
			stalled.back()->send(text.substr(0, text.size() - kBody + 1));
		}
		std::this_thread::sleep_for(kStall);
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), harness.call(upload(1)).status);
	}

private:
	/// @returns requests that the node refused as overloaded.
	static int overloadedOf(EntryHarness& _harness)
	{
		TestCaller asker(_harness.settings().readyAddress);
		asker.send("GET /metrics HTTP/1.1\r\nHost: n1\r\n\r\n");
		const std::string metrics = asker.receive().body;
		const std::string name = "sedgecart_errors_total{kind=\"overloaded\"} ";
		const std::size_t at = metrics.find(name);
		return std::string::npos == at ? 0 : std::stoi(metrics.substr(at + name.size()));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadProof);

} // namespace sedgecart
