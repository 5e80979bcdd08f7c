// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "loadpoller_p.h"

#include "control_p.h"
#include "snapshotcell_p.h"

#include <base/bootclock.h>
#include <base/clock.h>
#include <base/config.h>
#include <core/snapshot.h>
#include <target/loadprobe.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace sedgecart
{

namespace
{

constexpr uint32_t kShares = 4;
constexpr int64_t kProbeTimeoutMillis = 200;

/// A polled target with its own connection.
struct Polled
{
	TargetHandle handle;
	std::string address;
	std::string model; //!< Model that it is configured to hold; empty: a spare, which may hold any.
	LayerRange layers;
	uint64_t fence = 0; //!< Fence of the order to hold these layers.
	std::unique_ptr<LoadProbe> probe;
	bool failed = false; //!< The last poll failed.
};

/// Updates the polled targets of one share from the snapshot; keeps the connection where the address is unchanged.
void updatePolled(const Snapshot& _snapshot, uint32_t _share, std::map<std::string, Polled>& _polled)
{
	std::map<std::string, Polled> next;
	for (const TargetView& target : _snapshot.targets)
	{
		if (_share != target.handle.index % kShares)
		{
			continue;
		}
		Polled& entry = next[target.spec.name];
		entry.handle = target.handle;
		entry.address = target.spec.address;
		entry.model = target.spec.spare ? std::string() : target.spec.model;
		entry.layers = target.spec.layers;
		entry.fence = target.spec.fence;
		const auto known = _polled.find(target.spec.name);
		if (_polled.end() != known && known->second.address == entry.address)
		{
			entry.probe = std::move(known->second.probe);
			entry.failed = known->second.failed;
		}
	}
	_polled.swap(next);
}

void poll(Polled& _polled, TargetBoard& _board, const ClockI& _clock)
{
	if (nullptr == _polled.probe)
	{
		_polled.probe = std::make_unique<LoadProbe>(_polled.address);
	}
	LoadReading reading;
	if (_polled.probe->read(Duration::fromMillis(kProbeTimeoutMillis), reading))
	{
		_polled.failed = false;
		const bool comparable = !reading.model.empty() && !_polled.model.empty();
		const bool holding = !comparable || (reading.model == _polled.model && reading.layers == _polled.layers);
		const TargetReport report{reading.active, reading.stepMicros, reading.paceMilli, reading.leaving,
		                          holding,        _polled.fence};
		_board.onReport(_polled.handle, report, _clock.now());
		return;
	}
	if (_polled.failed)
	{
		_board.onFailure(_polled.handle, _clock.now());
	}
	_polled.failed = true;
}

} // namespace

LoadPoller::LoadPoller(Control& _control, const SnapshotCell& _snapshots, const ClockI& _clock)
    : control_(_control),
      snapshots_(_snapshots),
      clock_(_clock)
{
	for (uint32_t share = 0; share < kShares; ++share)
	{
		threads_.emplace_back(
		    [this, share]
		    {
			    run(share);
		    });
	}
}

LoadPoller::~LoadPoller()
{
	stopping_ = true;
	for (std::thread& thread : threads_)
	{
		thread.join();
	}
}

void LoadPoller::run(uint32_t _share)
{
	std::map<std::string, Polled> polled;
	uint64_t appliedVersion = UINT64_MAX;
	while (!stopping_)
	{
		const auto startedAt = BootClock::now();
		std::size_t configured = 0;
		{
			const SnapshotCell::Reader snapshot(snapshots_);
			configured = snapshot->targets.size();
			if (appliedVersion != snapshot->version)
			{
				updatePolled(*snapshot, _share, polled);
				appliedVersion = snapshot->version;
			}
		}
		for (auto& entry : polled)
		{
			if (!stopping_)
			{
				poll(entry.second, control_.targets(), clock_);
			}
		}
		if (0 < configured)
		{
			polledShares_ |= 1U << _share;
		}
		std::this_thread::sleep_until(startedAt + std::chrono::milliseconds(SEDGECART_CONFIG_LOAD_POLL_MS));
	}
}

} // namespace sedgecart
