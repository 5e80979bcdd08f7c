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

/// A loss of layers that begins or ends.
struct LayerLossNews
{
	std::string hall;
	std::vector<LayerSpan> layers; //!< That nobody holds; at the end, those that nobody held at its beginning.
	Duration lasted;
	bool ends = false;
};

/// Tells which layers no target of a data hall holds, and since when, so that requests which found no chain can be
/// traced to a loss and its length. A hall that has never held the whole model has lost nothing: halls may share a
/// chain. Pure: the time is passed in.
class LayerLosses
{
public:
	/// What the targets of each hall hold, by its name.
	using Holdings = std::map<std::string, std::vector<LayerSpan>>;

	/// @param _layers of the model.
	/// @param _holdings a hall that is not named holds nothing.
	/// @returns the losses that have begun or ended since the last look.
	std::vector<LayerLossNews> look(uint32_t _layers, const Holdings& _holdings, Time _now);

private:
	struct Hall
	{
		bool isLost = false;
		Time since;
		std::vector<LayerSpan> layers;
	};

	void note(const std::string& _hall, const std::vector<LayerSpan>& _missing, Time _now,
	          std::vector<LayerLossNews>& _news);

	std::map<std::string, Hall> halls_; //!< Those that have held the whole model.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYERLOSSES_H_HEADER_GUARD
