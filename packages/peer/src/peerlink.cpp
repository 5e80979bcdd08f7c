// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <peer/peerlink.h>

#include "peermessage_p.h"
#include "zapauthenticator_p.h"

#include <base/endpointtext.h>
#include <wire/sedgecart.pb.h>

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace sedgecart
{

namespace
{

/// Longest wait of the link's thread, which is woken up for whatever there is to do.
constexpr std::chrono::milliseconds kPollInterval{1000};

/// Addressee of an empty message that only wakes up the link's thread; no endpoint has this name.
constexpr const char* kNobody = "nobody";

constexpr int kSendQueueMessages = 256; // per peer; further messages to a peer that does not read are dropped
constexpr std::size_t kZ85Size = 41;

constexpr const char* kOutbox = "inproc://outbox";

std::string publicKeyOf(const std::string& _secretKey)
{
	std::array<char, kZ85Size> publicKey{};
	zmq_curve_public(publicKey.data(), _secretKey.c_str());
	return publicKey.data();
}

} // namespace

/// Only the link's thread uses the network sockets; other threads queue messages for it through an in-process socket.
class PeerLink::Impl
{
public:
	Impl(const PeerSettings& _settings, PeerHandlerI& _handler)
	    : handler_(_handler),
	      secretKey_(_settings.secretKey),
	      router_(context_, zmq::socket_type::router),
	      outboxIn_(context_, zmq::socket_type::push),
	      outboxOut_(context_, zmq::socket_type::pull)
	{
		if (!secretKey_.empty())
		{
			publicKey_ = publicKeyOf(secretKey_);
			authenticator_.emplace(context_, publicKey_);
			router_.set(zmq::sockopt::curve_server, true);
			router_.set(zmq::sockopt::curve_secretkey, secretKey_);
		}
		router_.set(zmq::sockopt::linger, 0);
		router_.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxMessageBytes));
		outboxIn_.set(zmq::sockopt::linger, 0);
		outboxOut_.bind(kOutbox);
		outboxIn_.connect(kOutbox);
		router_.bind("tcp://" + _settings.endpoint);
		thread_ = std::thread(
		    [this]
		    {
			    run();
		    });
	}

	~Impl()
	{
		stopping_ = true;
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			wakeUp();
		}
		thread_.join();
	}

	Impl(const Impl&) = delete;
	Impl& operator=(const Impl&) = delete;

	void setPeers(const std::vector<std::string>& _endpoints)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		wanted_ = _endpoints;
		peersChanged_ = true;
		wakeUp();
	}

	/// Queues a message for the link's thread.
	/// @param _endpoint of the receiver; empty: every peer.
	void post(const std::string& _endpoint, const wire::PeerMessage& _message)
	{
		const std::string bytes = _message.SerializeAsString();
		const std::lock_guard<std::mutex> lock(mutex_);
		queue(_endpoint, bytes);
	}

