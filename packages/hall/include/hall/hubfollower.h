// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_HUBFOLLOWER_H_HEADER_GUARD
#define SEDGECART_HALL_HUBFOLLOWER_H_HEADER_GUARD

#include <base/clock.h>
#include <core/hubchoice.h>
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

/// Goes by one node of the hall as its hub: notices when it falls silent, or when the store cannot be read through it,
/// goes over to another, and tells HallLog where reads go. Control thread only, but for isHub and reads.
class HubFollower : public StoreWatchI
{
public:
	/// @param _self name of this node.
	HubFollower(const std::string& _self, const ClockI& _clock, HallLog& _log);

	/// Whether the nodes of a hall share the look for a store that is out. They do, unless this switches it off.
	void shareTries(bool _share)
	{
		choice_.shareTries(_share);
	}

	/// @param _candidates the nodes of this node's hall, in any order.
	void setCandidates(std::vector<HubCandidate> _candidates);

	/// Looks whether the hub has been silent for too long, and chooses.
	/// @returns the hub.
	const Hub& update();

	/// Writes a report's number and the reads that wait for the hub, which owes an answer from now on.
	void beginReport(wire::HallReport& _report);

	/// Takes an answer, with its news of the store.
	/// @returns false if it is of a hub that was left, or late behind another answer: nothing of it counts.
	bool takeAnswer(const wire::HallAnswer& _answer);

	void onStoreRead(bool _answered) override;

	/// Another node told that it reads the store.
	void noteReader(const std::string& _node);

	/// Another node reported to this one.
	void noteFollowed(const std::string& _node);

	/// @returns the nodes that are to be told that this one reads the store: while it does so in the place of those.
	std::vector<std::string> toldNodes() const;

	/// @returns the hub as chosen last.
	const Hub& hub() const
	{
		return hub_;
	}

	/// @returns true while this node is the hub of its hall, also if it reads through another one. Any thread.
	bool isHub() const
	{
		return isHub_.load();
	}

	/// @returns true while the store can be read through this node, which reads it itself or through a node that told
	/// it so. Any thread.
	bool reads() const
	{
		return reads_.load();
	}

private:
	void noteSilence(Time _now);
	void follow(const Hub& _hub);
	void noteAnswer(const wire::HallAnswer& _answer);
	bool takeNews(const wire::HallAnswer& _answer);

	std::string self_;
	const ClockI& clock_;
	HallLog& log_;
	HubChoice choice_;
	Hub hub_;               //!< As chosen last.
	uint64_t reports_ = 0;  //!< Number of the last one.
	uint64_t answered_ = 0; //!< Number of the last one that this hub has answered.
	uint64_t answers_ = 0;  //!< Of this hub so far.
	Time askedAt_;          //!< Since when the hub has owed an answer and sent none; 0: it owes none.
	bool proven_ = false;   //!< The store has answered this node since it has been its own hub.
	std::atomic<bool> isHub_{false};
	std::atomic<bool> reads_{true}; //!< At first, so that whoever asks a node that starts waits for it.
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HUBFOLLOWER_H_HEADER_GUARD
