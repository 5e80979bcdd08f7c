// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <entry/entrynode.h>

#include "entrycontrol_p.h"
#include "readinesshandler_p.h"

#include <aio/server.h>
#include <base/seededrandom.h>
#include <base/steadyclock.h>
#include <core/resumeadmission.h>
#include <core/serviceresponsetimes.h>
#include <core/stopwindow.h>
#include <crash/crashdetector.h>
#include <fleet/fleetview.h>
#include <loads/pathwatch.h>
#include <loads/reachabilitymonitor.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <ports/documentparser.h>
#include <ports/entryports.h>
#include <ports/keyedlog.h>
#include <ports/runnerorders.h>
#include <ports/wireformat.h>
#include <queueing/admissioncontroller.h>
#include <relay/handoveringress.h>
#include <relay/requestingress.h>
#include <relay/serviceretrybudgets.h>
#include <relay/targetconnectionpool.h>
#include <relay/targetratelimiter.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace sedgecart
{

namespace
{

namespace asio = boost::asio;
using Guard = asio::executor_work_guard<asio::io_context::executor_type>;

/// Interval between checks whether a stop is complete.
constexpr Duration kStopCheckInterval = Duration::fromMillis(50);

/// Maximum wait for the request loop during a stop: a third of the time between the end of the stop window and the
/// kill.
constexpr Duration kRequestLoopTimeout = Duration::fromMillis(100);

constexpr int64_t kMillisPerSecond = 1000;

/// Concurrency hint of a loop: it runs on one thread only, so that asio can omit locks.
constexpr int kOneThread = 1;

uint64_t entropy()
{
	std::random_device device;
	return (static_cast<uint64_t>(device()) << 32) | device();
}

void sleepFor(Duration _duration)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_duration.micros));
}

} // namespace

class EntryNode::Impl : public CrashListenerI
{
public:
	Impl(const EntrySettings& _settings, EntryPortsI& _ports)
	    : startSettings_(_settings),
	      stopTimeout_(_settings.stopBound.micros),
	      requestGuard_(requestLoop_.get_executor()),
	      controlGuard_(controlLoop_.get_executor()),
	      wire_(_ports.makeWireFormat()),
	      documents_(_ports.makeDocumentParser()),
	      log_(_ports.makeLog(controlLoop_, _settings.storeAddress)),
	      orders_(_ports.makeOrders(controlLoop_)),
	      random_(entropy()),
	      resumeAdmission_(clock_.now()),
	      pool_(requestLoop_, clock_),
	      retries_(_settings.retries),
	      rates_(_settings.name, clock_.now()),
	      pathOrders_(_ports.makeOrders(requestLoop_)),
	      watch_(requestLoop_, clock_, *pathOrders_, metrics_),
	      crashes_(requestLoop_, clock_, *pathOrders_, cell_, *this),
	      admission_(requestLoop_, clock_, cell_),
	      reachability_(requestLoop_, clock_, cell_, random_, metrics_),
	      readiness_(*wire_, metrics_),
	      ingress_(RelayContext{requestLoop_, clock_, *wire_, cell_, cell_.link, pool_, random_, retries_, metrics_,
	                            watch_, *pathOrders_, startSettings_.mechanisms, responseTimes_, crashes_,
	                            resumeAdmission_, rates_, admission_, reachability_},
	               _settings),
	      control_(controlLoop_, _settings, *log_, *orders_, *documents_, clock_, cell_,
	               [this]
	               {
		               onReady();
	               }),
	      readyServer_(requestLoop_, _settings.readyAddress, readiness_),
	      callerServer_(requestLoop_, _settings.callerAddress, ingress_),
	      handoverIngress_(ingress_)
	{
		const std::string address = handoverAddress(_settings);
		if (!address.empty())
		{
			handoverServer_ = std::make_unique<Server>(requestLoop_, address, handoverIngress_);
		}
		watch_.setReachability(reachability_);
		cell_.skippedRecords.setMetrics(metrics_);
		control_.setMetrics(metrics_);
		crashes_.setEnabled(startSettings_.mechanisms.isEnabled(Mechanism::CrashLedger));
		control_.crashes().setOnSuspects(
		    [this]
		    {
			    asio::post(requestLoop_,
			               [this]
			               {
				               crashes_.reportRecentAnswers();
			               });
		    });
		logEvent(LogPart::Node, LogLevel::Info, "Node starts.",
		         {{"hall", _settings.hall}, {"callers", _settings.callerAddress}, {"store", _settings.storeAddress}});
		control_.start();
		requestThread_ = std::thread(
		    [this]
		    {
			    requestLoop_.run();
		    });
		controlThread_ = std::thread(
		    [this]
		    {
			    controlLoop_.run();
		    });
	}

