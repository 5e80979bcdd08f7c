// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entrycontrol_p.h"

#include <base/digest.h>
#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

#include <chrono>

namespace sedgecart
{

namespace
{

/// How the operator's topic is followed: the store reports a change at once. An answer without updates proves that
/// there were none when its read was sent, so that the latest proof is never older than two such waits; keys may be
/// used for 4.5 s after a proof. Only the hub of a hall reads the store; the other nodes are later by the delay of its
/// answers.
constexpr FollowConfig kFollowOperator{KeyedTopic::Operator, Duration::fromMillis(1000), Duration{}, Duration{}};

/// Records of targets expire after three report intervals, 3.6 s. No record can have expired during a shorter time
/// without a proof, such as this one.
constexpr Duration kMaxProofGap = Duration::fromMillis(2500);

/// How the targets' topic is followed: by polling. Each target writes there about every second, so that reads that wait
/// for updates would follow each other without a pause. A target that leaves must be known within two seconds, even if
/// the hub fails meanwhile.
constexpr FollowConfig kFollowRunners{KeyedTopic::Runners, Duration{}, Duration::fromMillis(900), kMaxProofGap};

/// How the nodes' topic is followed: it only serves to divide limits among the nodes, and these change as rarely as
/// nodes join.
constexpr FollowConfig kFollowNodes{KeyedTopic::Nodes, Duration::fromMillis(20000), Duration::fromMillis(500),
                                    Duration{}};

/// How the layout's topic is followed: changes are rare, and the store reports them at once.
constexpr FollowConfig kFollowLayout{KeyedTopic::Layout, Duration::fromMillis(20000), Duration{}, Duration{}};

/// How the topic of blocked requests is followed: as the layout's.
constexpr FollowConfig kFollowBlocked{KeyedTopic::Blocked, Duration::fromMillis(20000), Duration{}, Duration{}};

/// @returns the plan with a seed of this node, so that nodes retry at different times.
FollowConfig planOf(const FollowConfig& _plan, const std::string& _node)
{
	FollowConfig plan = _plan;
	plan.seed = hash64(_node, _plan.topic);
	return plan;
}

/// Interval between attempts to write this node's record.
constexpr Duration kAnnounceRetry = Duration::fromMillis(1500);

/// Logs the start and the end of each store outage once.
class OutageLog
{
public:
	explicit OutageLog(const char* _topic) : topic_(_topic)
	{
	}

	void onOut(StoreState::Enum _state)
	{
		if (!out_)
		{
			out_ = true;
			logEvent(LogPart::Store, LogLevel::Warning, "Store does not answer.",
			         {{"reading", topic_}, {"outcome", nameOf(_state)}});
		}
	}

	/// @returns true if this answer ends an outage.
	bool onCurrent()
	{
		const bool wasOut = out_;
		out_ = false;
		if (wasOut)
		{
			logEvent(LogPart::Store, LogLevel::Info, "Store answers again.", {{"reading", topic_}});
		}
		return wasOut;
	}

private:
	const char* topic_; //!< As named in the log.
	bool out_ = false;
};

} // namespace

class EntryControl::OperatorHandler : public FollowHandlerI
{
public:
	explicit OperatorHandler(EntryControl& _control) : control_(_control), outages_("desired state")
	{
	}

	void onRecord(const KeyedRecord& _record) override
	{
		control_.fleet_.onOperatorRecord(_record);
	}

	void onCurrent(Time _sentAt) override
	{
		if (outages_.onCurrent())
		{
			control_.renewLongReads();
		}
		control_.fleet_.onOperatorCurrent(_sentAt);
		control_.checkReady();
	}

	void onReadFailed(StoreState::Enum _state) override
	{
		outages_.onOut(_state);
	}

private:
	EntryControl& control_;
	OutageLog outages_;
};

class EntryControl::RunnerHandler : public FollowHandlerI
{
public:
	explicit RunnerHandler(EntryControl& _control) : control_(_control), outages_("targets")
	{
	}

	void onRecord(const KeyedRecord& _record) override
	{
		control_.fleet_.onRunnerRecord(_record);
	}

	void onCurrent(Time) override
	{
		outages_.onCurrent();
		if (control_.fleet_.onRunnersCurrent())
		{
			control_.scheduleDropLapsed();
		}
		control_.checkReady();
	}

