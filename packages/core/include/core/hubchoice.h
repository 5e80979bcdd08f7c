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
	bool tries = false; //!< The store is out, and this node is to see now whether it answers again.
	bool told = false;  //!< Chosen because it told that the store answers it.
};

/// Chooses which node of a hall reads the store for this one and adds up loads. All nodes of a hall go by the same
/// order, so that they mostly agree; that two are hubs for a moment does no harm. A node that does not answer, or that
/// the store does not answer, is passed over for a while.
///
/// A store that is out for the hub may be so for all: the nodes stay with the hub then, and look for a way round it one
/// after the other, a few a second whatever the size of the hall. Who finds one tells the first nodes of the hall, and
/// the hub reads through it. Answers the load in which each node of a large hall seeks its own way to a store that
/// answers nobody. Pure: the time is passed in.
class HubChoice
{
public:
	/// @param _self name of this node, which is a candidate whether it is listed or not.
	explicit HubChoice(const std::string& _self);

	/// Whether the nodes of a hall share the look for a store that is out. They do, unless this switches it off.
	void shareTries(bool _share)
	{
		sharesTries_ = _share;
	}

	/// @param _candidates the nodes of this node's hall, in any order.
	void setCandidates(std::vector<HubCandidate> _candidates);

	/// @returns the first node that answers and reads; if there is none, the first that answers.
	Hub choose(Time _now) const;

	/// A node answered.
	/// @param _reads it reads the store itself, and its news are fresh.
	void onAnswer(const std::string& _node, bool _reads, Time _now);

	/// A node did not answer.
	void onSilent(const std::string& _node, Time _now);

	/// A node reads the store itself, but its news are too old.
	void onStale(const std::string& _node, Time _now);

	/// A node is the hub, and the store does not answer it.
	void onStoreOut(const std::string& _node, Time _now);

	/// A node told that the store answers it.
	void onReader(const std::string& _node, Time _now);

	/// A node goes by this one as its hub.
	void onFollowed(const std::string& _node, Time _now);

	/// The store answered this node, or did not.
	void onStore(bool _answered, Time _now);

	/// @returns false if the store did not answer this node the last time that it was asked.
	bool storeAnswers() const
	{
		return storeAnswers_;
	}

	/// @returns the nodes, other than this one, that are to know that this one reads the store.
	std::vector<std::string> firstNodes() const;

	/// How far apart the nodes of a hall see whether a store that is out for the hub answers them: four calls a second,
	/// fewer than the two first nodes make.
	static constexpr Duration kTryStep = Duration::fromMillis(250);

private:
	/// How long a node is passed over, and for how long the next time.
	struct Pause
	{
		Time until;
		Duration span;
	};

	using Pauses = std::map<std::string, Pause>;

	static bool pausedNow(const Pauses& _pauses, const std::string& _node, Time _now);
	static bool anotherPaused(const Pauses& _pauses, const std::string& _node, Time _now);
	static void lengthen(Pauses& _pauses, const std::string& _node, Time _now);
	Hub chooseInOrder(Time _now) const;
	Hub chooseWhileOut(Time _now) const;
	std::string firstAnswering(Time _now) const;
	bool storeIsOut(Time _now) const;
	void passOver(const std::string& _node, Time _now);
	void takeAsOutIf(bool _isOut, Time _now);
	std::size_t ownPlace() const;

	std::string self_;
	std::vector<HubCandidate> order_; //!< The first nodes, and this one.
	std::size_t hallNodes_ = 1;
	std::size_t tryPlace_ = 0; //!< Of this node among those of the hall, when they try the store in turn.
	Pauses silent_;
	Pauses unread_; //!< Nodes through which the store cannot be read.
	Pauses stale_;  //!< Those of them that read it, but have old news.
	bool storeAnswers_ = true;
	bool sharesTries_ = true;
	Time outUntil_;    //!< The store is taken as out till then.
	Time tryAt_;       //!< When this node next sees whether it answers, while it is out.
	Time ownWayUntil_; //!< Till then this node reads the store itself, for others that cannot.
	std::string reader_;
	Time readerUntil_; //!< Till then the reader's word holds.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_HUBCHOICE_H_HEADER_GUARD
