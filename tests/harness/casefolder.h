// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HARNESS_CASEFOLDER_H_HEADER_GUARD
#define SEDGECART_HARNESS_CASEFOLDER_H_HEADER_GUARD

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <string>

#include <unistd.h>

namespace sedgecart
{

/// A folder for the time of a case.
class CaseFolder
{
public:
	explicit CaseFolder(const std::string& _name)
	    : path_(std::filesystem::temp_directory_path() / ("sedgecart-" + std::to_string(getpid()) + '-' + _name))
	{
		std::filesystem::create_directories(path_);
	}

	~CaseFolder()
	{
		// The logs of a node that did not start tell why.
		if (nullptr == std::getenv("SEDGECART_STOP_KEEP") && 0 == std::uncaught_exceptions())
		{
			std::error_code ignored;
			std::filesystem::remove_all(path_, ignored);
		}
	}

	CaseFolder(const CaseFolder&) = delete;
	CaseFolder& operator=(const CaseFolder&) = delete;

	std::string path() const
	{
		return path_.string();
	}

private:
	std::filesystem::path path_;
};

} // namespace sedgecart

#endif // SEDGECART_HARNESS_CASEFOLDER_H_HEADER_GUARD
