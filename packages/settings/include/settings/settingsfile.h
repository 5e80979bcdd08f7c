// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_SETTINGS_SETTINGSFILE_H_HEADER_GUARD
#define SEDGECART_SETTINGS_SETTINGSFILE_H_HEADER_GUARD

#include <settings/entrysettings.h>

#include <string>

namespace sedgecart
{

/// The settings file of a node. May change while the node runs, with or without a signal. Not thread-safe.
class SettingsFile
{
public:
	explicit SettingsFile(const std::string& _path);

	/// Reads the file.
	/// @param _message set to one sentence that names the field, its value and the allowed values.
	/// @returns false if a setting is missing or invalid; `_settings` is unchanged then.
	bool read(EntrySettings& _settings, std::string& _message);

	/// @returns true if the file's text differs from the text read last.
	bool changed() const;

private:
	std::string path_;
	std::string text_; //!< The text read last.
};

} // namespace sedgecart

#endif // SEDGECART_SETTINGS_SETTINGSFILE_H_HEADER_GUARD
