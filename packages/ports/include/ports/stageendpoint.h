// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_STAGEENDPOINT_H_HEADER_GUARD
#define SEDGECART_PORTS_STAGEENDPOINT_H_HEADER_GUARD

#include <base/runner.h>

#include <string>

namespace sedgecart
{

/// One stage of a request's path: the target's address and the layers it runs.
struct StageEndpoint
{
	std::string address; //!< "ip:port".
	LayerSpan layers;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_STAGEENDPOINT_H_HEADER_GUARD
