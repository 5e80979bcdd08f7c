// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadreports.h>

#include <fleet/fleetcontroller.h>

#include <algorithm>
#include <array>

namespace sedgecart
{

namespace
{

/// Number of sent reports that are retained, to subtract them from the totals that include them.
constexpr std::size_t kMaxSentReports = 8;

/// @returns the key of the row with the used part of the link between halls; no target has this name.
TargetIncarnation linkRow()
{
	return TargetIncarnation{InstanceId{"link between halls"}, StartTime{}};
}

/// A smaller slowdown counts as none, so that it takes no row in a report.
constexpr double kMinSlowdown = 1.05;

/// How long the rate limit that a target advertised is reported, since a message may be lost.
constexpr Duration kRateReported = Duration::fromMillis(3000);

/// @returns the rate that the target advertised to this node, if it must be reported.
AdvertisedRate rateToReport(const TargetLoad& _load, Time _now)
{
	const AdvertisedRate rate = _load.ownRate.get();
	return rate.isKnown() && _now < rate.receivedAt + kRateReported ? rate : AdvertisedRate{};
}

} // namespace

/// @returns the incarnation of a target that is registered.
TargetIncarnation LoadReports::incarnationOf(const std::string& _instance) const
{
	const auto row = fleet_.runners().find(_instance);
	return fleet_.runners().end() == row ? TargetIncarnation{InstanceId{_instance}, StartTime{}}
	                                     : row->second.incarnation();
}

LoadTable LoadReports::own() const
{
	LoadTable loads;
	const Time now = clock_.now();
	for (const auto& row : fleet_.loads())
	{
		const double slowdown = row.second->polledSlowdown.load(std::memory_order_relaxed);
		const LoadAmount amount{row.second->tokenLayers.load(std::memory_order_relaxed),
		                        row.second->requests.load(std::memory_order_relaxed), row.second->ownSuspicion(now),
		                        kMinSlowdown < slowdown ? slowdown : 0, rateToReport(*row.second, now)};
		if (!isEmpty(amount))
		{
			loads[incarnationOf(row.first)] = amount;
		}
	}
	const Duration link = fleet_.link().own(now);
	if (0 < link.micros)
	{
		loads[linkRow()].tokenLayers = static_cast<uint64_t>(link.micros);
	}
	return loads;
}

void LoadReports::recordSent(uint64_t _number, const LoadTable& _own)
{
	sent_.push_back(Sent{_number, _own});
	if (kMaxSentReports < sent_.size())
	{
		sent_.pop_front();
	}
}

bool LoadReports::hasChanged(const LoadTable& _own) const
{
	const auto isSame = [](const LoadTable::value_type& _a, const LoadTable::value_type& _b)
	{
		return _a.first == _b.first && _a.second.tokenLayers == _b.second.tokenLayers &&
		       _a.second.requests == _b.second.requests && _a.second.suspicion == _b.second.suspicion;
	};
	return sent_.empty() ||
	       !std::equal(_own.begin(), _own.end(), sent_.back().loads.begin(), sent_.back().loads.end(), isSame);
}

/// @returns the loads of the report that totals include; empty if it is no longer known.
LoadTable LoadReports::countedLoads(uint64_t _number) const
{
	const auto isCounted = [_number](const Sent& _sent)
	{
		return _sent.number == _number;
	};
	const auto sent = std::find_if(sent_.begin(), sent_.end(), isCounted);
	return sent_.end() == sent ? LoadTable{} : sent->loads;
}

void LoadReports::applyTotals(const std::string& _hub, const LoadUpdate& _update, uint64_t _counted)
{
	const uint64_t known = versionOf(_hub);
	const bool isApplicable = 0 == _update.base || (_update.base <= known && known <= _update.version);
	if (!isApplicable)
	{
		return; // overtaken by a later answer
	}
	const LoadTable countedBefore = std::move(counted_);
	counted_ = countedLoads(_counted);
	hub_ = _hub;
	version_ = _update.version;
	const bool appliesAll = 0 == _update.base || fleetAppliedAt_.micros != fleet_.fleetChangedAt().micros;
	if (0 == _update.base)
	{
		totals_ = *_update.rows;
	}
	else
	{
		applyChanges(*_update.rows, totals_);
	}
	if (appliesAll)
	{
		applyAll();
		return;
	}
	const std::array<const LoadTable*, 3> changes{_update.rows.get(), &countedBefore, &counted_};
	for (const LoadTable* const changed : changes)
	{
		for (const auto& row : *changed)
		{
			applyRow(row.first.instance.text);
		}
	}
	applyLink();
}

void LoadReports::setTotals(const LoadTable& _totals, const LoadTable& _own)
{
	totals_ = _totals;
	counted_ = _own;
	hub_.clear();
	version_ = 0;
	applyAll();
}

void LoadReports::applyAll()
{
	fleetAppliedAt_ = fleet_.fleetChangedAt();
	for (const auto& row : fleet_.loads())
	{
		applyRow(row.first);
	}
	applyLink();
}

/// Sets the work in progress of the other nodes at a target.
void LoadReports::applyRow(const std::string& _instance)
{
	const auto row = fleet_.loads().find(_instance);
	if (fleet_.loads().end() == row)
	{
		return;
	}
	TargetLoad& load = *row->second;
	const TargetIncarnation incarnation = incarnationOf(_instance);
	const LoadAmount counted = loadAt(counted_, incarnation);
	LoadAmount others = loadAt(totals_, incarnation);
	subtractLoad(others, counted);
	load.reportedTokenLayers.store(counted.tokenLayers, std::memory_order_relaxed);
	load.reportedRequests.store(counted.requests, std::memory_order_relaxed);
	load.remoteTokenLayers.store(others.tokenLayers, std::memory_order_relaxed);
	load.remoteRequests.store(others.requests, std::memory_order_relaxed);
	load.remoteSuspicion.store(others.suspicion, std::memory_order_relaxed);
	load.reportedSlowdown.store(std::max(1.0, others.slowdown), std::memory_order_relaxed);
	if (load.reportedRate.get().receivedAt < others.rate.receivedAt)
	{
		load.reportedRate.set(others.rate);
	}
}

void LoadReports::applyLink()
{
	LoadAmount link = loadAt(totals_, linkRow());
	subtractLoad(link, loadAt(counted_, linkRow()));
	fleet_.link().setOthers(Duration{static_cast<int64_t>(link.tokenLayers)});
}

} // namespace sedgecart
