// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PORTS_RUNNERORDERS_H_HEADER_GUARD
#define SEDGECART_PORTS_RUNNERORDERS_H_HEADER_GUARD

#include <base/layoutorderstate.h>
#include <base/runner.h>
#include <base/units.h>
#include <ports/stageendpoint.h>

#include <functional>
#include <string>
#include <vector>

namespace sedgecart
{

/// @returns the name used in logs, such as "begun".
const char* nameOf(LayoutOrderState::Enum _state);

/// Outcome of moving a request to another path.
struct RepathState
{
	enum Enum
	{
		Moved,
		NoRequest, //!< The head does not know the request.
		NoStage,   //!< A stage of the new path is not held or has no free capacity.
		Refused,   //!< The target does not accept such orders.
		Unknown,   //!< No answer.

		Count
	};
};

/// @returns the name used in logs, such as "moved".
const char* nameOf(RepathState::Enum _state);

/// Outcome of a query for a target's state.
struct ProbeAnswer
{
	bool answered = false;
	bool disconnected = false; //!< The connection was closed before an answer: the target is alive but full.
	bool refused = false;      //!< The connection was refused: nothing listens at its address.
	bool notSent = false;      //!< The query was not sent, by a fault of this node or of its link.
	uint32_t attempts = 1;     //!< Number of attempts. If none was answered, each waited for the whole time limit.
	std::vector<std::string> stalled; //!< "ip:port" of targets that its requests wait for.
	double slowdown = 1;              //!< How many times slower than usual it was some hundred ms ago.
	StartTime startTime;              //!< Start time of the target that answered.

	/// @returns true if it shows that the target is alive.
	bool isAlive() const
	{
		return answered || disconnected;
	}
};

/// Sends orders and queries to targets that run layers of a model. Calls return at once; callbacks run on the loop's
/// thread.
class RunnerOrdersI
{
public:
	virtual ~RunnerOrdersI() = default;

	using OrderCallback = std::function<void(LayoutOrderState::Enum)>;

	/// Orders a target to hold these layers and no others. Another instance at its address refuses the order.
	/// @param _fence a target refuses an order whose fence is lower than one that it has seen.
	virtual void holdLayers(const RunnerRecord& _target, LayerSpan _layers, Offset _fence, OrderCallback _call) = 0;

	using ProbeCallback = std::function<void(const ProbeAnswer&)>;

	/// Asks a target for its state.
	/// @param _timeout without an answer by then the target counts as not answering. If a reused connection is silent
	/// for this long, the query is repeated once over a new one.
	virtual void probe(const std::string& _address, Duration _timeout, ProbeCallback _call) = 0;

	/// Asks a target for its state as `probe` does, but only over a connection that is kept open between polls: a
	/// missing answer is no evidence about the target.
	virtual void poll(const std::string& _address, Duration _timeout, ProbeCallback _call) = 0;

	/// Receives the state, and "ip:port" of the missing stage if the target names one.
	using RepathCallback = std::function<void(RepathState::Enum, const std::string&)>;

	/// Moves a request to another path with the same first stage. Its events continue where they stopped.
	/// @param _request the request's id.
	virtual void repath(const std::string& _headAddress, const std::string& _request,
	                    const std::vector<StageEndpoint>& _path, RepathCallback _call) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_PORTS_RUNNERORDERS_H_HEADER_GUARD
