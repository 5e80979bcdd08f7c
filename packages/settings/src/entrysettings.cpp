// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <settings/entrysettings.h>

#include <boost/program_options.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace sedgecart
{

namespace
{

namespace options = boost::program_options;

constexpr const char* kNone = "none";

/// Reads and validates the values of one settings file; keeps the error message of the first invalid one.
class SettingsReader
{
public:
	SettingsReader(const options::variables_map& _values, std::string& _message) : values_(_values), message_(_message)
	{
	}

	std::string text(const char* _name)
	{
		std::string value = values_.count(_name) ? values_[_name].as<std::string>() : std::string();
		if (value.empty())
		{
			fail(_name, value, "a text");
		}
		return value;
	}

	std::string address(const char* _name)
	{
		std::string value = text(_name);
		const std::size_t colon = value.rfind(':');
		uint32_t port = 0;
		if (std::string::npos == colon || !parseWhole(value.substr(colon + 1), port) || 0 == port || 65535 < port)
		{
			fail(_name, value, "ip:port");
		}
		return value;
	}

	double number(const char* _name, double _min, double _max)
	{
		const std::string value = text(_name);
		double read = 0;
		const char* const end = value.data() + value.size();
		const auto parsed = std::from_chars(value.data(), end, read);
		if (parsed.ptr != end || read < _min || _max < read)
		{
			fail(_name, value, "a number from " + std::to_string(_min) + " to " + std::to_string(_max));
		}
		return read;
	}

	/// @returns `_default` if the setting is missing.
	double numberOr(const char* _name, double _min, double _max, double _default)
	{
		return 0 == values_.count(_name) ? _default : number(_name, _min, _max);
	}

	Duration millis(const char* _name)
	{
		constexpr double kDayMs = 24.0 * 3600 * 1000;
		return Duration{static_cast<int64_t>(number(_name, 0, kDayMs) * 1000)};
	}

	Duration seconds(const char* _name)
	{
		constexpr double kDaySeconds = 24.0 * 3600;
		return Duration{static_cast<int64_t>(number(_name, 0, kDaySeconds) * 1000000)};
	}

	bool flag(const char* _name)
	{
		const std::string value = text(_name);
		if ("true" != value && "false" != value)
		{
			fail(_name, value, "true or false");
		}
		return "true" == value;
	}

	/// Reads the names of disabled mechanisms; a missing setting disables none.
	void disabledMechanisms(const char* _name, Mechanisms& _mechanisms)
	{
		const std::string value = values_.count(_name) ? values_[_name].as<std::string>() : std::string();
		std::string unknown;
		if (!_mechanisms.disable(value, unknown))
		{
			fail(_name, unknown, "names of mechanisms, separated by commas");
		}
	}

	/// Reads identities of requests; a missing setting means none.
	void identities(const char* _name, std::set<RequestIdentity>& _requests)
	{
		_requests.clear();
		const std::string value = values_.count(_name) ? values_[_name].as<std::string>() : std::string();
		std::istringstream parts(kNone == value ? std::string() : value);
		std::string part;
		while (std::getline(parts, part, ','))
		{
			RequestIdentity request;
			if (!RequestIdentity::parse(part, request))
			{
				fail(_name, part, "identities of requests, separated by commas, or none");
				return;
			}
			_requests.insert(request);
		}
	}

	/// Reads "first,last".
	void ports(const char* _name, uint16_t& _first, uint16_t& _last)
	{
		const std::string value = text(_name);
		const std::size_t comma = value.find(',');
		uint32_t first = 0;
		uint32_t last = 0;
		const bool isPair = std::string::npos != comma && parseWhole(value.substr(0, comma), first) &&
		                    parseWhole(value.substr(comma + 1), last);
		if (!isPair || 0 == first || last < first || 65535 < last)
		{
			fail(_name, value, "two ports, first,last");
			return;
		}
		_first = static_cast<uint16_t>(first);
		_last = static_cast<uint16_t>(last);
	}

	bool valid() const
	{
		return message_.empty();
	}

private:
	static bool parseWhole(const std::string& _text, uint32_t& _number)
	{
		const char* const end = _text.data() + _text.size();
		const auto parsed = std::from_chars(_text.data(), end, _number);
		return std::errc{} == parsed.ec && parsed.ptr == end;
	}

	void fail(const char* _name, const std::string& _value, const std::string& _allowed)
	{
		if (message_.empty())
		{
			message_ = std::string("Setting ") + _name + " is '" + _value + "', but must be " + _allowed + ".";
		}
	}

	const options::variables_map& values_;
	std::string& message_;
};

options::options_description description()
{
	options::options_description all;
	for (const char* const name :
	     {"name", "hall", "caller-address", "ready-address", "ip", "peer-ports", "store-address", "retry-ratio",
	      "retry-slack", "retry-window-s", "key-bound-ms", "key-bound-strict", "stop-bound-s", "cpu-share", "link-mbps",
	      "memory-mb", "max-descriptors", "switched-off", "never-blocked"})
	{
		all.add_options()(name, options::value<std::string>());
	}
	return all;
}

} // namespace

std::string peerAddress(const EntrySettings& _settings)
{
	return _settings.ip + ':' + std::to_string(_settings.firstPeerPort);
}

std::string handoverAddress(const EntrySettings& _settings)
{
	const bool hasPort = _settings.firstPeerPort < _settings.lastPeerPort;
	return hasPort ? _settings.ip + ':' + std::to_string(_settings.lastPeerPort) : std::string();
}

std::string settingsRequiringRestart(const EntrySettings& _before, const EntrySettings& _after)
{
	std::string names;
	const auto addIfChanged = [&names](bool _differs, const char* _name)
	{
		if (_differs)
		{
			names += names.empty() ? "" : " ";
			names += _name;
		}
	};
	addIfChanged(_before.name != _after.name, "name");
	addIfChanged(_before.hall != _after.hall, "hall");
	addIfChanged(_before.callerAddress != _after.callerAddress, "caller-address");
	addIfChanged(_before.readyAddress != _after.readyAddress, "ready-address");
	addIfChanged(_before.ip != _after.ip, "ip");
	const bool ports = _before.firstPeerPort != _after.firstPeerPort || _before.lastPeerPort != _after.lastPeerPort;
	addIfChanged(ports, "peer-ports");
	addIfChanged(_before.cpuShare != _after.cpuShare, "cpu-share");
	addIfChanged(_before.linkMbps != _after.linkMbps, "link-mbps");
	addIfChanged(_before.memoryMb != _after.memoryMb, "memory-mb");
	addIfChanged(_before.mechanisms.disabledNames() != _after.mechanisms.disabledNames(), "switched-off");
	return names;
}

bool readEntrySettings(const std::string& _path, EntrySettings& _settings, std::string& _message)
{
	_message.clear();
	std::ifstream file(_path);
	if (!file)
	{
		_message = "Settings file '" + _path + "' cannot be read.";
		return false;
	}
	options::variables_map values;
	try
	{
		constexpr bool kAllowUnknown = true;
		options::store(options::parse_config_file(file, description(), kAllowUnknown), values);
	}
	catch (const options::error& error)
	{
		_message = "Settings file '" + _path + "' is malformed: " + error.what() + ".";
		return false;
	}
	SettingsReader reader(values, _message);
	_settings.name = reader.text("name");
	_settings.hall = reader.text("hall");
	_settings.callerAddress = reader.address("caller-address");
	_settings.readyAddress = reader.address("ready-address");
	_settings.ip = reader.text("ip");
	reader.ports("peer-ports", _settings.firstPeerPort, _settings.lastPeerPort);
	_settings.storeAddress = reader.address("store-address");
	_settings.retries.ratio = reader.number("retry-ratio", 0, 10);
	_settings.retries.slack = reader.number("retry-slack", 0, 1e9);
	_settings.retries.window = reader.seconds("retry-window-s");
	_settings.keyBound = reader.millis("key-bound-ms");
	_settings.keyBoundStrict = reader.flag("key-bound-strict");
	_settings.stopBound = reader.seconds("stop-bound-s");
	constexpr double kMinCpuShare = 0.001;
	constexpr double kMaxCpuShare = 1024;
	_settings.cpuShare = reader.number("cpu-share", kMinCpuShare, kMaxCpuShare);
	constexpr double kMinLinkMbps = 0.1;
	constexpr double kMaxLinkMbps = 1e6;
	_settings.linkMbps = reader.number("link-mbps", kMinLinkMbps, kMaxLinkMbps);
	constexpr double kMinMemoryMb = 32;
	constexpr double kMaxMemoryMb = 1e6;
	_settings.memoryMb = reader.numberOr("memory-mb", kMinMemoryMb, kMaxMemoryMb, EntrySettings{}.memoryMb);
	constexpr double kMinDescriptors = 64;
	constexpr double kMaxDescriptors = 1e7;
	_settings.maxDescriptors = static_cast<uint32_t>(
	    reader.numberOr("max-descriptors", kMinDescriptors, kMaxDescriptors, EntrySettings{}.maxDescriptors));
	reader.disabledMechanisms("switched-off", _settings.mechanisms);
	reader.identities("never-blocked", _settings.neverBlocked);
	return reader.valid();
}

} // namespace sedgecart