	void onReadFailed(StoreState::Enum _state) override
	{
		outages_.onOut(_state);
		control_.fleet_.onStoreUnavailable();
	}

private:
	EntryControl& control_;
	OutageLog outages_;
};

class EntryControl::NodeHandler : public FollowHandlerI
{
public:
	explicit NodeHandler(EntryControl& _control) : control_(_control), outages_("nodes")
	{
	}

	void onRecord(const KeyedRecord& _record) override
	{
		control_.fleet_.onNodeRecord(_record);
	}

	void onCurrent(Time) override
	{
		outages_.onCurrent();
		if (control_.fleet_.onNodesCurrent())
		{
			control_.exchange_.onNodesChanged();
		}
		control_.checkOwnRecord();
		control_.startFollowing();
	}

	void onReadFailed(StoreState::Enum _state) override
	{
		outages_.onOut(_state);
	}

private:
	EntryControl& control_;
	OutageLog outages_;
};

class EntryControl::LayoutHandler : public FollowHandlerI
{
public:
	explicit LayoutHandler(EntryControl& _control) : control_(_control), outages_("layout")
	{
	}

	void onRecord(const KeyedRecord& _record) override
	{
		control_.layout_.onRecord(_record);
	}

	void onCurrent(Time) override
	{
		outages_.onCurrent();
		control_.layout_.onCurrent(control_.layoutFollower_.end());
	}

	void onReadFailed(StoreState::Enum _state) override
	{
		outages_.onOut(_state);
	}

private:
	EntryControl& control_;
	OutageLog outages_;
};

class EntryControl::BlockedHandler : public FollowHandlerI
{
public:
	explicit BlockedHandler(EntryControl& _control) : control_(_control), outages_("blocked requests")
	{
	}

	void onRecord(const KeyedRecord& _record) override
	{
		control_.crashes_.onRecord(_record);
	}

	void onCurrent(Time) override
	{
		outages_.onCurrent();
	}

