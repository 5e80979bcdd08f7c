// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <node/settings.h>

#include <peer/peerlink.h>

#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>

#include <cctype>
#include <cstdio>
#include <sstream>

namespace sedgecart
{

namespace
{

namespace po = boost::program_options;

constexpr const char* kEnvPrefix = "SEDGECART_";
constexpr std::size_t kMinOperatorKeyLength = 12;
constexpr uint32_t kMaxThreads = 8192;
constexpr uint32_t kMaxMillis = 3600000;

/// A command line flag. The name of its environment variable is derived from the flag's name.
struct Flag
{
	const char* name;
	const char* fallback; //!< Default; null: the flag is required.
	const char* allowed;
	const char* meaning;
};

// clang-format off
constexpr Flag kFlags[] = {
	{"name",             nullptr,           "a name",                        "Name of this node, unique among a user's nodes."},
	{"hall",             nullptr,           "a name",                        "Data hall that this node stands in."},
	{"listen",           nullptr,           "ip:port",                       "Address for callers and operators."},
	{"peer-listen",      nullptr,           "ip:port",                       "Address for other nodes."},
	{"peers",            "",                "ip:port,ip:port,...",           "Other nodes, beside those in the VM list."},
	{"log",              nullptr,           "ip:port",                       "The platform's log service."},
	{"vms",              nullptr,           "ip:port",                       "The platform's VM list."},
	{"operator-key",     nullptr,           "12 characters or more",         "Credential that operators' commands must bring."},
	{"peer-key",         "",                "40 characters, sedgecart keygen", "Secret key of the nodes' own traffic; empty: not encrypted."},
	{"planner",          "earliest-finish", "earliest-finish, random, round-robin or least-in-flight", "How chains are chosen; all but the first are for comparison."},
	{"placement",        "spares",          "off, spares or all",            "Targets that may be ordered to take up a layer range that has lost its last copy."},
	{"silence-ms",       "0",               "0 to 3600000",                  "Silence of a stream that counts as a break; 0: scaled to the chain's own gaps between tokens."},
	{"threads",          "1024",            "8 to 8192",                     "Requests served at once."},
	{"stop-delay-ms",    "1000",            "0 to 3600000",                  "After a stop signal, time to go on accepting while the balancer moves on."},
	{"stop-bound-ms",    "60000",           "0 to 3600000",                  "Longest wait for requests in flight at a stop."},
	{"read-timeout-ms",  "5000",            "10 to 3600000",                 "Time for a caller to send its request."},
	{"write-timeout-ms", "5000",            "10 to 3600000",                 "Time for a caller to take what was written."},
	{"log-level",        "info",            "debug, info, warning or error", "Least level of log lines."},
	{"log-format",       "text",            "text or json",                  "Form of log lines."},
};
// clang-format on

std::string variableOf(const std::string& _flag)
{
	return kEnvPrefix + boost::to_upper_copy(boost::replace_all_copy(_flag, "-", "_"));
}

std::string flagOf(const std::string& _variable)
{
	for (const Flag& flag : kFlags)
	{
		if (variableOf(flag.name) == _variable)
		{
			return flag.name;
		}
	}
	return std::string();
}

po::options_description describe()
{
	po::options_description description("Options");
	description.add_options()("help", "Print this and exit.")("version", "Print the version and exit.");
	for (const Flag& flag : kFlags)
	{
		const std::string meaning = std::string(flag.meaning) + " [" + variableOf(flag.name) + "]";
		auto* value = po::value<std::string>();
		if (nullptr != flag.fallback)
		{
			value->default_value(flag.fallback);
		}
		description.add_options()(flag.name, value, meaning.c_str());
	}
	return description;
}

/// Validates values and records the first error.
class Checker
{
public:
	explicit Checker(const po::variables_map& _values) : values_(_values)
	{
	}

	std::string text(const char* _flag)
	{
		return 0 == values_.count(_flag) ? std::string() : values_[_flag].as<std::string>();
	}

	std::string required(const char* _flag)
	{
		std::string value = text(_flag);
		if (value.empty())
		{
			fail(_flag, value);
		}
		return value;
	}

	Endpoint endpoint(const char* _flag)
	{
		Endpoint endpoint = parseEndpoint(text(_flag));
		if (!isAddress(endpoint))
		{
			fail(_flag, text(_flag));
		}
		return endpoint;
	}

	std::vector<std::string> endpoints(const char* _flag)
	{
		std::vector<std::string> list;
		if (!text(_flag).empty())
		{
			boost::split(list, text(_flag), boost::is_any_of(","));
		}
		for (const std::string& one : list)
		{
			if (!isAddress(parseEndpoint(one)))
			{
				fail(_flag, text(_flag));
			}
		}
		return list;
	}

	uint32_t number(const char* _flag, uint32_t _min, uint32_t _max)
	{
		const std::string value = text(_flag);
		const bool digits = !value.empty() && value.size() <= 9 && boost::all(value, boost::is_digit());
		const uint32_t parsed = digits ? static_cast<uint32_t>(std::stoul(value)) : 0;
		if (!digits || parsed < _min || _max < parsed)
		{
			fail(_flag, value);
		}
		return parsed;
	}

