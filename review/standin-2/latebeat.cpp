// A runner's record that the store takes late comes after the record that tells its planned end.
#include "sim.h"

using namespace sim;

namespace
{

constexpr int kRounds = 4;
constexpr int64_t kBeatMs = 1200;
constexpr int64_t kDrainTimeoutMs = 2000;
constexpr int64_t kWorkMs = 300;  // of a call
constexpr int64_t kLateMs = 4900; // of the one write that gets no answer

struct Arrival
{
	int64_t at;
	std::string id;
};

/// A plain runner. It beats, tells its planned end, serves on for a while, and ends.
class Runner
{
public:
	Runner(const std::string& _id, Store& _store)
	    : id_(_id),
	      store_(_store),
	      server_(
	          [this](int _fd, uint16_t)
	          {
		          serve(_fd);
	          })
	{
	}
	std::string recordText(uint32_t _sequence, bool _isLeaving) const
	{
		return "{\"service\":\"app\",\"address\":\"" + server_.address() +
		       "\",\"zone\":\"h1\",\"version\":\"v1\",\"slot_count\":16,\"state\":\"" +
		       (_isLeaving ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"sequence\":" + std::to_string(_sequence) +
		       '}';
	}
	/// Writes the next record: the store acknowledges it at once.
	void beat(bool _isLeaving)
	{
		const uint32_t sequence = ++sequence_;
		const uint64_t offset = store_.put("keyed.servers", id_, recordText(sequence, _isLeaving));
		if (_isLeaving)
		{
			record().line("store: " + id_ + ", sequence " + std::to_string(sequence) +
			              ", draining, is taken at offset " + std::to_string(offset));
		}
	}
	/// Writes the next record: the store takes it late and does not answer.
	uint32_t beatUnanswered()
	{
		const uint32_t sequence = ++sequence_;
		record().line("store: " + id_ + ", sequence " + std::to_string(sequence) + ", ready, gets no answer");
		return sequence;
	}
	void takeLate(uint32_t _sequence)
	{
		const uint64_t offset = store_.put("keyed.servers", id_, recordText(_sequence, false));
		record().line("store: " + id_ + ", sequence " + std::to_string(_sequence) +
		              ", ready, the write without an answer, is taken late, at offset " + std::to_string(offset));
	}
	/// It ends: its connections are reset, its entry goes.
	void end()
	{
		ended_ = true;
		record().line("runner " + id_ + " ends");
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			for (const int fd : open_)
			{
				shutdown(fd, SHUT_RDWR);
			}
		}
		store_.put("keyed.servers", id_, "");
	}
	std::vector<Arrival> arrivals() const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return arrivals_;
	}
	const std::string& id() const
	{
		return id_;
	}

private:
	void serve(int _fd)
	{
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			open_.push_back(_fd);
		}
		Reader reader(_fd);
		Message call;
		while (!ended_ && reader.read(call, false))
		{
			const std::string id = call.header("Attempt-Id");
			if (0 == call.target.find("/sedgecart/report"))
			{
				if (!writeAll(_fd, answerText(200, "application/json", "{\"busy\":false,\"sequence\":0,\"pace\":1}")))
				{
					break;
				}
				continue;
			}
			if (call.header("Expect-Instance") != id_)
			{
				if (!writeAll(_fd, answerText(421, "", "", "Attempt-Id: " + id + "\r\nInstance-Id: " + id_ + "\r\n")))
				{
					break;
				}
				continue;
			}
			{
				const std::lock_guard<std::mutex> lock(mutex_);
				arrivals_.push_back({nowMs(), id});
			}
			record().line("runner " + id_ + " runs " + id);
			sleepMs(kWorkMs);
			if (ended_ || !writeAll(_fd, answerText(200, "text/plain", "done " + id, stampLines(id_, id))))
			{
				break;
			}
		}
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			open_.erase(std::remove(open_.begin(), open_.end(), _fd), open_.end());
		}
		resetClose(_fd);
	}
	std::string id_;
	Store& store_;
	std::atomic<uint32_t> sequence_{0};
	std::atomic<bool> ended_{false};
	mutable std::mutex mutex_;
	std::vector<Arrival> arrivals_;
	std::vector<int> open_;
	Server server_;
};

std::string desiredState()
{
	return R"({"version":1,"routes":[{"name":"r1","host":"a.example","path_prefix":"/call/","kind":"non_idempotent","timeout_ms":3000,"full_credit_ms":600,"priority":0,"service":"app","max_attempts":2,"auth_exempt":false}],)"
	       R"("services":[{"name":"app","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],)"
	       R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
	       R"("tenants":[{"name":"t1","api_keys":["key1"]}]})";
}

std::mutex resultsMutex;
std::map<int, int> results;
std::map<std::string, int> lostCalls; // status by id

