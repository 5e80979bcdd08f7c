// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_NODEPROCESS_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_NODEPROCESS_H_HEADER_GUARD

#include <harness/process.h>

#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

/// An entry node as a process of its own. It is killed when this goes.
class NodeProcess
{
public:
	/// Writes the settings; does not start it.
	/// @param _folder of its settings and its log.
	/// @param _store address of the platform's store.
	NodeProcess(const std::string& _name, const std::string& _folder, const std::string& _store);

	/// Adds a line to its settings.
	void addSetting(const std::string& _line) const;

	/// Starts it, by a thread that outlives it: a child ends with the thread that started it.
	void start();

	/// @returns true if it says that it is ready.
	bool isReady() const;

	void signal(int _signal) const;

	/// Ends it as a VM that dies would.
	void kill();

	/// Sends SIGTERM and waits for its end.
	/// @returns the exit code, -1 if a signal ended it.
	int stop();

	/// @returns true unless it runs.
	bool hasEnded() const;

	pid_t id() const;

	const std::string& callerAddress() const
	{
		return callerAddress_;
	}

	/// @returns the addresses that it listens on.
	std::vector<std::string> addresses() const;

	/// @returns the path of its settings.
	std::string settingsPath() const;

private:
	std::string file_; //!< Path of its settings and its log, without extension.
	std::string callerAddress_;
	std::string readyAddress_;
	std::string peerAddress_;
	std::string handoverAddress_;
	std::unique_ptr<Process> process_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_NODEPROCESS_H_HEADER_GUARD
