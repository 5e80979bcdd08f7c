// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_REQUESTIDENTITY_H_HEADER_GUARD
#define SEDGECART_BASE_REQUESTIDENTITY_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <string_view>

namespace sedgecart
{

/// The parts of a request that all of its attempts have in common.
struct RequestParts
{
	std::string_view customer; //!< Or a substitute where there is none.
	std::string_view method;
	std::string_view host;
	std::string_view target; //!< Path with query.
	std::string_view body;
};

/// Identifies a request independently of the attempt and the node: by its customer, its destination and its content.
/// Ids, hints, time budgets and the position from which a stream is resumed differ between attempts and are excluded.
struct RequestIdentity
{
	uint64_t caller = 0; //!< Hash of the customer alone, which a caller cannot choose: no customer can craft a request
	                     //!< that collides with another customer's.
	uint64_t high = 0;
	uint64_t low = 0;

	/// @returns true if it identifies a part of prompts instead of a request.
	bool isPromptPart() const;

	/// @returns 48 lower-case hex digits.
	std::string text() const;

	/// @param _identity set to the parsed identity.
	/// @returns false if the text is not in the form that `text` returns.
	static bool parse(std::string_view _text, RequestIdentity& _identity);
};

inline bool operator==(const RequestIdentity& _a, const RequestIdentity& _b)
{
	return _a.caller == _b.caller && _a.high == _b.high && _a.low == _b.low;
}

/// An order for sorted containers.
inline bool operator<(const RequestIdentity& _a, const RequestIdentity& _b)
{
	if (_a.low != _b.low)
	{
		return _a.low < _b.low;
	}
	return _a.high == _b.high ? _a.caller < _b.caller : _a.high < _b.high;
}

RequestIdentity identifyCaller(const RequestParts& _parts);

/// Identifies a part of prompts, whoever sends it: what crashes a target is the part, not its customer.
/// @param _service whose targets run the prompts.
/// @param _part as the callers name it.
RequestIdentity identifyPromptPart(std::string_view _service, std::string_view _part);

} // namespace sedgecart

#endif // SEDGECART_BASE_REQUESTIDENTITY_H_HEADER_GUARD
