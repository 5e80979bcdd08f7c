// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_MESSAGEREADER_H_HEADER_GUARD
#define SEDGECART_AIO_MESSAGEREADER_H_HEADER_GUARD

#include <aio/headerlist.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sedgecart
{

/// What bytes fed to a reader came to.
struct ReadState
{
	enum Enum
	{
		More,           //!< The message goes on.
		Done,           //!< The message is whole.
		HeaderTooLarge, //!< Start line and headers are over the bound.
		BodyTooLarge,   //!< The body is, or says that it will be, over the bound.
		Malformed,      //!< These bytes are no message.

		Count
	};
};

/// Start line and headers of a message.
struct MessageHead
{
	std::string method; //!< Of a request, as sent.
	std::string target; //!< Of a request, as sent.
	uint16_t status = 0;
	bool keepAlive = true;
	bool untilClose = false; //!< A response without a length, which ends with its connection.
	HeaderList headers;
};

/// Bounds of a reader, bytes.
struct ReaderLimits
{
	uint32_t headerBytes = 16384;
	uint64_t bodyBytes = UINT64_MAX;
};

/// Reads one HTTP/1.1 message from bytes as they come, by Boost.Beast's parser: two lengths, a length beside chunks and
/// bare line feeds are malformed. Body bytes are freed of their framing.
class MessageReader
{
public:
	/// Which side of an exchange is read.
	struct Side
	{
		enum Enum
		{
			Request,
			Response,

			Count
		};
	};

	MessageReader(Side::Enum _side, const ReaderLimits& _limits);
	~MessageReader();

	MessageReader(const MessageReader&) = delete;
	MessageReader& operator=(const MessageReader&) = delete;

	/// @param _bytes all bytes that came and were not used yet.
	/// @param _used set to how many of them belong to this message; the rest must be offered again, with more.
	ReadState::Enum feed(std::string_view _bytes, std::size_t& _used);

	/// The peer closed in order. @returns Done if that ends the message, else Malformed.
	ReadState::Enum feedEnd();

	/// @returns true once start line and headers have been read.
	bool hasHead() const;

	MessageHead& head();

	/// @returns the body bytes that came and were not taken; the caller may clear it.
	std::string& body();

private:
	class Parser;
	template <bool isRequest> class BeastParser;
	std::unique_ptr<Parser> parser_;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_MESSAGEREADER_H_HEADER_GUARD
