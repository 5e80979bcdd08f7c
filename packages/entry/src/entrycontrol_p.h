// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_ENTRYCONTROL_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_ENTRYCONTROL_P_H_HEADER_GUARD

#include <aio/timer.h>
#include <crash/crashcoordinator.h>
#include <fleet/fleetcontroller.h>
#include <fleet/follower.h>
#include <hall/hallexchange.h>
#include <hall/halllog.h>
#include <layout/layoutcontroller.h>
#include <loads/slowdownpoll.h>
#include <settings/entrysettings.h>

#include <functional>
#include <memory>
#include <optional>

namespace sedgecart
{

/// Runs on the control thread: follows the store's topics, and maintains the fleet view and the layout.
class EntryControl
{
public:
	/// @param _onReady called once, when a desired state and the targets are known.
	EntryControl(boost::asio::io_context& _loop, const EntrySettings& _settings, KeyedLogI& _log,
	             RunnerOrdersI& _orders, const DocumentParserI& _documents, const ClockI& _clock, FleetCell& _cell,
	             std::function<void()> _onReady);
	~EntryControl();

	EntryControl(const EntryControl&) = delete;
	EntryControl& operator=(const EntryControl&) = delete;

	/// Starts to follow the store and announces this node.
	void start();

	/// Sets where decisions of the control thread are counted. Must be called before `start`.
	void setMetrics(Metrics& _metrics)
	{
		layout_.setMetrics(_metrics);
		crashes_.setMetrics(_metrics);
		exchange_.setMetrics(_metrics);
	}

	/// Applies the settings that may change while the node runs. Control thread.
	void setSettings(const EntrySettings& _settings)
	{
		log_.setAddress(_settings.storeAddress);
		crashes_.setNeverBlocked(_settings.neverBlocked);
	}

	/// @returns the record of requests during which targets crashed. Control thread.
	CrashCoordinator& crashes()
	{
		return crashes_;
	}

private:
	class OperatorHandler;
	class RunnerHandler;
	class NodeHandler;
	class LayoutHandler;
	class BlockedHandler;

	NodeAddress ownAddress() const;
	void announce();
	void checkOwnRecord();
	void checkReady();
	void startFollowing();
	void renewLongReads();
	void scheduleDropLapsed();

	EntrySettings settings_;
	const ClockI& clock_;
	TopicCache cache_;
	HallLog log_;
	FleetController fleet_;
	CrashCoordinator crashes_;
	std::unique_ptr<OperatorHandler> operatorHandler_;
	std::unique_ptr<RunnerHandler> runnerHandler_;
	std::unique_ptr<NodeHandler> nodeHandler_;
	std::unique_ptr<LayoutHandler> layoutHandler_;
	std::unique_ptr<BlockedHandler> blockedHandler_;
	Follower operatorFollower_;
	Follower runnerFollower_;
	Follower nodeFollower_;
	Follower layoutFollower_;
	Follower blockedFollower_;
	LayoutController layout_;
	HallExchange exchange_;
	SlowdownPoll slowdownPoll_;
	Timer announceTimer_;
	Timer lapseTimer_;
	std::optional<Time> announcedAt_; //!< When this node's record was first stored.
	Offset announcedOffset_;          //!< Of the last one stored.
	bool isAnnouncing_ = false;       //!< A record is being written.
	bool isFollowing_ = false;        //!< The topics other than that of the nodes are followed.
	std::function<void()> onReady_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_ENTRYCONTROL_P_H_HEADER_GUARD
