// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_CONNECTIONOWNER_P_H_HEADER_GUARD
#define SEDGECART_AIO_CONNECTIONOWNER_P_H_HEADER_GUARD

namespace sedgecart
{

class AcceptedConnection;

/// What a connection tells the server that accepted it.
class ConnectionOwnerI
{
public:
	virtual ~ConnectionOwnerI() = default;

	/// The connection is closed. Called once.
	virtual void onClosed(AcceptedConnection& _connection) = 0;

	/// There is no memory for a body that the connection receives.
	virtual void onMemoryShort() = 0;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_CONNECTIONOWNER_P_H_HEADER_GUARD
