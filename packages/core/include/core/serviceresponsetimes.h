// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_SERVICERESPONSETIMES_H_HEADER_GUARD
#define SEDGECART_CORE_SERVICERESPONSETIMES_H_HEADER_GUARD

#include <core/responsetimeestimator.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

struct WeightedService;

/// Response times observed for each service on its own: those of a busy fast service say nothing about a slow one.
/// Loop thread only.
class ServiceResponseTimes
{
public:
	/// @returns the observations of a service, to be added to; valid until the next call. Allocates nothing for a
	/// service that is known.
	ResponseTimeEstimator& of(const std::string& _service);

	/// @param _services the services of a route, one of which runs the request.
	/// @param _maxTokens maximum tokens of a stream's response; 0 if it is not known.
	/// @returns the longest of their estimates; zeros if there is none. The initial estimates apply to a service
	/// without observations.
	ResponseTimeEstimate estimate(const std::vector<WeightedService>& _services, RequestKind::Enum _kind,
	                              uint32_t _maxTokens, EstimateBound::Enum _bound) const;

	/// @returns the number of services with observations.
	std::size_t size() const
	{
		return rows_.size();
	}

	/// Maximum number of services, several times those of a large fleet. Services come and go with the desired state:
	/// the one unused for longest is discarded first.
	static constexpr std::size_t kMaxServices = 128;

private:
	struct Row
	{
		ResponseTimeEstimator times;
		uint64_t lastUse = 0; //!< Number of the last call of `of` for it.
	};

	void makePlace();

	std::map<std::string, Row> rows_;
	uint64_t uses_ = 0; //!< Calls of `of`.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_SERVICERESPONSETIMES_H_HEADER_GUARD
