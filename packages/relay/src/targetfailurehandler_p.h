// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETFAILUREHANDLER_P_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETFAILUREHANDLER_P_H_HEADER_GUARD

#include <logging/logging.h>
#include <relay/relaycontext.h>

#include <string>

namespace sedgecart
{

class RelayLog;
class RequestPath;
struct FleetTarget;
struct TargetResponse;

/// Identifies the target that failed one request, and has it avoided. Loop thread only.
class TargetFailureHandler
{
public:
	/// All arguments must outlive this object.
	TargetFailureHandler(const RelayContext& _context, RequestPath& _path, const RelayLog& _log);

	/// Excludes the target that the answer names as being at fault, or else the head, from further choices for this
	/// request, and has other requests avoid it for a short time.
	/// @param _failure why there is no answer to forward, for the log.
	void onFailure(const TargetResponse& _answer, const char* _failure);

	/// The same for a node that did not take the request over.
	void onDeclined();

private:
	void recordMissingLayers(const FleetTarget& _failed, const std::string& _atFault);

	const RelayContext& context_;
	RequestPath& path_;
	const RelayLog& log_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETFAILUREHANDLER_P_H_HEADER_GUARD
