// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_RESPONSETEXT_P_H_HEADER_GUARD
#define SEDGECART_AIO_RESPONSETEXT_P_H_HEADER_GUARD

#include <string>
#include <string_view>

namespace sedgecart
{

struct ResponseStart;

/// The empty chunk that terminates a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// @returns start line and headers as sent on the wire.
/// @param _closes adds "Connection: close".
std::string responseHeadText(const ResponseStart& _start, bool _closes);

/// Appends body bytes, as one chunk if `_chunked`; appends nothing if there are none.
void appendBody(std::string& _text, std::string_view _body, bool _chunked);

} // namespace sedgecart

#endif // SEDGECART_AIO_RESPONSETEXT_P_H_HEADER_GUARD
