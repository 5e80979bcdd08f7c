// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/bootclock.h>
#include <node/node.h>

#include "admission_p.h"
#include "claimlog_p.h"
#include "configimagewriter_p.h"
#include "context_p.h"
#include "control_p.h"
#include "dump_p.h"
#include "loadpoller_p.h"
#include "logtailer_p.h"
#include "peers_p.h"
#include "placer_p.h"
#include "requestrouter_p.h"
#include "stopstate_p.h"
#include "vmwatcher_p.h"

#include <base/config.h>
#include <base/digest.h>
#include <base/steadyclock.h>
#include <core/snapshot.h>
#include <http/httpserver.h>
#include <logging/logging.h>
#include <node/settings.h>

#include <chrono>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr const char* kConfigStream = "config";
constexpr std::chrono::milliseconds kTick{SEDGECART_CONFIG_TICK_MS};
/// Time for the last answers to reach their callers: a round trip, and the retransmission of a lost segment.
constexpr Duration kDeliveryTime = Duration::fromMillis(250);
constexpr int kTicksPerHeartbeat = SEDGECART_CONFIG_HEARTBEAT_MS / SEDGECART_CONFIG_TICK_MS;

HttpServerLimits limitsOf(const Settings& _settings)
{
	HttpServerLimits limits;
	limits.maxBodyBytes = SEDGECART_CONFIG_MAX_BODY_BYTES;
	limits.maxThreads = _settings.threads;
	limits.readTimeoutMs = static_cast<int>(_settings.readTimeoutMs);
	limits.writeTimeoutMs = static_cast<int>(_settings.writeTimeoutMs);
	return limits;
}

} // namespace

/// Members are declared in dependency order, so that each is destroyed before those that it uses.
class Node::Impl
{
public:
	explicit Impl(const Settings& _settings)
	    : settings_(_settings),
	      self_{_settings.name, _settings.hall, incarnation_.text()},
	      control_(self_, clock_, snapshots_),
	      limiter_(control_.targets()),
	      admission_(snapshots_, clock_, control_.targets(), makePlanner(_settings.planner),
	                 hash64(incarnation_.text())),
	      peers_(self_, PeerSettings{_settings.peerListen, _settings.peerKey}, _settings.peers, control_),
	      claims_(_settings.platformLog, incarnation_, metrics_),
	      context_{settings_, clock_,   snapshots_, incarnation_, control_,  admission_, claims_,
	               peers_,    limiter_, retries_,   metrics_,     registry_, stopState_, ready_},
	      configTailer_(_settings.platformLog, kConfigStream, control_),
	      images_(_settings.platformLog, control_, clock_, hash64(incarnation_.text())),
	      vms_(_settings.platformVms, control_, peers_),
	      poller_(control_, snapshots_, clock_),
	      placer_(context_, hash64(incarnation_.text())),
	      front_(context_),
	      server_(std::make_unique<HttpServer>(_settings.listen, front_, limitsOf(_settings)))
	{
		ticker_ = std::thread(
		    [this]
		    {
			    runTicks();
		    });
		logLine(LogPart::Node, LogLevel::Info,
		        "Serving on " + _settings.listen.ip + ":" + std::to_string(_settings.listen.port) + " in hall " +
		            _settings.hall + ", incarnation " + incarnation_.text() + ".");
		if (_settings.peerKey.empty())
		{
			logLine(LogPart::Node, LogLevel::Warning, "Traffic between nodes is not encrypted: no peer key is set.");
		}
	}

	~Impl()
	{
		server_.reset();
		ticking_ = false;
		ticker_.join();
	}

	Impl(const Impl&) = delete;
	Impl& operator=(const Impl&) = delete;

	void stop()
	{
		const Duration delay = Duration::fromMillis(settings_.stopDelayMs);
		const Time lateFrom = clock_.now() + delay;
		const Time end = lateFrom + Duration::fromMillis(settings_.stopBoundMs);
		const Time lastAnswersAt{end.micros - kDeliveryTime.micros};
		stopState_.begin(lateFrom, lastAnswersAt);
		server_->closeAfterAnswers();
		peers_.setStopping();
		logLine(LogPart::Node, LogLevel::Info, "Node is stopping; the health check fails.");
		std::this_thread::sleep_for(std::chrono::milliseconds(settings_.stopDelayMs));
		while (0 < registry_.size() && !stopState_.areRequestsCut())
		{
			std::this_thread::sleep_for(kTick);
		}
		// Waits for the requests that were read; the ticks end those that are left at the last moment for answers.
		server_.reset();
		logLine(LogPart::Node, LogLevel::Info, "Node has stopped.");
	}

	std::string dump() const
	{
		return dumpState(context_);
	}

private:
	/// Gives each request that is left its final answer: nothing bounds those that came before the balancer reacted.
	void endRequests()
	{
		logLine(LogPart::Node, LogLevel::Warning,
		        std::to_string(registry_.size()) + " requests are ended by the stop.");
		stopState_.cutRequests();
		admission_.refuseAll();
		claims_.refuseWaiting();
	}

	void runTicks()
	{
		Offset reported;
		for (int tick = 0; ticking_; ++tick)
		{
			control_.tick();
			admission_.dispatchWaiting();
			if (stopState_.mustCut(clock_.now()))
			{
				endRequests();
			}
			// A new config offset is sent at once, not with the next periodic heartbeat: operators wait for it.
			const Offset next = control_.configNext();
			if (0 == tick % kTicksPerHeartbeat || reported < next)
			{
				reported = next;
				peers_.sendHeartbeat(control_.withBoard(
				    [](const Blackboard& _board)
				    {
					    return _board.leaving.byVmList;
				    }));
			}
			updateReadiness();
			std::this_thread::sleep_for(kTick);
		}
	}

	/// Marks the node ready once it has read the log to its end and polled its targets. If the log cannot be read, the
	/// configuration comes from a peer.
	void updateReadiness()
	{
		const bool configured = configTailer_.isCaughtUp() || !configTailer_.isHealthy();
		if (!ready_ && configured && poller_.hasPolledAll())
		{
			ready_ = true;
			logLine(LogPart::Node, LogLevel::Info, "Node is ready; the health check passes.");
		}
	}

	Settings settings_;
	SteadyClock clock_;
	Incarnation incarnation_;
	NodeIdentity self_;
	SnapshotCell snapshots_;
	Control control_;
	Limiter limiter_;
	Admission admission_;
	RetryBudget retries_;
	Metrics metrics_;
	Registry registry_;
	StopState stopState_;
	std::atomic<bool> ready_{false};
	std::atomic<bool> ticking_{true};
	Peers peers_;
	ClaimLog claims_;
	NodeContext context_;
	LogTailer configTailer_;
	ConfigImageWriter images_;
	VmWatcher vms_;
	LoadPoller poller_;
	Placer placer_;
	RequestRouter front_;
	std::unique_ptr<HttpServer> server_;
	std::thread ticker_;
};

Node::Node(const Settings& _settings) : impl_(std::make_unique<Impl>(_settings))
{
}

Node::~Node() = default;

void Node::stop()
{
	impl_->stop();
}

std::string Node::dump() const
{
	return impl_->dump();
}

} // namespace sedgecart
