// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_EVICTIONORDER_P_H_HEADER_GUARD
#define SEDGECART_AIO_EVICTIONORDER_P_H_HEADER_GUARD

#include <base/bootclock.h>

#include <vector>

namespace sedgecart
{

class AcceptedConnection;

/// Connection that a server may close to make room for another one.
struct EvictionCandidate
{
	AcceptedConnection* connection = nullptr;
	bool hasAnswered = false; //!< A request of it was answered.
	BootClock::time_point readAt;
};

/// Orders the connections of a server that has as many as it may: those that never sent a whole request come first, as
/// of a crowd that connects and waits; among equals those that have been silent for longest.
void sortForEviction(std::vector<EvictionCandidate>& _candidates);

} // namespace sedgecart

#endif // SEDGECART_AIO_EVICTIONORDER_P_H_HEADER_GUARD
