// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "decoders.h"

#include "../../packages/hall/src/capacityrows_p.h"
#include "../../packages/hall/src/recordpack_p.h"
#include "../../packages/hall/src/topicupdate_p.h"
#include "../../packages/peer/src/peermessage_p.h"
#include "../../platform/src/recordcodec_p.h"

#include <aio/messagereader.h>
#include <base/endpointtext.h>
#include <base/httpstatus.h>
#include <core/routetable.h>
#include <crash/crashupdate.h>
#include <fleet/nodeaddress.h>
#include <layout/layoutrecord.h>
#include <leases/leaseaccount.h>
#include <leases/leaseledger.h>
#include <loads/loadrows.h>
#include <platform/platform.h>
#include <ports/documentparser.h>
#include <wire/sedgecart.pb.h>

#include <boost/log/core.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace sedgecart
{

namespace
{

/// Ends the process where a promise is broken.
void require(bool _holds, const char* _promise)
{
	if (!_holds)
	{
		std::fprintf(stderr, "broken: %s\n", _promise);
		std::abort();
	}
}

constexpr uint64_t kUsualTokens = 800;

const DocumentParserI& documents()
{
	static const std::unique_ptr<DocumentParserI> made = makePlatformDocuments();
	return *made;
}

void runRunner(const std::string& _bytes)
{
	RunnerRecord record;
	const RecordFault::Enum fault = documents().parseRunner("i-1", _bytes, record);
	require(fault < RecordFault::Count, "a reason of the list");
	if (RecordFault::None == fault)
	{
		require("i-1" == record.instance.text && !record.service.empty() && !record.hall.empty(), "names are there");
		require(isEndpoint(record.address), "the address can be connected to");
		require(0 < record.slots && record.layers.begin <= record.layers.end, "figures can be true");
		RunnerRecord slowly; // a text with a backslash is read field by field
		const std::string more = R"({"later":"\n",)" + _bytes.substr(_bytes.find('{') + 1);
		const RecordFault::Enum other = documents().parseRunner("i-1", more, slowly);
		if (RecordFault::Unreadable == other)
		{
			return; // a field without use is there twice
		}
		require(RecordFault::None == other, "both ways find no fault");
		require(slowly.layers == record.layers && slowly.slots == record.slots, "both ways read the same");
	}
}

void runState(const std::string& _bytes)
{
	auto state = std::make_shared<DesiredState>();
	if (!documents().parseDesiredState(_bytes, *state))
	{
		return;
	}
	for (const HostRoute& route : state->routes)
	{
		require(0 <= route.timeout.micros && 0 <= route.objective.micros && 0 < route.maxRuns,
		        "bounds are no less than 0");
	}
	for (const ServiceSpec& service : state->services)
	{
		require(std::isfinite(service.engine.layerMb) && 0 <= service.engine.layerMb, "sizes are numbers");
	}
	const RouteTable table(state);
	table.findRoute("h.example", "/p/");
}

void runLogPage(const std::string& _bytes)
{
	KeyedPage page;
	decodeRecords(_bytes, Offset{7}, page);
	uint64_t offset = 7;
	std::size_t size = 0;
	for (const KeyedRecord& record : page.records)
	{
		require(offset++ == record.offset.value, "offsets have no gap");
		require(!record.key.empty() || (record.removed && record.value.empty()), "without a key there is no value");
		size += record.key.size() + record.value.size();
	}
	require(size <= _bytes.size(), "no more than what came");
}

void runNewest(const std::string& _bytes)
{
	KeyedPage page;
	const bool isRead = decodeNewest(_bytes, page);
	require(page.records.size() <= _bytes.size(), "no more than what came");
	require(!isRead || !page.partial || !page.records.back().key.empty(), "the next page can be asked for");
}

void runPack(const std::string& _bytes)
{
	std::vector<KeyedRecord> records;
	if (!unpackRecords(_bytes, records))
	{
		require(records.empty(), "nothing of what cannot be read");
		return;
	}
	std::vector<KeyedRecord> again;
	require(unpackRecords(packRecords(records), again) && again.size() == records.size(),
	        "what was read can be handed on");
}

void runLayout(const std::string& _bytes)
{
	LayoutRecord record;
	if (RecordFault::None != readLayoutRecord(_bytes, record))
	{
		return;
	}
	require(record.holds.size() <= _bytes.size(), "no more than what came");
	for (const LayoutHoldRecord& hold : record.holds)
	{
		require(!hold.target.text.empty() && hold.layers.begin <= hold.layers.end, "holds can be true");
	}
	for (const ReportedOrder& told : record.reportedOrders)
	{
		require(!told.hold.target.text.empty() && told.hold.layers.begin <= told.hold.layers.end, "orders can be true");
		require(told.phase <= OrderPhase::Refused && told.reason < LayoutOrderState::Count, "phases are known");
	}
}

void runNode(const std::string& _bytes)
{
	NodeAddress node;
	if (RecordFault::None == parseNodeAddress(_bytes, node))
	{
		require(isEndpoint(node.address) && !node.hall.empty() && 0 <= node.cpuShare, "the place can be true");
	}
}

void runBlocked(const std::string& _bytes)
{
	const RequestIdentity key{1, 2, 3};
	RequestIdentity request;
	BlockedRecord record;
	if (RecordFault::None != readBlockedRecord(key.text(), _bytes, request, record))
	{
		return;
	}
	require(key == request && !record.crashes.empty(), "the key names the request, and targets ended");
	BlockedRecord again;
	const std::string text = writeBlockedRecord(request, record);
	require(RecordFault::None == readBlockedRecord(key.text(), text, request, again), "what was read can be written");
	require(again.crashes.size() == record.crashes.size(), "and holds the same");
}

void requireSound(const CrashUpdate& _news)
{
	for (const CrashRow& row : _news.crashes)
	{
		require(!row.target.instance.text.empty() && 0 <= row.target.startTime.unixMillis, "targets are named");
	}
	for (const CrashSuspect& suspect : _news.suspects)
	{
		require(0 <= suspect.blockedFor.micros && !(CrashLedger::kBlockDuration < suspect.blockedFor),
		        "nothing is blocked for longer than this version would");
	}
}

void requireSound(const LoadTable& _loads)
{
	for (const auto& row : _loads)
	{
		require(std::isfinite(row.second.slowdown) && 0 <= row.second.slowdown, "a pace is a number");
		const AdvertisedRate& rate = row.second.rate;
		require(!rate.limit || (std::isfinite(rate.limit->perSecond) && 0 <= rate.limit->perSecond),
		        "a limit is a rate");
	}
	LoadTable sum = _loads;
	addLoads(sum, _loads);
	for (const auto& row : _loads)
	{
		require(row.second.suspicion <= sum.at(row.first).suspicion, "sums are no less than their parts");
	}
}

/// A hub grants nothing beyond its free capacity, whatever nodes report.
void runCapacity(const std::string& _bytes)
{
	wire::PeerMessage message;
	if (!readPeerMessage(_bytes, message))
	{
		return;
	}
	constexpr uint64_t kFree = 100000;
	const Time now{1000000};
	LeaseLedger ledger;
	ledger.setUsualTokens(kUsualTokens);
	for (const wire::ServiceDemand& row : message.hall_report().demands())
	{
		ServiceDemand demand;
		if (!readDemand(row, demand))
		{
			continue;
		}
		const std::string& node = row.service();
		ledger.onReport(node, message.hall_report().number(), demand, now);
		const uint64_t reported = ledger.outstanding(now);
		const ServiceCapacity capacity = ledger.grant(node, message.hall_report().number(), kFree, now);
		require(capacity.maxUrgency < kUrgencies, "urgencies are known");
		const uint64_t after = ledger.outstanding(now);
		require(after <= std::max(kFree, reported), "no more is lent than is free");
	}
	for (const wire::ServiceCapacity& row : message.hall_answer().capacities())
	{
		ServiceCapacity capacity;
		LeaseAccount account;
		if (readCapacity(row, capacity))
		{
			account.apply(capacity, 1, now, now);
			ServiceDemand demand;
			account.fillDemand(demand, now);
			require(demand.leaseUsed <= demand.leaseLimit, "limits are no less than what is used");
		}
	}
	for (const wire::CapacityOffer& row : message.hall_sum().offers())
	{
		OfferedCapacity offer;
		require(!readOffer(row, offer) || offer.tokens <= kMaxCapacityTokens, "offers can be true");
	}
}

void runPeer(const std::string& _bytes)
{
	wire::PeerMessage message;
	if (!readPeerMessage(_bytes, message))
	{
		require(wire::PeerMessage::BODY_NOT_SET == message.body_case(), "nothing of what cannot be read");
		return;
	}
	requireSound(loadTableOf(message.hall_report().loads(), Time{}));
	requireSound(loadTableOf(message.hall_answer().totals(), Time{}));
	requireSound(loadTableOf(message.hall_sum().loads(), Time{}));
	requireSound(crashUpdateOf(message.hall_report().crash_news()));
	requireSound(crashUpdateOf(message.hall_answer().crash_news()));
	requireSound(crashUpdateOf(message.hall_sum().crash_news()));
	for (const wire::TopicNews& row : message.hall_answer().news())
	{
		if (isKnownTopic(row.topic()))
		{
			const HallLog::TopicUpdate news = topicUpdateOf(row);
			require(0 <= news.page.proofAge.micros && news.topic < KeyedTopic::Count, "news can be judged");
		}
	}
}

/// What a head holds is passed on, to callers or to targets.
void requireSound(MessageReader::Side::Enum _side, const MessageHead& _head)
{
	require(MessageReader::Side::Request == _side || isHttpStatus(_head.status), "a status is one of HTTP's");
	for (const HeaderField& field : _head.headers.fields())
	{
		const bool isName =
		    !field.name.empty() && std::all_of(field.name.begin(), field.name.end(),
		                                       [](char _letter)
		                                       {
			                                       return ' ' < _letter && _letter < 127 && ':' != _letter;
		                                       });
		const bool isValue =
		    std::all_of(field.value.begin(), field.value.end(),
		                [](char _letter)
		                {
			                return '\t' == _letter || (127 != _letter && !(0 <= _letter && _letter < ' '));
		                });
		require(isName && isValue, "a field is valid");
	}
}

/// Feeds the bytes as a connection does: in pieces, together with what was not consumed before.
void runMessage(MessageReader::Side::Enum _side, const std::string& _bytes)
{
	constexpr std::size_t kPiece = 7;
	ReaderLimits limits;
	limits.headerBytes = 64; // small, so that the bound matters for small inputs
	MessageReader reader(_side, limits);
	std::string unparsed;
	ReadState::Enum state = ReadState::More;
	for (std::size_t at = 0; at < _bytes.size() && ReadState::More == state; at += kPiece)
	{
		unparsed += _bytes.substr(at, kPiece);
		std::size_t used = 1;
		while (ReadState::More == state && 0 < used && !unparsed.empty())
		{
			state = reader.feed(unparsed, used);
			require(used <= unparsed.size(), "no more is consumed than is there");
			unparsed.erase(0, used);
		}
		require(ReadState::More != state || unparsed.size() <= limits.headerBytes, "what is kept unread is bounded");
	}
	require(reader.body().size() <= _bytes.size(), "a body is no longer than what came");
	if (reader.hasHead() && ReadState::Malformed != state)
	{
		requireSound(_side, reader.head());
	}
}

void runAnswer(const std::string& _bytes)
{
	runMessage(MessageReader::Side::Response, _bytes);
	runMessage(MessageReader::Side::Request, _bytes);
}

} // namespace

const std::vector<FuzzDecoder>& fuzzDecoders()
{
	// Lines about what is passed over would take more time than the reading.
	boost::log::core::get()->set_logging_enabled(false);
	static const std::vector<FuzzDecoder> list = {
	    {"runner", runRunner},   {"state", runState},       {"logpage", runLogPage}, {"newest", runNewest},
	    {"pack", runPack},       {"layout", runLayout},     {"node", runNode},       {"peer", runPeer},
	    {"blocked", runBlocked}, {"capacity", runCapacity}, {"answer", runAnswer},
	};
	return list;
}

const FuzzDecoder* findFuzzDecoder(const std::string& _name)
{
	for (const FuzzDecoder& decoder : fuzzDecoders())
	{
		if (_name == decoder.name)
		{
			return &decoder;
		}
	}
	return nullptr;
}

} // namespace sedgecart
