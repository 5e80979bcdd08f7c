// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_STREAMRELEASE_P_H_HEADER_GUARD
#define SEDGECART_RELAY_STREAMRELEASE_P_H_HEADER_GUARD

#include <base/units.h>
#include <core/streamend.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace sedgecart
{

struct FleetService;
struct RelayContext;
struct RelayPlan;
struct ServiceAccount;

/// Keeps the expected end of one running stream in the ReleaseTimeline of its service, and removes it on release or
/// destruction. Does nothing unless the service is prioritized and the mechanism `capacity-forecast` is enabled. Loop
/// thread only.
class StreamRelease
{
public:
	/// Both arguments must outlive this object.
	StreamRelease(const RelayContext& _context, const RelayPlan& _plan);
	~StreamRelease();

	StreamRelease(const StreamRelease&) = delete;
	StreamRelease& operator=(const StreamRelease&) = delete;

	/// Adds the stream, in place of its previous send if there is one.
	/// @param _tokens that it occupies at each layer.
	void onSent(const FleetService& _service, uint64_t _tokens);

	/// @param _events of the answer so far, over all attempts of the caller.
	void onEvents(uint64_t _events);

	/// Removes the stream: it runs at no target.
	void release();

	/// Adds the stream again after `release`: its previous send continues.
	void restore();

	/// Records the length and the pace of a complete answer, for estimates of other streams.
	void onComplete();

private:
	void add();

	const RelayContext& context_;
	const RelayPlan& plan_;
	uint64_t events_ = 0; //!< Of the answer so far.
	uint64_t tokens_ = 0;
	std::shared_ptr<ServiceAccount> account_; //!< Null until the first send that is tracked.
	std::optional<StreamEnd> end_;            //!< Of the last send.
	std::optional<Time> addedAt_;             //!< Time in the timeline; none while the stream is not in it.
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_STREAMRELEASE_P_H_HEADER_GUARD
