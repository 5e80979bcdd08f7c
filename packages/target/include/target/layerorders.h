// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_LAYERORDERS_H_HEADER_GUARD
#define SEDGECART_TARGET_LAYERORDERS_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

/// An order to a model runner to hold other layers.
struct LayerOrder
{
	std::string address; //!< "ip:port".
	std::string id;
	uint64_t fence = 0; //!< A runner that checks fences refuses an order that is not newer than the last.
	std::string model;
	LayerRange layers;
};

/// What came of an order.
struct OrderState
{
	enum Enum
	{
		Taken,
		Refused, //!< Not carried out: it does not fit, or a newer one came first.
		Unknown, //!< It may have been taken, and may be carried out later.

		Count
	};
};

/// Gives orders to model runners.
class LayerOrdersI
{
public:
	virtual ~LayerOrdersI() = default;

	/// Sends an order, once.
	virtual OrderState::Enum send(const LayerOrder& _order, Duration _timeout) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_LAYERORDERS_H_HEADER_GUARD
