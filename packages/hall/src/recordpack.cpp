// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "recordpack_p.h"

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <zstd.h>

namespace sedgecart
{

namespace
{

/// The fastest level: a node packs while others wait for it, and reads of the desired state come in bursts.
constexpr int kLevel = 1;

/// Most bytes that are unpacked, so that a damaged or hostile text cannot take a node's memory: a fifth of 160 MB, the
/// least that nodes have.
constexpr std::size_t kMostUnpacked = 32UL * 1024 * 1024;

/// Most fields in it: four for each of a hundred thousand records. A record without anything in it takes two bytes
/// here, and some hundred once it is read.
constexpr ParseBound kBound{kMostUnpacked, 400000};

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
	const std::size_t size = ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), kLevel);
	packed.resize(0 != ZSTD_isError(size) ? 0 : size); // an empty text is read by nobody
	return packed;
}

bool unpackRecords(const std::string& _packed, std::vector<KeyedRecord>& _records)
{
	_records.clear();
	const unsigned long long size = ZSTD_getFrameContentSize(_packed.data(), _packed.size());
	if (ZSTD_CONTENTSIZE_UNKNOWN == size || ZSTD_CONTENTSIZE_ERROR == size || kMostUnpacked < size)
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
