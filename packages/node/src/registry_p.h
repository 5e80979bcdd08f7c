// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_REGISTRY_P_H_HEADER_GUARD
#define SEDGECART_NODE_REGISTRY_P_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sedgecart
{

/// A request in flight, as shown to operators.
struct ActiveRequest
{
	std::string id;
	std::string customer;
	std::string route;
	std::string chain; //!< Targets, separated by ">".
	Time startedAt;
	uint32_t tokens = 0;
};

/// Requests in flight on this node. Thread-safe.
class Registry
{
public:
	void add(const ActiveRequest& _request);
	void setChain(const std::string& _id, const std::string& _chain);
	void setTokens(const std::string& _id, uint32_t _tokens);
	void remove(const std::string& _id);

	std::vector<ActiveRequest> list() const;
	std::size_t size() const;

private:
	mutable std::mutex mutex_;
	std::map<std::string, ActiveRequest> active_;
};

/// Registers a request for the lifetime of this object.
class RegistryEntry
{
public:
	RegistryEntry(Registry& _registry, const ActiveRequest& _request) : registry_(_registry), id_(_request.id)
	{
		registry_.add(_request);
	}
	~RegistryEntry()
	{
		registry_.remove(id_);
	}

	RegistryEntry(const RegistryEntry&) = delete;
	RegistryEntry& operator=(const RegistryEntry&) = delete;

private:
	Registry& registry_;
	std::string id_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_REGISTRY_P_H_HEADER_GUARD
