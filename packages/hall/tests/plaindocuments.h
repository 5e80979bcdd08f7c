// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_TESTS_PLAINDOCUMENTS_H_HEADER_GUARD
#define SEDGECART_HALL_TESTS_PLAINDOCUMENTS_H_HEADER_GUARD

#include <ports/documentparser.h>

#include <sstream>
#include <string>

namespace sedgecart
{

/// Parses records of targets that hold "address begin end sequence".
class PlainDocuments : public DocumentParserI
{
public:
	bool isDesiredState(const std::string&) const override
	{
		return false;
	}

	bool parseDesiredState(const std::string&, DesiredState&) const override
	{
		return false;
	}

	RecordFault::Enum parseRunner(const std::string& _key, const std::string& _text,
	                              RunnerRecord& _record) const override
	{
		std::istringstream words(_text);
		_record.instance = InstanceId{_key};
		words >> _record.address >> _record.layers.begin >> _record.layers.end >> _record.sequence.value;
		return words ? RecordFault::None : RecordFault::Unreadable;
	}
};

} // namespace sedgecart

#endif // SEDGECART_HALL_TESTS_PLAINDOCUMENTS_H_HEADER_GUARD
