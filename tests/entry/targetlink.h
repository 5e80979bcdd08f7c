// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_TARGETLINK_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_TARGETLINK_H_HEADER_GUARD

#include <memory>
#include <string>

namespace sedgecart
{

/// How a link is cut.
struct LinkCut
{
	enum Enum
	{
		None,
		Refused,    //!< New connections are refused, existing ones are reset.
		Hanging,    //!< New connections are not answered, existing ones pass nothing on.
		RefusedNew, //!< New connections are refused, existing ones live on.

		Count
	};
};

/// Loopback TCP proxy between one node and one target, which a test can cut. Any thread.
class TargetLink
{
public:
	/// @param _target "ip:port".
	explicit TargetLink(const std::string& _target);
	~TargetLink();

	TargetLink(const TargetLink&) = delete;
	TargetLink& operator=(const TargetLink&) = delete;

	/// @returns "ip:port" that it listens on.
	std::string address() const;

	/// Cuts the link, or restores it. Connections that hung are reset when it is restored. Returns when it is done.
	void set(LinkCut::Enum _cut);

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_TARGETLINK_H_HEADER_GUARD
