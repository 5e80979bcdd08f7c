// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_ORDERBOOK_H_HEADER_GUARD
#define SEDGECART_CORE_ORDERBOOK_H_HEADER_GUARD

#include <core/holdorder.h>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

struct RunnerRecord;

/// The orders to hold layers, each from its record until the registry shows it, the target refuses it, or nothing tells
/// of it for longer than its load can take. An order counts as held by what is known of it: layers counted on too long
/// stay without a holder, and layers not counted on are ordered to a second target while the first one loads them.
/// Pure: the time is passed in.
class OrderBook
{
public:
	/// @param _hasLives false: an order counts for a fixed time, whatever becomes of it.
	explicit OrderBook(bool _hasLives);

	/// A record of the layout orders this.
	/// @param _load to read the new layers, alone; 0: not known.
	/// @param _own whether this node sends it.
	void take(const TargetLife& _life, LayerSpan _layers, Offset _fence, Duration _load, bool _own, Time _now);

	/// What another node knows of an order, by its record. What is known here already stays, unless it ends the order.
	/// @param _left the other node counts on it for so long yet.
	void takeTold(const HoldOrder& _told, Duration _left, Time _now);

	/// This node sends the order, or sends it again.
	void onSent(const HoldOrder& _order, Time _now);

	/// The order cannot be sent now.
	void putOff(const HoldOrder& _order, Time _now);

	/// The order is counted on, and this node never sends it again: it does not know how old the order is.
	void onlyCount(const HoldOrder& _order);

	/// The order would do harm by now: this node neither sends it again nor counts on it.
	void giveUp(const HoldOrder& _order, Time _now);

	/// A target answered this node, or did not.
	void onAnswer(const TargetLife& _life, Offset _fence, LayoutOrderState::Enum _state, Time _now);

	/// Takes what the registry shows of a target.
	void onShown(const RunnerRecord& _record, Time _now);

	/// Gives up what is not counted on any more, and forgets refusals that have lasted.
	void pass(Time _now);

	/// @returns the newest order that counts as held by this start of the target, null if there is none.
	const HoldOrder* counting(const TargetLife& _life, Time _now) const;

	/// @returns true if this start of the target refused these layers a moment ago.
	bool isRefused(const TargetLife& _life, LayerSpan _layers, Time _now) const;

	/// @returns true if this start of the target refused some order a moment ago.
	bool hasRefused(const TargetLife& _life, Time _now) const;

	/// @returns orders that are to be sent again under their fence, so that their target tells what became of them.
	/// Only the latest of a target, whatever came of it.
	/// @param _place of this node among all, from 0.
	std::vector<HoldOrder> dueAgain(std::size_t _place, Time _now) const;

	/// @returns what a record tells of: all orders under way, and refusals that are kept.
	std::vector<HoldOrder> told() const;

	/// @returns true if this node knows of an order what no record tells yet and the others need.
	bool hasNews() const
	{
		return hasNews_;
	}

	/// A record tells all that this node knows, or one that did so was not stored.
	void setNews(bool _hasNews)
	{
		hasNews_ = _hasNews;
	}

	/// @returns what has happened to orders since the last call, with their phase then.
	std::vector<HoldOrder> takeEvents();

	/// From the end of a load until every node has read it: two reports of a target, 1.2 s each, and a read of the
	/// registry, 0.9 s.
	static constexpr Duration kRegistryLag = Duration::fromMillis(3300);

	/// Load time where the operator tells none: with the registry's lag, 6 s.
	static constexpr Duration kUsualLoad = Duration::fromMillis(2700);

	/// How long an order counts on after its time, so that its target can be asked: two answers that do not come (1.5
	/// s).
	static constexpr Duration kSettleTime = Duration::fromMillis(3000);

	/// Between an answer that did not come or settled nothing, and the next time that the order is sent.
	static constexpr Duration kAskPause = Duration::fromMillis(500);

	/// How long the plan does not ask again what was refused: what the target is busy with shows by then, or ends.
	static constexpr Duration kRefusedFor = Duration::fromMillis(3000);

private:
	using Orders = std::vector<HoldOrder>; //!< Of one target, by fence.

	HoldOrder* find(const TargetLife& _life, Offset _fence);
	void add(const HoldOrder& _order);
	void set(HoldOrder& _order, OrderPhase::Enum _phase, Time _now);
	void extend(HoldOrder& _order, Duration _by, Time _now);
	void settleBusy(HoldOrder& _order, Time _now);
	void refuse(HoldOrder& _order, LayoutOrderState::Enum _reason, Time _from, Time _now);
	void noteUnanswered(HoldOrder& _order, Time _now);
	static bool isFromBefore(const Orders& _orders, const HoldOrder& _order, Time _now);
	void dropBefore(Orders& _orders, const HoldOrder& _by, Time _now);
	void noteTook(const HoldOrder& _order, Time _now);
	Duration expected(const HoldOrder& _order) const;

	bool hasLives_;
	bool hasNews_ = false;
	std::map<std::string, Orders> orders_; //!< By instance; ended ones while their refusal is kept.
	std::vector<HoldOrder> events_;
	static constexpr std::size_t kSeen = 8;
	std::array<double, kSeen> slowness_{}; //!< Of the last orders shown: times as long as expected.
	std::size_t seen_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_ORDERBOOK_H_HEADER_GUARD
