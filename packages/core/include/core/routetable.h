// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_ROUTETABLE_H_HEADER_GUARD
#define SEDGECART_CORE_ROUTETABLE_H_HEADER_GUARD

#include <base/desiredstate.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgecart
{

/// Finds the route and the customer of a request in a desired state. Immutable.
class RouteTable
{
public:
	explicit RouteTable(std::shared_ptr<const DesiredState> _state);

	/// @param _path the request's path; a query string is ignored.
	/// @returns the host's route with the longest prefix that matches the path; null if there is none.
	const HostRoute* findRoute(std::string_view _host, std::string_view _path) const;

	/// @returns the customer that owns the key, null if there is none.
	const KeyHolder* findCustomer(std::string_view _key) const;

	/// @returns the service with this name, null if there is none.
	const ServiceSpec* findService(const std::string& _name) const;

	/// @returns true if the streams of a service have several urgencies, by their routes: under overload
	/// they are admitted by urgency.
	bool isPrioritized(const std::string& _service) const;

	/// @param _holder null if the route needs no key.
	/// @returns the urgency of a request as the target is told: the customer's if it has one, else the route's.
	static uint32_t urgencyOf(const HostRoute& _route, const KeyHolder* _holder);

	/// @returns the rank of a stream among those of its prioritized service, 0 first: by `urgencyOf`, and by the
	/// route's urgency where customers have the same one.
	uint32_t rankOf(const std::string& _service, const HostRoute& _route, const KeyHolder* _holder) const;

	const DesiredState& state() const
	{
		return *state_;
	}

private:
	std::shared_ptr<const DesiredState> state_;
	std::unordered_map<std::string, std::vector<const HostRoute*>> byHost_; //!< Longest prefix first.
	std::unordered_map<std::string, const KeyHolder*> byKey_;
	std::unordered_map<std::string, const ServiceSpec*> services_;
	std::map<std::string, std::set<uint32_t>> prioritized_; //!< Urgencies of the streams' routes, by service.
	std::set<uint32_t> customerUrgencies_;
};

/// Selects one of a route's services by weight.
/// @param _draw uniformly random bits.
/// @returns null if no service has a weight above 0.
const WeightedService* pickService(const HostRoute& _route, uint64_t _draw);

} // namespace sedgecart

#endif // SEDGECART_CORE_ROUTETABLE_H_HEADER_GUARD
