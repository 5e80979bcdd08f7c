// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RESUMEPACE_H_HEADER_GUARD
#define SEDGECART_CORE_RESUMEPACE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// How many streams that callers resume a node sends at once.
///
/// Answers the load after a loss of all nodes: every stream that was cut comes back in one moment, with its prompt and
/// what was written of it to be read again. They are late already; sent together, they keep targets reading for a
/// second, and each new request behind them is late as well. So a node that has just started lets in few of them at a
/// time, more with each that is read in time and fewer with each that is not, and the rest waits for a moment, in
/// order. A node that has been up for a while holds none until they are read late: streams that one lost node or hall
/// leaves behind may still go on in time.
class ResumePace
{
public:
	/// @param _startedAt when the process was up.
	explicit ResumePace(Time _startedAt) : quietSince_(_startedAt)
	{
	}

	/// @returns true if one more may be sent.
	bool admits(Time _now) const;

	/// One was sent.
	void onSent()
	{
		++unread_;
	}

	/// One that was sent has brought its first event, or has ended without.
	void onRead()
	{
		--unread_;
	}

	/// Takes how long one waited for its first event.
	/// @param _objective longest pause of a stream; 0: none given, so that nothing is late.
	void noteFirst(Duration _waited, Duration _objective, Time _now);

	/// Longest that one is held: callers stay for two seconds in a stream that brings nothing, by the users'
	/// description of them, and its prompt has to be read within that.
	static constexpr Duration kLongestHold = Duration::fromMillis(1500);

	/// After a start, and after each one that was read late, others are held only for so long: some times what it takes
	/// to read all streams of a fleet again.
	static constexpr Duration kWatchfulFor = Duration::fromMillis(5000);

private:
	Time quietSince_; //!< Since then none was read late.
	uint32_t window_ = 1;
	uint32_t unread_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RESUMEPACE_H_HEADER_GUARD