private:
	/// Adds a message to the outbox. Requires the mutex.
	void queue(const std::string& _endpoint, const std::string& _bytes)
	{
		const std::array<zmq::const_buffer, 2> frames{zmq::buffer(_endpoint), zmq::buffer(_bytes)};
		zmq::send_multipart(outboxIn_, frames, zmq::send_flags::dontwait);
	}

	/// Makes the link's thread check its state. Requires the mutex.
	void wakeUp()
	{
		queue(kNobody, std::string());
	}

	void run()
	{
		while (!stopping_)
		{
			std::vector<zmq::pollitem_t> items{{router_.handle(), 0, ZMQ_POLLIN, 0},
			                                   {outboxOut_.handle(), 0, ZMQ_POLLIN, 0}};
			for (auto& peer : peers_)
			{
				items.push_back({peer.second.handle(), 0, ZMQ_POLLIN, 0});
			}
			zmq::poll(items, kPollInterval);
			connectPeers(); // before the outbox, so that queued messages reach new peers
			sendOutbox();
			while (receiveRequest())
			{
			}
			for (auto& peer : peers_)
			{
				receiveReplies(peer.second);
			}
		}
	}

	void connectPeers()
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if (!peersChanged_)
		{
			return;
		}
		peersChanged_ = false;
		for (auto peer = peers_.begin(); peers_.end() != peer;)
		{
			const bool keep = wanted_.end() != std::find(wanted_.begin(), wanted_.end(), peer->first);
			peer = keep ? std::next(peer) : peers_.erase(peer);
		}
		for (const std::string& endpoint : wanted_)
		{
			if (0 == peers_.count(endpoint) && isEndpoint(endpoint))
			{
				connectPeer(endpoint);
			}
		}
	}

	void connectPeer(const std::string& _endpoint)
	{
		zmq::socket_t socket(context_, zmq::socket_type::dealer);
		socket.set(zmq::sockopt::linger, 0);
		socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
		socket.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxMessageBytes));
		if (!secretKey_.empty())
		{
			socket.set(zmq::sockopt::curve_serverkey, publicKey_);
			socket.set(zmq::sockopt::curve_publickey, publicKey_);
			socket.set(zmq::sockopt::curve_secretkey, secretKey_);
		}
		socket.connect("tcp://" + _endpoint);
		peers_.emplace(_endpoint, std::move(socket));
	}

	void sendOutbox()
	{
		std::vector<zmq::message_t> frames;
		while (zmq::recv_multipart(outboxOut_, std::back_inserter(frames), zmq::recv_flags::dontwait))
		{
			const std::string endpoint = frames[0].to_string();
			for (auto& peer : peers_)
			{
				if (endpoint.empty() || endpoint == peer.first)
				{
					peer.second.send(zmq::buffer(frames[1].data(), frames[1].size()), zmq::send_flags::dontwait);
				}
			}
			frames.clear();
		}
	}

	bool receiveRequest()
	{
		std::vector<zmq::message_t> frames;
		if (!zmq::recv_multipart(router_, std::back_inserter(frames), zmq::recv_flags::dontwait))
		{
			return false;
		}
		wire::PeerMessage message;
		wire::PeerMessage reply;
		if (2 != frames.size() || !readPeerMessage(frames[1].to_string_view(), message))
		{
			handler_.onForeignMessage(frames.back().size());
			return true;
		}
		handler_.onPeerMessage(message, reply);
		if (wire::PeerMessage::BODY_NOT_SET != reply.body_case())
		{
			const std::string bytes = reply.SerializeAsString();
			const std::array<zmq::const_buffer, 2> out{zmq::buffer(frames[0].data(), frames[0].size()),
			                                           zmq::buffer(bytes)};
			zmq::send_multipart(router_, out, zmq::send_flags::dontwait);
		}
		return true;
	}

	void receiveReplies(zmq::socket_t& _socket)
	{
		zmq::message_t frame;
		while (_socket.recv(frame, zmq::recv_flags::dontwait))
		{
			wire::PeerMessage message;
			wire::PeerMessage reply;
			if (!readPeerMessage(frame.to_string_view(), message))
			{
				handler_.onForeignMessage(frame.size());
				continue;
			}
			handler_.onPeerMessage(message, reply);
			if (wire::PeerMessage::BODY_NOT_SET != reply.body_case())
			{
				_socket.send(zmq::buffer(reply.SerializeAsString()), zmq::send_flags::dontwait);
			}
		}
	}

	PeerHandlerI& handler_;
	std::string secretKey_;
	std::string publicKey_;
	zmq::context_t context_;
	std::optional<ZapAuthenticator> authenticator_;
	zmq::socket_t router_;
	zmq::socket_t outboxIn_;
	zmq::socket_t outboxOut_;
	std::mutex mutex_; //!< Guards outboxIn_, wanted_ and peersChanged_.
	std::vector<std::string> wanted_;
	bool peersChanged_ = false;
	std::map<std::string, zmq::socket_t> peers_;
	std::atomic<bool> stopping_{false};
	std::thread thread_;
};

PeerLink::PeerLink(const PeerSettings& _settings, PeerHandlerI& _handler)
    : impl_(std::make_unique<Impl>(_settings, _handler))
{
}

PeerLink::~PeerLink() = default;

void PeerLink::setPeers(const std::vector<std::string>& _endpoints)
{
	impl_->setPeers(_endpoints);
}

void PeerLink::broadcast(const wire::PeerMessage& _message)
{
	impl_->post(std::string(), _message);
}

void PeerLink::send(const std::string& _endpoint, const wire::PeerMessage& _message)
{
	impl_->post(_endpoint, _message);
}

} // namespace sedgecart
