// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "zapauthenticator_p.h"

#include <zmq_addon.hpp>

#include <array>
#include <chrono>
#include <iterator>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr std::chrono::milliseconds kPollInterval{100};
constexpr std::size_t kZ85Size = 41;
constexpr std::size_t kRawKeySize = 32;
// Indices of the frames of a ZAP request.
constexpr std::size_t kRequestIdFrame = 1;
constexpr std::size_t kMechanismFrame = 5;
constexpr std::size_t kKeyFrame = 6;

std::string toZ85(const zmq::message_t& _raw)
{
	std::array<char, kZ85Size> text{};
	if (kRawKeySize != _raw.size())
	{
		return std::string();
	}
	zmq_z85_encode(text.data(), static_cast<const uint8_t*>(_raw.data()), kRawKeySize);
	return text.data();
}

} // namespace

ZapAuthenticator::ZapAuthenticator(zmq::context_t& _context, const std::string& _publicKey)
    : publicKey_(_publicKey),
      socket_(_context, zmq::socket_type::rep)
{
	socket_.set(zmq::sockopt::linger, 0);
	socket_.bind("inproc://zeromq.zap.01");
	thread_ = std::thread(
	    [this]
	    {
		    run();
	    });
}

ZapAuthenticator::~ZapAuthenticator()
{
	stopping_ = true;
	thread_.join();
}

void ZapAuthenticator::run()
{
	while (!stopping_)
	{
		zmq::pollitem_t item{socket_.handle(), 0, ZMQ_POLLIN, 0};
		if (0 < zmq::poll(&item, 1, kPollInterval))
		{
			answerRequest();
		}
	}
}

void ZapAuthenticator::answerRequest()
{
	std::vector<zmq::message_t> request;
	if (!zmq::recv_multipart(socket_, std::back_inserter(request)))
	{
		return;
	}
	const bool usesCurve = kKeyFrame < request.size() && "CURVE" == request[kMechanismFrame].to_string_view();
	const bool accepted = usesCurve && toZ85(request[kKeyFrame]) == publicKey_;
	const std::string requestId = kRequestIdFrame < request.size() ? request[kRequestIdFrame].to_string() : "";
	const std::array<std::string, 6> reply{"1.0", requestId, accepted ? "200" : "400", accepted ? "OK" : "Unknown key",
	                                       "",    ""};
	zmq::send_multipart(socket_, std::array<zmq::const_buffer, 6>{zmq::buffer(reply[0]), zmq::buffer(reply[1]),
	                                                              zmq::buffer(reply[2]), zmq::buffer(reply[3]),
	                                                              zmq::buffer(reply[4]), zmq::buffer(reply[5])});
}

} // namespace sedgecart
