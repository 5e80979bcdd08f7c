// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETPROBATION_P_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETPROBATION_P_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/units.h>
#include <fleet/fleetview.h>

#include <memory>
#include <string>

namespace sedgecart
{

struct RelayContext;
class RunnerOrdersI;

/// Leaves a target out that answers with bytes that are no answer, until it answers a probe. Lives by its timer and its
/// probe. Loop thread only.
class TargetProbation : public std::enable_shared_from_this<TargetProbation>
{
public:
	/// Records that a send got bytes that are no answer. Leaves the target out after several in a row.
	static void recordWorthless(const RelayContext& _context, const FleetTarget& _target);

	TargetProbation(const RelayContext& _context, const FleetTarget& _target);

private:
	void waitThenProbe();
	void probe();

	Timer timer_;
	RunnerOrdersI& orders_;
	std::weak_ptr<TargetLoad> load_; //!< Ends with the last reference to this incarnation of the target.
	std::string instance_;
	std::string address_;
	Duration pause_; //!< Before the next probe.
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETPROBATION_P_H_HEADER_GUARD
