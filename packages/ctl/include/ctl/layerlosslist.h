// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_LAYERLOSSLIST_H_HEADER_GUARD
#define SEDGECART_CTL_LAYERLOSSLIST_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace sedgecart
{

struct LogRecord;

/// The losses of layers that nodes' logs tell of: each data hall's, with what was ordered meanwhile and when the
/// registry showed it. Nodes see a loss some tenths of a second apart; what overlaps in a hall is one loss.
class LayerLossList
{
public:
	/// Takes a record of any kind.
	void take(const LogRecord& _record);

	/// @param _from times are counted from here, microseconds.
	/// @returns a line for each loss, in order of time.
	std::string text(int64_t _from) const;

private:
	/// As one node saw it, or several together.
	struct Loss
	{
		int64_t begin = 0;
		int64_t end = 0; //!< 0: not told.
		std::string layers;
	};

	/// A step of an order's life, as some node told it first.
	struct Step
	{
		int64_t at = 0;
		std::string hall;
		std::string layers;
	};

	/// What is told of the orders of a loss.
	struct Steps
	{
		int64_t first = 0;
		int64_t last = 0;
		uint32_t count = 0;
	};

	/// Hall, service and node.
	using BegunKey = std::tuple<std::string, std::string, std::string>;

	void takeOrder(const LogRecord& _record);
	static std::vector<Loss> inOrder(std::vector<Loss> _losses);
	static bool isWithin(const std::vector<Loss>& _losses, int64_t _at);
	std::vector<Loss> lossesOf(const std::string& _hall) const;
	Steps stepsOf(const std::string& _phase, const std::string& _hall, const Loss& _loss) const;
	std::string lineOf(const std::string& _hall, const Loss& _loss, int64_t _from) const;

	std::map<std::string, std::vector<Loss>> ended_; //!< By hall, as each node saw them.
	std::map<BegunKey, Loss> begun_;
	std::map<std::string, std::map<std::string, Step>>
	    stepsByPhase_; //!< By phase, then by the order: target and fence.
};

} // namespace sedgecart

#endif // SEDGECART_CTL_LAYERLOSSLIST_H_HEADER_GUARD
