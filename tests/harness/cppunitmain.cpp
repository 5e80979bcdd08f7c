// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Runs every CppUnit test that is linked in, or the one named by the argument, as in "LayersProof::killedStage". Cases
// that the environment names in SEDGECART_PASSED_OVER, separated by commas, are left out and told: scripts/test takes
// them from KNOWN-RED.txt.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>
#include <string>

namespace
{

std::set<std::string> passedOver()
{
	std::set<std::string> names;
	const char* const listed = std::getenv("SEDGECART_PASSED_OVER");
	std::istringstream text(nullptr == listed ? "" : listed);
	for (std::string name; std::getline(text, name, ',');)
	{
		names.insert("sedgecart::" + name);
	}
	return names;
}

/// Runs all cases of a test but for those of a set.
void runWithout(const std::set<std::string>& _left, CppUnit::Test& _test, CppUnit::TestResult& _controller)
{
	for (int child = 0; child < _test.getChildTestCount(); ++child)
	{
		runWithout(_left, *_test.getChildTestAt(child), _controller);
	}
	if (0 < _test.getChildTestCount())
	{
		return;
	}
	if (0 < _left.count(_test.getName()))
	{
		std::cerr << _test.getName() << " : passed over, known red\n";
		return;
	}
	_test.run(&_controller);
}

} // namespace

int main(int _argc, char** _argv)
{
	std::signal(SIGPIPE, SIG_IGN);
	CppUnit::TestResult controller;
	CppUnit::TestResultCollector results;
	CppUnit::BriefTestProgressListener progress;
	controller.addListener(&results);
	controller.addListener(&progress);
	CppUnit::Test* const all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
	CppUnit::TestRunner runner;
	runner.addTest(all);
	try
	{
		if (2 == _argc)
		{
			runner.run(controller, "sedgecart::" + std::string(_argv[1]));
		}
		else
		{
			runWithout(passedOver(), *all, controller);
		}
	}
	catch (const std::invalid_argument&)
	{
		std::cerr << "no test named " << _argv[1] << '\n';
		return 2;
	}
	CppUnit::CompilerOutputter(&results, std::cerr).write();
	return results.wasSuccessful() ? 0 : 1;
}
