// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CONFIGIMAGEWRITER_P_H_HEADER_GUARD
#define SEDGECART_NODE_CONFIGIMAGEWRITER_P_H_HEADER_GUARD

#include <base/seededrandom.h>
#include <base/units.h>
#include <http/endpoint.h>

#include <atomic>
#include <cstdint>
#include <thread>

namespace sedgecart
{

class ClockI;
class Control;
class LogI;

/// Appends images of the configuration to a stream of the log, from time to time, so that a new node can restore the
/// configuration when its first records are past retention. Any node may append one; duplicates are harmless.
class ConfigImageWriter
{
public:
	ConfigImageWriter(const Endpoint& _log, Control& _control, const ClockI& _clock, uint64_t _seed);
	~ConfigImageWriter();

	ConfigImageWriter(const ConfigImageWriter&) = delete;
	ConfigImageWriter& operator=(const ConfigImageWriter&) = delete;

private:
	void run();
	void step(LogI& _log);
	void loadLatest(LogI& _log);
	bool isDue();
	void append(LogI& _log);

	Endpoint log_;
	Control& control_;
	const ClockI& clock_;
	SeededRandom random_;
	Offset streamNext_;    //!< Next offset of the image stream, as last read.
	Offset imageNext_;     //!< Config offset of the latest known image.
	Time imageKnownSince_; //!< Time at which this node read or wrote that image.
	std::atomic<bool> stopping_{false};
	std::thread thread_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_CONFIGIMAGEWRITER_P_H_HEADER_GUARD
