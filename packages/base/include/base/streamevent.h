// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_STREAMEVENT_H_HEADER_GUARD
#define SEDGECART_BASE_STREAMEVENT_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// A range of layers that a target reports to have run for a token.
struct LayerReceipt
{
	std::string target;
	LayerRange layers;
	std::string attempt; //!< Attempt for which they ran.
	Position position;   //!< Of the token.
};

/// One event of a stream, received from the head of a chain.
struct StreamEvent
{
	std::string attempt;
	Position position;
	std::string text;
	std::vector<LayerReceipt> receipts;
	bool end = false;
	uint32_t count = 0;       //!< At the end of the stream: tokens of the whole answer.
	std::string failedTarget; //!< Without a token: the stage that broke the stream.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_STREAMEVENT_H_HEADER_GUARD
