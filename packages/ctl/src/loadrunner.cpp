// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/loadrunner.h>

#include <ctl/loadplan.h>
#include <ctl/loadreport.h>
#include <http/httpclient.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace bh = boost::histogram;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr unsigned kBins = 400;
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 120;
constexpr int64_t kBeyondDeadlineMillis = 10000;

double secondsBetween(Clock::time_point _from, Clock::time_point _to)
{
	return std::chrono::duration<double>(_to - _from).count();
}

/// Times in a histogram of logarithmic bins (under 4% wide).
class TimeHistogram
{
public:
	void add(double _seconds)
	{
		histogram_(_seconds);
		most_ = std::max(most_, _seconds);
		++count_;
	}

	LoadTimes times() const
	{
		return LoadTimes{percentile(0.50), percentile(0.95), percentile(0.99), most_};
	}

private:
	double percentile(double _share) const
	{
		const double wanted = _share * static_cast<double>(count_);
		double below = 0;
		for (int bin = -1; bin <= static_cast<int>(kBins); ++bin)
		{
			below += static_cast<double>(histogram_.at(bin));
			if (wanted <= below && 0 < below)
			{
				return std::min(most_, histogram_.axis(0).value(bin + 1));
			}
		}
		return most_;
	}

	using Axis = bh::axis::regular<double, bh::axis::transform::log>;
	decltype(bh::make_histogram(Axis(1, 1, 2))) histogram_ =
	    bh::make_histogram(Axis(kBins, kLeastSeconds, kMostSeconds));
	double most_ = 0;
	uint64_t count_ = 0;
};

/// Time in which delivered tokens count.
struct Window
{
	Clock::time_point from;
	Clock::time_point to;
};

/// What became of one request.
struct Outcome
{
	bool whole = false;
	uint32_t inTime = 0; //!< Tokens delivered within the window.
	double firstToken = 0;
	std::vector<double> gaps;
	wire::ErrorBody error;
};

/// Collects outcomes from many threads.
class Collector
{
public:
	explicit Collector(const LoadPlan& _plan) : plan_(_plan)
	{
	}

	void add(const LoadArrival& _arrival, const Outcome& _outcome)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		CustomerReport& customer = report_.customers[plan_.customers[_arrival.customer].name];
		++report_.sent;
		++customer.sent;
		tokens_ += _outcome.inTime;
		if (0 < _outcome.firstToken)
		{
			firstToken_.add(_outcome.firstToken);
		}
		for (const double gap : _outcome.gaps)
		{
			gap_.add(gap);
		}
		if (_outcome.whole)
		{
			++report_.whole;
			++customer.whole;
			return;
		}
		++report_.errors[_outcome.error.kind().empty() ? "no_answer" : _outcome.error.kind()];
		const bool refused = "no" == _outcome.error.ran();
		(refused ? report_.refused : report_.broken) += 1;
		(refused ? customer.refused : customer.broken) += 1;
		report_.refusedUntold += refused && 0 == _outcome.error.retry_after_ms() ? 1 : 0;
	}

	LoadReport finish()
	{
		report_.seconds = plan_.seconds;
		report_.tokensPerSecond = static_cast<double>(tokens_) / (plan_.seconds - plan_.settleSeconds);
		report_.firstToken = firstToken_.times();
		report_.tokenGap = gap_.times();
		return report_;
	}

private:
	const LoadPlan& plan_;
	std::mutex mutex_;
	LoadReport report_;
	TimeHistogram firstToken_;
	TimeHistogram gap_;
	uint64_t tokens_ = 0;
};

HttpCall callFor(const LoadPlan& _plan, const LoadArrival& _arrival)
{
	wire::CompletionRequest request;
	request.set_model(_plan.route);
	request.set_prompt(_arrival.prompt);
	request.set_max_tokens(_arrival.tokens);
	request.set_stream(true);
	HttpCall call;
	call.method = "POST";
	call.target = "/v1/completions";
	call.body = toJson(request);
	call.headers.push_back({"Authorization", "Bearer " + _plan.customers[_arrival.customer].key});
	call.headers.push_back({"Sedgecart-Deadline-Ms", std::to_string(_plan.deadlineMs)});
	return call;
}

void readStream(HttpClient& _client, Duration _bound, Clock::time_point _begun, const Window& _window,
                Outcome& _outcome)
{
	std::string data;
	Clock::time_point last = _begun;
	while (StreamRead::Data == _client.next(_bound, data))
	{
		const Clock::time_point now = Clock::now();
		wire::CompletionReply reply;
		wire::ErrorReply error;
		if ("[DONE]" == data)
		{
			_outcome.whole = true;
		}
		else if (fromJson(data, error) && error.has_error())
		{
			_outcome.error = error.error();
		}
		else if (fromJson(data, reply) && 0 < reply.choices_size() && !reply.choices(0).text().empty())
		{
			const bool first = 0 == _outcome.firstToken;
			const double gap = secondsBetween(last, now);
			if (first)
			{
				_outcome.firstToken = gap;
			}
			else
			{
				_outcome.gaps.push_back(gap);
			}
			last = now;
			_outcome.inTime += _window.from <= now && now < _window.to ? 1 : 0;
		}
	}
}

Outcome send(const LoadPlan& _plan, const LoadArrival& _arrival, const Endpoint& _node, const Window& _window)
{
	const Duration bound = Duration::fromMillis(_plan.deadlineMs + kBeyondDeadlineMillis);
	const Clock::time_point begun = Clock::now();
	HttpClient client(_node);
	const HttpOutcome reply = client.openStream(callFor(_plan, _arrival), bound);
	Outcome outcome;
	if (CallState::Replied != reply.state)
	{
		return outcome;
	}
	if (client.streaming())
	{
		readStream(client, bound, begun, _window, outcome);
		return outcome;
	}
	wire::ErrorReply error;
	if (fromJson(reply.reply.body, error))
	{
		outcome.error = error.error();
	}
	return outcome;
}

} // namespace

LoadReport runLoad(const LoadPlan& _plan)
{
	const std::vector<LoadArrival> arrivals = makeArrivals(_plan);
	Collector collector(_plan);
	std::vector<std::thread> threads;
	threads.reserve(arrivals.size());
	const Clock::time_point start = Clock::now();
	const auto after = [start](double _seconds)
	{
		return start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(_seconds));
	};
	const Window window{after(_plan.settleSeconds), after(_plan.seconds)};
	for (std::size_t index = 0; index < arrivals.size(); ++index)
	{
		const LoadArrival& arrival = arrivals[index];
		const Endpoint& node = _plan.nodes[index % _plan.nodes.size()];
		std::this_thread::sleep_until(after(arrival.atSeconds));
		threads.emplace_back(
		    [&_plan, &collector, &arrival, &node, &window]
		    {
			    collector.add(arrival, send(_plan, arrival, node, window));
		    });
	}
	for (std::thread& thread : threads)
	{
		thread.join();
	}
	return collector.finish();
}

} // namespace sedgecart
