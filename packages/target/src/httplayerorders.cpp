// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <target/httplayerorders.h>

#include <http/httpclient.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

OrderState::Enum HttpLayerOrders::send(const LayerOrder& _order, Duration _timeout)
{
	constexpr uint16_t kOk = 200;
	wire::Order order;
	order.set_id(_order.id);
	order.set_fence(_order.fence);
	order.set_model(_order.model);
	order.set_first_layer(_order.layers.first);
	order.set_last_layer(_order.layers.last);
	HttpCall call;
	call.method = "POST";
	call.target = "/v1/orders";
	call.body = toJson(order);
	const HttpOutcome outcome = HttpClient(parseEndpoint(_order.address)).call(call, _timeout);
	if (CallState::Replied == outcome.state)
	{
		return kOk == outcome.reply.status ? OrderState::Taken : OrderState::Refused;
	}
	return CallState::NotSent == outcome.state ? OrderState::Refused : OrderState::Unknown;
}

} // namespace sedgecart
