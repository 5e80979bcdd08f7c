// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETNOTICES_P_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETNOTICES_P_H_HEADER_GUARD

#include <relay/relaycontext.h>

namespace sedgecart
{

struct FleetTarget;
struct TargetResponse;

/// Applies what a target announces about itself in an answer: rate limit, backoff and drain. Independent of the request
/// that is answered. Loop thread only.
class TargetNotices
{
public:
	/// @param _context must outlive this object.
	explicit TargetNotices(const RelayContext& _context);

	/// @param _target sent the answer.
	void apply(const FleetTarget& _target, const TargetResponse& _answer) const;

private:
	void applyRate(const FleetTarget& _target, const TargetResponse& _answer) const;
	void applyBackoff(const FleetTarget& _target, const TargetResponse& _answer) const;
	void applyDrainNotice(const FleetTarget& _target, const TargetResponse& _answer) const;

	const RelayContext& context_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETNOTICES_P_H_HEADER_GUARD
