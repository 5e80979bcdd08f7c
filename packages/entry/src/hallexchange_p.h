// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_HALLEXCHANGE_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_HALLEXCHANGE_P_H_HEADER_GUARD

#include "fleetcontroller_p.h"
#include "halllog_p.h"
#include "loadboard_p.h"

#include <base/clock.h>
#include <core/bytebudget.h>
#include <core/hubchoice.h>
#include <entry/entrysettings.h>
#include <peer/peerlink.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class HallAnswer;
class HallReport;
class TopicQuestion;
} // namespace wire

/// What the nodes tell each other. In each hall one node is the hub: the others report their loads to it several times
/// a second and get back the sum of all nodes' loads and the news of the store, so that few nodes read the store and
/// the traffic grows with the nodes, not with their square. Hubs tell each other their halls' sums. Control thread
/// only, but for the link's calls.
class HallExchange : public PeerHandlerI, public StoreWatchI
{
public:
	/// @remarks Throws std::exception when the address for other nodes cannot be bound.
	HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
	             const FleetController& _fleet, HallLog& _log, const TopicCache& _cache);

	void start();

	/// The nodes' places have changed.
	void onNodesChanged();

	/// @returns true while this node is the hub of its hall.
	bool isHub() const
	{
		return isHub_.load();
	}

	void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) override;
	void onStoreRead(bool _answered) override;

private:
	/// A report that was sent and may still be contained in a total.
	struct Sent
	{
		uint64_t number = 0;
		LoadTable loads;
	};

	void tick();
	void noteSilence(Time _now);
	void follow(const Hub& _hub);
	void report(const Hub& _hub, const LoadTable& _own);
	void addUp(const LoadTable& _own);
	void tellHubs(const LoadTable& _hall);
	std::vector<std::string> otherHubs() const;
	std::vector<std::string> firstNodes(const std::string& _hall) const;
	std::vector<HubCandidate> candidatesOf(const std::string& _hall) const;
	void connect(const std::vector<std::string>& _addresses);
	std::string addressOf(const std::string& _node) const;
	void answer(const wire::HallReport& _report, wire::HallAnswer& _answer);
	void answerQuestion(const wire::TopicQuestion& _question, wire::HallAnswer& _answer);
	void onAnswer(const wire::HallAnswer& _answer);
	bool takeNews(const wire::HallAnswer& _answer);
	void noteAnswered(uint64_t _number);
	void takeTotals(const wire::HallAnswer& _answer);
	LoadTable ownLoads() const;
	void setOthers(const LoadTable& _others);

	boost::asio::io_context& loop_;
	boost::asio::steady_timer timer_;
	std::string name_;
	std::string hall_;
	const ClockI& clock_;
	const FleetController& fleet_;
	HallLog& log_;
	const TopicCache& cache_;
	HubChoice choice_;
	Hub hub_;                            //!< As of the last tick.
	std::vector<std::string> connected_; //!< Addresses.
	LoadBoard board_;
	std::deque<Sent> sent_;
	uint64_t reports_ = 0;  //!< Number of the last one.
	uint64_t answered_ = 0; //!< Number of the last one that this hub has answered.
	Time askedAt_;          //!< Since when the hub has owed an answer and sent none; 0: it owes none.
	ByteBudget handOn_;     //!< For large news. Link's thread only.
	std::atomic<bool> isHub_{false};
	/// This node reads the store, and the store answers. Whoever asks a node that starts waits for it.
	std::atomic<bool> reads_{true};
	std::unique_ptr<PeerLink> link_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_HALLEXCHANGE_P_H_HEADER_GUARD
