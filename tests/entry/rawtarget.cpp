// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "rawtarget.h"

#include <array>
#include <stdexcept>
#include <utility>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sedgecart
{

namespace
{

using SteadyClock = std::chrono::steady_clock;

/// Small, so that what is written is close to what the caller has read, bytes.
constexpr int kSendBuffer = 16 * 1024;

/// Interval between looks at whether the target ends, milliseconds.
constexpr int kLookAgainMs = 20;

bool waitFor(int _socket, short _events)
{
	pollfd query{_socket, _events, 0};
	return 0 < poll(&query, 1, kLookAgainMs);
}

} // namespace

RawTarget::RawTarget(RawReply _reply) : listener_(socket(AF_INET, SOCK_STREAM, 0)), reply_(std::move(_reply))
{
	sockaddr_in any{};
	any.sin_family = AF_INET;
	any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(listener_, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof(kSendBuffer));
	const bool isBound = 0 == bind(listener_, reinterpret_cast<const sockaddr*>(&any), sizeof(any));
	if (!isBound || 0 != listen(listener_, SOMAXCONN))
	{
		throw std::runtime_error("no address to listen on");
	}
	acceptor_ = std::thread(
	    [this]
	    {
		    accept();
	    });
}

RawTarget::~RawTarget()
{
	ending_ = true;
	acceptor_.join();
	for (std::thread& connection : connections_)
	{
		connection.join();
	}
	::close(listener_);
}

std::string RawTarget::address() const
{
	sockaddr_in own{};
	socklen_t size = sizeof(own);
	getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &size);
	return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
}

void RawTarget::setReply(RawReply _reply)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	reply_ = std::move(_reply);
}

std::vector<RawFlood> RawTarget::floods() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return floods_;
}

void RawTarget::accept()
{
	while (!ending_)
	{
		if (waitFor(listener_, POLLIN))
		{
			const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
			connections_.emplace_back(
			    [this, socket]
			    {
				    serve(socket);
				    ::close(socket);
			    });
		}
	}
}

void RawTarget::serve(int _socket)
{
	std::string id;
	while (readRequest(_socket, id))
	{
		requests_ += id.empty() ? 0 : 1;
		flood(_socket, id);
	}
}

/// Reads to the end of a head. Requests to this target have no body.
/// @returns false if the connection has ended.
bool RawTarget::readRequest(int _socket, std::string& _id) const
{
	std::string text;
	while (!ending_ && std::string::npos == text.find("\r\n\r\n"))
	{
		if (!waitFor(_socket, POLLIN))
		{
			continue;
		}
		std::array<char, 4096> space;
		const ssize_t size = recv(_socket, space.data(), space.size(), 0);
		if (size <= 0)
		{
			return false;
		}
		text.append(space.data(), static_cast<std::size_t>(size));
	}
	const std::size_t at = text.find("Attempt-Id: ");
	_id = std::string::npos == at ? "" : text.substr(at + 12, text.find('\r', at) - at - 12);
	return !ending_;
}

void RawTarget::flood(int _socket, const std::string& _id)
{
	RawReply reply;
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		reply = reply_;
	}
	const std::size_t at = reply.head.find("$ID");
	if (std::string::npos != at)
	{
		reply.head.replace(at, 3, _id);
	}
	const auto start = SteadyClock::now();
	RawFlood made;
	std::string left = reply.head;
	while (!ending_)
	{
		if (left.empty())
		{
			if (reply.piece.empty())
			{
				if (reply.closes)
				{
					shutdown(_socket, SHUT_RDWR);
				}
				return;
			}
			std::this_thread::sleep_for(reply.pause);
			left = reply.piece;
		}
		if (!waitFor(_socket, POLLOUT))
		{
			continue;
		}
		const ssize_t size = send(_socket, left.data(), left.size(), MSG_NOSIGNAL);
		if (size <= 0)
		{
			break;
		}
		made.bytes += static_cast<uint64_t>(size);
		left.erase(0, static_cast<std::size_t>(size));
	}
	made.lasted = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - start);
	const std::lock_guard<std::mutex> lock(mutex_);
	if (!ending_)
	{
		floods_.push_back(made);
	}
}

} // namespace sedgecart
