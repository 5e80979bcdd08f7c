// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <metrics/metrics.h>

#include <boost/histogram.hpp>

#include <sstream>
#include <vector>

namespace sedgecart
{

namespace bh = boost::histogram;

namespace
{

constexpr const char* kCounterNames[] = {
    "requests",
    "tokens",
    "resumes",
    "retries",
    "foreign_events",
    "repeated_events",
    "broken_attempts",
    "claim_appends",
    "claims",
    "callers_gone",
    "turned_away",
    "placements",
    "moves",
    "sends",
    "answers",
    "broken_streams",
    "path_changes",
    "dead_targets",
    "surplus_answers",
    "layer_losses",
    "orders_sent",
    "orders_known",
    "orders_begun",
    "orders_held",
    "orders_refused",
    "orders_unanswered",
    "orders_shown",
    "orders_given_up",
    "stream_waits",
    "stream_places",
    "resumes_held",
    "target_crashes",
    "requests_blocked",
    "rate_limits",
    "unreadable_notices",
    "backoffs_asked",
    "admission_waits",
    "admission_admitted",
    "admission_displaced",
    "admission_expired",
    "lease_refusals",
    "lease_floor_admissions",
    "lease_expiries",
    "returns_promised",
    "cut_offs",
    "handovers",
    "handovers_declined",
    "handovers_taken",
    "retries_denied",
    "closed_unread",
    "evicted_callers",
};
static_assert(Counter::Count == sizeof(kCounterNames) / sizeof(kCounterNames[0]), "each counter needs its name");

constexpr const char* kUrgencyNames[] = {"urgency_answers", "urgency_late", "urgency_refused"};
static_assert(UrgencyCounter::Count == sizeof(kUrgencyNames) / sizeof(kUrgencyNames[0]), "each counter needs its name");

constexpr const char* kTimingNames[] = {"first_token", "token_gap",   "request",    "claim",      "recovery",
                                        "pause",       "order_shown", "layer_loss", "retry_after"};
static_assert(Timing::Count == sizeof(kTimingNames) / sizeof(kTimingNames[0]), "each timing needs its name");

constexpr unsigned kBins = 60;
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 100;
constexpr double kMicrosPerSecond = 1e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
using SecondsHistogram = decltype(bh::make_histogram_with(Storage(), Axis(kBins, kLeastSeconds, kMostSeconds)));

} // namespace

class Metrics::Histograms
{
public:
	Histograms()
	{
		for (int index = 0; index < Timing::Count; ++index)
		{
			list.push_back(bh::make_histogram_with(Storage(), Axis(kBins, kLeastSeconds, kMostSeconds)));
		}
	}

	std::vector<SecondsHistogram> list;
};

Metrics::Metrics() : histograms_(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::observe(Timing::Enum _timing, Duration _took)
{
	histograms_->list[_timing](static_cast<double>(_took.micros) / kMicrosPerSecond);
}

std::string Metrics::text() const
{
	std::ostringstream out;
	for (int index = 0; index < Counter::Count; ++index)
	{
		out << "sedgecart_" << kCounterNames[index] << "_total " << counters_[index].load() << '\n';
	}
	for (int index = 0; index < ErrorKind::Count; ++index)
	{
		const ErrorResponse& answer = responseOf(static_cast<ErrorKind::Enum>(index));
		out << "sedgecart_errors_total{kind=\"" << answer.name << "\"} " << errors_[index].load() << '\n';
	}
	writePassedOver(out);
	writeUrgencies(out);
	for (int index = 0; index < Timing::Count; ++index)
	{
		const SecondsHistogram& histogram = histograms_->list[index];
		uint64_t below = 0;
		for (int bin = -1; bin < static_cast<int>(kBins); ++bin)
		{
			below += static_cast<uint64_t>(histogram.at(bin));
			out << "sedgecart_" << kTimingNames[index] << "_seconds_bucket{le=\"" << histogram.axis(0).value(bin + 1)
			    << "\"} " << below << '\n';
		}
		below += static_cast<uint64_t>(histogram.at(static_cast<int>(kBins)));
		out << "sedgecart_" << kTimingNames[index] << "_seconds_bucket{le=\"+Inf\"} " << below << '\n';
	}
	return out.str();
}

void Metrics::writePassedOver(std::ostream& _out) const
{
	for (int kind = 0; kind < RecordKind::Count; ++kind)
	{
		for (int fault = RecordFault::None + 1; fault < RecordFault::Count; ++fault)
		{
			_out << "sedgecart_records_passed_over_total{record=\"" << nameOf(static_cast<RecordKind::Enum>(kind))
			     << "\",reason=\"" << nameOf(static_cast<RecordFault::Enum>(fault)) << "\"} "
			     << passedOver_[kind][fault].load() << '\n';
		}
	}
}

void Metrics::writeUrgencies(std::ostream& _out) const
{
	for (int counter = 0; counter < UrgencyCounter::Count; ++counter)
	{
		for (uint32_t urgency = 0; urgency < kCountedUrgencies; ++urgency)
		{
			const uint64_t value = urgencies_[counter][urgency].load();
			if (0 < value)
			{
				_out << "sedgecart_" << kUrgencyNames[counter] << "_total{urgency=\"" << urgency << "\"} " << value
				     << '\n';
			}
		}
	}
}

const char* nameOf(Counter::Enum _counter)
{
	return kCounterNames[_counter];
}

const char* nameOf(UrgencyCounter::Enum _counter)
{
	return kUrgencyNames[_counter];
}

const char* nameOf(Timing::Enum _timing)
{
	return kTimingNames[_timing];
}

} // namespace sedgecart
