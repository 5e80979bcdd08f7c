// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_LOSSLEDGER_H_HEADER_GUARD
#define SEDGECART_CTL_LOSSLEDGER_H_HEADER_GUARD

#include <ctl/layerlosslist.h>

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

struct LogRecord;

/// Why a request was not answered, or not on time, as far as a node can tell.
struct LossCause
{
	enum Enum
	{
		None,           //!< Answered, on time as far as the node saw.
		FirstLate,      //!< Its first event came late.
		PausedPlain,    //!< A pause without a change of its path: slow targets, prompts beside it.
		PausedRepathed, //!< A pause while new parts of its path read its prompt.
		PausedMoved,    //!< A pause while another chain read its prompt.
		Resumed,        //!< Its caller came back with the rest: the node before it had stopped or broken it off.
		BrokenOff,      //!< No target could continue it.
		NoRoom,         //!< Refused: no path with room or slots.
		NoChain,        //!< Refused: no path that holds every layer.
		TargetRefused,  //!< Refused: targets turned it away, or could not be reached.
		TargetLost,     //!< It may have run, and no answer came.
		OutOfTime,      //!< Its time ran out.
		NotProven,      //!< Not let in: the node's proof of the desired state was too old.

		Count
	};
};

/// @returns "no_room" and so on.
const char* nameOf(LossCause::Enum _cause);

/// Where requests were lost or late: for each window of time, data hall and service, how many and why. Read from nodes'
/// logs.
class LossLedger
{
public:
	/// @param _windowMicros length of a window.
	/// @param _firstMillis a first event later than this is late.
	LossLedger(int64_t _windowMicros, int64_t _firstMillis);

	/// Takes the lines of one log, of one node or of several.
	void read(std::istream& _log);

	/// @returns rows "seconds,hall,service,cause,requests" with a heading, for a spreadsheet or a plot. Seconds count
	/// from the first request.
	std::string csv() const;

	/// @returns a table for people: a line for each window and hall, with all services together, and behind them one
	/// for each loss of layers.
	std::string table() const;

private:
	/// What the log has said of a request so far.
	struct Request
	{
		int64_t sentAt = 0; //!< First time, microseconds.
		std::string service;
		uint32_t sends = 0;
		bool resumed = false;
		LossCause::Enum pause = LossCause::None; //!< Of its first pause.
		bool repathed = false;
	};

	struct Key
	{
		int64_t micros = 0; //!< When the request came.
		std::string hall;
		std::string service;

		bool operator<(const Key& _other) const;
	};

	using Counts = std::array<uint64_t, LossCause::Count>;

	void take(const LogRecord& _record);
	void onSent(const LogRecord& _record, Request& _request);
	void end(const LogRecord& _record, LossCause::Enum _cause);
	LossCause::Enum causeOfAnswer(const LogRecord& _record, const Request& _request) const;
	std::string hallOf(const std::string& _node) const;
	int64_t firstAt() const;

	int64_t windowMicros_;
	int64_t firstMillis_;
	std::map<std::string, std::string> halls_; //!< By node.
	std::map<std::string, Request> underWay_;  //!< By node and request.
	std::map<Key, Counts> counts_;
	LayerLossList layerLosses_;
};

} // namespace sedgecart

#endif // SEDGECART_CTL_LOSSLEDGER_H_HEADER_GUARD