	~Impl() override
	{
		requestLoop_.stop();
		controlLoop_.stop();
		requestThread_.join();
		controlThread_.join();
		logEvent(LogPart::Node, LogLevel::Info, "Request loop has ended.",
		         {{"active", std::to_string(ingress_.active())}, {"requests", requestsText()}});
	}

	void onCrash(const LostRuns& _runs, const TargetIncarnation& _target) override
	{
		asio::post(controlLoop_,
		           [this, _runs, _target]
		           {
			           control_.crashes().recordCrash(_runs, _target);
		           });
	}

	void onAnswered(const RequestIdentity& _request) override
	{
		asio::post(controlLoop_,
		           [this, _request]
		           {
			           control_.crashes().recordResponse(_request);
		           });
	}

	void reload(const EntrySettings& _settings)
	{
		const std::string unchanged = settingsRequiringRestart(startSettings_, _settings);
		stopTimeout_.store(_settings.stopBound.micros, std::memory_order_relaxed);
		logEvent(LogPart::Node, LogLevel::Info, "Settings are read anew.",
		         {{"take_a_restart", unchanged}, {"store", _settings.storeAddress}});
		asio::post(requestLoop_,
		           [this, _settings]
		           {
			           ingress_.setSettings(_settings);
			           retries_.setAllowance(_settings.retries);
		           });
		asio::post(controlLoop_,
		           [this, _settings]
		           {
			           control_.setSettings(_settings);
		           });
	}

	void stop()
	{
		const StopWindow window(clock_.now(), Duration{stopTimeout_.load(std::memory_order_relaxed)});
		beginStop(window);
		logEvent(LogPart::Node, LogLevel::Info, "Node stops.", {{"active", std::to_string(ingress_.active())}});
		while (window.callersMayArrive(clock_.now()))
		{
			sleepFor(kStopCheckInterval);
		}
		while (clock_.now() < window.finalAnswersAt() && closeRestingConnections())
		{
			sleepFor(kStopCheckInterval);
		}
		if (!drainUntil(window.finalAnswersAt()))
		{
			asio::post(requestLoop_,
			           [this]
			           {
				           ingress_.endUnanswered();
			           });
			drainUntil(window.deadline());
		}
		closeServers();
	}

	std::string dump() const
	{
		const int64_t proven = cell_.provenAt.load(std::memory_order_relaxed);
		std::string text = "{\"ready\":" + std::string(readiness_.isReady() ? "true" : "false");
		text += ",\"active\":" + std::to_string(ingress_.active());
		text += ",\"requests\":" + std::to_string(metrics_.value(Counter::Requests));
		text += ",\"answers\":" + std::to_string(metrics_.value(Counter::Answers));
		text += ",\"broken_streams\":" + std::to_string(metrics_.value(Counter::BrokenStreams));
		text += ",\"callers_gone\":" + std::to_string(metrics_.value(Counter::CallersGone));
		text += ",\"sends\":" + std::to_string(metrics_.value(Counter::Sends));
		text += ",\"retries\":" + std::to_string(metrics_.value(Counter::Retries));
		const bool known = INT64_MIN != proven;
		text += ",\"peers\":" + std::to_string(countPeers());
		text += ",\"cut_off\":" + std::string(cell_.isCutOff.load(std::memory_order_relaxed) ? "true" : "false");
		text += ",\"config_age_ms\":" + (known ? std::to_string((clock_.now() - Time{proven}).millis()) : "null");
		text += ",\"passed_over\":" + cell_.skippedRecords.toJson();
		text += ",\"suspects\":" + suspectsText();
		text += ",\"limited\":" + limitedText();
		return text + "}";
	}

private:
	/// @returns the number of requests read since the start.
	std::string requestsText() const
	{
		return std::to_string(metrics_.value(Counter::Requests));
	}

