// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_STARTATTEMPTS_P_H_HEADER_GUARD
#define SEDGECART_NODE_STARTATTEMPTS_P_H_HEADER_GUARD

#include <base/bootclock.h>

#include <csignal>
#include <exception>
#include <string>

namespace sedgecart
{

/// Attempts to start a node, for 30 s: the process before it, or a connection, may still hold an address, an address of
/// the machine may not be there yet, and settings may be written right now.
class StartAttempts
{
public:
	/// @param _signals blocked in all threads; SIGTERM and SIGINT among them end the wait.
	explicit StartAttempts(const sigset_t& _signals);

	/// @returns true if a signal asks the process to stop.
	static bool isStop(int _signal);

	/// Waits for the next attempt.
	/// @param _cause of the failure of the last one; written when it changes.
	/// @returns false if there is none: the time is over, or the process is to stop.
	bool await(const std::string& _cause);

	bool isStopped() const
	{
		return isStopped_;
	}

	/// @param _make makes the node; throws std::exception if it cannot start.
	/// @returns null if the process is to stop before the node could start.
	/// @remarks Throws the last exception when the time to start is over.
	template <typename Make> auto start(const Make& _make) -> decltype(_make())
	{
		while (true)
		{
			try
			{
				return _make();
			}
			catch (const std::exception& error)
			{
				if (await(error.what()))
				{
					continue;
				}
				if (!isStopped_)
				{
					throw;
				}
				return nullptr;
			}
		}
	}

private:
	const sigset_t& signals_;
	BootClock::time_point end_;
	std::string cause_;
	bool isStopped_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_STARTATTEMPTS_P_H_HEADER_GUARD
