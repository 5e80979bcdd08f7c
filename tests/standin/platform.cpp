// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "platform.h"

#include "query.h"

#include <http/httpexchange.h>
#include <http/httpreply.h>
#include <wire/json.h>

#include <algorithm>
#include <limits>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr int kOk = 200;
constexpr int kBusy = 429;
constexpr int kUnavailable = 503;
constexpr uint64_t kDefaultAppendsPerSecond = 400;
const char kLogPath[] = "/log/";

void sleepMillis(uint64_t _millis)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(_millis));
}

} // namespace

Platform::Platform(const std::string& _identity) : identity_(_identity)
{
}

void Platform::serve(HttpExchangeI& _exchange)
{
	sleepMillis(switches_.get("slow_ms"));
	if (0 != switches_.get("outage"))
	{
		answer(_exchange, kUnavailable, "{}");
		return;
	}
	const std::string path = _exchange.path();
	const std::size_t prefix = sizeof(kLogPath) - 1;
	if (0 == path.compare(0, prefix, kLogPath))
	{
		if ("POST" == _exchange.method())
		{
			append(_exchange, path.substr(prefix));
			return;
		}
		read(_exchange, path.substr(prefix));
		return;
	}
	if ("/vms" == path)
	{
		vmList(_exchange);
		return;
	}
	if (0 == path.compare(0, 9, "/weights/"))
	{
		weights(_exchange);
		return;
	}
	answer(_exchange, 404, "{}");
}

bool Platform::mayAppend()
{
	const auto now = std::chrono::steady_clock::now();
	if (std::chrono::seconds(1) <= now - secondBegan_)
	{
		secondBegan_ = now;
		appendsThisSecond_ = 0;
	}
	const uint64_t set = switches_.get("appends_per_second");
	return ++appendsThisSecond_ <= (0 == set ? kDefaultAppendsPerSecond : set);
}

void Platform::append(HttpExchangeI& _exchange, const std::string& _name)
{
	wire::LogAppendReply reply;
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if (!mayAppend())
		{
			answer(_exchange, kBusy, "{}");
			return;
		}
		Stream& stream = streams_[_name];
		reply.set_identity(identity_);
		reply.set_offset(stream.first + stream.records.size());
		stream.records.push_back(_exchange.body());
		const uint64_t retention = switches_.get("retention");
		while (0 != retention && retention < stream.records.size())
		{
			stream.records.pop_front();
			++stream.first;
		}
	}
	appended_.notify_all();
	if (switches_.take("lose_answers"))
	{
		_exchange.beginStream(HttpReply());
		_exchange.abortStream();
		return;
	}
	answer(_exchange, kOk, toJson(reply));
}

void Platform::read(HttpExchangeI& _exchange, const std::string& _name)
{
	const uint64_t from = numberIn(_exchange.query(), "from", 0);
	const uint64_t most = numberIn(_exchange.query(), "max", 100);
	const uint64_t waitMs = numberIn(_exchange.query(), "wait_ms", 0);
	std::unique_lock<std::mutex> lock(mutex_);
	const auto there = [this, &_name, from]
	{
		const Stream& stream = streams_[_name];
		return from < stream.first + stream.records.size();
	};
	const uint64_t held = switches_.get("hold_from");
	const uint64_t givenOut = 0 == held ? std::numeric_limits<uint64_t>::max() : held;
	const auto given = [&there, from, givenOut]
	{
		return from < givenOut && there();
	};
	appended_.wait_for(lock, std::chrono::milliseconds(waitMs), given);
	const Stream& stream = streams_[_name];
	wire::LogReadReply reply;
	reply.set_identity(identity_);
	reply.set_first(stream.first);
	reply.set_next(stream.first + stream.records.size());
	const uint64_t end = std::min(reply.next(), givenOut);
	for (uint64_t offset = std::max(from, stream.first); offset < end && 0 < most; ++offset)
	{
		if (most <= static_cast<uint64_t>(reply.entries_size()))
		{
			break;
		}
		wire::LogEntry& entry = *reply.add_entries();
		entry.set_offset(offset);
		entry.set_record(stream.records[offset - stream.first]);
	}
	lock.unlock();
	answer(_exchange, kOk, toJson(reply));
}

void Platform::vmList(HttpExchangeI& _exchange)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto now = std::chrono::steady_clock::now();
	if ("PUT" == _exchange.method())
	{
		vms_.Clear();
		fromJson(_exchange.body(), vms_);
		vmsSetAt_ = now;
	}
	if (std::chrono::milliseconds(switches_.get("vm_lag_ms")) <= now - vmsSetAt_)
	{
		shownVms_ = vms_;
	}
	answer(_exchange, kOk, toJson(shownVms_));
}

/// One load at a time, each as slow as the store's rate makes it.
void Platform::weights(HttpExchangeI& _exchange)
{
	const std::lock_guard<std::mutex> lock(weightsMutex_);
	const uint64_t perSecond = std::max<uint64_t>(1, switches_.get("weights_per_second"));
	sleepMillis(1000 / perSecond);
	answer(_exchange, kOk, "{}");
}

} // namespace sedgecart
