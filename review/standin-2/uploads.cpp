// A burst of uploads, each within the limits, at nodes that bear the usual uploads: what a node holds has no bound.
#include "sim.h"

using namespace sim;

namespace
{

constexpr int kNodes = 3;
constexpr int kUsual = 114; // clients that upload one after the other, over kept connections
constexpr int kMore = 79;   // in the burst: 193 of 114 are 1.69 times as many
constexpr int64_t kBurstMs = 3000;
constexpr std::size_t kBody = 4194304; // max_body_bytes
constexpr int64_t kSendMs = 2000;      // of an upload; header_timeout_ms is 3,000
constexpr int64_t kWorkMs = 1000;
constexpr uint64_t kMemoryBytes = 260ULL * 1024 * 1024; // memory_mb, as MiB; resident memory only

std::mutex stateMutex;
std::map<std::string, int64_t> begunAt; // by id, at a runner
std::map<std::string, int> lostOf;      // requests without an answer, by id

/// A runner that serves each call alone.
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

private:
	void beat()
	{
		store_.put(
		    "keyed.servers", id_,
		    "{\"service\":\"app\",\"address\":\"" + server_.address() +
		        "\",\"zone\":\"h1\",\"version\":\"v1\",\"slot_count\":300,\"state\":\"ready\",\"cold_left_ms\":0,"
		        "\"sequence\":" +
		        std::to_string(++sequence_) + '}');
	}
	void serve(int _fd)
	{
		Reader reader(_fd);
		Message call;
		while (reader.read(call, false))
		{
			if (0 == call.target.find("/sedgecart/report"))
			{
				if (!writeAll(_fd, answerText(200, "application/json", "{\"busy\":false,\"sequence\":0,\"pace\":1}")))
				{
					break;
				}
				continue;
			}
			const std::string id = call.header("Attempt-Id");
			const bool isUpload = kBody == call.body.size();
			std::string().swap(call.body);
			{
				const std::lock_guard<std::mutex> lock(stateMutex);
				begunAt[id] = nowMs();
			}
			record().line("runner " + id_ + " runs " + id);
			sleepMs(isUpload ? kWorkMs : 5);
			if (!writeAll(_fd, answerText(200, "text/plain", "done " + id, stampLines(id_, id))))
			{
				break;
			}
		}
		close(_fd);
	}
	std::string id_;
	Store& store_;
	uint32_t sequence_ = 0;
	Server server_;
};

std::string desiredState()
{
	return R"({"version":1,"routes":[{"name":"r1","host":"a.example","path_prefix":"/call/","kind":"non_idempotent","timeout_ms":8000,"full_credit_ms":5000,"priority":0,"service":"app","max_attempts":2,"auth_exempt":false}],)"
	       R"("services":[{"name":"app","health_path":"/health","max_conns":400,"protocol":"h1","tls":false}],)"
	       R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
	       R"("tenants":[{"name":"t1","api_keys":["key1"]}]})";
}

std::atomic<int> served{0};
std::atomic<int> refused{0};

/// Sends a request and awaits its answer. @returns false if the connection has ended.
bool call(int _fd, const std::string& _id, std::size_t _body, int64_t _sendMs)
{
	static const std::string kPiece(64 * 1024, 'x');
	record().line("client sends " + _id + ", " + std::to_string(_body) + " bytes");
	if (!writeAll(_fd, "POST /call/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + _id +
	                       "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key1\r\nContent-Length: " +
	                       std::to_string(_body) + "\r\n\r\n"))
	{
		return false;
	}
	const int64_t from = nowMs();
	for (std::size_t sent = 0; sent < _body;)
	{
		const std::size_t next = std::min(kPiece.size(), _body - sent);
		if (!writeAll(_fd, kPiece.substr(0, next)))
		{
			return false;
		}
		sent += next;
		sleepMs(from + static_cast<int64_t>(sent) * _sendMs / static_cast<int64_t>(_body) - nowMs());
	}
	Message answer;
	if (!Reader(_fd).read(answer, true, nowMs() + 9000))
	{
		const std::lock_guard<std::mutex> lock(stateMutex);
		lostOf[_id] = 1;
		return false;
	}
	record().line("client: " + _id + " gets " + std::to_string(answer.status));
	(200 == answer.status ? served : refused) += 1;
	return "close" != answer.header("Connection");
}

