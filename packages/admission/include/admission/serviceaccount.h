// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_SERVICEACCOUNT_H_HEADER_GUARD
#define SEDGECART_ADMISSION_SERVICEACCOUNT_H_HEADER_GUARD

#include <core/streampace.h>
#include <demand/waitingtokens.h>
#include <forecast/releasetimeline.h>
#include <forecast/returnplanner.h>
#include <leases/leaseaccount.h>

namespace sedgecart
{

/// State of a node that concerns the admission to one prioritized service.
struct ServiceAccount
{
	LeaseAccount lease;
	ReleaseTimeline releases;
	WaitingTokens waiting;
	ReturnPlanner returns{releases, waiting};
	StreamPace pace; //!< Request thread only.
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_SERVICEACCOUNT_H_HEADER_GUARD
