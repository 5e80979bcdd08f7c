// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_DOCUMENTPARSER_H_HEADER_GUARD
#define SEDGECART_PORTS_DOCUMENTPARSER_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/recordfault.h>
#include <base/runner.h>

#include <cstddef>
#include <string>

namespace sedgecart
{

/// Maximum size of a target's record, bytes. A record fills some hundred; the rest is for what later versions may add.
/// Caches cut a longer record to this size plus one byte, which is enough to recognize it as too large.
constexpr std::size_t kMaxRunnerBytes = 64UL * 1024;

/// Parses the documents that the operator and the targets write to the store. Stateless.
class DocumentParserI
{
public:
	virtual ~DocumentParserI() = default;

	/// @returns true if the record of this key of the operator's topic is the desired state.
	virtual bool isDesiredState(const std::string& _key) const = 0;

	/// @param _state set if the text is valid.
	/// @returns false if the text is no valid desired state.
	virtual bool parseDesiredState(const std::string& _text, DesiredState& _state) const = 0;

	/// Parses a target's record. Does not check whether its service, its layers and its accelerator are known.
	/// @param _record the parsed record if there is no fault.
	/// @returns why the record is unusable; RecordFault::None: it is valid.
	virtual RecordFault::Enum parseRunner(const std::string& _key, const std::string& _text,
	                                      RunnerRecord& _record) const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_DOCUMENTPARSER_H_HEADER_GUARD
