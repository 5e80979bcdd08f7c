// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_ANSWERTEXT_P_H_HEADER_GUARD
#define SEDGECART_AIO_ANSWERTEXT_P_H_HEADER_GUARD

#include <string>
#include <string_view>

namespace sedgecart
{

struct AnswerStart;

/// The chunk that ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// @returns start line and headers as they go on the wire.
std::string answerText(const AnswerStart& _start, bool _last);

/// Appends body bytes, as one chunk if `_chunked`.
void appendBody(std::string& _text, std::string_view _body, bool _chunked);

} // namespace sedgecart

#endif // SEDGECART_AIO_ANSWERTEXT_P_H_HEADER_GUARD
