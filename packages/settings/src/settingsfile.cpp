// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <settings/settingsfile.h>

#include <fstream>
#include <iterator>

namespace sedgecart
{

namespace
{

std::string readText(const std::string& _path)
{
	std::ifstream file(_path);
	return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

SettingsFile::SettingsFile(const std::string& _path) : path_(_path)
{
}

bool SettingsFile::read(EntrySettings& _settings, std::string& _message)
{
	text_ = readText(path_);
	EntrySettings settings;
	if (!readEntrySettings(path_, settings, _message))
	{
		return false;
	}
	_settings = settings;
	return true;
}

bool SettingsFile::changed() const
{
	return text_ != readText(path_);
}

} // namespace sedgecart
