// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "decoders.h"

#include <cstddef>
#include <cstdint>

#ifndef SEDGECART_FUZZ_DECODER
#define SEDGECART_FUZZ_DECODER "runner" // the build names one for each program
#endif

/// What libFuzzer calls for each input, of the decoder that this program was built for.
// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer looks for.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* _data, std::size_t _size)
{
	static const sedgecart::FuzzDecoder* const decoder = sedgecart::findFuzzDecoder(SEDGECART_FUZZ_DECODER);
	decoder->run(std::string(reinterpret_cast<const char*>(_data), _size));
	return 0;
}
