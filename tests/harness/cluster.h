// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HARNESS_CLUSTER_H_HEADER_GUARD
#define SEDGECART_HARNESS_CLUSTER_H_HEADER_GUARD

#include "process.h"

#include <http/endpoint.h>
#include <wire/sedgecart.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

/// A stand-in process with its address and ledger.
struct StandinProcess
{
	std::unique_ptr<Process> process;
	Endpoint endpoint;
	std::string ledger;
	std::string hall;
};

/// How fast an emulated engine is.
struct EngineShape
{
	uint32_t slots = 8;
	uint32_t batch = 4;
	uint32_t stepMicros = 4000;
	std::string accelerator = "a100";

	/// @returns tokens a second with full batches.
	uint32_t rate() const
	{
		return static_cast<uint32_t>(uint64_t{batch} * 1000000 / stepMicros);
	}
};

/// A node process with its addresses.
struct NodeProcess
{
	std::unique_ptr<Process> process;
	Endpoint endpoint;
	std::string peer; //!< "ip:port".
	std::string hall;
};

/// Real processes on loopback: a platform, targets and nodes, all ended when this goes.
class Cluster
{
public:
	Cluster();
	~Cluster();

	Cluster(const Cluster&) = delete;
	Cluster& operator=(const Cluster&) = delete;

	/// Starts a model runner.
	/// @param _options more flags of the stand-in.
	void startEngine(const std::string& _name, const std::string& _hall, uint32_t _firstLayer, uint32_t _lastLayer,
	                 const EngineShape& _shape = EngineShape(), const std::vector<std::string>& _options = {});
	/// Starts a model runner that holds no layers and may be given some.
	void startSpare(const std::string& _name, const std::string& _hall, const std::vector<std::string>& _options = {});
	/// Starts an application runner.
	void startService(const std::string& _name, const std::string& _hall,
	                  const std::vector<std::string>& _options = {});
	/// Starts a node.
	/// @param _options flags of sedgecartd, each followed by its value; they replace the usual ones.
	void startNode(const std::string& _name, const std::string& _hall, const std::vector<std::string>& _options = {});
	/// Starts a node again at the same addresses, after its end.
	void restartNode(const std::string& _name);

	/// Publishes halls, a model route "draft" of 32 layers, a service route "filing", customers and all targets.
	void configure();
	/// Publishes one target that was started later.
	void publishTarget(const std::string& _name);

	/// Carries out a statement on a node.
	/// @returns HTTP status and the reply's or error's message.
	struct CommandResult
	{
		uint16_t status = 0;
		std::string body;
		wire::CommandReply reply;
	};
	CommandResult command(const std::string& _node, const std::string& _statement, uint32_t _waitMs = 5000);

	/// Sets a switch of a stand-in; "platform" is the platform.
	void setSwitch(const std::string& _standin, const std::string& _name, uint64_t _value);

	/// Starts one more stand-in of the platform, for a VM list as another hall sees it.
	void startPlatform(const std::string& _name);

	/// Tells a VM list who is there.
	/// @param _leaving names that are shown as leaving.
	/// @param _peers "ip:port" to show for a node in place of its own.
	/// @param _platform stand-in that shows the list.
	void listVms(const std::set<std::string>& _leaving = {}, const std::map<std::string, std::string>& _peers = {},
	             const std::string& _platform = "platform");

	/// Waits until every node hears every other: only then a command waits for all of them, and a node knows that the
	/// claimant of another's claim lives.
	/// @returns whether they do in the end.
	bool awaitPeers();

	/// Waits until every node can serve both routes.
	void awaitServing();

	/// @returns a field of a node's state dump, empty if it cannot be read.
	std::string dumpField(const std::string& _node, const std::string& _field);

	/// @returns a counter of a node's /metrics.
	uint64_t metric(const std::string& _node, const std::string& _name);

	/// @returns streams that an engine holds.
	uint32_t activeAt(const std::string& _engine);

	StandinProcess& standin(const std::string& _name)
	{
		return standins_.at(_name);
	}
	NodeProcess& node(const std::string& _name)
	{
		return nodes_.at(_name);
	}
	Endpoint at(const std::string& _node)
	{
		return nodes_.at(_node).endpoint;
	}
	std::vector<std::string> nodeNames() const;

	/// @returns the file that a process writes its output to.
	std::string outputOf(const std::string& _name) const;

private:
	std::vector<std::string> nodeCommand(const std::string& _name) const;
	void startStandin(const std::string& _name, const std::string& _hall, std::vector<std::string> _command);

	std::string folder_;
	std::map<std::string, StandinProcess> standins_;
	std::map<std::string, NodeProcess> nodes_;
	std::map<std::string, std::vector<std::string>> nodeOptions_;
	std::map<std::string, std::string> statements_; //!< That publish a target, by name.
	std::vector<std::string> halls_;
};

/// Waits until a condition holds, for a minute at most.
/// @returns whether it held in the end.
bool eventually(const std::function<bool()>& _condition);

/// @returns "ip:port".
std::string textOf(const Endpoint& _endpoint);

/// @returns a port of loopback that was free when asked.
uint16_t freePort();

} // namespace sedgecart

#endif // SEDGECART_HARNESS_CLUSTER_H_HEADER_GUARD
