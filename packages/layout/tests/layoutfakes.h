// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_TESTS_LAYOUTFAKES_H_HEADER_GUARD
#define SEDGECART_LAYOUT_TESTS_LAYOUTFAKES_H_HEADER_GUARD

#include <base/clock.h>
#include <ports/keyedlog.h>
#include <ports/runnerorders.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

/// A clock whose time changes only when the test sets it.
class ManualClock : public ClockI
{
public:
	Time now() const override
	{
		return at;
	}

	Time at{60000000};
};

/// Records what is appended.
class RecordingLog : public KeyedLogI
{
public:
	void setAddress(const std::string&) override
	{
	}
	void readNewest(KeyedTopic::Enum, const std::string&, PageCallback) override
	{
	}
	void read(KeyedTopic::Enum, Offset, Duration, PageCallback) override
	{
	}
	void append(KeyedTopic::Enum, const std::string&, const std::string& _value, std::optional<Offset>,
	            AppendCallback _call) override
	{
		appended.push_back(_value);
		calls.push_back(std::move(_call));
	}

	std::vector<std::string> appended;
	std::vector<AppendCallback> calls;
};

/// Records which targets are ordered to hold layers.
class RecordingOrders : public RunnerOrdersI
{
public:
	void holdLayers(const RunnerRecord& _target, LayerSpan _layers, Offset _fence, OrderCallback _call) override
	{
		ordered.push_back(_target.instance.text);
		layers.push_back(_layers);
		fences.push_back(_fence.value);
		calls.push_back(std::move(_call));
	}
	void probe(const std::string&, Duration, ProbeCallback) override
	{
	}
	void poll(const std::string&, Duration, ProbeCallback) override
	{
	}
	void repath(const std::string&, const std::string&, const std::vector<StageEndpoint>&, RepathCallback) override
	{
	}

	std::vector<std::string> ordered;
	std::vector<LayerSpan> layers;
	std::vector<uint64_t> fences;
	std::vector<OrderCallback> calls;
};

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_TESTS_LAYOUTFAKES_H_HEADER_GUARD
