// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETCONNECTION_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETCONNECTION_H_HEADER_GUARD

#include <aio/clientconnection.h>
#include <base/units.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

/// A connection to a target, with the requests that it answered and that may be sent again. A target may repeat an
/// answer late, in the place of the next one. Answers name their request, but not the send: over a connection that
/// answered a request before, the repeated answer cannot be told from the one that is due.
class TargetConnection
{
public:
	explicit TargetConnection(std::unique_ptr<ClientConnection> _client);
	~TargetConnection();

	/// @returns the connection itself.
	ClientConnection& client() const
	{
		return *client_;
	}

	/// Records that a request was answered here.
	/// @param _request its id.
	/// @param _until when it can no longer be sent again.
	void recordAnswer(const std::string& _request, Time _until, Time _now);

	/// @returns true if a request that may be sent again was answered here.
	bool hasAnswered(const std::string& _request) const;

private:
	struct Answered
	{
		uint64_t request; //!< Hash of its id.
		Time until;
	};

	std::unique_ptr<ClientConnection> client_;
	std::vector<Answered> answered_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETCONNECTION_H_HEADER_GUARD
