// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_MESSAGEREADER_H_HEADER_GUARD
#define SEDGECART_AIO_MESSAGEREADER_H_HEADER_GUARD

#include <aio/headerlist.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sedgecart
{

/// Parsing state after bytes were fed to a reader.
struct ReadState
{
	enum Enum
	{
		More,           //!< The message is not complete yet.
		Done,           //!< The message is complete.
		HeaderTooLarge, //!< Start line and headers exceed the limit.
		BodyTooLarge,   //!< The body, or its announced length, exceeds the limit.
		Malformed,      //!< The bytes are not a valid message.
		NoMemory,       //!< There is no memory for more of the body.

		Count
	};
};

/// Start line and headers of a message.
struct MessageHead
{
	std::string method;  //!< As sent; empty for a response.
	std::string target;  //!< As sent; empty for a response.
	uint16_t status = 0; //!< Of a response.
	bool keepAlive = true;
	bool untilClose = false; //!< The body of the response is delimited by the end of the connection.
	HeaderList headers;
};

/// Size limits of a reader, bytes.
struct ReaderLimits
{
	uint32_t headerBytes = 16384; //!< Also of the size line of a chunk, and of the trailer fields.
	uint64_t bodyBytes = UINT64_MAX;
};

/// Grants the memory of a body while it is read.
class BodyGrantI
{
public:
	virtual ~BodyGrantI() = default;

	/// Called before the body takes more memory than it was granted.
	/// @param _bytes of memory, together with what was granted before.
	/// @returns false if there is none.
	virtual bool grant(std::size_t _bytes) = 0;
};

/// Incremental reader of one HTTP/1.1 message, on Boost.Beast's parser. Malformed are conflicting lengths, a length
/// together with chunked encoding, any other transfer coding, and bare line feeds; of a response also a status that
/// HTTP does not define, and header lines that are continued on the next line. Body bytes are returned without chunk
/// framing, trailer fields are dropped: what arrives after the body must not change its head.
class MessageReader
{
public:
	/// Kind of message to read.
	struct Side
	{
		enum Enum
		{
			Request,
			Response,

			Count
		};
	};

	/// @param _grant asked for the memory of the body; null: it is not limited but by its length. Must outlive this.
	MessageReader(Side::Enum _side, const ReaderLimits& _limits, BodyGrantI* _grant = nullptr);
	~MessageReader();

	MessageReader(const MessageReader&) = delete;
	MessageReader& operator=(const MessageReader&) = delete;

	/// Parses more bytes.
	/// @param _bytes all received bytes that were not consumed yet.
	/// @param _used set to the number of bytes consumed; the caller must pass the rest again, followed by new bytes.
	ReadState::Enum feed(std::string_view _bytes, std::size_t& _used);

	/// Handles an orderly close by the peer.
	/// @returns Done if the close completes the message, else Malformed.
	ReadState::Enum feedEnd();

	/// @returns true once start line and headers have been read.
	bool hasHead() const;

	MessageHead& head();

	/// @returns the length of the body, if its head names one; none for a body in chunks.
	std::optional<uint64_t> bodyLength() const;

	/// @returns the body bytes received so far; the caller may clear the string once it has consumed them.
	std::string& body();

private:
	class Parser;
	template <bool isRequest> class BeastParser;
	std::unique_ptr<Parser> parser_;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_MESSAGEREADER_H_HEADER_GUARD
