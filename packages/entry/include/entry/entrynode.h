// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD
#define SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class DocumentsI;
class KeyedLogI;
class RunnerOrdersI;
class WireFormatI;
struct EntrySettings;

/// Makes the ports to what a node runs on.
class EntryPortsI
{
public:
	virtual ~EntryPortsI() = default;

	virtual std::unique_ptr<WireFormatI> makeWireFormat() = 0;
	virtual std::unique_ptr<DocumentsI> makeDocuments() = 0;

	/// @param _loop the control thread's.
	virtual std::unique_ptr<KeyedLogI> makeLog(boost::asio::io_context& _loop, const std::string& _address) = 0;

	/// @param _loop the loop that makes the calls: the control thread's or the requests'.
	virtual std::unique_ptr<RunnerOrdersI> makeOrders(boost::asio::io_context& _loop) = 0;
};

/// One node on the users' platform: a loop for requests and a control thread.
class EntryNode
{
public:
	/// Starts and listens.
	/// @remarks Throws std::exception when an address cannot be bound.
	EntryNode(const EntrySettings& _settings, EntryPortsI& _ports);
	~EntryNode();

	EntryNode(const EntryNode&) = delete;
	EntryNode& operator=(const EntryNode&) = delete;

	/// Takes changed settings: the store's address, the bounds on keys, retries and stops. The others take a restart.
	void reload(const EntrySettings& _settings);

	/// Stops as planned: says that it is not ready, serves on while connections still come, and returns when no request
	/// is left or the time is nearly over.
	void stop();

	/// @returns the state of the process as JSON.
	std::string dump() const;

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD
