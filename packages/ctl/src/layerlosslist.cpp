// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/layerlosslist.h>
#include <ctl/requeststory.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <sstream>
#include <tuple>

namespace sedgecart
{

namespace
{

constexpr double kMicrosPerSecond = 1e6;
constexpr int kDecimal = 10;

/// The registry shows what ended a loss to one node before the others: a step so much later still belongs to it.
constexpr int64_t kApartMicros = 2000000;

/// A range "20-40" of the log: layers from the first up to, not including, the second.
struct Range
{
	unsigned long begin = 0;
	unsigned long end = 0;
};

std::vector<Range> rangesOf(const std::string& _text)
{
	std::vector<Range> ranges;
	std::istringstream words(_text);
	std::string word;
	while (std::getline(words, word, ','))
	{
		const std::size_t dash = word.find('-');
		if (std::string::npos != dash)
		{
			const unsigned long begin = std::strtoul(word.c_str(), nullptr, kDecimal);
			ranges.push_back(Range{begin, std::strtoul(word.c_str() + dash + 1, nullptr, kDecimal)});
		}
	}
	return ranges;
}

bool overlap(const std::string& _a, const std::string& _b)
{
	const std::vector<Range> others = rangesOf(_b);
	for (const Range& one : rangesOf(_a))
	{
		const bool meets = std::any_of(others.begin(), others.end(),
		                               [&one](const Range& _other)
		                               {
			                               return one.begin < _other.end && _other.begin < one.end;
		                               });
		if (meets)
		{
			return true;
		}
	}
	return false;
}

std::string seconds(const char* _format, int64_t _micros)
{
	char text[32];
	std::snprintf(text, sizeof(text), _format, static_cast<double>(_micros) / kMicrosPerSecond);
	return text;
}

} // namespace

void LayerLossList::take(const LogRecord& _record)
{
	const BegunKey key{valueOf(_record, "hall"), valueOf(_record, "service"), _record.node};
	if ("Layers have no holder." == _record.message)
	{
		begun_[key] = Loss{_record.micros, 0, valueOf(_record, "layers")};
	}
	else if ("Layers are held again." == _record.message)
	{
		const auto begun = begun_.find(key);
		if (begun_.end() != begun)
		{
			ended_[std::get<0>(key)].push_back(Loss{begun->second.begin, _record.micros, begun->second.layers});
			begun_.erase(begun);
		}
	}
	else if ("Order of the layout goes on." == _record.message)
	{
		takeOrder(_record);
	}
}

/// Every node tells of each order; the first word counts.
void LayerLossList::takeOrder(const LogRecord& _record)
{
	const std::string order = valueOf(_record, "target") + ' ' + valueOf(_record, "fence");
	const Step told{_record.micros, valueOf(_record, "hall"), valueOf(_record, "layers")};
	const auto row = stepsByPhase_[valueOf(_record, "phase")].emplace(order, told);
	if (!row.second && told.at < row.first->second.at)
	{
		row.first->second = told;
	}
}

std::vector<LayerLossList::Loss> LayerLossList::inOrder(std::vector<Loss> _losses)
{
	std::sort(_losses.begin(), _losses.end(),
	          [](const Loss& _a, const Loss& _b)
	          {
		          return _a.begin < _b.begin;
	          });
	return _losses;
}

bool LayerLossList::isWithin(const std::vector<Loss>& _losses, int64_t _at)
{
	return std::any_of(_losses.begin(), _losses.end(),
	                   [_at](const Loss& _loss)
	                   {
		                   return _loss.begin - kApartMicros <= _at && _at <= _loss.end;
	                   });
}

/// @returns the losses of a hall, those that nodes saw at once put together. A node that ended meanwhile told no end:
/// its word counts only where no other node told of the loss.
std::vector<LayerLossList::Loss> LayerLossList::lossesOf(const std::string& _hall) const
{
	std::vector<Loss> losses;
	const auto ended = ended_.find(_hall);
	for (const Loss& loss : ended_.end() == ended ? std::vector<Loss>() : inOrder(ended->second))
	{
		if (losses.empty() || losses.back().end < loss.begin)
		{
			losses.push_back(loss);
		}
		else
		{
			losses.back().end = std::max(losses.back().end, loss.end);
		}
	}
	Loss open;
	for (const auto& row : begun_)
	{
		const bool isFirst = 0 == open.begin || row.second.begin < open.begin;
		if (_hall == std::get<0>(row.first) && isFirst && !isWithin(losses, row.second.begin))
		{
			open = row.second;
		}
	}
	if (0 != open.begin)
	{
		losses.push_back(open);
	}
	return losses;
}

LayerLossList::Steps LayerLossList::stepsOf(const std::string& _phase, const std::string& _hall,
                                            const Loss& _loss) const
{
	Steps steps;
	const auto phase = stepsByPhase_.find(_phase);
	if (stepsByPhase_.end() == phase)
	{
		return steps;
	}
	for (const auto& row : phase->second)
	{
		const Step& step = row.second;
		const bool isOpen = 0 == _loss.end || step.at <= _loss.end + kApartMicros;
		const bool isIn = _loss.begin - kApartMicros <= step.at && isOpen;
		if (isIn && _hall == step.hall && overlap(step.layers, _loss.layers))
		{
			steps.first = 0 == steps.count ? step.at : std::min(steps.first, step.at);
			steps.last = std::max(steps.last, step.at);
			++steps.count;
		}
	}
	return steps;
}

std::string LayerLossList::lineOf(const std::string& _hall, const Loss& _loss, int64_t _from) const
{
	char head[64];
	std::snprintf(head, sizeof(head), "%8.1f s  %-12s ", static_cast<double>(_loss.begin - _from) / kMicrosPerSecond,
	              _hall.c_str());
	std::string text = std::string(head) + "layers " + _loss.layers;
	text += 0 == _loss.end ? "  not held again" : seconds("  lost for %.1f s", _loss.end - _loss.begin);
	const Steps ordered = stepsOf("ordered", _hall, _loss);
	const Steps shown = stepsOf("shown", _hall, _loss);
	const Steps refused = stepsOf("refused", _hall, _loss);
	text += 0 == ordered.count ? "  not ordered" : seconds("  ordered %+.1f s", ordered.first - _loss.begin);
	text += 0 == shown.count ? "  not shown" : seconds("  shown %+.1f s", shown.last - _loss.begin);
	text += 0 == refused.count ? "" : "  refused " + std::to_string(refused.count);
	return text + '\n';
}

std::string LayerLossList::text(int64_t _from) const
{
	std::set<std::string> halls;
	for (const auto& row : ended_)
	{
		halls.insert(row.first);
	}
	for (const auto& row : begun_)
	{
		halls.insert(std::get<0>(row.first));
	}
	std::vector<std::tuple<int64_t, std::string>> lines;
	for (const std::string& hall : halls)
	{
		for (const Loss& loss : lossesOf(hall))
		{
			lines.emplace_back(loss.begin, lineOf(hall, loss, _from));
		}
	}
	std::sort(lines.begin(), lines.end());
	std::string text;
	for (const auto& line : lines)
	{
		text += std::get<1>(line);
	}
	return text;
}

} // namespace sedgecart
