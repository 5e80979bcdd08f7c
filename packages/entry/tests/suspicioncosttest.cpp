// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A node that lacks the processor hears answers late, and a target may be silent for a moment and go on: either way
// sound targets are taken as dead, however the bounds are chosen. That must never cost an answer. Here the real
// decisions of the path watch and of each request run in virtual time before targets that are all sound in the end,
// while the node stands still or crawls and targets pause at any moments: every stream ends whole.

#include "../src/pathwatch_p.h"

#include <core/relaymachine.h>
#include <metrics/metrics.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr int64_t kFirstEventMs = 30;
constexpr int64_t kEventGapMs = 20;
constexpr uint64_t kEvents = 40;
constexpr int64_t kAnswerMs = 1;
constexpr int64_t kLookMs = 8;
constexpr uint32_t kRunsAllowed = 2;

class VirtualClock : public ClockI
{
public:
	Time now() const override
	{
		return Time{nowMs * 1000};
	}

	int64_t nowMs = 1000;
};

/// A span in which a target brings nothing; it goes on behind it.
struct Pause
{
	int64_t fromMs = 0;
	int64_t endMs = 0;

	bool holds(int64_t _nowMs) const
	{
		return fromMs <= _nowMs && _nowMs < endMs;
	}
};

/// A target as streams meet it.
struct ModelTarget
{
	Pause pause;
	bool full = false; //!< It turns away whatever comes from another target.
};

std::size_t indexOf(const std::string& _address)
{
	return std::stoul(_address.substr(1));
}

/// Questions to targets that all answer, most of them in time; the node may take an answer late, or the end of its
/// bound before it.
class SoundOrders : public RunnerOrdersI
{
public:
	SoundOrders(const VirtualClock& _clock, const std::vector<ModelTarget>& _models) : clock_(_clock), models_(_models)
	{
	}

	void hold(const RunnerRecord&, LayerSpan, Offset, OrderCall) override
	{
	}
	void probe(const std::string& _address, Duration _bound, ProbeCall _call) override
	{
		const Pause& pause = models_[indexOf(_address)].pause;
		const int64_t from = pause.holds(clock_.nowMs) ? pause.endMs : clock_.nowMs;
		open_.push_back(Question{from + kAnswerMs, clock_.nowMs + _bound.millis(), std::move(_call)});
	}
	void poll(const std::string&, Duration, ProbeCall) override
	{
	}
	void repath(const std::string&, const std::string&, const std::vector<PathStop>&, RepathCall) override
	{
	}

	/// Takes what is due: bounds that have passed go before answers, as the worst order of a node that wakes up.
	void settle()
	{
		std::deque<Question> due;
		due.swap(open_);
		for (Question& question : due)
		{
			const bool late = question.endsMs <= clock_.nowMs;
			if (!late && clock_.nowMs < question.answerMs)
			{
				open_.push_back(std::move(question));
				continue;
			}
			ProbeAnswer answer;
			answer.answered = !late;
			question.call(answer);
		}
	}

private:
	struct Question
	{
		int64_t answerMs = 0;
		int64_t endsMs = 0;
		ProbeCall call;
	};

	const VirtualClock& clock_;
	const std::vector<ModelTarget>& models_;
	std::deque<Question> open_;
};

/// One send of a stream.
struct ModelSend
{
	std::size_t at = 0; //!< Index of its target.
	uint64_t next = 0;  //!< Event that it brings next.
	int64_t dueMs = 0;  //!< When.
	Time progress;
	uint64_t eventsBefore = 0;
	bool refused = false;
};

/// A stream at one of some targets, with the real decisions of a request.
class ModelStream : public WatchedPathI, public RelayActionsI
{
public:
	ModelStream(const VirtualClock& _clock, std::vector<FleetTarget>& _targets, const std::vector<ModelTarget>& _models,
	            std::size_t _first, uint32_t _repeats)
	    : clock_(_clock),
	      targets_(_targets),
	      models_(_models),
	      repeats_(_repeats),
	      machine_(facts(), *this)
	{
		send_.at = _first;
	}

	void begin()
	{
		machine_.begin();
		machine_.onSent();
	}

	/// Takes what has come by now.
	void deliver()
	{
		if (kept_ && isDue(*kept_))
		{
			machine_.onKeptSpeaks();
		}
		while (!machine_.done() && isDue(send_))
		{
			send_.refused ? refuseOnce() : bringEvent();
		}
	}

	bool whole() const
	{
		return 1 == ends_ && 0 == failures_ && kEvents == machine_.events() && ordered_;
	}

