// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_STOPSITE_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_STOPSITE_H_HEADER_GUARD

#include "httpstore.h"
#include "memorylog.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

class NodeProcess;
class PacedStreams;

/// Nodes of one hall as processes, before a store and targets in this process. Routes and services are those of
/// EntryHarness. Answers are short and fast until `slowDown` is called.
class StopSite
{
public:
	/// @param _folder of settings and logs; made by the caller.
	StopSite(std::size_t _nodes, const std::string& _folder);
	~StopSite();

	StopSite(const StopSite&) = delete;
	StopSite& operator=(const StopSite&) = delete;

	/// Starts the nodes, by a thread that outlives them.
	void start();

	/// @returns false if a node does not get ready.
	bool awaitReady() const;

	/// Sends each node more requests than its estimates need, over several connections at a time.
	/// @returns those that were not served.
	uint32_t answerBefore();

	/// From now on streams are as long as their request says and calls take long.
	void slowDown();

	/// @returns true if a target was sent the request.
	bool hasRun(const std::string& _id) const;

	NodeProcess& node(std::size_t _index)
	{
		return *nodes_[_index];
	}

	std::size_t nodes() const
	{
		return nodes_.size();
	}

private:
	void addCallTarget();
	void addStreamTarget();
	void putTarget(const std::string& _service, const std::string& _layers);
	void noteRun(const ServerRequest& _request);
	bool isReady() const;

	MemoryStore store_;
	HttpStore httpStore_;
	std::atomic<std::chrono::milliseconds> work_; //!< Of a call.
	mutable std::mutex mutex_;
	std::set<std::string> run_; //!< Ids of requests.
	std::vector<std::unique_ptr<PacedStreams>> streams_;
	std::vector<std::unique_ptr<FakeTarget>> targets_;
	std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_STOPSITE_H_HEADER_GUARD