void callNode(const Node& _node, const std::string& _id)
{
	record().line("client sends " + _id + " to " + _node.name());
	const int fd = connectTo(_node.callerAddress());
	Message answer;
	const bool whole =
	    0 <= fd &&
	    writeAll(fd, "POST /call/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + _id +
	                     "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n\r\n{}") &&
	    Reader(fd).read(answer, true, nowMs() + 4000);
	close(fd);
	const int status = whole ? answer.status : 0;
	record().line("client: " + _id + " over " + _node.name() + " gets " + std::to_string(status));
	const std::lock_guard<std::mutex> lock(resultsMutex);
	++results[status];
	if (200 != status)
	{
		lostCalls[_id] = status;
	}
}

} // namespace

int main(int _argc, char** _argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (_argc < 2)
	{
		return 2;
	}
	record().open(_argv[1]);
	const bool trouble = hasTrouble();
	const std::string folder = makeFolder();
	Store store;
	store.put("keyed.op", "config", desiredState());
	Runner stays("i-stays", store);
	std::vector<std::unique_ptr<Runner>> leaving;
	for (int round = 0; round < kRounds; ++round)
	{
		leaving.push_back(std::make_unique<Runner>("i-leaves-" + std::to_string(round), store));
	}
	std::atomic<bool> stop{false};
	std::thread(
	    [&]
	    {
		    while (true)
		    {
			    stays.beat(false);
			    sleepMs(kBeatMs);
		    }
	    })
	    .detach();
	leaving[0]->beat(false);
	Node node("front-1", folder, store.address());
	Node other("front-2", folder, store.address());
	node.start();
	other.start();
	if (!node.awaitReady(15000) || !other.awaitReady(15000))
	{
		record().line("the nodes did not become ready");
		return 2;
	}
	std::thread clients(
	    [&]
	    {
		    for (int number = 0; !stop; ++number)
		    {
			    std::thread(callNode, std::cref(0 == number % 2 ? node : other), "c" + std::to_string(number)).detach();
			    sleepMs(50);
		    }
	    });
	std::map<std::string, int64_t> drainedAt;
	int64_t lateArrivals = 0;
	int lost = 0;
	for (int round = 0; round < kRounds; ++round)
	{
		Runner& runner = *leaving[static_cast<std::size_t>(round)];
		int64_t next = nowMs();
		const auto beatAt = [&](bool _isLeaving)
		{
			sleepMs(next - nowMs());
			runner.beat(_isLeaving);
			next += kBeatMs;
		};
		beatAt(false);
		beatAt(false);
		// The one write without an answer; the store takes it kLateMs later.
		sleepMs(next - nowMs());
		uint32_t late = 0;
		const int64_t lateAt = nowMs() + kLateMs;
		if (trouble)
		{
			late = runner.beatUnanswered();
		}
		else
		{
			runner.beat(false);
		}
		next += kBeatMs;
		beatAt(false); // + 1.2 s
		beatAt(false); // + 2.4 s
		beatAt(true);  // + 3.6 s: the planned end is told, and acknowledged
		drainedAt[runner.id()] = nowMs();
		beatAt(true); // + 4.8 s
		sleepMs(lateAt - nowMs());
		if (trouble)
		{
			runner.takeLate(late);
		}
		sleepMs(next - nowMs()); // + 6.0 s
		runner.beat(true);
		sleepMs(300);
		runner.end(); // 2.7 s after its planned end was told
		sleepMs(3000);
		for (const Arrival& arrival : runner.arrivals())
		{
			if (drainedAt[runner.id()] + kDrainTimeoutMs < arrival.at)
			{
				++lateArrivals;
				const std::lock_guard<std::mutex> lock(resultsMutex);
				const auto status = lostCalls.find(arrival.id);
				lost += lostCalls.end() == status ? 0 : 1;
				record().line("verdict: " + arrival.id + " reached " + runner.id() + ' ' +
				              std::to_string(arrival.at - drainedAt[runner.id()]) +
				              " ms after its draining was acknowledged; its client got " +
				              std::to_string(lostCalls.end() == status ? 200 : status->second));
			}
		}
		record().line("verdict: " + runner.id() + " got " + std::to_string(runner.arrivals().size()) + " calls");
		if (round + 1 < kRounds)
		{
			leaving[static_cast<std::size_t>(round) + 1]->beat(false);
			sleepMs(500);
		}
	}
	stop = true;
	clients.join();
	sleepMs(3500);
	node.kill(SIGKILL);
	other.kill(SIGKILL);
	node.wait();
	other.wait();
	removeFolder(folder);
	record().line("verdict: DRAIN is broken by " + std::to_string(lateArrivals) + " calls, " + std::to_string(lost) +
	              " of which were lost; " + std::to_string(results[200]) + " calls were served");
	if (results[200] < 100)
	{
		std::_Exit(2);
	}
	std::_Exit(0 < lateArrivals ? 1 : 0);
}
