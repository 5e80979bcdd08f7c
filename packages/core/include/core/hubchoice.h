// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_HUBCHOICE_H_HEADER_GUARD
#define SEDGECART_CORE_HUBCHOICE_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// A node of a data hall that may be its hub.
struct HubCandidate
{
	std::string name;
	double cpuShare = 0; //!< Of a core; the stronger node goes first.
};

/// Puts candidates in the order in which they are to be hubs.
void sortHubCandidates(std::vector<HubCandidate>& _candidates);

/// The hub as one node sees it.
struct Hub
{
	std::string name;
	bool reads = false; //!< The store can be read through it.
};

/// Chooses which node of a hall reads the store for this one and adds up loads. All nodes of a hall go by the same
/// order, so that they mostly agree; that two are hubs for a moment does no harm. A node that does not answer, or that
/// the store does not answer, is passed over for a while. Pure: the time is passed in.
class HubChoice
{
public:
	/// @param _self name of this node, which is a candidate whether it is listed or not.
	explicit HubChoice(const std::string& _self);

	/// @param _candidates the nodes of this node's hall, in any order.
	void setCandidates(std::vector<HubCandidate> _candidates);

	/// @returns the first node that answers and reads; if there is none, the first that answers.
	Hub choose(Time _now) const;

	/// A node answered.
	/// @param _reads it reads the store itself, and its news are fresh.
	void onAnswer(const std::string& _node, bool _reads, Time _now);

	/// A node did not answer.
	void onSilent(const std::string& _node, Time _now);

	/// The store answered this node, or did not.
	void onStore(bool _answered, Time _now);

	/// @returns false if the store did not answer this node the last time that it was asked.
	bool storeAnswers() const
	{
		return storeAnswers_;
	}

private:
	/// How long a node is passed over, and for how long the next time.
	struct Pause
	{
		Time until;
		Duration span;
	};

	using Pauses = std::map<std::string, Pause>;

	static bool pausedNow(const Pauses& _pauses, const std::string& _node, Time _now);
	static void lengthen(Pauses& _pauses, const std::string& _node, Time _now);
	std::size_t ownPlace() const;

	std::string self_;
	std::vector<HubCandidate> order_;
	Pauses silent_;
	Pauses unread_; //!< Nodes through which the store cannot be read.
	bool storeAnswers_ = true;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_HUBCHOICE_H_HEADER_GUARD
