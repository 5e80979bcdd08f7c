// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/server.h>

#include "acceptedconnection_p.h"
#include "acceptqueue_p.h"
#include "connectionowner_p.h"
#include "evictionorder_p.h"

#include <aio/timer.h>

#include <base/steadyclock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <unordered_map>
#include <vector>

namespace sedgecart
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace
{

/// Maximum length of the accept queue: many callers connect at once after a restart.
constexpr int kAcceptBacklog = 1024;

/// Pause before the next attempt to accept when there is no descriptor for a connection: until one is closed, each
/// attempt fails at once.
constexpr std::chrono::milliseconds kAcceptRetryPause{50};

/// Time without a byte after which an upload gives way to others when there is no memory. An upload that waits for
/// memory does so for as long.
constexpr std::chrono::milliseconds kStallTime{1000};

/// Pause between two searches for such uploads, which look at each connection.
constexpr std::chrono::milliseconds kStalledSearchInterval{100};

/// Share of the connections, one in so many, that is closed at once when there are too many: looking for those costs
/// more than closing them.
constexpr std::size_t kEvictedPart = 16;

/// @returns the endpoint to bind.
/// @remarks Throws std::exception if the text is not "ip:port".
Tcp::endpoint parseEndpoint(const std::string& _address)
{
	const std::size_t colon = _address.rfind(':');
	if (std::string::npos == colon)
	{
		throw std::runtime_error("'" + _address + "' is not ip:port");
	}
	uint16_t port = 0;
	const char* const end = _address.data() + _address.size();
	const auto parsed = std::from_chars(_address.data() + colon + 1, end, port);
	if (parsed.ptr != end)
	{
		throw std::runtime_error("'" + _address + "' is not ip:port");
	}
	return Tcp::endpoint(asio::ip::make_address(_address.substr(0, colon)), port);
}

} // namespace

class Server::Impl : public ConnectionOwnerI, public std::enable_shared_from_this<Server::Impl>
{
public:
	Impl(asio::io_context& _loop, const std::string& _address, ServerHandlerI& _handler)
	    : loop_(_loop),
	      acceptor_(_loop),
	      retryTimer_(_loop),
	      handler_(_handler)
	{
		const Tcp::endpoint endpoint = parseEndpoint(_address);
		acceptor_.open(endpoint.protocol());
		acceptor_.set_option(asio::socket_base::reuse_address(true));
		acceptor_.bind(endpoint);
		acceptor_.listen(kAcceptBacklog);
		acceptor_.non_blocking(true);
	}

	void accept()
	{
		if (!acceptor_.is_open())
		{
			return;
		}
		const auto self = shared_from_this();
		acceptor_.async_accept(
		    [self](const boost::system::error_code& _error, Tcp::socket _socket)
		    {
			    if (asio::error::operation_aborted == _error)
			    {
				    return;
			    }
			    if (_error)
			    {
				    self->onAcceptFailed();
				    return;
			    }
			    self->onAccepted(std::move(_socket));
		    });
	}

	void close()
	{
		closeAcceptor();
		const auto all = connections_; // each connection removes itself
		for (const auto& row : all)
		{
			row.second->shutDown();
		}
	}

	void closeAtRest()
	{
		const auto all = connections_; // each connection removes itself
		for (const auto& row : all)
		{
			row.second->closeAtRest();
		}
	}

	uint32_t drain()
	{
		closeAtRest();
		acceptWaiting(); // their requests may be on the way: they are closed at rest by a later call
		closeAcceptor();
		return static_cast<uint32_t>(connections_.size());
	}

	void onClosed(AcceptedConnection& _connection) override
	{
		connections_.erase(&_connection);
	}

	/// Refuses uploads that have stalled, so that callers who send theirs do not wait for those who do not.
	void onMemoryShort() override
	{
		const BootClock::time_point now = BootClock::now();
		if (now < stalledSearchedAt_ + kStalledSearchInterval)
		{
			return;
		}
		stalledSearchedAt_ = now;
		std::vector<std::shared_ptr<AcceptedConnection>> stalled;
		for (const auto& row : connections_)
		{
			if (row.second->isStalledUpload(now - kStallTime))
			{
				stalled.push_back(row.second);
			}
		}
		for (const auto& connection : stalled)
		{
			connection->refuseStalled();
		}
	}

	bool isBusy() const
	{
		return std::any_of(connections_.begin(), connections_.end(),
		                   [](const auto& _row)
		                   {
			                   return _row.second->isBusy();
		                   });
	}

	uint16_t port() const
	{
		return acceptor_.local_endpoint().port();
	}

