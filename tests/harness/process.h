// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HARNESS_PROCESS_H_HEADER_GUARD
#define SEDGECART_HARNESS_PROCESS_H_HEADER_GUARD

#include <sys/types.h>

#include <string>
#include <vector>

namespace sedgecart
{

/// A child process of a test. It is killed when this goes.
class Process
{
public:
	/// Starts a program; its output goes to a file.
	Process(const std::vector<std::string>& _command, const std::string& _output);
	~Process();

	Process(const Process&) = delete;
	Process& operator=(const Process&) = delete;

	/// Sends a signal.
	void signal(int _signal) const;

	/// Kills it at once, as a VM that dies would.
	void kill();

	/// Sends SIGTERM and waits for its end.
	/// @returns the exit code, -1 if a signal ended it.
	int stop();

	/// @returns false once it has ended; `stop` and `kill` then return at once.
	bool running() const;

	pid_t id() const
	{
		return id_;
	}

private:
	int await();

	pid_t id_;
};

} // namespace sedgecart

#endif // SEDGECART_HARNESS_PROCESS_H_HEADER_GUARD
