// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_CANCELLATION_H_HEADER_GUARD
#define SEDGECART_HTTP_CANCELLATION_H_HEADER_GUARD

#include <atomic>

namespace sedgecart
{

/// Ends the waits of all clients that were given it, at once and for good. Thread-safe.
class Cancellation
{
public:
	/// @remarks Throws std::system_error when the process has no descriptor left.
	Cancellation();
	~Cancellation();

	Cancellation(const Cancellation&) = delete;
	Cancellation& operator=(const Cancellation&) = delete;

	void cancel();

	bool isCancelled() const
	{
		return cancelled_;
	}

	/// @returns a descriptor that is readable once cancelled.
	int descriptor() const
	{
		return event_;
	}

private:
	int event_;
	std::atomic<bool> cancelled_{false};
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_CANCELLATION_H_HEADER_GUARD