	/// @returns the number of other nodes that take requests.
	std::size_t countPeers() const
	{
		const RcuCell<FleetView>::Reader view(cell_.view);
		return view->peers ? view->peers->targets.size() : 0;
	}

	/// @returns the requests suspected of crashing targets, as JSON.
	std::string suspectsText() const
	{
		const Time now = clock_.now();
		const RcuCell<SuspectTable>::Reader table(cell_.suspects);
		std::string rows;
		for (const auto& row : table->rows)
		{
			const Suspect& suspect = row.second;
			rows += rows.empty() ? "{" : ",{";
			rows += "\"identity\":\"" + row.first.text() + "\",\"crashes\":" + std::to_string(suspect.crashes);
			rows += ",\"blocked_s\":";
			rows += suspect.blocked ? std::to_string((suspect.blockedUntil - now).millis() / kMillisPerSecond) : "null";
			rows += '}';
		}
		return '[' + rows + ']';
	}

	/// @returns the targets that asked for fewer requests or none, as JSON.
	std::string limitedText() const
	{
		const Time now = clock_.now();
		const RcuCell<FleetView>::Reader view(cell_.view);
		std::string rows;
		for (const auto& service : view->services)
		{
			for (const FleetTarget& target : service.second->targets)
			{
				const std::string row = limitedText(target, now);
				rows += rows.empty() || row.empty() ? row : ',' + row;
			}
		}
		return '[' + rows + ']';
	}

	/// @returns the target as JSON; empty if it asked for no limit, backoff or drain.
	static std::string limitedText(const FleetTarget& _target, Time _now)
	{
		const AdvertisedRate rate = _target.load->rate();
		const Time backoffUntil{_target.load->backoffUntil.load(std::memory_order_relaxed)};
		const bool backsOff = _now < backoffUntil;
		const bool drains = _target.load->draining.load(std::memory_order_relaxed);
		if (!rate.limit && !backsOff && !drains)
		{
			return std::string();
		}
		std::string row = "{\"target\":\"" + _target.record.instance.text + '"';
		row += ",\"limit_per_s\":" + (rate.limit ? std::to_string(rate.limit->perSecond) : "null");
		row += ",\"backoff_ms\":" + (backsOff ? std::to_string((backoffUntil - _now).millis()) : "null");
		row += ",\"draining\":" + std::string(drains ? "true" : "false");
		return row + '}';
	}

	void beginStop(const StopWindow& _window)
	{
		const std::lock_guard<std::mutex> lock(readyMutex_);
		readiness_.setReady(false);
		ingress_.stop(_window);
		asio::post(requestLoop_,
		           [this]
		           {
			           admission_.stop();
			           ingress_.onStopping();
		           });
	}

	/// Runs a function on the request loop.
	/// @returns its result; none if the loop does not run it within kRequestLoopTimeout.
	template <typename Function> auto runOnRequestLoop(Function _function) -> std::optional<decltype(_function())>
	{
		const auto done = std::make_shared<std::promise<decltype(_function())>>();
		asio::post(requestLoop_,
		           [function = std::move(_function), done]
		           {
			           done->set_value(function());
		           });
		auto result = done->get_future();
		if (std::future_status::ready != result.wait_for(std::chrono::microseconds(kRequestLoopTimeout.micros)))
		{
			return std::nullopt;
		}
		return result.get();
	}

	/// Closes the connections at rest. New callers are still accepted: the balancer sends them to nodes that stop where
	/// too few others are ready.
	/// @returns true while a request is received or handled, or an answer is delivered.
	bool closeRestingConnections()
	{
		const auto close = [this]
		{
			callerServer_.closeAtRest();
			bool isBusy = 0 < ingress_.active() || callerServer_.isBusy();
			if (handoverServer_)
			{
				handoverServer_->closeAtRest();
				isBusy = isBusy || handoverServer_->isBusy();
			}
			return isBusy;
		};
		return runOnRequestLoop(close).value_or(true);
	}

