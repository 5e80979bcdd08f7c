// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `ports`: interfaces to the environment of a node. `platform/` implements them; tests use a store in memory
/// and fake targets instead.
///
/// - `WireFormatI`: parses and formats requests of callers and answers of targets. No state, any thread.
/// - `DocumentParserI`: parses the operator's desired state and the records of targets.
/// - `KeyedLogI`: the store's topics, one record for each key. Long polls and conditional appends.
/// - `RunnerOrdersI`: orders and queries to targets: hold layers, change the path of a request, report the slowdown.
///
/// Implementations translate only: external names and encodings do not pass these interfaces. Errors are states of the
/// answer (`StoreState`, `LayoutOrderState`), never exceptions. Callbacks run on the loop that the port was created
/// with.

#ifndef SEDGECART_PORTS_ENTRYPORTS_H_HEADER_GUARD
#define SEDGECART_PORTS_ENTRYPORTS_H_HEADER_GUARD

#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class DocumentParserI;
class KeyedLogI;
class RunnerOrdersI;
class WireFormatI;

/// Creates the ports of a node to its environment.
class EntryPortsI
{
public:
	virtual ~EntryPortsI() = default;

	virtual std::unique_ptr<WireFormatI> makeWireFormat() = 0;
	virtual std::unique_ptr<DocumentParserI> makeDocumentParser() = 0;

	/// @param _loop the control thread's.
	/// @param _address of the store, "ip:port".
	virtual std::unique_ptr<KeyedLogI> makeLog(boost::asio::io_context& _loop, const std::string& _address) = 0;

	/// @param _loop the loop that the calls are made on: the control thread's or the request path's.
	virtual std::unique_ptr<RunnerOrdersI> makeOrders(boost::asio::io_context& _loop) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_ENTRYPORTS_H_HEADER_GUARD
