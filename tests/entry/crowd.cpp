// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "crowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sedgecart
{

namespace
{

/// Rounds without a byte sent after which the server has read all that it is going to read.
constexpr int kIdleRounds = 50;
constexpr std::chrono::milliseconds kRoundPause{10};

sockaddr_in socketAddress(const std::string& _address)
{
	const std::size_t colon = _address.rfind(':');
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<uint16_t>(std::stoi(_address.substr(colon + 1))));
	inet_pton(AF_INET, _address.substr(0, colon).c_str(), &address.sin_addr);
	return address;
}

/// @returns the bytes of a request from a position on, up to the end of its head or of a piece.
std::string_view bytesAt(const CrowdRequest& _request, std::size_t _at)
{
	if (_at < _request.head.size())
	{
		return std::string_view(_request.head).substr(_at);
	}
	const std::size_t done = _at - _request.head.size();
	if (_request.bytes <= done)
	{
		return std::string_view();
	}
	const std::string_view piece = std::string_view(_request.piece).substr(done % _request.piece.size());
	return piece.substr(0, _request.bytes - done);
}

} // namespace

Crowd::Crowd(const std::string& _address, std::size_t _clients) : clients_(_clients)
{
	const sockaddr_in address = socketAddress(_address);
	for (Client& client : clients_)
	{
		client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		const int connected = ::connect(client.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
		client.isClosed = 0 != connected;
		::fcntl(client.socket, F_SETFL, O_NONBLOCK);
	}
}

Crowd::~Crowd()
{
	for (const Client& client : clients_)
	{
		::close(client.socket);
	}
}

void Crowd::send(const CrowdRequest& _request)
{
	int idle = 0;
	while (idle < kIdleRounds)
	{
		bool hasSent = false;
		for (Client& client : clients_)
		{
			hasSent = sendSome(client, _request) || hasSent;
		}
		idle = hasSent ? 0 : idle + 1;
		if (!hasSent)
		{
			std::this_thread::sleep_for(kRoundPause);
		}
	}
}

bool Crowd::sendSome(Client& _client, const CrowdRequest& _request)
{
	const std::string_view bytes = bytesAt(_request, _client.sent);
	if (_client.isClosed || bytes.empty())
	{
		return false;
	}
	const ssize_t sent = ::send(_client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	if (sent < 0)
	{
		_client.isClosed = EAGAIN != errno;
		return false;
	}
	_client.sent += static_cast<std::size_t>(sent);
	return true;
}

} // namespace sedgecart
