// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <logging/logging.h>

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <string>

namespace sedgecart
{

namespace
{

/// A reader that takes nothing until it is told to.
class StoppedReader : public std::streambuf
{
public:
	void go()
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		goes_ = true;
		changed_.notify_all();
	}

	std::string text()
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return text_;
	}

protected:
	int overflow(int _letter) override
	{
		const char letter = static_cast<char>(_letter);
		xsputn(&letter, 1);
		return _letter;
	}

	std::streamsize xsputn(const char* _bytes, std::streamsize _size) override
	{
		std::unique_lock<std::mutex> lock(mutex_);
		changed_.wait(lock,
		              [this]
		              {
			              return goes_;
		              });
		text_.append(_bytes, static_cast<std::size_t>(_size));
		return _size;
	}

private:
	std::mutex mutex_;
	std::condition_variable changed_;
	bool goes_ = false;
	std::string text_;
};

} // namespace

/// One test, since a process sets its logging up once.
class LoggingTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LoggingTest);
	CPPUNIT_TEST(stoppedReaderHoldsNobodyUp);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Who logs goes on while nobody reads; what was dropped is less than what was logged, and lines are whole JSON.
	void stoppedReaderHoldsNobodyUp()
	{
		static StoppedReader reader;
		static std::ostream out(&reader);
		startLogging(LogLevel::Info, true, "n1", out);
		constexpr int kLines = 50000;
		for (int line = 0; line < kLines; ++line)
		{
			logEvent(LogPart::Requests, LogLevel::Warning, "Line.", {{"text", "a \"quoted\"\nword"}}, "id1");
		}
		logEvent(LogPart::Requests, LogLevel::Debug, "Too fine.", {});
		reader.go();
		flushLogging();
		const std::string text = reader.text();
		std::size_t lines = 0;
		for (std::size_t at = text.find('\n'); std::string::npos != at; at = text.find('\n', at + 1))
		{
			++lines;
		}
		CPPUNIT_ASSERT(0 < lines && lines < kLines / 2);
		const std::string first = text.substr(0, text.find('\n'));
		CPPUNIT_ASSERT(std::string::npos != first.find("\"message\":\"Line.\",\"request\":\"id1\""));
		CPPUNIT_ASSERT(std::string::npos != first.find("\"text\":\"a \\\"quoted\\\" word\"}"));
		CPPUNIT_ASSERT(std::string::npos == text.find("Too fine."));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

} // namespace sedgecart
