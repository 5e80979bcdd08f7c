// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "peers_p.h"

#include "control_p.h"
#include "imagemapping_p.h"

#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

Peers::Peers(const NodeIdentity& _self, const PeerSettings& _settings, const std::vector<std::string>& _fixed,
             Control& _control)
    : self_(_self),
      ownEndpoint_(_settings.endpoint),
      control_(_control),
      fixed_(_fixed.begin(), _fixed.end())
{
	// A message may arrive before link_ is assigned; the lock delays its handling until then.
	const std::lock_guard<std::mutex> lock(mutex_);
	link_ = std::make_unique<PeerLink>(_settings, *this);
	connectLocked();
}

Peers::~Peers() = default;

void Peers::setListed(const std::map<std::string, std::string>& _listed)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	if (_listed != listed_)
	{
		learned_.clear();
	}
	listed_ = _listed;
	connectLocked();
}

void Peers::addLearned(const std::string& _name, const std::string& _endpoint)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const bool known = 0 != fixed_.count(_endpoint) || 0 != listed_.count(_name) || ownEndpoint_ == _endpoint;
	if (!known && !_endpoint.empty() && learned_.insert(_endpoint).second)
	{
		connectLocked();
	}
}

void Peers::connectLocked()
{
	std::set<std::string> all = fixed_;
	for (const auto& node : listed_)
	{
		all.insert(node.second);
	}
	all.insert(learned_.begin(), learned_.end());
	all.erase(ownEndpoint_);
	all.erase(std::string());
	connected_.assign(all.begin(), all.end());
	link_->setPeers(connected_);
}

std::vector<std::string> Peers::connectedEndpoints() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return connected_;
}

void Peers::sendHeartbeat(const std::set<std::string>& _leaving)
{
	wire::PeerMessage message;
	message.set_from(self_.name);
	wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
	heartbeat.set_name(self_.name);
	heartbeat.set_incarnation(self_.incarnation);
	heartbeat.set_hall(self_.hall);
	heartbeat.set_config_offset(control_.configNext().value);
	heartbeat.set_log_identity(control_.logIdentity());
	heartbeat.set_stopping(stopping_);
	heartbeat.set_peer(ownEndpoint_);
	for (const std::string& target : _leaving)
	{
		heartbeat.add_leaving(target);
	}
	link_->broadcast(message);
}

void Peers::onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	_reply.set_from(self_.name);
	switch (_message.body_case())
	{
	case wire::PeerMessage::kHeartbeat:
		onHeartbeat(_message, _reply);
		return;
	case wire::PeerMessage::kRecordsRequest:
		onRecordsRequest(_message, _reply);
		return;
	case wire::PeerMessage::kRecords:
		onRecords(_message);
		return;
	case wire::PeerMessage::kImage:
		onImage(_message);
		return;
	case wire::PeerMessage::kHallReport: // sent only between nodes on the users' platform
	case wire::PeerMessage::kHallAnswer:
	case wire::PeerMessage::kHallSum:
	case wire::PeerMessage::BODY_NOT_SET:
		return;
	}
}

void Peers::onHeartbeat(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	const wire::Heartbeat& heartbeat = _message.heartbeat();
	NodeReport report;
	report.name = heartbeat.name();
	report.incarnation = heartbeat.incarnation();
	report.hall = heartbeat.hall();
	report.configNext = Offset{heartbeat.config_offset()};
	report.stopping = heartbeat.stopping();
	report.leavingTargets.assign(heartbeat.leaving().begin(), heartbeat.leaving().end());
	control_.onNodeReport(report);
	addLearned(heartbeat.name(), heartbeat.peer());
	if (control_.configNext() < report.configNext)
	{
		// This node is behind: requests the missing records from the sender.
		_reply.mutable_records_request()->set_from(control_.configNext().value);
	}
}

void Peers::onRecordsRequest(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	const std::vector<LogRecord> held = control_.recordsFrom(Offset{_message.records_request().from()});
	if (held.empty())
	{
		*_reply.mutable_image() = toWire(control_.image(), control_.logIdentity());
		return;
	}
	wire::LogReadReply& records = *_reply.mutable_records();
	records.set_identity(control_.logIdentity());
	for (const LogRecord& record : held)
	{
		wire::LogEntry& entry = *records.add_entries();
		entry.set_offset(record.offset.value);
		entry.set_record(record.bytes);
	}
}

void Peers::onImage(const wire::PeerMessage& _message)
{
	ConfigImage image;
	if (fromWire(_message.image(), image))
	{
		control_.onImage(_message.image().identity(), image);
	}
}

void Peers::onRecords(const wire::PeerMessage& _message)
{
	std::vector<LogRecord> records;
	for (const wire::LogEntry& entry : _message.records().entries())
	{
		records.push_back(LogRecord{Offset{entry.offset()}, entry.record()});
	}
	control_.onForwardedRecords(_message.records().identity(), records);
}

} // namespace sedgecart
