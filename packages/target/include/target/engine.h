// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_ENGINE_H_HEADER_GUARD
#define SEDGECART_TARGET_ENGINE_H_HEADER_GUARD

#include <base/chain.h>
#include <base/streamevent.h>
#include <base/units.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

/// What a head is asked for.
struct StreamOrder
{
	std::string attempt;
	std::string request;
	std::string model;
	std::string prompt;
	uint32_t maxTokens = 0;
	Position start;        //!< First position wanted; above 0 when a broken stream goes on.
	uint32_t priority = 0; //!< 0 is the most urgent.
	Chain chain;
};

/// What came of opening a stream.
struct OpenState
{
	enum Enum
	{
		Opened,
		Refused,     //!< A stage said no before anything ran.
		Unreachable, //!< The head was never reached, so nothing ran.
		Lost,        //!< It was sent, no answer came.

		Count
	};
};

/// What came of opening a stream, with who said no.
struct OpenOutcome
{
	OpenState::Enum state = OpenState::Lost;
	std::string target; //!< Refused: the stage that refused; else the head.
	bool busy = false;  //!< Refused for want of a slot.
	std::string detail;
};

/// What waiting for an event gave.
struct EventState
{
	enum Enum
	{
		Event,
		Silent, //!< Nothing came in time.
		Ended,  //!< The connection ended.

		Count
	};
};

/// One stream from the head of a chain of model runners. Belongs to one thread. Its end closes the connection, which
/// cancels the stream at the head.
class EngineStreamI
{
public:
	virtual ~EngineStreamI() = default;

	/// Opens or resumes the stream.
	virtual OpenOutcome open(const StreamOrder& _order) = 0;

	/// Waits for the next event.
	virtual EventState::Enum next(Duration _timeout, StreamEvent& _event) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_ENGINE_H_HEADER_GUARD