void upload(const Node& _node, const std::string& _name, int64_t _until)
{
	for (int connection = 0; nowMs() < _until; ++connection)
	{
		const int fd = connectTo(_node.callerAddress());
		const std::string prefix = _name + '.' + std::to_string(connection) + '.';
		bool isOpen = 0 <= fd && call(fd, prefix + "first", 2, 1); // the connection is a kept one from here on
		for (int number = 0; isOpen && nowMs() < _until; ++number)
		{
			isOpen = call(fd, prefix + std::to_string(number), kBody, kSendMs);
		}
		close(fd);
		sleepMs(100);
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
	std::vector<std::unique_ptr<Runner>> runners;
	for (int index = 0; index < 3; ++index)
	{
		runners.push_back(std::make_unique<Runner>("i-app-" + std::to_string(index), store));
	}
	std::vector<std::unique_ptr<Node>> nodes;
	for (int index = 0; index < kNodes; ++index)
	{
		nodes.push_back(std::make_unique<Node>("front-" + std::to_string(index + 1), folder, store.address()));
		nodes.back()->start();
	}
	for (const auto& node : nodes)
	{
		if (!node->awaitReady(15000))
		{
			record().line("the nodes did not become ready");
			return 2;
		}
	}
	sleepMs(2000);
	// The platform: it kills a process above its memory, and starts it again.
	std::atomic<bool> stop{false};
	std::atomic<int> kills{0};
	uint64_t peak = 0;
	uint64_t peakBefore = 0;
	const int64_t begin = nowMs();
	const int64_t burstAt = begin + 12000;
	std::thread platform(
	    [&]
	    {
		    while (!stop)
		    {
			    for (const auto& node : nodes)
			    {
				    const uint64_t bytes = node->residentBytes();
				    peak = std::max(peak, bytes);
				    peakBefore = nowMs() < burstAt ? peak : peakBefore;
				    if (kMemoryBytes < bytes)
				    {
					    ++kills;
					    record().line("platform: " + node->name() + " is at " + std::to_string(bytes / 1000000) +
					                  " MB, above its limit, and is killed");
					    node->kill(SIGKILL);
					    node->wait();
					    sleepMs(300);
					    node->start();
				    }
			    }
			    sleepMs(5);
		    }
	    });
	std::vector<std::thread> clients;
	for (int client = 0; client < kUsual; ++client)
	{
		clients.emplace_back(
		    [&, client]
		    {
			    sleepMs(client * (kSendMs + kWorkMs) / kUsual); // spread evenly
			    upload(*nodes[static_cast<std::size_t>(client % kNodes)], "u" + std::to_string(client), burstAt + 9000);
		    });
	}
	sleepMs(burstAt - nowMs());
	if (trouble)
	{
		record().line("burst: " + std::to_string(kMore) + " more clients");
		for (int client = 0; client < kMore; ++client)
		{
			clients.emplace_back(
			    [&, client]
			    {
				    sleepMs(client * kBurstMs / kMore); // spread evenly over the burst
				    upload(*nodes[static_cast<std::size_t>(client % kNodes)], "b" + std::to_string(client),
				           burstAt + kBurstMs);
			    });
		}
		sleepMs(kBurstMs);
	}
	for (std::thread& client : clients)
	{
		client.join();
	}
	stop = true;
	platform.join();
	int lost = 0;
	{
		const std::lock_guard<std::mutex> lock(stateMutex);
		for (const auto& row : lostOf)
		{
			const bool isBegun = 0 < begunAt.count(row.first);
			lost += isBegun ? 1 : 0;
			record().line("verdict: " + row.first +
			              (isBegun ? " was begun by a runner, and" : " reached no runner, and") +
			              " its kept connection ended without an answer");
		}
	}
	for (const auto& node : nodes)
	{
		node->kill(SIGKILL);
		node->wait();
	}
	removeFolder(folder);
	record().line("verdict: peak " + std::to_string(peakBefore / 1000000) + " MB before the time of the burst, " +
	              std::to_string(peak / 1000000) + " MB in all, limit " + std::to_string(kMemoryBytes / 1000000) +
	              "; nodes killed " + std::to_string(kills.load()) + " times; " + std::to_string(lost) +
	              " requests that a runner had begun got no answer; " + std::to_string(served.load()) +
	              " were answered with 200, " + std::to_string(refused.load()) + " otherwise");
	if (served < 300)
	{
		std::_Exit(2);
	}
	std::_Exit(3 < lost ? 1 : 0);
}
