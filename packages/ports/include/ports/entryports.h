// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

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
