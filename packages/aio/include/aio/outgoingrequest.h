// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_OUTGOINGREQUEST_H_HEADER_GUARD
#define SEDGECART_AIO_OUTGOINGREQUEST_H_HEADER_GUARD

#include <memory>
#include <string>
#include <utility>

namespace sedgecart
{

/// A request as it is sent. A large body is shared with its owner: a copy for each send would double the memory that
/// uploads take.
struct OutgoingRequest
{
	/// @param _text head and body.
	OutgoingRequest(std::string _text) : text(std::move(_text)) // NOLINT: a text is a request
	{
	}

	/// @param _head start line and headers, up to the blank line.
	/// @param _body its owner may be gone before it has been sent.
	OutgoingRequest(std::string _head, std::shared_ptr<const std::string> _body)
	    : text(std::move(_head)),
	      body(std::move(_body))
	{
	}

	std::string text;                        //!< Sent first.
	std::shared_ptr<const std::string> body; //!< Sent after the text; null: the text is the whole request.
};

} // namespace sedgecart

#endif // SEDGECART_AIO_OUTGOINGREQUEST_H_HEADER_GUARD
