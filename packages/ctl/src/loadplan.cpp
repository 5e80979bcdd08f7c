// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/loadplan.h>

#include <algorithm>
#include <random>

namespace sedgecart
{

std::vector<LoadArrival> makeArrivals(const LoadPlan& _plan)
{
	std::mt19937_64 engine(_plan.seed);
	std::exponential_distribution<double> gap(_plan.requestsPerSecond);
	std::vector<double> shares;
	shares.reserve(_plan.customers.size());
	for (const LoadCustomer& customer : _plan.customers)
	{
		shares.push_back(customer.share);
	}
	std::discrete_distribution<uint32_t> customer(shares.begin(), shares.end());
	std::uniform_int_distribution<uint32_t> tokens(std::max(1U, _plan.meanTokens / 2), _plan.meanTokens * 3 / 2);
	std::vector<LoadArrival> arrivals;
	double at = 0;
	while ((at += gap(engine)) < _plan.seconds)
	{
		LoadArrival arrival;
		arrival.atSeconds = at;
		arrival.customer = customer(engine);
		arrival.tokens = tokens(engine);
		arrival.prompt = "request " + std::to_string(arrivals.size()) + " of " + std::to_string(_plan.seed) + " ";
		arrival.prompt.resize(std::max<std::size_t>(arrival.prompt.size(), _plan.promptBytes), '.');
		arrivals.push_back(std::move(arrival));
	}
	return arrivals;
}

} // namespace sedgecart
