// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "configimagewriter_p.h"

#include "control_p.h"
#include "imagemapping_p.h"

#include <base/clock.h>
#include <base/config.h>
#include <logging/logging.h>
#include <store/httplog.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

constexpr const char* kStream = "config-images";
constexpr std::chrono::milliseconds kCheckInterval{200};
constexpr std::size_t kObjectsPerRecord = 8; // larger configurations are written less often

} // namespace

ConfigImageWriter::ConfigImageWriter(const Endpoint& _log, Control& _control, const ClockI& _clock, uint64_t _seed)
    : log_(_log),
      control_(_control),
      clock_(_clock),
      random_(_seed)
{
	thread_ = std::thread(
	    [this]
	    {
		    run();
	    });
}

ConfigImageWriter::~ConfigImageWriter()
{
	stopping_ = true;
	thread_.join();
}

void ConfigImageWriter::run()
{
	HttpLog log(log_);
	while (!stopping_)
	{
		step(log);
		std::this_thread::sleep_for(kCheckInterval);
	}
}

void ConfigImageWriter::step(LogI& _log)
{
	if (control_.hasGap())
	{
		loadLatest(_log);
		return;
	}
	if (isDue())
	{
		// Reads the stream only before a write: another node may have written an image in the meantime.
		loadLatest(_log);
		if (isDue())
		{
			append(_log);
		}
	}
}

/// Reads the latest image and applies it if it is ahead of this node's configuration.
void ConfigImageWriter::loadLatest(LogI& _log)
{
	LogPage page;
	if (!_log.read(kStream, streamNext_, 0, Duration{}, page) || page.next.value == page.first.value)
	{
		return;
	}
	const Offset latest{page.next.value - 1};
	wire::ConfigImage read;
	ConfigImage image;
	const bool found = _log.read(kStream, latest, 1, Duration{}, page) && 1 == page.records.size();
	if (!found || !read.ParseFromString(page.records.front().bytes) || !fromWire(read, image))
	{
		return;
	}
	streamNext_ = page.next;
	if (imageNext_ < image.next)
	{
		imageNext_ = image.next;
		imageKnownSince_ = clock_.now();
	}
	control_.onImage(page.identity, image);
}

/// @returns true if an image is due and this node is drawn to write it, with a probability of one over the live nodes.
bool ConfigImageWriter::isDue()
{
	const auto objectsAndNodes = control_.withBoard(
	    [](const Blackboard& _board)
	    {
		    return std::make_pair(_board.config.size(), _board.members.live);
	    });
	const Offset next = control_.configNext();
	const std::size_t records =
	    std::max<std::size_t>(SEDGECART_CONFIG_IMAGE_RECORDS, objectsAndNodes.first / kObjectsPerRecord);
	const bool tooManyRecords = imageNext_.value + records <= next.value;
	const Duration maxAge = Duration::fromMillis(SEDGECART_CONFIG_IMAGE_MS);
	const bool tooOld = 0 < next.value && maxAge < clock_.now() - imageKnownSince_;
	return (tooManyRecords || tooOld) && 0 == random_.below(objectsAndNodes.second);
}

void ConfigImageWriter::append(LogI& _log)
{
	const ConfigImage image = control_.image();
	const AppendOutcome outcome = _log.append(kStream, toWire(image, control_.logIdentity()).SerializeAsString());
	if (AppendState::Appended == outcome.state)
	{
		imageNext_ = image.next;
		imageKnownSince_ = clock_.now();
		logLine(LogPart::Config, LogLevel::Info,
		        "Wrote an image of the configuration up to record " + std::to_string(image.next.value) + ".");
	}
}

} // namespace sedgecart
