// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `ports`: what a node needs of the world that it runs in, as interfaces. `platform/` implements them; tests
/// put a store in memory and fake targets in their place.
///
/// - `WireFormatI`: requests of callers and answers of targets, as bytes and as fields. No state, any thread.
/// - `DocumentsI`: reads the operator's desired state and the records of targets.
/// - `KeyedLogI`: the store's topics, one record for each key. Reads that wait for news, appends under a condition.
/// - `RunnerOrdersI`: orders and questions to targets: hold layers, change the path of a request, tell the pace.
///
/// Whoever implements one translates only: names and bytes of the outside end there, and every field has a name that
/// says what it holds. Errors are states of the answer (`StoreState`, `OrderState`), never exceptions. Callbacks come
/// on the loop that the port was made with.

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

class DocumentsI;
class KeyedLogI;
class RunnerOrdersI;
class WireFormatI;

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

} // namespace sedgecart

#endif // SEDGECART_PORTS_ENTRYPORTS_H_HEADER_GUARD
