// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_STANDIN_PLATFORM_H_HEADER_GUARD
#define SEDGECART_STANDIN_PLATFORM_H_HEADER_GUARD

#include "standin.h"

#include <wire/sedgecart.pb.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace sedgecart
{

/// Emulates the platform: log streams, the VM list and the weight store.
/// Switches: outage, slow_ms, lose_answers (counts down: the append takes effect, its answer is lost), retention
/// (records kept a stream), appends_per_second, vm_lag_ms, weights_per_second, hold_from (records of a stream from this
/// offset on exist but are not given out; 0: all are).
class Platform : public Standin
{
public:
	explicit Platform(const std::string& _identity);

protected:
	void serve(HttpExchangeI& _exchange) override;

private:
	struct Stream
	{
		uint64_t first = 0;
		std::deque<std::string> records;
	};

	void append(HttpExchangeI& _exchange, const std::string& _name);
	void read(HttpExchangeI& _exchange, const std::string& _name);
	void vmList(HttpExchangeI& _exchange);
	void weights(HttpExchangeI& _exchange);
	bool mayAppend();

	std::string identity_;
	std::mutex mutex_;
	std::condition_variable appended_;
	std::map<std::string, Stream> streams_;
	wire::VmList vms_;
	wire::VmList shownVms_;
	std::chrono::steady_clock::time_point vmsSetAt_;
	std::chrono::steady_clock::time_point secondBegan_;
	uint64_t appendsThisSecond_ = 0;
	std::mutex weightsMutex_;
};

} // namespace sedgecart

#endif // SEDGECART_STANDIN_PLATFORM_H_HEADER_GUARD
