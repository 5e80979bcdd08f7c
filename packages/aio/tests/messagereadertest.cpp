// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/messagereader.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace sedgecart
{

namespace
{

using Side = MessageReader::Side;

/// Feeds bytes to a reader in pieces of a given size.
/// @param _rest set to the bytes that were not consumed.
/// @returns the last state.
ReadState::Enum readInPieces(MessageReader& _reader, const std::string& _bytes, std::size_t _piece, std::string& _rest)
{
	ReadState::Enum state = ReadState::More;
	_rest.clear();
	for (std::size_t at = 0; at < _bytes.size() && ReadState::More == state; at += _piece)
	{
		_rest += _bytes.substr(at, _piece);
		std::size_t used = 1;
		while (ReadState::More == state && 0 < used && !_rest.empty())
		{
			state = _reader.feed(_rest, used);
			_rest.erase(0, used);
		}
	}
	return state;
}

ReadState::Enum readAll(Side::Enum _side, const std::string& _bytes)
{
	MessageReader reader(_side, ReaderLimits{});
	std::string left;
	return readInPieces(reader, _bytes, _bytes.size(), left);
}

/// @returns a response with one more line in its head.
std::string response(const std::string& _status, const std::string& _line)
{
	return "HTTP/1.1 " + _status + " X\r\n" + _line + "\r\nContent-Length: 2\r\n\r\nok";
}

} // namespace

class MessageReaderTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(MessageReaderTest);
	CPPUNIT_TEST(requestInAnyPieces);
	CPPUNIT_TEST(chunksLoseTheirFraming);
	CPPUNIT_TEST(nextMessageIsLeft);
	CPPUNIT_TEST(ambiguousLengthsAreMalformed);
	CPPUNIT_TEST(boundsHold);
	CPPUNIT_TEST(linesBetweenChunksAreBounded);
	CPPUNIT_TEST(bodyOfKnownLengthTakesNoMoreMemory);
	CPPUNIT_TEST(claimedLengthTakesBoundedMemory);
	CPPUNIT_TEST(answerUntilClose);
	CPPUNIT_TEST(aResponseThatIsCutIsNotComplete);
	CPPUNIT_TEST(answersThatAreNoneAreMalformed);
	CPPUNIT_TEST(trailerFieldsDoNotChangeTheHead);
	CPPUNIT_TEST(requestsInOtherCodingsAreMalformed);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Each of these reached a caller as an answer, or might have.
	void answersThatAreNoneAreMalformed()
	{
		for (const char* const status : {"000", "099", "600", "999", "20", "2000", "2x0", "-20", ""})
		{
			CPPUNIT_ASSERT_EQUAL_MESSAGE(status, int(ReadState::Malformed),
			                             int(readAll(Side::Response, response(status, "X: y"))));
		}
		for (const std::string& line :
		     {std::string("A B: c"), std::string("A\tB: c"), std::string("A\x01: c"), std::string("A\x7f: c"),
		      std::string("A\0: c", 5), std::string("A\x80: c"), std::string("A : c"), std::string("A\t: c"),
		      std::string(": c"), std::string("A"), std::string("A: \x01"), std::string("A: b\r\n c"),
		      std::string("A: b\r\n\tc"), std::string("Transfer-Encoding: gzip"),
		      std::string("Transfer-Encoding: gzip, chunked"), std::string("Transfer-Encoding: chunked, chunked"),
		      std::string("Transfer-Encoding: identity")})
		{
			CPPUNIT_ASSERT_EQUAL_MESSAGE(line, int(ReadState::Malformed),
			                             int(readAll(Side::Response, response("200", line))));
		}
		for (const char* const status : {"200", "404", "500", "599"})
		{
			CPPUNIT_ASSERT_EQUAL(int(ReadState::Done), int(readAll(Side::Response, response(status, "X: y"))));
		}
	}

	/// An id or a signature that stands in the trailer only would count as one of the head, if both come at once.
	void trailerFieldsDoNotChangeTheHead()
	{
		const std::string body = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLate: 1\r\n\r\n";
		const std::string starts[Side::Count] = {"POST / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n"};
		for (uint32_t side = 0; side < Side::Count; ++side)
		{
			MessageReader reader(static_cast<Side::Enum>(side), ReaderLimits{});
			std::string left;
			const ReadState::Enum state = readInPieces(reader, starts[side] + body, 1000, left);
			CPPUNIT_ASSERT_EQUAL(int(ReadState::Done), int(state));
			CPPUNIT_ASSERT_EQUAL(std::string("ok"), reader.body());
			CPPUNIT_ASSERT(nullptr == reader.head().headers.find("Late"));
		}
	}

	/// The body would be passed on without its coding being named.
	void requestsInOtherCodingsAreMalformed()
	{
		for (const char* const coding : {"gzip", "gzip, chunked", "chunked, gzip", "x"})
		{
			const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n";
			CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, int(ReadState::Malformed),
			                             int(readAll(Side::Request, head + "0\r\n\r\n")));
		}
	}

	/// Guards against collecting a size line or trailer fields without end, which the parser itself does not bound.
	void linesBetweenChunksAreBounded()
	{
		const std::string heads[Side::Count] = {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
		                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
		const std::string endless(2UL * ReaderLimits{}.headerBytes, '0');
		for (uint32_t side = 0; side < Side::Count; ++side)
		{
			for (const std::string& start : {heads[side], heads[side] + "1\r\na\r\n", heads[side] + "0\r\nX: "})
			{
				for (const std::size_t piece : {std::size_t(100), endless.size()})
				{
					MessageReader reader(static_cast<Side::Enum>(side), ReaderLimits{});
					std::string rest;
					const ReadState::Enum state = readInPieces(reader, start + endless, piece, rest);
					CPPUNIT_ASSERT_EQUAL(int(ReadState::Malformed), int(state));
					CPPUNIT_ASSERT(rest.size() <= endless.size());
				}
			}
		}
	}

	void requestInAnyPieces()
	{
		const std::string text = "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
		for (std::size_t piece = 1; piece <= text.size(); ++piece)
		{
			MessageReader reader(Side::Request, ReaderLimits{});
			std::string left;
			CPPUNIT_ASSERT(ReadState::Done == readInPieces(reader, text, piece, left));
			CPPUNIT_ASSERT_EQUAL(std::string("hello"), reader.body());
			CPPUNIT_ASSERT_EQUAL(std::string("/a?b"), reader.head().target);
			CPPUNIT_ASSERT_EQUAL(std::string("POST"), reader.head().method);
		}
	}

	void chunksLoseTheirFraming()
	{
		const std::string text =
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
		for (std::size_t piece = 1; piece <= text.size(); ++piece)
		{
			MessageReader reader(Side::Response, ReaderLimits{});
			std::string left;
			CPPUNIT_ASSERT(ReadState::Done == readInPieces(reader, text, piece, left));
			CPPUNIT_ASSERT_EQUAL(std::string("abcde"), reader.body());
		}
	}

	void nextMessageIsLeft()
	{
		MessageReader reader(Side::Request, ReaderLimits{});
		std::string left;
		const std::string text = "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /next";
		CPPUNIT_ASSERT(ReadState::Done == readInPieces(reader, text, text.size(), left));
		CPPUNIT_ASSERT_EQUAL(std::string("GET /next"), left);
	}

	void ambiguousLengthsAreMalformed()
	{
		for (const char* const fields :
		     {"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5x\r\n", "Content-Length: -5\r\n",
		      "Bad Name: 1\r\n", ": 1\r\n"})
		{
			const std::string text = std::string("POST / HTTP/1.1\r\nHost: h\r\n") + fields + "\r\nhello";
			CPPUNIT_ASSERT_MESSAGE(fields, ReadState::Malformed == readAll(Side::Request, text));
		}
		CPPUNIT_ASSERT(ReadState::Done != readAll(Side::Request, "GET / HTTP/1.1\nHost: h\n\n"));
		CPPUNIT_ASSERT(ReadState::Malformed == readAll(Side::Response, "rubbish that is no answer\r\n\r\n"));
	}

	void boundsHold()
	{
		ReaderLimits limits;
		limits.headerBytes = 100;
		limits.bodyBytes = 10;
		std::string left;
		MessageReader header(Side::Request, limits);
		const std::string large = "GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n";
		CPPUNIT_ASSERT(ReadState::HeaderTooLarge == readInPieces(header, large, large.size(), left));
		MessageReader body(Side::Request, limits);
		const std::string said = "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n";
		CPPUNIT_ASSERT(ReadState::BodyTooLarge == readInPieces(body, said, said.size(), left));
		MessageReader chunks(Side::Request, limits);
		const std::string sent = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n";
		CPPUNIT_ASSERT(ReadState::BodyTooLarge == readInPieces(chunks, sent, sent.size(), left));
	}

	/// Guards against bodies that take up to twice their size, so that uploads end a node by its memory.
	void bodyOfKnownLengthTakesNoMoreMemory()
	{
		constexpr std::size_t kBody = 1100000;
		MessageReader reader(Side::Request, ReaderLimits{});
		std::string left;
		const std::string text =
		    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'x');
		CPPUNIT_ASSERT(ReadState::Done == readInPieces(reader, text, 64UL * 1024, left));
		CPPUNIT_ASSERT_EQUAL(kBody, reader.body().size());
		CPPUNIT_ASSERT(reader.body().capacity() < kBody + kBody / 8);
	}

	/// Guards against reserving all that a caller only claims to send.
	void claimedLengthTakesBoundedMemory()
	{
		MessageReader reader(Side::Request, ReaderLimits{});
		std::string left;
		const std::string text = "POST / HTTP/1.1\r\nContent-Length: 900000000000000000\r\n\r\nx";
		CPPUNIT_ASSERT(ReadState::More == readInPieces(reader, text, text.size(), left));
		CPPUNIT_ASSERT(reader.body().capacity() < 32UL * 1024 * 1024);
	}

	void answerUntilClose()
	{
		MessageReader reader(Side::Response, ReaderLimits{});
		std::string left;
		const std::string text = "HTTP/1.1 200 OK\r\n\r\nsome bytes";
		CPPUNIT_ASSERT(ReadState::More == readInPieces(reader, text, text.size(), left));
		CPPUNIT_ASSERT(reader.head().untilClose);
		CPPUNIT_ASSERT(ReadState::Done == reader.feedEnd());
		MessageReader cut(Side::Response, ReaderLimits{});
		const std::string shorter = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nsome bytes";
		CPPUNIT_ASSERT(ReadState::More == readInPieces(cut, shorter, shorter.size(), left));
		CPPUNIT_ASSERT(ReadState::Malformed == cut.feedEnd());
	}

	/// Guards against a response whose sender stopped in the middle of its head, passed on as a whole one.
	void aResponseThatIsCutIsNotComplete()
	{
		const std::string head = "HTTP/1.1 200 OK\r\nName: a\r\nOther-Name: b\r\n";
		const std::string untilClose = head + "\r\n";
		for (const std::string& text : {head + "Content-Length: 2\r\n\r\nok", untilClose,
		                                head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
		{
			for (std::size_t size = 0; size < text.size(); ++size)
			{
				MessageReader reader(Side::Response, ReaderLimits{});
				std::string left;
				const std::string cut = text.substr(0, size);
				CPPUNIT_ASSERT_MESSAGE(cut, ReadState::More == readInPieces(reader, cut, 7, left));
				CPPUNIT_ASSERT_MESSAGE(cut, ReadState::Malformed == reader.feedEnd());
			}
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageReaderTest);

} // namespace sedgecart