	bool done() const
	{
		return machine_.done();
	}

	uint32_t mostRuns() const
	{
		return static_cast<uint32_t>(ranAt_.size());
	}

	std::vector<const FleetTarget*> pathTargets() const override
	{
		return machine_.done() ? std::vector<const FleetTarget*>()
		                       : std::vector<const FleetTarget*>{&targets_[send_.at]};
	}
	Time lastProgress() const override
	{
		return send_.progress;
	}
	bool begun() const override
	{
		return send_.eventsBefore < machine_.events();
	}
	void onTargetDead(const FleetTarget& _target) override
	{
		const std::string name = _target.record.instance.text;
		failed_.insert(name);
		if (machine_.onSuspected())
		{
			machine_.onSent();
			return;
		}
		failed_.erase(name);
	}

	SendOutcome::Enum send(std::optional<uint64_t> _resumeAfter) override
	{
		if (!hasOther())
		{
			return SendOutcome::NoTargets;
		}
		const bool isFirst = ranAt_.empty();
		while (0 < failed_.count(targets_[send_.at].record.instance.text))
		{
			send_.at = (send_.at + 1) % targets_.size();
		}
		send_.next = _resumeAfter ? *_resumeAfter + 1 : 0;
		send_.dueMs = clock_.nowMs + kFirstEventMs;
		send_.progress = clock_.now();
		send_.eventsBefore = machine_.events();
		send_.refused = !isFirst && models_[send_.at].full;
		if (!send_.refused)
		{
			ranAt_.push_back(send_.at);
		}
		return SendOutcome::Begun;
	}
	SendOutcome::Enum sendBeside(std::optional<uint64_t> _resumeAfter) override
	{
		const ModelSend before = send_;
		const SendOutcome::Enum outcome = send(_resumeAfter);
		if (SendOutcome::Begun == outcome)
		{
			kept_ = before;
		}
		return outcome;
	}
	void dropKept() override
	{
		kept_.reset();
	}
	void returnToKept() override
	{
		send_ = *kept_;
		kept_.reset();
	}
	bool hasOther() const override
	{
		return failed_.size() < targets_.size();
	}
	void cancelSend() override
	{
	}
	bool payRepeat() override
	{
		const bool paid = 0 < repeats_;
		repeats_ -= paid ? 1 : 0;
		return paid;
	}
	void passHead() override
	{
	}
	void passBody(std::string_view _bytes) override
	{
		ordered_ = ordered_ && textOf(passed_) == _bytes;
		++passed_;
	}
	void passEnd() override
	{
		++ends_;
	}
	void passWhole() override
	{
		++failures_;
	}
	void refuse(ErrorKind::Enum) override
	{
		++failures_;
	}
	void breakOff() override
	{
		++failures_;
	}
	bool waitForPlace() override
	{
		return false;
	}

private:
	static RelayFacts facts()
	{
		RelayFacts facts;
		facts.kind = RequestKind::Stream;
		facts.resumable = true;
		facts.maxRuns = kRunsAllowed;
		return facts;
	}

	static std::string textOf(uint64_t _event)
	{
		return "id: " + std::to_string(_event) + "\ndata: x\n\n";
	}

	bool isDue(const ModelSend& _send) const
	{
		return _send.dueMs <= clock_.nowMs && !models_[_send.at].pause.holds(clock_.nowMs);
	}

	void refuseOnce()
	{
		failed_.insert(targets_[send_.at].record.instance.text);
		const uint32_t before = machine_.sends();
		machine_.onHead(RelayHead{503, true});
		machine_.onWhole();
		if (before != machine_.sends())
		{
			machine_.onSent();
		}
	}

	void bringEvent()
	{
		if (!machine_.passing())
		{
			machine_.onHead(RelayHead{200, false});
		}
		machine_.onBody(textOf(send_.next));
		send_.progress = clock_.now();
		++send_.next;
		send_.dueMs += kEventGapMs;
		if (kEvents == send_.next)
		{
			machine_.onWhole();
		}
	}

	const VirtualClock& clock_;
	std::vector<FleetTarget>& targets_;
	const std::vector<ModelTarget>& models_;
	uint32_t repeats_; //!< That its allowance still pays.
	RelayMachine machine_;
	ModelSend send_;
	std::optional<ModelSend> kept_;
	std::set<std::string> failed_;
	std::vector<std::size_t> ranAt_; //!< Targets that took it.
	uint64_t passed_ = 0;            //!< Events that were passed on.
	bool ordered_ = true;            //!< Each once and in order.
	uint32_t ends_ = 0;
	uint32_t failures_ = 0;
};