	uint32_t deliveringConnections() const
	{
		return static_cast<uint32_t>(std::count_if(connections_.begin(), connections_.end(),
		                                           [](const auto& _row)
		                                           {
			                                           return _row.second->isDelivering();
		                                           }));
	}

private:
	/// Mostly out of descriptors: connections that are silent make room.
	void onAcceptFailed()
	{
		evict(std::max<std::size_t>(1, connections_.size() / kEvictedPart));
		retryTimer_.expires_after(kAcceptRetryPause);
		retryTimer_.async_wait(
		    [weak = weak_from_this()](const boost::system::error_code& _error)
		    {
			    const auto self = weak.lock();
			    if (!_error && self)
			    {
				    self->accept();
			    }
		    });
	}

	/// Closes connections on which no request is being handled.
	void evict(std::size_t _count)
	{
		std::vector<EvictionCandidate> candidates;
		for (const auto& row : connections_)
		{
			if (row.second->isEvictable())
			{
				candidates.push_back(EvictionCandidate{row.first, row.second->hasAnswered(), row.second->readAt()});
			}
		}
		sortForEviction(candidates);
		uint32_t evicted = 0;
		for (const EvictionCandidate& candidate : candidates)
		{
			if (evicted < _count && candidate.connection->evict())
			{
				++evicted;
			}
		}
		if (0 < evicted)
		{
			handler_.onEvicted(evicted);
		}
	}

	/// @returns true if there is room for one more connection.
	bool makeRoom()
	{
		const std::size_t limit = handler_.maxConnections();
		if (limit <= connections_.size())
		{
			evict(std::max<std::size_t>(1, limit / kEvictedPart));
		}
		return connections_.size() < limit;
	}

	void closeAcceptor()
	{
		boost::system::error_code ignored; // the socket is not used any more
		acceptor_.close(ignored);
		retryTimer_.cancel();
	}

	/// Accepts one more connection in a later turn of the loop, between the work on those that are open.
	void onAccepted(Tcp::socket _socket)
	{
		if (!acceptor_.is_open())
		{
			return; // the server has stopped meanwhile
		}
		add(std::move(_socket));
		boost::system::error_code noneWaits;
		Tcp::socket next = acceptor_.accept(noneWaits);
		queue_.onAccepted(!noneWaits, clock_.now());
		if (noneWaits)
		{
			accept();
			return;
		}
		if (queue_.isOverloaded())
		{
			closeWaiting(std::move(next));
			accept();
			return;
		}
		asio::post(loop_,
		           [self = shared_from_this(), socket = std::move(next)]() mutable
		           {
			           self->onAccepted(std::move(socket));
		           });
	}

	/// Accepts all connections that wait.
	void acceptWaiting()
	{
		boost::system::error_code noneWaits;
		while (acceptor_.is_open() && !noneWaits)
		{
			Tcp::socket socket = acceptor_.accept(noneWaits);
			if (!noneWaits)
			{
				add(std::move(socket));
			}
		}
	}

	/// Closes all connections that wait, so that their callers try another server.
	void closeWaiting(Tcp::socket _first)
	{
		uint32_t count = 0;
		boost::system::error_code noneWaits;
		for (Tcp::socket socket = std::move(_first); !noneWaits; socket = acceptor_.accept(noneWaits))
		{
			boost::system::error_code ignored; // the caller may have closed first
			socket.close(ignored);
			++count;
		}
		handler_.onClosedUnread(count);
	}

	void add(Tcp::socket _socket)
	{
		if (!makeRoom())
		{
			handler_.onClosedUnread(1);
			return;
		}
		const auto connection = std::make_shared<AcceptedConnection>(std::move(_socket), handler_, weak_from_this());
		connections_.emplace(connection.get(), connection);
		connection->startReading();
	}

	asio::io_context& loop_;
	Tcp::acceptor acceptor_;
	Timer retryTimer_;
	ServerHandlerI& handler_;
	SteadyClock clock_;
	AcceptQueue queue_;
	BootClock::time_point stalledSearchedAt_;
	std::unordered_map<AcceptedConnection*, std::shared_ptr<AcceptedConnection>> connections_;
};

Server::Server(asio::io_context& _loop, const std::string& _address, ServerHandlerI& _handler)
    : impl_(std::make_shared<Impl>(_loop, _address, _handler))
{
	impl_->accept();
}

Server::~Server()
{
	impl_->close();
}

uint16_t Server::port() const
{
	return impl_->port();
}

uint32_t Server::deliveringConnections() const
{
	return impl_->deliveringConnections();
}

bool Server::isBusy() const
{
	return impl_->isBusy();
}

void Server::closeAtRest()
{
	impl_->closeAtRest();
}

uint32_t Server::drain()
{
	return impl_->drain();
}

void Server::close()
{
	impl_->close();
}

} // namespace sedgecart
