// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_DOCUMENTS_H_HEADER_GUARD
#define SEDGECART_ENTRY_DOCUMENTS_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/runner.h>

#include <string>

namespace sedgecart
{

/// Reads the documents that the operator and the targets write to the store. Translates only.
class DocumentsI
{
public:
	virtual ~DocumentsI() = default;

	/// @returns true if this key of the operator's topic holds the desired state.
	virtual bool isDesiredState(const std::string& _key) const = 0;

	/// @returns false if the text cannot be read as a desired state.
	virtual bool readDesiredState(const std::string& _text, DesiredState& _state) const = 0;

	/// @returns false if the text cannot be read as a target's record.
	virtual bool readRunner(const std::string& _key, const std::string& _text, RunnerRecord& _record) const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_DOCUMENTS_H_HEADER_GUARD
