// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/boundedparse.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/message.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

namespace protobuf = google::protobuf;
using protobuf::internal::WireFormatLite;

/// Fields of fewer bytes are not counted before they are read: they take some megabytes at the very most.
constexpr std::size_t kUncountedBytes = 64UL * 1024;

/// Messages within messages; ours nest four deep.
constexpr int kMostDepth = 16;

constexpr int kFixed32Bytes = 4;
constexpr int kFixed64Bytes = 8;

/// Counts the fields of a message without keeping anything of it.
class FieldCount
{
public:
	explicit FieldCount(std::size_t _most) : left_(_most)
	{
	}

	/// @returns false if there are more than allowed, or the bytes are no message.
	bool take(std::string_view _bytes, const protobuf::Descriptor& _type, int _depth)
	{
		protobuf::io::CodedInputStream in(reinterpret_cast<const uint8_t*>(_bytes.data()),
		                                  static_cast<int>(_bytes.size()));
		uint32_t tag = in.ReadTag();
		while (0 != tag)
		{
			if (0 == left_ || !takeField(in, tag, _bytes, _type, _depth))
			{
				return false;
			}
			--left_;
			tag = in.ReadTag();
		}
		return in.ConsumedEntireMessage();
	}

private:
	bool takeField(protobuf::io::CodedInputStream& _in, uint32_t _tag, std::string_view _bytes,
	               const protobuf::Descriptor& _type, int _depth)
	{
		uint64_t number = 0;
		switch (WireFormatLite::GetTagWireType(_tag))
		{
		case WireFormatLite::WIRETYPE_VARINT:
			return _in.ReadVarint64(&number);
		case WireFormatLite::WIRETYPE_FIXED64:
			return _in.Skip(kFixed64Bytes);
		case WireFormatLite::WIRETYPE_FIXED32:
			return _in.Skip(kFixed32Bytes);
		case WireFormatLite::WIRETYPE_LENGTH_DELIMITED:
			return takeSized(_in, WireFormatLite::GetTagFieldNumber(_tag), _bytes, _type, _depth);
		default:
			return false; // groups, which no version of ours writes
		}
	}

	bool takeSized(protobuf::io::CodedInputStream& _in, int _number, std::string_view _bytes,
	               const protobuf::Descriptor& _type, int _depth)
	{
		uint32_t size = 0;
		if (!_in.ReadVarint32(&size) || static_cast<uint32_t>(std::numeric_limits<int>::max()) < size)
		{
			return false;
		}
		const auto at = static_cast<std::size_t>(_in.CurrentPosition());
		if (!_in.Skip(static_cast<int>(size)))
		{
			return false;
		}
		const protobuf::FieldDescriptor* const field = _type.FindFieldByNumber(_number);
		const bool isMessage = nullptr != field && nullptr != field->message_type();
		if (!isMessage)
		{
			return true;
		}
		return _depth < kMostDepth && take(_bytes.substr(at, size), *field->message_type(), _depth + 1);
	}

	std::size_t left_;
};

} // namespace

bool parseBounded(std::string_view _bytes, const ParseBound& _bound, protobuf::Message& _message)
{
	// Protobuf writes a line of its own for each text that is not UTF-8, as many as whoever wrote the bytes likes.
	const protobuf::LogSilencer silencer;
	const std::size_t most = std::min<std::size_t>(_bound.bytes, std::numeric_limits<int>::max());
	const bool fits = _bytes.size() <= most;
	const bool isCounted = kUncountedBytes < _bytes.size();
	if (fits && (!isCounted || FieldCount(_bound.fields).take(_bytes, *_message.GetDescriptor(), 0)))
	{
		if (_message.ParseFromArray(_bytes.data(), static_cast<int>(_bytes.size())))
		{
			return true;
		}
	}
	_message.Clear();
	return false;
}

} // namespace sedgecart
