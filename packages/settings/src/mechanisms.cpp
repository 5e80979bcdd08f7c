// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <settings/mechanisms.h>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace sedgecart
{

namespace
{

constexpr const char* kNames[Mechanism::Count] = {
    "second-copies",  "own-evidence", "path-watch",        "pace-polls",       "head-slots",        "move-spread",
    "mean-answer",    "busy-last",    "lapse-grace",       "tight-halls",      "link-bound",        "start-waits",
    "hall-loads",     "shared-tries", "idle-polls",        "refusal-evidence", "make-before-break", "stop-pace",
    "order-lives",    "stream-waits", "resume-pace",       "unheard-loads",    "crash-ledger",      "drain-notice",
    "target-backoff", "rate-limits",  "urgency-admission", "capacity-leases",  "capacity-forecast", "load-shares",
    "handovers",
};

constexpr const char* kNone = "none";

} // namespace

const char* nameOf(Mechanism::Enum _mechanism)
{
	return kNames[_mechanism];
}

bool Mechanisms::disable(const std::string& _names, std::string& _unknown)
{
	std::bitset<Mechanism::Count> off;
	std::istringstream names(_names);
	std::string name;
	while (std::getline(names, name, ','))
	{
		if (name.empty() || kNone == name)
		{
			continue;
		}
		const auto found = std::find(std::begin(kNames), std::end(kNames), name);
		if (std::end(kNames) == found)
		{
			_unknown = name;
			return false;
		}
		off.set(static_cast<std::size_t>(found - std::begin(kNames)));
	}
	disabled_ = off;
	return true;
}

std::string Mechanisms::disabledNames() const
{
	std::string names;
	for (std::size_t index = 0; index < Mechanism::Count; ++index)
	{
		if (disabled_.test(index))
		{
			names += names.empty() ? "" : ",";
			names += kNames[index];
		}
	}
	return names;
}

} // namespace sedgecart
