// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_TESTS_SIMULATEDHALL_H_HEADER_GUARD
#define SEDGECART_ENTRY_TESTS_SIMULATEDHALL_H_HEADER_GUARD

#include "simulatedstore.h"

#include <harness/playedloop.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sedgecart
{

/// Simulates the nodes of one data hall and their store in virtual time. The choice of a hub, reports, answers and
/// reads through the hub are the product's; the links (2 ms), the store and the pauses of the followers are modelled.
class SimulatedHall
{
public:
	/// @param _seed seed of the times at which nodes report and retry.
	SimulatedHall(std::size_t _nodes, uint64_t _seed);
	~SimulatedHall();

	/// Advances virtual time to a time in milliseconds from the start.
	void runTo(int64_t _millis);

	/// Ends the first nodes in the order of hub candidates, as a kill does. The others keep their records.
	void endFirst(std::size_t _nodes);

	SimulatedStore& store()
	{
		return store_;
	}

	/// @returns the name of a node, by its index in the order of hub candidates.
	static std::string nameOf(std::size_t _index);

	/// @returns how often nodes have chosen another hub so far, summed over all nodes.
	uint64_t hubChanges() const;

	/// @returns when the last node had read a topic up to an offset, milliseconds; negative if some node has not yet.
	int64_t allReadAt(Offset _end, KeyedTopic::Enum _topic = KeyedTopic::Operator) const;

	/// @returns the age of the most outdated state of the operator's topic in use at a node that has not ended,
	/// milliseconds.
	int64_t maxProofAge() const;

private:
	class Node;

	Node& nodeOf(const std::string& _name);

	PlayedLoop loop_;
	SimulatedStore store_{loop_};
	std::vector<std::unique_ptr<Node>> nodes_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_TESTS_SIMULATEDHALL_H_HEADER_GUARD
