// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Checks that docs/REFERENCE.md and the shell completion list everything that the code defines.

#include <metrics/metrics.h>

#include <base/errorkind.h>
#include <node/settings.h>
#include <query/command.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace sedgecart
{

class ReferenceTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ReferenceTest);
	CPPUNIT_TEST(listsEverySetting);
	CPPUNIT_TEST(listsEveryErrorKind);
	CPPUNIT_TEST(listsEveryMetric);
	CPPUNIT_TEST(listsEveryTable);
	CPPUNIT_TEST(completionListsAllKeywords);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		text_ = textOf("/docs/REFERENCE.md");
	}

	void listsEverySetting()
	{
		expect(settingsReference());
	}

	void listsEveryErrorKind()
	{
		std::string rows;
		for (int kind = 0; kind < ErrorKind::Count; ++kind)
		{
			const ErrorResponse& answer = responseOf(static_cast<ErrorKind::Enum>(kind));
			rows += std::string("| `") + answer.name + "` | " + std::to_string(answer.status) + " | " +
			        nameOf(answer.executed) + " | " + (answer.retry ? "yes" : "no") + " | " + answer.message + " |\n";
		}
		expect(rows);
	}

	void listsEveryMetric()
	{
		for (int counter = 0; counter < Counter::Count; ++counter)
		{
			expect(std::string("`sedgecart_") + nameOf(static_cast<Counter::Enum>(counter)) + "_total`");
		}
		for (int counter = 0; counter < UrgencyCounter::Count; ++counter)
		{
			expect(std::string("`sedgecart_") + nameOf(static_cast<UrgencyCounter::Enum>(counter)) +
			       "_total{urgency=...}`");
		}
		for (int timing = 0; timing < Timing::Count; ++timing)
		{
			expect(std::string("`sedgecart_") + nameOf(static_cast<Timing::Enum>(timing)) + "_seconds`");
		}
	}

	void listsEveryTable()
	{
		for (int table = 0; table < Table::Count; ++table)
		{
			expect(std::string("`show ") + nameOf(static_cast<Table::Enum>(table)) + "`");
		}
	}

	void completionListsAllKeywords()
	{
		text_ = textOf("/packages/ctl/completion/sedgecart.bash");
		for (int table = 0; table < Table::Count; ++table)
		{
			expect(nameOf(static_cast<Table::Enum>(table)));
		}
		for (int kind = ObjectKind::None + 1; kind < ObjectKind::Count; ++kind)
		{
			expect(nameOf(static_cast<ObjectKind::Enum>(kind)));
		}
		for (int verb = ChangeVerb::Remove; verb <= ChangeVerb::Move; ++verb)
		{
			expect(nameOf(static_cast<ChangeVerb::Enum>(verb)));
		}
	}

private:
	static std::string textOf(const std::string& _path)
	{
		std::ifstream file(SEDGECART_SOURCE_DIR + _path);
		std::ostringstream all;
		all << file.rdbuf();
		return all.str();
	}

	void expect(const std::string& _part) const
	{
		CPPUNIT_ASSERT_MESSAGE("Missing from the page:\n" + _part, std::string::npos != text_.find(_part));
	}

	std::string text_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReferenceTest);

} // namespace sedgecart
