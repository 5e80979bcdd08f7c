// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "crowd.h"
#include "entryharness.h"
#include "nodeprocess.h"
#include "stopsite.h"

#include <harness/casefolder.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>

#include <sys/resource.h>

namespace sedgecart
{

namespace
{

/// Memory that the node may use, by its settings.
constexpr uint64_t kMemoryMb = 128;

/// Largest body, by the desired state of StopSite.
constexpr std::size_t kBodyLimit = 1000 * 1000;

constexpr std::size_t kClients = 300;

/// Open descriptors that the node may have by its settings, and by its system's limit.
constexpr std::size_t kDescriptors = 160;
constexpr rlim_t kSystemDescriptors = 200;

constexpr std::size_t kLargeChunk = 64UL * 1024;

std::string headOf(const std::string& _framing)
{
	return "POST /plain/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 20000\r\n"
	       "Authorization: Bearer k1\r\n" +
	       _framing + "\r\n\r\n";
}

const std::string& chunkedHead()
{
	static const std::string head = headOf("Transfer-Encoding: chunked");
	return head;
}

std::string chunkOf(std::size_t _size)
{
	std::ostringstream size;
	size << std::hex << _size;
	return size.str() + "\r\n" + std::string(_size, 'x') + "\r\n";
}

/// @returns chunks of a size, of some ten kilobytes together or more.
std::string chunksOf(std::size_t _size)
{
	std::string chunks = chunkOf(_size);
	while (chunks.size() < kLargeChunk)
	{
		chunks += chunks;
	}
	return chunks;
}

/// @returns chunks of a size that add up to nearly the limit, without the last one.
CrowdRequest almostWhole(std::size_t _chunk)
{
	return CrowdRequest{chunkedHead(), chunksOf(_chunk), (kBodyLimit / _chunk - 1) * chunkOf(_chunk).size()};
}

/// @returns chunks of a size without end, far over the limit.
CrowdRequest withoutEnd(std::size_t _chunk)
{
	return CrowdRequest{chunkedHead(), chunksOf(_chunk), 8 * kBodyLimit / _chunk * chunkOf(_chunk).size()};
}

/// @returns a figure of a process's status file, kilobytes.
uint64_t statusKb(pid_t _process, const std::string& _name)
{
	std::ifstream file("/proc/" + std::to_string(_process) + "/status");
	std::string word;
	uint64_t kilobytes = 0;
	while (file >> word)
	{
		if (_name + ':' == word)
		{
			file >> kilobytes;
		}
	}
	return kilobytes;
}

std::size_t openDescriptors(pid_t _process)
{
	const std::filesystem::directory_iterator files("/proc/" + std::to_string(_process) + "/fd");
	return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace

/// A crowd of clients that keep no limit, at a real process with lowered limits: it lives, keeps to its memory and
/// descriptors, and answers an ordinary request while they are there.
class CrowdProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CrowdProof);
	CPPUNIT_TEST(largeChunksWithoutEnd);
	CPPUNIT_TEST(smallChunksWithoutEnd);
	CPPUNIT_TEST(largeChunksThatStopShort);
	CPPUNIT_TEST(smallChunksThatStopShort);
	CPPUNIT_TEST(oneChunkThatStopsShort);
	CPPUNIT_TEST(bodiesOverTheLimitThatAreAnnounced);
	CPPUNIT_TEST(bodiesThatStopShort);
	CPPUNIT_TEST(headsThatStopShort);
	CPPUNIT_TEST(smallBodiesThatStopShort);
	CPPUNIT_TEST(moreConnectionsThanDescriptors);
	CPPUNIT_TEST(moreConnectionsThanTheSystemAllows);
	CPPUNIT_TEST_SUITE_END();

public:
	void largeChunksWithoutEnd()
	{
		check(withoutEnd(kLargeChunk));
	}

	void smallChunksWithoutEnd()
	{
		check(withoutEnd(1));
	}

	void largeChunksThatStopShort()
	{
		check(almostWhole(kLargeChunk));
	}

	void smallChunksThatStopShort()
	{
		check(almostWhole(1));
	}

	void oneChunkThatStopsShort()
	{
		const std::string chunk = chunkOf(kBodyLimit);
		check(CrowdRequest{chunkedHead(), chunk, chunk.size() - 3});
	}

	void bodiesOverTheLimitThatAreAnnounced()
	{
		check(CrowdRequest{headOf("Content-Length: 8000000"), std::string(kLargeChunk, 'x'), 8 * kBodyLimit});
	}

	void bodiesThatStopShort()
	{
		check(CrowdRequest{headOf("Content-Length: " + std::to_string(kBodyLimit)), std::string(kLargeChunk, 'x'),
		                   kBodyLimit - 1});
	}

	void headsThatStopShort()
	{
		const std::string line = "X-Line: " + std::string(1000, 'x') + "\r\n";
		check(CrowdRequest{"POST /plain/ HTTP/1.1\r\n", line, 15 * line.size()});
	}

	void smallBodiesThatStopShort()
	{
		check(CrowdRequest{headOf("Content-Length: 16000"), std::string(1000, 'x'), 15999});
	}

	/// Guards against a node that accepts nobody any more.
	void moreConnectionsThanDescriptors()
	{
		const std::size_t open = checkConnections("max-descriptors=" + std::to_string(kDescriptors));
		CPPUNIT_ASSERT(open <= kDescriptors);
	}

	/// The same where the settings promise more than there are.
	void moreConnectionsThanTheSystemAllows()
	{
		checkConnections("max-descriptors=4096");
	}

private:
	/// @returns the descriptors that the node has open while the crowd is there.
	static std::size_t checkConnections(const std::string& _setting)
	{
		const CaseFolder folder("crowd");
		StopSite site(1, folder.path());
		site.node(0).addSetting(_setting);
		site.start();
		CPPUNIT_ASSERT(site.awaitReady());
		const rlimit limit{kSystemDescriptors, kSystemDescriptors};
		CPPUNIT_ASSERT_EQUAL(0, prlimit(site.node(0).id(), RLIMIT_NOFILE, &limit, nullptr));
		Crowd crowd(site.node(0).callerAddress(), kClients);
		crowd.send(CrowdRequest{"POST /plain/ HTTP/1.1\r\n", "x", 0});
		const std::size_t open = openDescriptors(site.node(0).id());
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), EntryHarness::callAt(site.node(0).callerAddress(), TestRequest{}).status);
		CPPUNIT_ASSERT(!site.node(0).hasEnded());
		return open;
	}

	static void check(const CrowdRequest& _request)
	{
		const CaseFolder folder("crowd");
		StopSite site(1, folder.path());
		site.node(0).addSetting("memory-mb=" + std::to_string(kMemoryMb));
		site.start();
		CPPUNIT_ASSERT(site.awaitReady());
		Crowd crowd(site.node(0).callerAddress(), kClients);
		crowd.send(_request);
		CPPUNIT_ASSERT(!site.node(0).hasEnded());
		const uint64_t peakKb = statusKb(site.node(0).id(), "VmHWM");
		std::cout << " peak " << peakKb << " kB " << std::flush;
		CPPUNIT_ASSERT(0 < peakKb && peakKb * 1024 <= kMemoryMb * 1000 * 1000);
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), EntryHarness::callAt(site.node(0).callerAddress(), TestRequest{}).status);
		CPPUNIT_ASSERT(!site.node(0).hasEnded());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrowdProof);

} // namespace sedgecart
