// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_CALLERLOAD_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_CALLERLOAD_H_HEADER_GUARD

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

/// Callers that each call a node again and again, two at each node, until it is stopped.
class CallerLoad
{
public:
	/// @param _nodes addresses for callers.
	CallerLoad(const std::vector<std::string>& _nodes, const std::string& _path);
	~CallerLoad();

	CallerLoad(const CallerLoad&) = delete;
	CallerLoad& operator=(const CallerLoad&) = delete;

	void stop();

	/// @returns requests that were answered whole with 200.
	uint32_t served() const
	{
		return served_;
	}

	/// @returns the others.
	uint32_t notServed() const
	{
		return notServed_;
	}

private:
	void run(const std::string& _node, const std::string& _path, const std::string& _caller);

	std::atomic<bool> over_{false};
	std::atomic<uint32_t> served_{0};
	std::atomic<uint32_t> notServed_{0};
	std::vector<std::thread> threads_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_CALLERLOAD_H_HEADER_GUARD
