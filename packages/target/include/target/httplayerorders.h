// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_HTTPLAYERORDERS_H_HEADER_GUARD
#define SEDGECART_TARGET_HTTPLAYERORDERS_H_HEADER_GUARD

#include <target/layerorders.h>

namespace sedgecart
{

/// Orders to model runners over HTTP.
class HttpLayerOrders : public LayerOrdersI
{
public:
	OrderState::Enum send(const LayerOrder& _order, Duration _timeout) override;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_HTTPLAYERORDERS_H_HEADER_GUARD