	void onReadFailed(StoreState::Enum _state) override
	{
		outages_.onOut(_state);
	}

private:
	EntryControl& control_;
	OutageLog outages_;
};

EntryControl::EntryControl(boost::asio::io_context& _loop, const EntrySettings& _settings, KeyedLogI& _log,
                           RunnerOrdersI& _orders, const DocumentParserI& _documents, const ClockI& _clock,
                           FleetCell& _cell, std::function<void()> _onReady)
    : settings_(_settings),
      clock_(_clock),
      cache_(_documents),
      log_(_log, _clock, cache_, _settings.name),
      fleet_(_documents, _cell, _clock, _settings.hall),
      crashes_(log_, _clock, _cell, _settings.name),
      operatorHandler_(std::make_unique<OperatorHandler>(*this)),
      runnerHandler_(std::make_unique<RunnerHandler>(*this)),
      nodeHandler_(std::make_unique<NodeHandler>(*this)),
      layoutHandler_(std::make_unique<LayoutHandler>(*this)),
      blockedHandler_(std::make_unique<BlockedHandler>(*this)),
      operatorFollower_(_loop, log_, _clock, planOf(kFollowOperator, _settings.name), *operatorHandler_),
      runnerFollower_(_loop, log_, _clock, planOf(kFollowRunners, _settings.name), *runnerHandler_),
      nodeFollower_(_loop, log_, _clock, planOf(kFollowNodes, _settings.name), *nodeHandler_),
      layoutFollower_(_loop, log_, _clock, planOf(kFollowLayout, _settings.name), *layoutHandler_),
      blockedFollower_(_loop, log_, _clock, planOf(kFollowBlocked, _settings.name), *blockedHandler_),
      layout_(_loop, log_, _orders, _clock, fleet_, _settings),
      exchange_(_loop, _settings, _clock, fleet_, crashes_, log_, cache_),
      slowdownPoll_(_loop, _orders, fleet_, _settings.hall, _clock,
                    [this]
                    {
	                    return settings_.mechanisms.isEnabled(Mechanism::PacePolls) && exchange_.isHub();
                    }),
      announceTimer_(_loop),
      lapseTimer_(_loop),
      onReady_(std::move(_onReady))
{
	fleet_.setSelf(settings_.name);
	fleet_.setLapseGraceEnabled(settings_.mechanisms.isEnabled(Mechanism::LapseGrace));
	layout_.setOnBehind(
	    [this]
	    {
		    layoutFollower_.restartRead();
	    });
	crashes_.setOnUpdate(
	    [this]
	    {
		    exchange_.reportSoon();
	    });
	log_.setSkippedRecords(_cell.skippedRecords);
	slowdownPoll_.setPollIdleRarely(settings_.mechanisms.isEnabled(Mechanism::IdlePolls));
	crashes_.setNeverBlocked(_settings.neverBlocked);
	log_.setLoadThroughHub(settings_.mechanisms.isEnabled(Mechanism::HallLoads));
	log_.setRegistrySource(exchange_);
}

EntryControl::~EntryControl() = default;

void EntryControl::start()
{
	nodeFollower_.start();
	if (!log_.loadsThroughHub())
	{
		startFollowing();
	}
	layout_.start();
	slowdownPoll_.start();
	announce();
}

/// Starts to follow the other topics, once. They are read through the hub of the hall, so the nodes must be known
/// first.
void EntryControl::startFollowing()
{
	if (isFollowing_)
	{
		return;
	}
	isFollowing_ = true;
	exchange_.start();
	operatorFollower_.start();
	runnerFollower_.start();
	layoutFollower_.start();
	if (settings_.mechanisms.isEnabled(Mechanism::CrashLedger))
	{
		blockedFollower_.start();
	}
}

/// Sends the long reads of rarely changing topics again: those sent before a store outage may hang until their wait
/// ends.
void EntryControl::renewLongReads()
{
	nodeFollower_.restartRead();
	layoutFollower_.restartRead();
	blockedFollower_.restartRead();
}

NodeAddress EntryControl::ownAddress() const
{
	return NodeAddress{peerAddress(settings_), settings_.hall, settings_.cpuShare, handoverAddress(settings_)};
}

void EntryControl::announce()
{
	const NodeAddress own = ownAddress();
	wire::NodePlace place;
	place.set_address(own.address);
	place.set_hall(own.hall);
	place.set_cpu_share(own.cpuShare);
	place.set_handover_address(own.handoverAddress);
	isAnnouncing_ = true;
	log_.append(KeyedTopic::Nodes, settings_.name, place.SerializeAsString(), std::nullopt,
	            [this](const KeyedAppend& _outcome)
	            {
		            if (StoreState::Done == _outcome.state)
		            {
			            isAnnouncing_ = false;
			            announcedAt_ = announcedAt_.value_or(clock_.now());
			            announcedOffset_ = _outcome.offset;
			            return;
		            }
		            announceTimer_.expires_after(std::chrono::microseconds(kAnnounceRetry.micros));
		            announceTimer_.async_wait(
		                [this](const boost::system::error_code& _error)
		                {
			                if (!_error)
			                {
				                announce();
			                }
		                });
	            });
}

/// Announces this node again if a later record of the registry names other addresses. A write of an earlier start of
/// this node that got no answer may be carried out after this start's own, and others would then not reach this node.
/// Only while such a write may be pending: two processes of one name must not write in turns for ever.
void EntryControl::checkOwnRecord()
{
	const bool mayBePending = announcedAt_ && clock_.now() < *announcedAt_ + RecordOrder::kPendingWriteLimit;
	const bool hasRead = announcedOffset_ < nodeFollower_.end();
	const auto known = fleet_.nodes().find(settings_.name);
	if (isAnnouncing_ || !mayBePending || !hasRead || fleet_.nodes().end() == known || known->second == ownAddress())
	{
		return;
	}
	logEvent(LogPart::Store, LogLevel::Warning, "This node's record names other addresses and is written again.",
	         {{"address", known->second.address}, {"handover", known->second.handoverAddress}});
	announce();
}

void EntryControl::scheduleDropLapsed()
{
	lapseTimer_.expires_after(std::chrono::microseconds(FleetController::kLapseGrace.micros));
	lapseTimer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    fleet_.dropLapsed();
		    }
	    });
}

void EntryControl::checkReady()
{
	if (fleet_.ready() && onReady_)
	{
		const std::function<void()> callback = std::move(onReady_);
		onReady_ = nullptr;
		callback();
	}
}

} // namespace sedgecart
