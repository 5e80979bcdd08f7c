// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/renewalfilter.h>

#include <base/digest.h>
#include <base/runner.h>
#include <ports/documentparser.h>
#include <ports/keyedlog.h>

namespace sedgecart
{

namespace
{

/// @returns a hash of the fields of a target's record, other than its name.
uint64_t hashOf(const RunnerRecord& _record)
{
	uint64_t hash = hash64(_record.service);
	hash = hash64(_record.address, hash);
	hash = hash64(_record.hall, hash);
	hash = hash64(_record.accelerator, hash);
	const std::string numbers = std::to_string(_record.slots) + ' ' + (_record.draining ? "draining " : "ready ") +
	                            std::to_string(_record.layers.begin) + ' ' + std::to_string(_record.layers.end) + ' ' +
	                            std::to_string(_record.startTime.unixMillis);
	return hash64(numbers, hash);
}

} // namespace

RenewalFilter::RenewalFilter(const DocumentParserI& _documents) : documents_(_documents)
{
}

bool RenewalFilter::isRedundant(const KeyedRecord& _record, Time _readAt)
{
	const auto known = rows_.find(_record.key);
	if (_record.removed)
	{
		if (rows_.end() != known)
		{
			release(known->second.address);
			rows_.erase(known);
		}
		return false;
	}
	RunnerRecord parsed;
	const RecordFault::Enum fault = documents_.parseRunner(_record.key, _record.value, parsed);
	if (RecordFault::None == fault && order_.isOutdated(parsed, _readAt))
	{
		return true;
	}
	Row row = rowOf(fault, parsed);
	const bool isKnown = rows_.end() != known;
	if (!isKnown || known->second.address != row.address)
	{
		release(isKnown ? known->second.address : std::string());
		claim(row.address);
	}
	row.wasContested = !row.address.empty() && 1 < claims_.at(row.address);
	const bool isSame = isKnown && known->second.content == row.content;
	const bool isContested = row.wasContested || (isKnown && known->second.wasContested);
	rows_[_record.key] = std::move(row);
	return isSame && !isContested;
}

void RenewalFilter::clear()
{
	rows_.clear();
	claims_.clear();
}

RenewalFilter::Row RenewalFilter::rowOf(RecordFault::Enum _fault, const RunnerRecord& _record)
{
	if (RecordFault::None != _fault)
	{
		return Row{static_cast<uint64_t>(_fault), std::string(), false};
	}
	return Row{hashOf(_record), _record.address, false};
}

void RenewalFilter::claim(const std::string& _address)
{
	if (!_address.empty())
	{
		++claims_[_address];
	}
}

void RenewalFilter::release(const std::string& _address)
{
	const auto row = claims_.find(_address);
	if (claims_.end() != row && 0 == --row->second)
	{
		claims_.erase(row);
	}
}

} // namespace sedgecart