	/// Drains the servers, once at least, until a time or until they are drained.
	/// @returns true once they are.
	bool drainUntil(Time _end)
	{
		bool drained = drainServers();
		while (!drained && clock_.now() < _end)
		{
			sleepFor(kStopCheckInterval);
			drained = drainServers();
		}
		return drained;
	}

	/// Closes the connections at rest. They are checked and closed in one turn of the request loop: a request that
	/// arrived between a check and the end of the process would be run and lose its answer.
	/// @returns true once no request can arrive any more and all are answered.
	bool drainServers()
	{
		const auto drained = [this]
		{
			const uint32_t handedOver = handoverServer_ ? handoverServer_->drain() : 0;
			return 0 == callerServer_.drain() + handedOver && 0 == ingress_.active();
		};
		return runOnRequestLoop(drained).value_or(false);
	}

	/// Closes the connections that are left, and logs each request that this cuts off.
	void closeServers()
	{
		const auto close = [this]
		{
			const uint32_t active = ingress_.active();
			if (0 < active)
			{
				ingress_.logCutOff();
			}
			const uint32_t handedOver = handoverServer_ ? handoverServer_->deliveringConnections() : 0;
			logEvent(LogPart::Node, LogLevel::Info, "Node ends.",
			         {{"cut_off", std::to_string(active)},
			          {"delivering", std::to_string(callerServer_.deliveringConnections() + handedOver)},
			          {"requests", requestsText()}});
			callerServer_.close();
			if (handoverServer_)
			{
				handoverServer_->close();
			}
			return true;
		};
		if (!runOnRequestLoop(close))
		{
			logEvent(LogPart::Node, LogLevel::Warning, "Request loop does not answer at the end of a stop.",
			         {{"active", std::to_string(ingress_.active())}});
		}
	}

	void onReady()
	{
		{
			const std::lock_guard<std::mutex> lock(readyMutex_);
			readiness_.setReady(!ingress_.closing());
		}
		logEvent(LogPart::Node, LogLevel::Info, "Node is ready.", {});
		asio::post(requestLoop_,
		           [this]
		           {
			           ingress_.onReady();
		           });
	}

	const EntrySettings startSettings_; //!< Settings at the start, read by all threads.
	std::atomic<int64_t> stopTimeout_;  //!< Microseconds; by the current settings.
	std::mutex readyMutex_;             //!< A node that stops while it becomes ready must not report that it is.
	SteadyClock clock_;
	asio::io_context requestLoop_{kOneThread};
	asio::io_context controlLoop_{kOneThread};
	Guard requestGuard_;
	Guard controlGuard_;
	std::unique_ptr<WireFormatI> wire_;
	std::unique_ptr<DocumentParserI> documents_;
	std::unique_ptr<KeyedLogI> log_;
	std::unique_ptr<RunnerOrdersI> orders_;
	FleetCell cell_;
	Metrics metrics_;
	SeededRandom random_;
	ServiceResponseTimes responseTimes_; //!< Used by the request loop.
	ResumeAdmission resumeAdmission_;    //!< Used by the request loop.
	TargetConnectionPool pool_;
	ServiceRetryBudgets retries_;
	TargetRateLimiter rates_;
	std::unique_ptr<RunnerOrdersI> pathOrders_; //!< Used by the request loop.
	PathWatch watch_;
	CrashDetector crashes_;         //!< Used by the request loop.
	AdmissionController admission_; //!< Used by the request loop.
	ReachabilityMonitor reachability_;
	ReadinessHandler readiness_;
	RequestIngress ingress_;
	EntryControl control_;
	Server readyServer_;
	Server callerServer_;
	HandoverIngress handoverIngress_;
	std::unique_ptr<Server> handoverServer_; //!< Null if the settings leave no port for it.
	std::thread requestThread_;
	std::thread controlThread_;
};

EntryNode::EntryNode(const EntrySettings& _settings, EntryPortsI& _ports)
    : impl_(std::make_unique<Impl>(_settings, _ports))
{
}

EntryNode::~EntryNode() = default;

void EntryNode::reload(const EntrySettings& _settings)
{
	impl_->reload(_settings);
}

void EntryNode::stop()
{
	impl_->stop();
}

std::string EntryNode::dump() const
{
	return impl_->dump();
}

} // namespace sedgecart
