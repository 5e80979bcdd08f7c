// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/seededrandom.h>
#include <core/connectionshare.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

/// Limits and numbers of nodes of small and large sites; in the last one the nodes outnumber the connections.
struct Site
{
	uint32_t limit;
	uint32_t nodes;
};

const std::vector<Site> kSites = {{49, 7}, {110, 9}, {110, 67}, {958, 67}, {110, 295}};

constexpr uint32_t kAttempts = 200; // of each node with demand between two reports
constexpr uint32_t kReports = 400;  // rounds of a play
constexpr uint32_t kFirstReports = 40;
constexpr uint32_t kEndDivisor = 8; // one in so many requests ends between two reports
constexpr uint32_t kDrawSteps = 1000000;

/// Nodes that know each other's use as it was at the last report.
class Fleet
{
public:
	/// @param _busy number of nodes with more requests than they may send; the others have none.
	Fleet(const Site& _site, uint32_t _busy) : share_(_site.limit, _site.nodes), use_(_site.nodes), busy_(_busy)
	{
	}

	/// Plays the time between two reports.
	void step(RandomI& _random)
	{
		const std::vector<uint32_t> reported = use_;
		const uint32_t sum = total();
		for (uint32_t node = 0; node < busy_; ++node)
		{
			endSome(use_[node], _random);
			const double draw = static_cast<double>(_random.below(kDrawSteps)) / kDrawSteps;
			for (uint32_t attempt = 0; attempt < kAttempts; ++attempt)
			{
				const ConnectionUse use{use_[node], reported[node], sum - reported[node]};
				use_[node] += share_.admits(use, draw) ? 1 : 0;
			}
		}
	}

	/// @returns the connections in use.
	uint32_t total() const
	{
		return std::accumulate(use_.begin(), use_.end(), 0U);
	}

private:
	static void endSome(uint32_t& _use, RandomI& _random)
	{
		for (uint32_t request = _use; 0 < request; --request)
		{
			_use -= 0 == _random.below(kEndDivisor) ? 1 : 0;
		}
	}

	ConnectionShare share_;
	std::vector<uint32_t> use_;
	uint32_t busy_;
};

std::string nameOf(const Site& _site)
{
	return std::to_string(_site.limit) + " connections, " + std::to_string(_site.nodes) + " nodes: ";
}

} // namespace

class ConnectionShareTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ConnectionShareTest);
	CPPUNIT_TEST(nodeWithAllCallersUsesWhatOthersCannotHaveOpen);
	CPPUNIT_TEST(busyNodesTogetherStayWithinTheLimit);
	CPPUNIT_TEST(nodeWithAllCallersUsesWhatIsFreeWhereNodesOutnumberTheConnections);
	CPPUNIT_TEST(firstBurstStaysWithinTheLimit);
	CPPUNIT_TEST(eachNodeMayAlwaysServe);
	CPPUNIT_TEST(withoutReportsANodeUsesItsEqualPart);
	CPPUNIT_TEST(noLimitAdmitsAll);
	CPPUNIT_TEST_SUITE_END();

public:
	/// One node has all callers: it must get nine tenths of what the idle connections of the others leave. Where the
	/// nodes outnumber the connections, its part of them per report is less than one, so that it may get there later.
	void nodeWithAllCallersUsesWhatOthersCannotHaveOpen()
	{
		for (const Site& site : kSites)
		{
			SeededRandom random(1);
			Fleet fleet(site, 1);
			const uint32_t guaranteed = ConnectionShare(site.limit, site.nodes).guaranteed();
			const uint32_t lendable = site.limit - std::min((site.nodes - 1) * guaranteed, site.limit / 2);
			uint32_t most = 0;
			for (uint32_t report = 0; report < kReports; ++report)
			{
				fleet.step(random);
				most = std::max(most, fleet.total());
			}
			const std::string name = nameOf(site) + std::to_string(most) + " of " + std::to_string(lendable);
			CPPUNIT_ASSERT_MESSAGE(name, 0.9 * lendable <= most || site.limit < site.nodes);
			CPPUNIT_ASSERT_MESSAGE(name, 2 * site.limit / site.nodes < most);
			CPPUNIT_ASSERT_MESSAGE(name, most <= lendable);
		}
	}

	/// With more requests at several or all nodes than they may send, the connections in use stay within the limit on
	/// the mean, once reports have told of the first burst. Only the guaranteed ones exceed it, where the nodes
	/// outnumber the connections.
	void busyNodesTogetherStayWithinTheLimit()
	{
		for (const Site& site : kSites)
		{
			for (const uint32_t busy : {2U, 4U, site.nodes})
			{
				SeededRandom random(busy);
				Fleet fleet(site, busy);
				double sum = 0;
				for (uint32_t report = 0; report < kReports; ++report)
				{
					fleet.step(random);
					sum += report < kFirstReports ? 0 : fleet.total();
				}
				const double mean = sum / (kReports - kFirstReports);
				const std::string name = nameOf(site) + std::to_string(busy) + " busy: " + std::to_string(mean);
				CPPUNIT_ASSERT_MESSAGE(name, mean <= std::max(site.limit, site.nodes));
			}
		}
	}

	/// The aim of the first case, where a node's part of what is free is less than one connection per report.
	void nodeWithAllCallersUsesWhatIsFreeWhereNodesOutnumberTheConnections()
	{
		constexpr Site kSite{110, 295};
		SeededRandom random(1);
		Fleet fleet(kSite, 1);
		uint32_t most = 0;
		for (uint32_t report = 0; report < kReports; ++report)
		{
			fleet.step(random);
			most = std::max(most, fleet.total());
		}
		CPPUNIT_ASSERT_MESSAGE(nameOf(kSite) + std::to_string(most), 0.9 * kSite.limit / 2 <= most);
	}

	/// The aim of the second case from the first report on.
	void firstBurstStaysWithinTheLimit()
	{
		for (const Site& site : kSites)
		{
			SeededRandom random(site.nodes);
			Fleet fleet(site, site.nodes);
			double sum = 0;
			for (uint32_t report = 0; report < kReports; ++report)
			{
				fleet.step(random);
				sum += fleet.total();
			}
			const double mean = sum / kReports;
			CPPUNIT_ASSERT_MESSAGE(nameOf(site) + std::to_string(mean), mean <= std::max(site.limit, site.nodes));
		}
	}

	void eachNodeMayAlwaysServe()
	{
		for (const Site& site : kSites)
		{
			const ConnectionUse full{0, 0, site.limit};
			CPPUNIT_ASSERT_MESSAGE(nameOf(site), ConnectionShare(site.limit, site.nodes).admits(full, 0.99));
		}
	}

	/// A node that knows nothing of the others must not take their parts.
	void withoutReportsANodeUsesItsEqualPart()
	{
		for (const Site& site : kSites)
		{
			const ConnectionShare share(site.limit, site.nodes);
			ConnectionUse use;
			while (share.admits(use, 0.99))
			{
				++use.own;
			}
			const uint32_t equal = std::max(1U, site.limit / site.nodes);
			CPPUNIT_ASSERT_MESSAGE(nameOf(site) + std::to_string(use.own), use.own <= equal);
		}
	}

	void noLimitAdmitsAll()
	{
		CPPUNIT_ASSERT(ConnectionShare(0, 3).admits(ConnectionUse{1000, 0, 1000}, 0.5));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionShareTest);

} // namespace sedgecart
