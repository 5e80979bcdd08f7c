// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYERLOSSES_H_HEADER_GUARD
#define SEDGECART_CORE_LAYERLOSSES_H_HEADER_GUARD

#include <base/runner.h>
#include <base/units.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// The beginning or end of a loss of layers in a hall.
struct LayerLossUpdate
{
	std::string hall;
	/// Layers that no target holds; at the end of a loss, those that no target held at its beginning.
	std::vector<LayerSpan> layers;
	Duration lasted;   //!< Length of the loss if it ends.
	bool ends = false; //!< The loss ends.
};

/// Detects which layers no target of a data hall holds, and since when, so that requests for which no chain was found
/// can be traced to a loss and its length. A hall that has never held the whole model is not considered, because halls
/// may share a chain. Pure: the time is passed in.
class LayerLosses
{
public:
	/// The layers that the targets of each hall hold, by the name of the hall.
	using Holdings = std::map<std::string, std::vector<LayerSpan>>;

	/// @param _layers number of layers of the model.
	/// @param _holdings halls that are not listed hold nothing.
	/// @returns the losses that have begun or ended since the last call.
	std::vector<LayerLossUpdate> update(uint32_t _layers, const Holdings& _holdings, Time _now);

private:
	struct Hall
	{
		bool isLost = false;
		Time since;
		std::vector<LayerSpan> layers;
	};

	void updateHall(const std::string& _hall, const std::vector<LayerSpan>& _missing, Time _now,
	                std::vector<LayerLossUpdate>& _updates);

	std::map<std::string, Hall> halls_; //!< Halls that have held the whole model.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYERLOSSES_H_HEADER_GUARD
