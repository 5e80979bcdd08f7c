// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_NODE_H_HEADER_GUARD
#define SEDGECART_NODE_NODE_H_HEADER_GUARD

#include <memory>
#include <string>

namespace sedgecart
{

struct Settings;

/// A node with all of its components, as run by `sedgecartd`.
class Node
{
public:
	/// Starts all threads and listens for requests.
	/// @remarks Throws std::exception when an address cannot be bound.
	explicit Node(const Settings& _settings);
	~Node();

	Node(const Node&) = delete;
	Node& operator=(const Node&) = delete;

	/// Stops gracefully: fails the health check, accepts requests for the stop delay, then waits for requests in
	/// flight, at most for the stop bound.
	void stop();

	/// @returns the state of the node as JSON.
	std::string dump() const;

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_NODE_H_HEADER_GUARD
