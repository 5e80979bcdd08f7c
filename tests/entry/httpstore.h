// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_HTTPSTORE_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_HTTPSTORE_H_HEADER_GUARD

#include "faketarget.h"
#include "memorylog.h"

#include <string>

namespace sedgecart
{

/// The platform's store as a real process of a node calls it: the records of a MemoryStore over HTTP. It takes all
/// writes and answers at once, but for reads that wait.
class HttpStore
{
public:
	/// @param _store must outlive this.
	explicit HttpStore(MemoryStore& _store);

	HttpStore(const HttpStore&) = delete;
	HttpStore& operator=(const HttpStore&) = delete;

	/// @returns "ip:port".
	std::string address() const;

private:
	/// One read that waits for records.
	struct Read
	{
		std::shared_ptr<ServerConnection> node;
		KeyedTopic::Enum topic = KeyedTopic::Operator;
		uint64_t from = 0;
		std::chrono::steady_clock::time_point end;
	};

	void onRequest(const std::shared_ptr<ServerConnection>& _node, const ServerRequest& _request);
	void answerNewest(ServerConnection& _node, KeyedTopic::Enum _topic) const;
	void answerRead(const Read& _read);
	void append(ServerConnection& _node, KeyedTopic::Enum _topic, const ServerRequest& _request);

	MemoryStore& store_;
	FakeTarget server_; //!< Last: its thread uses the others.
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_HTTPSTORE_H_HEADER_GUARD
