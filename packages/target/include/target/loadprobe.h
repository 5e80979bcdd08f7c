// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_LOADPROBE_H_HEADER_GUARD
#define SEDGECART_TARGET_LOADPROBE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <memory>
#include <string>

namespace sedgecart
{

class HttpClient;

/// What a target says of its load.
struct LoadReading
{
	uint32_t active = 0;     //!< Streams or calls of all nodes.
	uint32_t stepMicros = 0; //!< Mean time of a step, microseconds.
	uint32_t paceMilli = 0;  //!< How many times as slow as it should be, thousandths, 0: not told.
	bool leaving = false;
	std::string model; //!< That it holds; empty: not told.
	LayerRange layers;
};

/// Asks one target for its load, over one kept connection. Belongs to one thread.
class LoadProbe
{
public:
	/// @param _address "ip:port".
	explicit LoadProbe(const std::string& _address);
	~LoadProbe();

	/// @returns false if the target did not answer in time.
	bool read(Duration _timeout, LoadReading& _reading);

private:
	std::unique_ptr<HttpClient> client_;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_LOADPROBE_H_HEADER_GUARD
