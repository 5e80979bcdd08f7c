// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <target/loadprobe.h>

#include <http/httpclient.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

LoadProbe::LoadProbe(const std::string& _address) : client_(std::make_unique<HttpClient>(parseEndpoint(_address)))
{
}

LoadProbe::~LoadProbe() = default;

bool LoadProbe::read(Duration _timeout, LoadReading& _reading)
{
	constexpr uint16_t kOk = 200;
	HttpCall call;
	call.target = "/v1/load";
	const HttpOutcome outcome = client_->call(call, _timeout);
	wire::LoadReport report;
	if (CallState::Replied != outcome.state || kOk != outcome.reply.status || !fromJson(outcome.reply.body, report))
	{
		client_->close();
		return false;
	}
	_reading = LoadReading{report.active(),  report.step_us(), report.pace_milli(),
	                       report.leaving(), report.model(),   LayerRange{report.first_layer(), report.last_layer()}};
	return true;
}

} // namespace sedgecart
