// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PEER_ZAPAUTHENTICATOR_P_H_HEADER_GUARD
#define SEDGECART_PEER_ZAPAUTHENTICATOR_P_H_HEADER_GUARD

#include <zmq.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace sedgecart
{

/// Answers ZeroMQ's authentication requests (RFC 27, ZAP): only peers with the nodes' shared key are accepted.
class ZapAuthenticator
{
public:
	/// @param _publicKey the only accepted key, Z85-encoded.
	ZapAuthenticator(zmq::context_t& _context, const std::string& _publicKey);
	~ZapAuthenticator();

	ZapAuthenticator(const ZapAuthenticator&) = delete;
	ZapAuthenticator& operator=(const ZapAuthenticator&) = delete;

private:
	void run();
	void answerRequest();

	std::string publicKey_;
	zmq::socket_t socket_;
	std::atomic<bool> stopping_{false};
	std::thread thread_;
};

} // namespace sedgecart

#endif // SEDGECART_PEER_ZAPAUTHENTICATOR_P_H_HEADER_GUARD
