// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "startattempts_p.h"

#include <entry/entrynode.h>
#include <logging/logging.h>
#include <node/node.h>
#include <node/settings.h>
#include <platform/platform.h>
#include <ports/documentparser.h>
#include <ports/entryports.h>
#include <ports/keyedlog.h>
#include <ports/runnerorders.h>
#include <ports/wireformat.h>
#include <settings/entrysettings.h>
#include <settings/settingsfile.h>

#include <csignal>
#include <cstring>
#include <iostream>
#include <memory>
#include <string>

#include <malloc.h>

using namespace sedgecart;

namespace
{

constexpr int kBadSettings = 2;

/// Blocks the signals in all threads, so that only the main thread receives them, by waiting for them.
sigset_t blockSignals()
{
	std::signal(SIGPIPE, SIG_IGN);
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGUSR1);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, nullptr);
	return signals;
}

/// Interval between checks whether the settings file has changed: it may change without a signal, and the bounds that
/// it sets are in seconds.
constexpr timespec kSettingsCheckInterval{2, 0};

/// Dumps the state on SIGUSR1, returns on SIGTERM and SIGINT.
template <typename AnyNode> void waitForStop(const sigset_t& _signals, const AnyNode& _node)
{
	int signal = 0;
	while (0 == sigwait(&_signals, &signal) && (SIGUSR1 == signal || SIGHUP == signal))
	{
		std::cout << _node.dump() << std::endl;
	}
}

int run(const Settings& _settings)
{
	const sigset_t signals = blockSignals();
	startLogging(_settings.logLevel, _settings.logJson, _settings.name, std::clog);
	StartAttempts attempts(signals);
	const std::unique_ptr<Node> node = attempts.start(
	    [&_settings]
	    {
		    return std::make_unique<Node>(_settings);
	    });
	if (node)
	{
		waitForStop(signals, *node);
		node->stop();
	}
	flushLogging();
	return 0;
}

/// Ports to the users' platform.
class PlatformPorts : public EntryPortsI
{
public:
	std::unique_ptr<WireFormatI> makeWireFormat() override
	{
		return makePlatformWireFormat();
	}
	std::unique_ptr<DocumentParserI> makeDocumentParser() override
	{
		return makePlatformDocuments();
	}
	std::unique_ptr<KeyedLogI> makeLog(boost::asio::io_context& _loop, const std::string& _address) override
	{
		return makePlatformLog(_loop, _address);
	}
	std::unique_ptr<RunnerOrdersI> makeOrders(boost::asio::io_context& _loop) override
	{
		return makePlatformOrders(_loop);
	}
};

/// Reloads the settings file; if it is invalid, the previous settings remain in effect.
void reload(SettingsFile& _file, EntryNode& _node)
{
	EntrySettings settings;
	std::string message;
	if (_file.read(settings, message))
	{
		_node.reload(settings);
		return;
	}
	logEvent(LogPart::Node, LogLevel::Error, "Settings cannot be used, the last ones stay.", {{"cause", message}});
}

/// Dumps the state on SIGUSR1, reloads the settings on SIGHUP and when their file has changed, returns on SIGTERM and
/// SIGINT.
void serveUntilStop(const sigset_t& _signals, SettingsFile& _file, EntryNode& _node)
{
	while (true)
	{
		const int signal = sigtimedwait(&_signals, nullptr, &kSettingsCheckInterval);
		if (StartAttempts::isStop(signal))
		{
			return;
		}
		if (SIGUSR1 == signal)
		{
			std::cout << _node.dump() << std::endl;
		}
		if (SIGHUP == signal || _file.changed())
		{
			reload(_file, _node);
		}
	}
}

/// Buffers of this size, bytes, and larger go back to the system as soon as they are freed. Otherwise the allocator
/// keeps them for itself, and the space between bodies that grow beside each other is lost to bodies that are larger.
constexpr int kReturnedBufferBytes = 32 * 1024;

/// Runs a node on the users' platform, with settings from a file.
/// @returns the exit code of the process.
int runEntry(const std::string& _path)
{
	mallopt(M_MMAP_THRESHOLD, kReturnedBufferBytes);
	const sigset_t signals = blockSignals();
	StartAttempts attempts(signals);
	SettingsFile file(_path);
	EntrySettings settings;
	std::string message;
	while (!file.read(settings, message))
	{
		if (!attempts.await(message))
		{
			return attempts.isStopped() ? 0 : kBadSettings;
		}
	}
	startLogging(LogLevel::Info, true, settings.name, std::cout);
	PlatformPorts ports;
	{
		const std::unique_ptr<EntryNode> node = attempts.start(
		    [&settings, &ports]
		    {
			    return std::make_unique<EntryNode>(settings, ports);
		    });
		if (node)
		{
			serveUntilStop(signals, file, *node);
			node->stop();
		}
	}
	flushLogging(); // last: the node logs what it leaves unfinished
	return 0;
}

/// Validates a settings file and prints the error, or that the file can be used.
/// @returns the exit code of the process.
int checkEntry(const std::string& _path)
{
	EntrySettings settings;
	std::string message;
	if (!SettingsFile(_path).read(settings, message))
	{
		std::cerr << message << '\n';
		return kBadSettings;
	}
	std::cout << "Settings of node " << settings.name << " can be used.\n";
	return 0;
}

/// @returns FILE if the arguments are "entry OPTION FILE", else null.
const char* entryFile(int _argc, const char* const* _argv, const char* _option)
{
	const bool asked = 4 == _argc && 0 == std::strcmp("entry", _argv[1]) && 0 == std::strcmp(_option, _argv[2]);
	return asked ? _argv[3] : nullptr;
}

} // namespace

int main(int _argc, char** _argv)
{
	if (const char* const path = entryFile(_argc, _argv, "--check-settings"))
	{
		return checkEntry(path);
	}
	if (const char* const path = entryFile(_argc, _argv, "--settings"))
	{
		try
		{
			return runEntry(path);
		}
		catch (const std::exception& error)
		{
			std::cerr << "sedgecartd: cannot start: " << error.what() << '\n';
			return 1;
		}
	}
	Settings settings;
	std::string message;
	const SettingsOutcome::Enum outcome = readSettings(_argc, _argv, settings, message);
	if (SettingsOutcome::Exit == outcome)
	{
		std::cout << message << '\n';
		return 0;
	}
	if (SettingsOutcome::Invalid == outcome)
	{
		std::cerr << message << '\n';
		return kBadSettings;
	}
	try
	{
		return run(settings);
	}
	catch (const std::exception& error)
	{
		std::cerr << "sedgecartd: cannot start: " << error.what() << '\n';
		return 1;
	}
}
