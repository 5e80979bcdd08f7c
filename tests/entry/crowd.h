// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_CROWD_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_CROWD_H_HEADER_GUARD

#include <cstddef>
#include <string>
#include <vector>

namespace sedgecart
{

/// What each client of a crowd sends: a head, and then a piece again and again.
struct CrowdRequest
{
	std::string head;
	std::string piece;
	std::size_t bytes = 0; //!< Of pieces; the last one may be cut.
};

/// Clients that do not read, and stay open when they have sent all of their request.
class Crowd
{
public:
	/// Connects all clients.
	/// @param _address "ip:port".
	Crowd(const std::string& _address, std::size_t _clients);
	~Crowd();

	Crowd(const Crowd&) = delete;
	Crowd& operator=(const Crowd&) = delete;

	/// Sends the request of each client as far as the server reads it.
	void send(const CrowdRequest& _request);

private:
	struct Client
	{
		int socket = -1;
		std::size_t sent = 0;
		bool isClosed = false; //!< By the server.
	};

	/// @returns false if the client has nothing more to send, or its server reads no more for now.
	static bool sendSome(Client& _client, const CrowdRequest& _request);

	std::vector<Client> clients_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_CROWD_H_HEADER_GUARD
