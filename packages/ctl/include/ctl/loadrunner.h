// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_LOADRUNNER_H_HEADER_GUARD
#define SEDGECART_CTL_LOADRUNNER_H_HEADER_GUARD

namespace sedgecart
{

struct LoadPlan;
struct LoadReport;

/// Sends a plan's requests, each from a thread of its own, and waits for the last answer.
LoadReport runLoad(const LoadPlan& _plan);

} // namespace sedgecart

#endif // SEDGECART_CTL_LOADRUNNER_H_HEADER_GUARD
