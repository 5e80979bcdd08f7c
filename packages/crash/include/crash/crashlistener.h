// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CRASH_CRASHLISTENER_H_HEADER_GUARD
#define SEDGECART_CRASH_CRASHLISTENER_H_HEADER_GUARD

#include <base/targetincarnation.h>
#include <core/crashledger.h>

namespace sedgecart
{

/// Receives the crashes and responses that the request path observes. Called on its thread.
class CrashListenerI
{
public:
	virtual ~CrashListenerI() = default;

	/// Called when a target has crashed while it ran these requests.
	virtual void onCrash(const LostRuns& _runs, const TargetIncarnation& _target) = 0;

	/// Called when a target has completed a suspected request.
	virtual void onAnswered(const RequestIdentity& _request) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CRASH_CRASHLISTENER_H_HEADER_GUARD
