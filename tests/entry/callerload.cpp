// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "callerload.h"

#include "entryharness.h"

#include <chrono>

namespace sedgecart
{

namespace
{

constexpr uint32_t kCallersOfANode = 2;

/// Between two calls of one caller.
constexpr std::chrono::milliseconds kPause{10};

} // namespace

CallerLoad::CallerLoad(const std::vector<std::string>& _nodes, const std::string& _path)
{
	for (const std::string& node : _nodes)
	{
		for (uint32_t caller = 0; caller < kCallersOfANode; ++caller)
		{
			threads_.emplace_back(
			    [this, node, _path, caller]
			    {
				    run(node, _path, std::to_string(caller));
			    });
		}
	}
}

CallerLoad::~CallerLoad()
{
	stop();
}

void CallerLoad::stop()
{
	over_ = true;
	for (std::thread& thread : threads_)
	{
		thread.join();
	}
	threads_.clear();
}

void CallerLoad::run(const std::string& _node, const std::string& _path, const std::string& _caller)
{
	TestRequest request;
	request.path = _path;
	const std::string prefix = _node + '-' + _caller + '-';
	for (uint32_t number = 0; !over_; ++number)
	{
		request.id = prefix;
		request.id += std::to_string(number);
		const CallerAnswer answer = EntryHarness::callAt(_node, request);
		++(answer.whole && 200 == answer.status ? served_ : notServed_);
		std::this_thread::sleep_for(kPause);
	}
}

} // namespace sedgecart
