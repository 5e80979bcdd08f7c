// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_HUBSELECTOR_H_HEADER_GUARD
#define SEDGECART_CORE_HUBSELECTOR_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// A node of a data hall that can be chosen as its hub.
struct HubCandidate
{
	std::string name;
	double cpuShare = 0; //!< Fraction of a CPU core; nodes with more are preferred.
};

/// Sorts candidates by preference as hub.
void sortHubCandidates(std::vector<HubCandidate>& _candidates);

/// The hub as seen by one node.
struct Hub
{
	std::string name;
	bool readsStore = false;  //!< The store is readable through this node.
	bool probesStore = false; //!< The store is unavailable, and this node is due to probe it now.
	bool announced = false;   //!< Chosen because it announced that it can read the store.
};

/// Selects the node of a hall through which this node reads the store and which adds up loads. All nodes of a hall use
/// the same order, so they mostly agree; two hubs at the same time for a moment do no harm. A node that cannot read the
/// store is avoided for some time. One that does not answer is avoided until it answers a probe: a hall that tried it
/// as its hub again would have no hub meanwhile.
///
/// If the store does not answer the hub, it may be unavailable to all nodes: they then stay with the hub and probe the
/// store in turn, a few per second whatever the size of the hall. A node that can read the store announces it to the
/// first nodes of the hall, and the hub reads through it. This bounds the load of a large hall whose nodes would
/// otherwise all search for a path to an unavailable store. Pure: the time is passed in.
class HubSelector
{
public:
	/// @param _self name of this node, which is always a candidate.
	/// @param _cpuShare of this node, by which it counts until its own record is known.
	explicit HubSelector(const std::string& _self, double _cpuShare = 0);

	/// Whether the nodes of a hall take turns in probing a store that is unavailable. Enabled by default.
	void shareProbes(bool _enabled)
	{
		sharesProbes_ = _enabled;
	}

	/// @param _candidates the nodes of this node's hall, in any order.
	void setCandidates(std::vector<HubCandidate> _candidates);

	/// @returns the first node that answers and can read the store; if there is none, the first that answers.
	Hub choose(Time _now) const;

	/// A node answered.
	/// @param _reads it reads the store itself, and its data is up to date.
	void onAnswer(const std::string& _node, bool _reads, Time _now);

	/// A node did not answer.
	void onNoAnswer(const std::string& _node, Time _now);

	/// @returns the nodes to probe now: those that have not answered, each at longer and longer intervals, and the
	/// other candidates once after a node has not answered. A hall may have lost several of its nodes at once, and
	/// waiting for one after the other would outlast the time for which keys are accepted without proof.
	std::vector<std::string> takeDueProbes(Time _now);

	/// @returns all nodes that have not answered, or of which an answer to a probe is expected.
	std::vector<std::string> probedNodes() const;

	/// A node answered a probe.
	void onProbeAnswered(const std::string& _node);

	/// A node reads the store itself, but its data is outdated.
	void onOutdated(const std::string& _node, Time _now);

	/// A node is the hub and reports that the store does not answer it.
	void onStoreUnavailable(const std::string& _node, Time _now);

	/// A node announced that the store answers it.
	void onReaderAnnounced(const std::string& _node, Time _now);

	/// A node uses this one as its hub.
	void onUsedAsHub(const std::string& _node, Time _now);

	/// Result of this node's own call to the store.
	void onStoreResult(bool _answered, Time _now);

	/// @returns false if this node's last call to the store was not answered.
	bool storeAnswers() const
	{
		return storeAnswers_;
	}

	/// @returns the nodes, other than this one, to which this node announces that it can read the store.
	std::vector<std::string> announcementRecipients() const;

	/// Interval at which the nodes of a hall take turns in probing a store that does not answer the hub: four calls per
	/// second, fewer than the first two nodes make.
	static constexpr Duration kProbeStep = Duration::fromMillis(250);

private:
	/// How long a node is avoided, or not probed; the span doubles each time in a row.
	struct Avoidance
	{
		Time until;
		Duration span;
	};

	using Avoidances = std::map<std::string, Avoidance>;

	bool isUnresponsive(const std::string& _node) const
	{
		return 0 < unresponsive_.count(_node);
	}

	bool isPassedOver(const std::string& _node) const;
	void suspectOthers(const std::string& _node, Time _now);
	void expireSuspicions(Time _now);

	static bool isAvoided(const Avoidances& _pauses, const std::string& _node, Time _now);
	static bool isAnotherAvoided(const Avoidances& _pauses, const std::string& _node, Time _now);
	static void extend(Avoidances& _pauses, const std::string& _node, Time _now);
	Hub chooseInOrder(Time _now) const;
	Hub chooseDuringOutage(Time _now) const;
	std::string firstResponsive() const;
	bool isStoreUnavailable(Time _now) const;
	void avoid(const std::string& _node, Time _now);
	void markUnavailableIf(bool _isOut, Time _now);
	void startSearch(Time _now);
	Time nextProbe(Time _now) const;
	bool isSearchable() const;
	static Duration stepsOf(Duration _step, std::size_t _count);
	std::size_t ownIndex() const;

	std::string self_;
	double cpuShare_;
	std::vector<HubCandidate> order_; //!< The first nodes of the hall, and this one.
	std::size_t hallSize_ = 1;
	std::size_t probePlace_ = 0; //!< Position of this node in the hall's order of probing.
	Avoidances unresponsive_;    //!< Nodes that did not answer, and when each is probed next.
	/// Nodes that must answer a probe because another one did not answer, and since when.
	std::map<std::string, Time> suspected_;
	bool suspectAnswered_ = false; //!< One of `suspected_` has answered; the others are passed over until they do.
	Avoidances withoutStore_;      //!< Nodes through which the store is not readable.
	Avoidances outdated_;          //!< Those of them that read the store, but have outdated data.
	bool storeAnswers_ = true;
	bool sharesProbes_ = true;
	Time unavailableUntil_;   //!< The store counts as unavailable until then.
	Time probeAt_;            //!< When this node next probes the store while it is unavailable.
	Time searchUntil_;        //!< Until then the nodes of the hall probe at short intervals.
	Time readsDirectlyUntil_; //!< Until then this node reads the store itself, also for nodes that cannot.
	std::string reader_;
	Time readerValidUntil_; //!< Until then the reader's announcement is valid.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_HUBSELECTOR_H_HEADER_GUARD
