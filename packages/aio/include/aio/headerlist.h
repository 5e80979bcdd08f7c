// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_HEADERLIST_H_HEADER_GUARD
#define SEDGECART_AIO_HEADERLIST_H_HEADER_GUARD

#include <string>
#include <string_view>
#include <vector>

namespace sedgecart
{

/// One header field of a message.
struct HeaderField
{
	std::string name;
	std::string value;
};

/// Header fields in the order of arrival. Names are compared case-insensitively.
class HeaderList
{
public:
	void add(std::string_view _name, std::string_view _value);

	/// Removes every field of that name.
	void remove(std::string_view _name);

	/// @returns the value of the first field of that name, null if there is none.
	const std::string* find(std::string_view _name) const;

	/// @returns how many fields have that name.
	std::size_t count(std::string_view _name) const;

	const std::vector<HeaderField>& fields() const
	{
		return fields_;
	}

	void clear()
	{
		fields_.clear();
	}

private:
	std::vector<HeaderField> fields_;
};

/// @returns true if both names are equal, ignoring ASCII case.
bool sameName(std::string_view _a, std::string_view _b);

/// Removes hop-by-hop fields and the fields that the Connection field names.
void removeHopByHop(HeaderList& _headers);

} // namespace sedgecart

#endif // SEDGECART_AIO_HEADERLIST_H_HEADER_GUARD
