// A model runner of the second review, by the users' protocol: it holds all layers of a small model.
#pragma once

#include "sim.h"

namespace sim
{

struct RunnerFaults
{
	/// @returns true if the runner is full for this request (503 with Not-Executed).
	std::function<bool(const std::string& _id)> isFull;
	/// @returns true if the answer just given to this request is to be given a second time, late: in the place where
	/// the next answer on that connection is due.
	std::function<bool(const std::string& _id)> isRepeated;
};

class Runner
{
public:
	Runner(const std::string& _id, const std::string& _service, uint32_t _layers, Store& _store, RunnerFaults _faults)
	    : id_(_id),
	      service_(_service),
	      layers_(_layers),
	      store_(_store),
	      faults_(std::move(_faults)),
	      server_(
	          [this](int _fd, uint16_t)
	          {
		          serve(_fd);
	          })
	{
		beat();
		std::thread(
		    [this]
		    {
			    while (true)
			    {
				    sleepMs(1200);
				    beat();
			    }
		    })
		    .detach();
	}
	const std::string& id() const
	{
		return id_;
	}
	std::string address() const
	{
		return server_.address();
	}
	/// @returns ids of requests in the order in which they were begun.
	std::vector<std::string> runs() const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return runs_;
	}
	uint32_t answers() const
	{
		return answers_;
	}
	uint32_t surplus() const
	{
		return surplus_;
	}
	int pieces = 4;  //!< Events of a stream.
	int pieceMs = 4; //!< Time of each.

private:
	void beat()
	{
		const std::string sequence = std::to_string(++sequence_);
		store_.put(
		    "keyed.servers", id_,
		    "{\"service\":\"" + service_ + "\",\"address\":\"" + server_.address() +
		        "\",\"zone\":\"h1\",\"version\":\"v1\",\"slot_count\":8,\"state\":\"ready\",\"cold_left_ms\":0," +
		        (0 < layers_ ? "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
		                       "\"kind\":\"card\",\"layers\":{\"from\":0,\"target_version\":" +
		                           std::to_string(layers_) + ",\"version\":1},"
		                     : std::string()) +
		        "\"sequence\":" + sequence + '}');
	}
	void serve(int _fd)
	{
		Reader reader(_fd);
		Message call;
		std::string late; // a surplus answer that is still to come on this connection
		while (reader.read(call, false))
		{
			if (0 == call.target.find("/sedgecart/report"))
			{
				const std::string body =
				    "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
				    "\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,"
				    "\"kv_total\":400000,\"handles\":0,\"pace\":1,\"kind\":\"card\",\"layers\":{\"from\":0,"
				    "\"target_version\":" +
				    std::to_string(layers_) + ",\"version\":1}}";
				if (!writeAll(_fd, answerText(200, "application/json", body)))
				{
					break;
				}
				continue;
			}
			if (0 == call.target.find("/sedgecart/order"))
			{
				if (!writeAll(_fd, answerText(200, "application/json", "{}"))) // holds it already
				{
					break;
				}
				continue;
			}
			if (!request(_fd, call, late))
			{
				break;
			}
		}
		close(_fd);
	}
	std::string heads(const std::string& _id) const
	{
		return "Attempt-Id: " + _id + "\r\nResponse-Stamp: s." + id_ + '.' + _id + "\r\nWeight-Versions: 1\r\n";
	}
	/// @returns false if the connection has ended.
	bool request(int _fd, const Message& _call, std::string& _late)
	{
		const std::string id = _call.header("Attempt-Id");
		if (!_late.empty())
		{
			++surplus_;
			record().line("runner " + id_ + " gives an earlier answer a second time, in place of that to " + id);
			const bool written = writeAll(_fd, _late);
			_late.clear();
			if (!written)
			{
				return false;
			}
		}
		const std::string expected = _call.header("Expect-Instance");
		if (!expected.empty() && expected != id_)
		{
			return writeAll(_fd, answerText(421, "", "", "Instance-Id: " + id_ + "\r\n"));
		}
		if (faults_.isFull && faults_.isFull(id))
		{
			++answers_;
			const std::string full = answerText(
			    503, "", "", "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\nAt-Server: " + address() + "\r\n");
			record().line("runner " + id_ + " is full, answers " + id + " with 503 and Not-Executed");
			if (faults_.isRepeated && faults_.isRepeated(id))
			{
				_late = full;
			}
			return writeAll(_fd, full);
		}
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			runs_.push_back(id);
		}
		record().line("runner " + id_ + " runs " + id);
		++answers_;
		if (0 == layers_)
		{
			sleepMs(pieceMs);
			return writeAll(_fd, answerText(200, "text/plain", "done " + id, heads(id)));
		}
		if (!writeAll(_fd, "HTTP/1.1 200 OK\r\n" + heads(id) +
		                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		{
			return false;
		}
		for (int piece = 0; piece < pieces; ++piece)
		{
			sleepMs(pieceMs);
			if (peerGone(_fd))
			{
				record().line("runner " + id_ + ": the connection of " + id + " has ended before its stream");
				return false;
			}
			const std::string event = "id: " + std::to_string(piece) + "\ndata: t\n\n";
			char size[16];
			std::snprintf(size, sizeof(size), "%zx", event.size());
			if (!writeAll(_fd, std::string(size) + "\r\n" + event + "\r\n"))
			{
				return false;
			}
		}
		return writeAll(_fd, "0\r\n\r\n");
	}

	std::string id_;
	std::string service_;
	uint32_t layers_;
	Store& store_;
	RunnerFaults faults_;
	mutable std::mutex mutex_;
	std::vector<std::string> runs_;
	std::atomic<uint32_t> answers_{0};
	std::atomic<uint32_t> surplus_{0};
	uint32_t sequence_ = 0;
	Server server_;
};

} // namespace sim
