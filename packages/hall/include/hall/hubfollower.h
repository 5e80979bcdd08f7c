// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_HUBFOLLOWER_H_HEADER_GUARD
#define SEDGECART_HALL_HUBFOLLOWER_H_HEADER_GUARD

#include <base/clock.h>
#include <core/hubselector.h>
#include <hall/halllog.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class HallAnswer;
class HallReport;
} // namespace wire

/// Receives that another node must learn something before the next report is due.
class HubListenerI
{
public:
	virtual ~HubListenerI() = default;

	/// This node has chosen another hub between two steps, or the store has answered it and it reads for others.
	virtual void onHubChanged() = 0;
};

/// Follows one node of the hall as its hub: detects that the hub is silent or that the store cannot be read through it,
/// switches to another node, and sets the read mode of HallLog. Control thread only, except for isHub and reads.
class HubFollower : public StoreReadListenerI
{
public:
	/// @param _self name of this node.
	/// @param _cpuShare of this node.
	HubFollower(const std::string& _self, double _cpuShare, const ClockI& _clock, HallLog& _log);

	void setListener(HubListenerI& _listener)
	{
		listener_ = &_listener;
	}

	/// Enables or disables sharing among the nodes of a hall the trial reads of a store that is down. Enabled by
	/// default.
	void shareTries(bool _enabled)
	{
		choice_.shareProbes(_enabled);
	}

	/// @param _candidates the nodes of this node's hall, in any order.
	void setCandidates(std::vector<HubCandidate> _candidates);

	/// Checks whether the hub has been silent for too long, and chooses a hub.
	/// @returns the chosen hub.
	const Hub& update();

	/// @returns the nodes to probe now.
	std::vector<std::string> takeDueProbes()
	{
		return choice_.takeDueProbes(clock_.now());
	}

	/// @returns the nodes that are probed or of which an answer is expected.
	std::vector<std::string> probedNodes() const
	{
		return choice_.probedNodes();
	}

	/// Records that a node has answered a probe.
	void onProbeAnswered(const std::string& _node);

	/// Writes a report's number and the reads that wait for the hub. The hub's answer is expected from now on.
	void fillReport(wire::HallReport& _report);

	/// Applies an answer and its updates of the store.
	/// @returns false if the answer was ignored, because it is from a former hub or older than another answer.
	bool applyAnswer(const wire::HallAnswer& _answer);

	void onStoreRead(bool _answered) override;

	/// Records that another node has announced that it reads the store.
	void onReader(const std::string& _node);

	/// Records that another node has reported to this one.
	void onFollower(const std::string& _node);

	/// @returns the nodes to notify that this one reads the store, while it does so in their place.
	std::vector<std::string> nodesToNotify() const;

	/// @returns true if this node waits for the hub to load a topic.
	bool isLoading() const
	{
		return log_.hasPendingLoad();
	}

	/// @returns the hub that was chosen last.
	const Hub& hub() const
	{
		return hub_;
	}

	/// @returns true while this node is the hub of its hall, also if it reads through another one. Any thread.
	bool isHub() const
	{
		return isHub_.load();
	}

	/// @returns true while the store can be read through this node, which reads it itself or through a node that has
	/// announced that it does. Any thread.
	bool reads() const
	{
		return reads_.load();
	}

private:
	void notifyListener();
	void checkSilence(Time _now);
	void applyHub(const Hub& _hub);
	void evaluateAnswer(const wire::HallAnswer& _answer);
	bool applyUpdates(const wire::HallAnswer& _answer);

	std::string self_;
	const ClockI& clock_;
	HallLog& log_;
	HubListenerI* listener_ = nullptr;
	HubSelector choice_;
	Hub hub_;                   //!< Chosen last.
	uint64_t lastReport_ = 0;   //!< Number of the last report.
	uint64_t lastAnswered_ = 0; //!< Number of the last report that this hub has answered.
	uint64_t answerCount_ = 0;  //!< Number of answers received from this hub.
	Time answerDueSince_;       //!< Since when an answer of the hub is overdue; 0: none is expected.
	bool storeProven_ = false;  //!< The store has answered this node since it became its own hub.
	std::atomic<bool> isHub_{false};
	std::atomic<bool> reads_{true}; //!< Initially true, so that nodes that query a starting node wait for it.
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HUBFOLLOWER_H_HEADER_GUARD
