// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "recordpack_p.h"

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <zstd.h>

namespace sedgecart
{

namespace
{

/// Compression level; the fastest one, because other nodes wait while a node packs, and reads of the desired state come
/// in bursts.
constexpr int kCompressionLevel = 1;

/// Maximum number of unpacked bytes, so that corrupt or hostile data cannot exhaust a node's memory: a fifth of 160 MB,
/// the smallest memory of a node.
constexpr std::size_t kMaxUnpackedBytes = 32UL * 1024 * 1024;

/// Maximum number of fields: four for each of a hundred thousand records. An empty record takes two bytes when packed,
/// and about a hundred once it is parsed.
constexpr ParseBound kBound{kMaxUnpackedBytes, 400000};

} // namespace

void putRecord(const KeyedRecord& _record, wire::TopicRecord& _out)
{
	_out.set_key(_record.key);
	_out.set_value(_record.value);
	_out.set_removed(_record.removed);
	_out.set_offset(_record.offset.value);
}

KeyedRecord recordOf(const wire::TopicRecord& _record)
{
	return KeyedRecord{_record.key(), _record.value(), _record.removed(), Offset{_record.offset()}};
}

std::string packRecords(const std::vector<KeyedRecord>& _records)
{
	wire::TopicRecords rows;
	for (const KeyedRecord& record : _records)
	{
		putRecord(record, *rows.add_records());
	}
	const std::string plain = rows.SerializeAsString();
	std::string packed(ZSTD_compressBound(plain.size()), '\0');
	const std::size_t size = ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), kCompressionLevel);
	packed.resize(0 != ZSTD_isError(size) ? 0 : size); // unpackRecords rejects an empty string
	return packed;
}

bool unpackRecords(const std::string& _packed, std::vector<KeyedRecord>& _records)
{
	_records.clear();
	const unsigned long long size = ZSTD_getFrameContentSize(_packed.data(), _packed.size());
	if (ZSTD_CONTENTSIZE_UNKNOWN == size || ZSTD_CONTENTSIZE_ERROR == size || kMaxUnpackedBytes < size)
	{
		return false;
	}
	std::string plain(size, '\0');
	const std::size_t read = ZSTD_decompress(plain.data(), plain.size(), _packed.data(), _packed.size());
	wire::TopicRecords rows;
	if (0 != ZSTD_isError(read) || read != size || !parseBounded(plain, kBound, rows))
	{
		return false;
	}
	for (const wire::TopicRecord& row : rows.records())
	{
		_records.push_back(recordOf(row));
	}
	return true;
}

} // namespace sedgecart
