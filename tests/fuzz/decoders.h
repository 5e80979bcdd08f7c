// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_FUZZ_DECODERS_H_HEADER_GUARD
#define SEDGECART_TESTS_FUZZ_DECODERS_H_HEADER_GUARD

#include <string>
#include <vector>

/// @file
/// The entry points at which bytes come in that somebody else may have written, for the fuzz targets and for the driver
/// that runs without clang.

namespace sedgecart
{

/// One entry point.
struct FuzzDecoder
{
	const char* name; //!< Also of the folder with its seeds.

	/// Reads the bytes, and ends the process if what was read breaks a promise.
	void (*run)(const std::string&);
};

const std::vector<FuzzDecoder>& fuzzDecoders();

/// @returns the one of that name, null if there is none.
const FuzzDecoder* findFuzzDecoder(const std::string& _name);

} // namespace sedgecart

#endif // SEDGECART_TESTS_FUZZ_DECODERS_H_HEADER_GUARD