	/// @returns the index of the value among the names, 0 if it is none of them.
	template <typename NameOf> int choice(const char* _flag, int _count, NameOf _nameOf)
	{
		for (int index = 0; index < _count; ++index)
		{
			if (text(_flag) == _nameOf(index))
			{
				return index;
			}
		}
		fail(_flag, text(_flag));
		return 0;
	}

	void fail(const char* _flag, const std::string& _value)
	{
		if (!message_.empty())
		{
			return;
		}
		for (const Flag& flag : kFlags)
		{
			if (std::string(_flag) == flag.name)
			{
				message_ = "sedgecartd: --" + std::string(_flag) + " (" + variableOf(_flag) + ") is '" + _value +
				           "', allowed: " + flag.allowed + ".";
			}
		}
	}

	const std::string& message() const
	{
		return message_;
	}

private:
	static bool isAddress(const Endpoint& _endpoint)
	{
		boost::system::error_code error;
		boost::asio::ip::make_address(_endpoint.ip, error);
		return isValid(_endpoint) && !error;
	}

	const po::variables_map& values_;
	std::string message_;
};

void checkAll(Checker& _checker, Settings& _settings)
{
	_settings.name = _checker.required("name");
	_settings.hall = _checker.required("hall");
	_settings.listen = _checker.endpoint("listen");
	_checker.endpoint("peer-listen");
	_settings.peerListen = _checker.text("peer-listen");
	_settings.peers = _checker.endpoints("peers");
	_settings.platformLog = _checker.endpoint("log");
	_settings.platformVms = _checker.endpoint("vms");
	_settings.operatorKey = _checker.text("operator-key");
	if (_settings.operatorKey.size() < kMinOperatorKeyLength)
	{
		_checker.fail("operator-key", "too short"); // the value is a secret and must not be printed
	}
	_settings.peerKey = _checker.text("peer-key");
	if (!_settings.peerKey.empty() && !isPeerKey(_settings.peerKey))
	{
		_checker.fail("peer-key", "malformed"); // the value is a secret and must not be printed
	}
	const auto plannerName = [](int _index)
	{
		return nameOf(static_cast<PlannerKind::Enum>(_index));
	};
	const auto placementName = [](int _index)
	{
		return nameOf(static_cast<PlacementPolicy::Enum>(_index));
	};
	const int placement = _checker.choice("placement", PlacementPolicy::Count, placementName);
	_settings.placement = static_cast<PlacementPolicy::Enum>(placement);
	const int planner = _checker.choice("planner", PlannerKind::Count, plannerName);
	_settings.planner = static_cast<PlannerKind::Enum>(planner);
	_settings.silenceMs = _checker.number("silence-ms", 0, kMaxMillis);
	_settings.threads = _checker.number("threads", 8, kMaxThreads);
	_settings.stopDelayMs = _checker.number("stop-delay-ms", 0, kMaxMillis);
	_settings.stopBoundMs = _checker.number("stop-bound-ms", 0, kMaxMillis);
	_settings.readTimeoutMs = _checker.number("read-timeout-ms", 10, kMaxMillis);
	_settings.writeTimeoutMs = _checker.number("write-timeout-ms", 10, kMaxMillis);
	const auto levelName = [](int _index)
	{
		return nameOf(static_cast<LogLevel::Enum>(_index));
	};
	_settings.logLevel = static_cast<LogLevel::Enum>(_checker.choice("log-level", LogLevel::Count, levelName));
	const auto formatName = [](int _index)
	{
		return 0 == _index ? "text" : "json";
	};
	_settings.logJson = 1 == _checker.choice("log-format", 2, formatName);
}

} // namespace

SettingsOutcome::Enum readSettings(int _argc, const char* const* _argv, Settings& _settings, std::string& _message)
{
	const po::options_description description = describe();
	po::variables_map values;
	try
	{
		po::store(po::parse_command_line(_argc, _argv, description), values);
		po::store(po::parse_environment(description, &flagOf), values);
		po::notify(values);
	}
	catch (const po::error& error)
	{
		_message = std::string("sedgecartd: ") + error.what() + ". See sedgecartd --help.";
		return SettingsOutcome::Invalid;
	}
	if (0 != values.count("help"))
	{
		std::ostringstream help;
		help << "sedgecartd: one node of sedgecart. Settings are flags or environment variables; flags win.\n\n"
		     << description;
		_message = help.str();
		return SettingsOutcome::Exit;
	}
	if (0 != values.count("version"))
	{
		_message = "sedgecartd " SEDGECART_VERSION;
		return SettingsOutcome::Exit;
	}
	Checker checker(values);
	checkAll(checker, _settings);
	_message = checker.message();
	return _message.empty() ? SettingsOutcome::Run : SettingsOutcome::Invalid;
}

std::string settingsReference()
{
	std::string lines;
	for (const Flag& flag : kFlags)
	{
		const std::string fallback = nullptr == flag.fallback ? "required" : flag.fallback;
		lines += std::string("| `--") + flag.name + "` | `" + variableOf(flag.name) + "` | " + fallback + " | " +
		         flag.allowed + " | " + flag.meaning + " |\n";
	}
	return lines;
}

} // namespace sedgecart
