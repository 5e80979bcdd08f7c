// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_RAWTARGET_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_RAWTARGET_H_HEADER_GUARD

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

/// What a raw target sends in reply to each request.
struct RawReply
{
	std::string head;                   //!< Sent first. "$ID" stands for the id of the request.
	std::string piece;                  //!< Sent again and again until the caller closes; empty: nothing more is sent.
	std::chrono::milliseconds pause{0}; //!< Before each piece.
	bool closes = false;                //!< The connection is closed when no piece is left to send.
};

/// What one connection received after a request.
struct RawFlood
{
	uint64_t bytes = 0;                  //!< Written until the caller closed.
	std::chrono::milliseconds lasted{0}; //!< From the first byte of the reply to the close.
};

/// A target on loopback that writes bytes as they are, whether they are an answer or not.
class RawTarget
{
public:
	explicit RawTarget(RawReply _reply);
	~RawTarget();

	RawTarget(const RawTarget&) = delete;
	RawTarget& operator=(const RawTarget&) = delete;

	/// @returns "ip:port".
	std::string address() const;

	/// Replaces the reply to requests from now on.
	void setReply(RawReply _reply);

	/// @returns requests of callers so far: they have an id, which questions have not.
	uint32_t requests() const
	{
		return requests_.load();
	}

	/// @returns connections that the caller has closed during a reply.
	std::vector<RawFlood> floods() const;

private:
	void accept();
	void serve(int _socket);
	bool readRequest(int _socket, std::string& _id) const;
	void flood(int _socket, const std::string& _id);

	int listener_ = -1;
	std::atomic<bool> ending_{false};
	std::atomic<uint32_t> requests_{0};
	mutable std::mutex mutex_;
	RawReply reply_;
	std::vector<RawFlood> floods_;
	std::vector<std::thread> connections_;
	std::thread acceptor_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_RAWTARGET_H_HEADER_GUARD