/// A span in which the node acts only once in so many milliseconds.
struct Slowness
{
	int64_t fromMs = 0;
	int64_t forMs = 0;
	int64_t everyMs = 1;
};

} // namespace

class SuspicionCostTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(SuspicionCostTest);
	CPPUNIT_TEST(wrongSuspicionsCostNoStream);
	CPPUNIT_TEST_SUITE_END();

public:
	void wrongSuspicionsCostNoStream()
	{
		CPPUNIT_ASSERT(rc::check("streams over sound targets end whole", &SuspicionCostTest::playOnce));
	}

private:
	static void playOnce()
	{
		VirtualClock clock;
		std::vector<FleetTarget> targets = makeTargets(*rc::gen::inRange<std::size_t>(1, 5));
		const std::vector<ModelTarget> models = drawModels(targets.size());
		SoundOrders orders(clock, models);
		Metrics metrics;
		boost::asio::io_context loop; // its timer is never run: the test looks by itself
		PathWatch watch(loop, clock, orders, metrics);
		std::vector<std::shared_ptr<ModelStream>> streams;
		const auto count = *rc::gen::inRange<std::size_t>(1, 8);
		for (std::size_t stream = 0; stream < count; ++stream)
		{
			const auto repeats = *rc::gen::inRange<uint32_t>(0, 4);
			streams.push_back(std::make_shared<ModelStream>(clock, targets, models, stream % targets.size(), repeats));
			watch.add(streams.back());
			streams.back()->begin();
		}
		const std::vector<Slowness> slow = drawSlowness();
		int64_t lookMs = clock.nowMs;
		constexpr int64_t kEndMs = 12000;
		for (; clock.nowMs < kEndMs && !allDone(streams); ++clock.nowMs)
		{
			if (!acts(slow, clock.nowMs))
			{
				continue;
			}
			orders.settle();
			if (lookMs <= clock.nowMs)
			{
				watch.tick();
				lookMs = clock.nowMs + kLookMs;
			}
			for (const auto& stream : streams)
			{
				stream->deliver();
			}
		}
		for (const auto& stream : streams)
		{
			RC_ASSERT(stream->whole());
			RC_ASSERT(stream->mostRuns() <= kRunsAllowed);
		}
	}

	static std::vector<FleetTarget> makeTargets(std::size_t _count)
	{
		std::vector<FleetTarget> targets(_count);
		for (std::size_t index = 0; index < _count; ++index)
		{
			targets[index].record.instance.text = "t" + std::to_string(index);
			targets[index].record.address = targets[index].record.instance.text;
			targets[index].load = std::make_shared<TargetLoad>();
		}
		return targets;
	}

	static std::vector<ModelTarget> drawModels(std::size_t _count)
	{
		std::vector<ModelTarget> models(_count);
		for (ModelTarget& model : models)
		{
			model.pause.fromMs = *rc::gen::inRange<int64_t>(1000, 2500);
			model.pause.endMs = model.pause.fromMs + *rc::gen::inRange<int64_t>(0, 900);
			model.full = 0 == *rc::gen::inRange<int>(0, 3);
		}
		return models;
	}

	static std::vector<Slowness> drawSlowness()
	{
		std::vector<Slowness> spans(*rc::gen::inRange<std::size_t>(1, 5));
		for (Slowness& span : spans)
		{
			span.fromMs = *rc::gen::inRange<int64_t>(1000, 2500);
			span.forMs = *rc::gen::inRange<int64_t>(10, 700);
			span.everyMs = *rc::gen::inRange<int64_t>(2, 800); // the longest: it stands still
		}
		return spans;
	}

	static bool acts(const std::vector<Slowness>& _slow, int64_t _nowMs)
	{
		return std::all_of(_slow.begin(), _slow.end(),
		                   [_nowMs](const Slowness& _span)
		                   {
			                   const bool within = _span.fromMs <= _nowMs && _nowMs < _span.fromMs + _span.forMs;
			                   return !within || 0 == (_nowMs - _span.fromMs) % _span.everyMs;
		                   });
	}

	static bool allDone(const std::vector<std::shared_ptr<ModelStream>>& _streams)
	{
		return std::all_of(_streams.begin(), _streams.end(),
		                   [](const std::shared_ptr<ModelStream>& _stream)
		                   {
			                   return _stream->done();
		                   });
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspicionCostTest);

} // namespace sedgecart
