// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../../packages/hall/src/recordpack_p.h"
#include "../../platform/src/recordcodec_p.h"

#include <wire/sedgecart.pb.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

/// @file
/// Writes those seeds of the fuzz targets that are no plain text.

namespace
{

using namespace sedgecart;

void write(const std::filesystem::path& _path, const std::string& _bytes)
{
	std::filesystem::create_directories(_path.parent_path());
	std::ofstream(_path, std::ios::binary) << _bytes;
}

std::vector<KeyedRecord> someRecords()
{
	return {KeyedRecord{"i-1", R"({"service":"s"})", false, Offset{7}}, KeyedRecord{"i-2", "", true, Offset{8}}};
}

std::string layoutChange()
{
	wire::LayoutChange change;
	change.set_author("node-1");
	for (uint32_t number = 0; number < 2; ++number)
	{
		wire::LayoutHold* const hold = change.add_holds();
		hold->set_target("i-" + std::to_string(number));
		hold->set_begin(number * 40);
		hold->set_end(number * 40 + 40);
	}
	return change.SerializeAsString();
}

std::string nodePlace()
{
	wire::NodePlace place;
	place.set_address("10.1.0.9:7000");
	place.set_hall("hall");
	place.set_cpu_share(0.25);
	return place.SerializeAsString();
}

void fill(wire::CrashRow& _row)
{
	_row.mutable_request()->set_caller(1);
	_row.mutable_request()->set_low(3);
	_row.set_target("i-1");
	_row.set_born(1700000000000);
	_row.set_events(40);
}

std::string blockedRequest()
{
	wire::BlockedRequest blocked;
	blocked.set_author("node-1");
	fill(*blocked.add_crashes());
	fill(*blocked.add_crashes());
	return blocked.SerializeAsString();
}

void fill(wire::FleetLoadRow& _row)
{
	_row.set_target("i-1");
	_row.set_token_layers(80000);
	_row.set_requests(2);
	_row.set_pace(1.5);
	_row.set_suspicion(1);
}

wire::PeerMessage report()
{
	wire::PeerMessage message;
	wire::HallReport& report = *message.mutable_hall_report();
	report.set_node("n1");
	report.set_number(3);
	fill(*report.add_loads());
	report.add_questions()->set_from(7);
	fill(*report.mutable_crash_news()->add_crashes());
	report.mutable_crash_news()->add_answered()->set_low(5);
	return message;
}

wire::PeerMessage answer(bool _packed)
{
	wire::PeerMessage message;
	wire::HallAnswer& answer = *message.mutable_hall_answer();
	answer.set_node("n2");
	answer.set_number(3);
	answer.set_is_hub(true);
	answer.set_reads(true);
	fill(*answer.add_totals());
	wire::CrashSuspect& suspect = *answer.mutable_crash_news()->add_suspects();
	suspect.mutable_request()->set_low(3);
	suspect.set_crashes(3);
	suspect.set_blocked(true);
	suspect.set_blocked_ms(1000);
	wire::TopicNews& news = *answer.add_news();
	news.set_topic(1);
	news.set_from(7);
	news.set_known(true);
	news.set_end(9);
	news.set_age_us(1000);
	if (_packed)
	{
		news.set_packed(packRecords(someRecords()));
		return message;
	}
	for (const KeyedRecord& record : someRecords())
	{
		putRecord(record, *news.add_records());
	}
	return message;
}

wire::PeerMessage demands()
{
	wire::PeerMessage message;
	message.mutable_hall_report()->set_node("n1");
	message.mutable_hall_report()->set_number(3);
	for (const char* const service : {"a", "b", "c"})
	{
		wire::ServiceDemand& demand = *message.mutable_hall_report()->add_demands();
		demand.set_service(service);
		demand.set_lease_used(9000);
		demand.set_lease_limit(12000);
		demand.set_lease_answer(2);
		demand.add_waiting_tokens(800);
		demand.add_recent_tokens(1600);
		demand.add_released_tokens(700);
		demand.add_promised_tokens(800);
	}
	return message;
}

wire::PeerMessage capacities()
{
	wire::PeerMessage message;
	wire::ServiceCapacity& capacity = *message.mutable_hall_answer()->add_capacities();
	capacity.set_service("a");
	capacity.set_lease_limit(12000);
	capacity.set_lease_term_ms(600);
	capacity.set_max_urgency(2);
	capacity.add_forecast_tokens(4000);
	return message;
}

wire::PeerMessage offers()
{
	wire::PeerMessage message;
	wire::CapacityOffer& offer = *message.mutable_hall_sum()->add_offers();
	offer.set_service("a");
	offer.set_tokens(50000);
	offer.set_term_ms(300);
	return message;
}

} // namespace

int main(int _count, char** _arguments)
{
	if (2 != _count)
	{
		std::cerr << "usage: fuzz_seeds FOLDER\n";
		return 1;
	}
	const std::filesystem::path folder = _arguments[1];
	const std::string numbers = std::string(7, '\0') + '\x09' + std::string(8, '\0');
	write(folder / "logpage" / "records",
	      numbers + encodeRecord("i-1", R"({"service":"s"})") + encodeRecord("i-2", ""));
	write(folder / "logpage" / "empty", numbers);
	write(folder / "pack" / "records", packRecords(someRecords()));
	write(folder / "pack" / "many", packRecords(std::vector<KeyedRecord>(1000)));
	write(folder / "layout" / "change", layoutChange());
	write(folder / "node" / "place", nodePlace());
	write(folder / "blocked" / "request", blockedRequest());
	write(folder / "peer" / "report", report().SerializeAsString());
	write(folder / "peer" / "answer", answer(false).SerializeAsString());
	write(folder / "peer" / "packed", answer(true).SerializeAsString());
	write(folder / "capacity" / "demands", demands().SerializeAsString());
	write(folder / "capacity" / "capacities", capacities().SerializeAsString());
	write(folder / "capacity" / "offers", offers().SerializeAsString());
	return 0;
}
