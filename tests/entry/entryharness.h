// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_ENTRYHARNESS_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_ENTRYHARNESS_H_HEADER_GUARD

#include "faketarget.h"
#include "memorylog.h"
#include "targetlink.h"

#include <base/runner.h>
#include <entry/entrynode.h>
#include <settings/entrysettings.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

/// What a caller got.
struct CallerAnswer
{
	uint16_t status = 0; //!< 0: no head came.
	bool whole = false;
	HeaderList headers;
	std::string body;
};

/// @returns when the caller is to come back, seconds; 0 if the answer does not say.
double comeBackOf(const CallerAnswer& _answer);

/// @returns a loopback address that nobody listens on: "ip:port".
std::string freeAddress();

/// A caller's connection to a node, blocking.
class TestCaller
{
public:
	explicit TestCaller(const std::string& _address);
	~TestCaller();

	TestCaller(const TestCaller&) = delete;
	TestCaller& operator=(const TestCaller&) = delete;

	/// Sends bytes as they are.
	void send(const std::string& _bytes);

	/// @returns the next answer.
	CallerAnswer receive();

	/// Reads until the body holds a text, or the answer ends.
	void receiveUntil(const std::string& _text);

	/// @returns true if the node has closed the connection, as far as the caller can know.
	bool isClosedByNode();

	void close();

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

/// Text of a request.
struct TestRequest
{
	std::string method = "POST";
	std::string path = "/plain/";
	std::string id = "id1";
	std::string key = "k1";
	std::chrono::milliseconds budget{20000}; //!< Time that its caller waits.
	std::vector<std::string> lines;          //!< More header lines.
	std::string body = "hello";
};

std::string textOf(const TestRequest& _request);

/// One node, in this process, before fake targets and a store in memory. It serves, of host h.example:
/// /plain/ at most once and /again/ idempotent at service "plain", and /stream/ resumable at service "engine", whose
/// model has 8 layers.
class EntryHarness
{
public:
	/// What a test may change of a desired state.
	struct State
	{
		std::string routes;   //!< A JSON list.
		std::string services; //!< The same.
		std::vector<std::string> keys;
	};

	EntryHarness();
	~EntryHarness();

	EntryHarness(const EntryHarness&) = delete;
	EntryHarness& operator=(const EntryHarness&) = delete;

	/// Adds a target of the plain service.
	FakeTarget& addPlain(TargetScript _script);

	/// Adds a target of the plain service at an address that the test itself listens on.
	void addPlainAt(const std::string& _address);

	/// Adds a target of the engine that holds layers.
	FakeTarget& addEngine(LayerSpan _layers, TargetScript _script);

	/// Says in the registry that the target leaves.
	void drain(const FakeTarget& _target);

	/// The same of a target of the engine.
	void drainEngine(const FakeTarget& _target, LayerSpan _layers);

	/// Ends the target: from then on nobody listens at its address. Its record stays. The reference is gone.
	void end(FakeTarget& _target);

	/// Puts a link between the first node and each target that was added so far. No other node of its hall may read the
	/// store for it, or be read for.
	void addLinks();

	/// Cuts or restores these links.
	void setLinks(LinkCut::Enum _cut);

	/// Starts the node and waits until it is ready.
	void start();

	/// Under which a second node will know the store.
	static const std::string& secondStoreAddress();

	/// Starts a second node in the same hall and waits until it is ready.
	/// @returns its settings.
	const EntrySettings& startSecond();

	/// Starts one more node and waits until it is ready.
	/// @returns its address for callers.
	std::string startMore(const std::string& _name, const std::string& _hall);

	/// Gives the first node the settings as they are now.
	void reload();

	/// Ends the first node as a kill does.
	void killFirst();

	/// Stops it as planned. @returns when it has ended.
	void stop();

	/// Puts a desired state.
	void putWhole(uint64_t _version, const State& _state);

	/// @returns the state that is in force at the start.
	static State usualState();

	/// Puts the usual state with another version, and keys.
	void putState(uint64_t _version, const std::vector<std::string>& _keys);

	CallerAnswer call(const TestRequest& _request) const;

	/// @returns the first node's state.
	std::string dump() const;

	/// Calls until a status comes.
	bool callUntil(const TestRequest& _request, uint16_t _status) const;

	static CallerAnswer callAt(const std::string& _address, const TestRequest& _request);
	static bool callUntilAt(const std::string& _address, const TestRequest& _request, uint16_t _status);

	const std::string& callerAddress() const
	{
		return settings_.callerAddress;
	}

	EntrySettings& settings()
	{
		return settings_;
	}

	MemoryStore& store()
	{
		return store_;
	}

	/// @returns the instance id of a target.
	static std::string instanceOf(const FakeTarget& _target);

	/// @returns the same for a target at an address.
	static std::string instanceAt(const std::string& _address);

private:
	class Ports;

	EntrySettings settingsOf(const std::string& _name) const;
	void putTarget(const std::string& _address, const std::string& _service, LayerSpan _layers, const char* _state);

	MemoryStore store_;
	EntrySettings settings_;
	std::vector<std::unique_ptr<FakeTarget>> targets_;
	std::vector<std::unique_ptr<TargetLink>> links_;
	std::unique_ptr<Ports> ports_;
	std::unique_ptr<EntryNode> node_;
	EntrySettings secondSettings_;
	std::unique_ptr<EntryNode> second_;
	std::vector<std::unique_ptr<EntryNode>> more_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_ENTRYHARNESS_H_HEADER_GUARD
