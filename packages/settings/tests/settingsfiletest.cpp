// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <settings/settingsfile.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <unistd.h>

namespace sedgecart
{

namespace
{

const char* const kText = "name=n1\nhall=h1\ncaller-address=10.0.0.1:1\nready-address=10.0.0.1:2\nip=10.0.0.1\n"
                          "peer-ports=7000,7010\nstore-address=10.0.0.9:3\nretry-ratio=0.2\nretry-slack=100\n"
                          "retry-window-s=10\nkey-bound-ms=5000\nkey-bound-strict=true\nstop-bound-s=8\n"
                          "cpu-share=0.25\nlink-mbps=20.5\nsomething-new=1\n";

std::string replaced(const std::string& _from, const std::string& _to)
{
	std::string text = kText;
	return text.replace(text.find(_from), _from.size(), _to);
}

} // namespace

class SettingsFileTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(SettingsFileTest);
	CPPUNIT_TEST(readsTheFileAndDetectsChanges);
	CPPUNIT_TEST(readsTheMemoryOfTheNode);
	CPPUNIT_TEST(readsTheDescriptorsOfTheNode);
	CPPUNIT_TEST(theErrorNamesTheInvalidSetting);
	CPPUNIT_TEST(anInvalidFileLeavesTheSettingsUnchanged);
	CPPUNIT_TEST(namesSettingsThatRequireARestart);
	CPPUNIT_TEST(readsDisabledMechanisms);
	CPPUNIT_TEST(everyMechanismHasAName);
	CPPUNIT_TEST(readsRequestsThatAreNeverBlocked);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		char name[] = "/tmp/sedgecart-settings-XXXXXX";
		close(mkstemp(name));
		path_ = name;
		write(kText);
	}

	void tearDown() override
	{
		std::remove(path_.c_str());
	}

	void readsTheFileAndDetectsChanges()
	{
		SettingsFile file(path_);
		CPPUNIT_ASSERT(file.read(settings_, message_));
		CPPUNIT_ASSERT_EQUAL(0.25, settings_.cpuShare);
		CPPUNIT_ASSERT_EQUAL(20.5, settings_.linkMbps);
		CPPUNIT_ASSERT_EQUAL(256.0, settings_.memoryMb);
		CPPUNIT_ASSERT(!file.changed());
		write(replaced("retry-slack=100", "retry-slack=50"));
		CPPUNIT_ASSERT(file.changed());
		CPPUNIT_ASSERT(file.read(settings_, message_));
		CPPUNIT_ASSERT_EQUAL(50.0, settings_.retries.slack);
		CPPUNIT_ASSERT(!file.changed());
	}

	void readsTheMemoryOfTheNode()
	{
		write(std::string(kText) + "memory-mb=512\n");
		CPPUNIT_ASSERT(SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT_EQUAL(512.0, settings_.memoryMb);
		write(std::string(kText) + "memory-mb=1\n");
		CPPUNIT_ASSERT(!SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT(std::string::npos != message_.find("memory-mb"));
	}

	void readsTheDescriptorsOfTheNode()
	{
		write(std::string(kText) + "max-descriptors=4200\n");
		CPPUNIT_ASSERT(SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT_EQUAL(4200U, settings_.maxDescriptors);
		write(std::string(kText) + "max-descriptors=3\n");
		CPPUNIT_ASSERT(!SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT(std::string::npos != message_.find("max-descriptors"));
	}

	void theErrorNamesTheInvalidSetting()
	{
		write(replaced("key-bound-ms=5000", "key-bound-ms=soon"));
		CPPUNIT_ASSERT(!SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT(std::string::npos != message_.find("key-bound-ms is 'soon', but must be a number from"));
	}

	void anInvalidFileLeavesTheSettingsUnchanged()
	{
		SettingsFile file(path_);
		CPPUNIT_ASSERT(file.read(settings_, message_));
		write("name=n1\n");
		CPPUNIT_ASSERT(file.changed());
		CPPUNIT_ASSERT(!file.read(settings_, message_));
		CPPUNIT_ASSERT_EQUAL(std::string("h1"), settings_.hall);
		CPPUNIT_ASSERT(!file.changed()); // reported once
	}

	void namesSettingsThatRequireARestart()
	{
		EntrySettings before;
		EntrySettings after;
		after.retries.slack = 7;
		CPPUNIT_ASSERT(settingsRequiringRestart(before, after).empty());
		after.hall = "h2";
		CPPUNIT_ASSERT_EQUAL(std::string("hall"), settingsRequiringRestart(before, after));
		after.lastPeerPort = 9;
		CPPUNIT_ASSERT_EQUAL(std::string("hall peer-ports"), settingsRequiringRestart(before, after));
	}

	void readsDisabledMechanisms()
	{
		write(std::string(kText) + "switched-off=own-evidence,busy-last\n");
		CPPUNIT_ASSERT(SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT(!settings_.mechanisms.isEnabled(Mechanism::OwnEvidence));
		CPPUNIT_ASSERT(!settings_.mechanisms.isEnabled(Mechanism::BusyLast));
		CPPUNIT_ASSERT(settings_.mechanisms.isEnabled(Mechanism::SecondCopies));
		CPPUNIT_ASSERT_EQUAL(std::string("own-evidence,busy-last"), settings_.mechanisms.disabledNames());
		write(std::string(kText) + "switched-off=none\n");
		CPPUNIT_ASSERT(SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT_EQUAL(std::string(), settings_.mechanisms.disabledNames());
		write(std::string(kText) + "switched-off=everything\n");
		CPPUNIT_ASSERT(!SettingsFile(path_).read(settings_, message_));
		CPPUNIT_ASSERT(std::string::npos != message_.find("switched-off is 'everything'"));
	}

	void everyMechanismHasAName()
	{
		for (int index = 0; index < Mechanism::Count; ++index)
		{
			Mechanisms mechanisms;
			std::string unknown;
			const char* const name = nameOf(static_cast<Mechanism::Enum>(index));
			CPPUNIT_ASSERT(mechanisms.disable(name, unknown));
			CPPUNIT_ASSERT(!mechanisms.isEnabled(static_cast<Mechanism::Enum>(index)));
		}
	}

	void readsRequestsThatAreNeverBlocked()
	{
		const RequestIdentity first{1, 2, 3};
		const RequestIdentity second{4, 5, 6};
		write(std::string(kText) + "never-blocked=" + first.text() + ',' + second.text() + '\n');
		SettingsFile file(path_);
		CPPUNIT_ASSERT(file.read(settings_, message_));
		CPPUNIT_ASSERT((std::set<RequestIdentity>{first, second}) == settings_.neverBlocked);
		write(std::string(kText) + "never-blocked=none\n");
		CPPUNIT_ASSERT(file.read(settings_, message_));
		CPPUNIT_ASSERT(settings_.neverBlocked.empty());
		write(std::string(kText) + "never-blocked=12ab\n");
		CPPUNIT_ASSERT(!file.read(settings_, message_));
		CPPUNIT_ASSERT(std::string::npos != message_.find("never-blocked is '12ab'"));
	}

private:
	void write(const std::string& _text)
	{
		std::ofstream(path_) << _text;
	}

	std::string path_;
	EntrySettings settings_;
	std::string message_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileTest);

} // namespace sedgecart
