// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_DOCUMENTS_H_HEADER_GUARD
#define SEDGECART_PORTS_DOCUMENTS_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/recordfault.h>
#include <base/runner.h>

#include <cstddef>
#include <string>

namespace sedgecart
{

/// Most bytes of a target's entry. What a target says of itself fills some hundred; the rest is left for what later
/// versions may add. Whoever keeps entries keeps one byte more of a longer one, which is enough to pass it over.
constexpr std::size_t kMostRunnerBytes = 64UL * 1024;

/// Reads the documents that the operator and the targets write to the store. Translates only.
class DocumentsI
{
public:
	virtual ~DocumentsI() = default;

	/// @returns true if this key of the operator's topic holds the desired state.
	virtual bool isDesiredState(const std::string& _key) const = 0;

	/// @returns false if the text cannot be read as a desired state.
	virtual bool readDesiredState(const std::string& _text, DesiredState& _state) const = 0;

	/// Reads a target's entry as far as it can be judged alone: whether its service, its layers and its card are known
	/// is not looked at.
	/// @param _record holds the entry if there is no fault.
	/// @returns why the entry names no target to use; RecordFault::None: it does.
	virtual RecordFault::Enum readRunner(const std::string& _key, const std::string& _text,
	                                     RunnerRecord& _record) const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_DOCUMENTS_H_HEADER_GUARD
