// A model runner that was full gives its refusal a second time, late. The stream may not be repeated.
#include "runner.h"

#include <set>

using namespace sim;

namespace
{

constexpr int kRounds = 3;
constexpr int kUsual = 130; // requests before each round

std::string desiredState()
{
	return R"({"version":1,"routes":[)"
	       R"({"name":"r1","host":"a.example","path_prefix":"/once/","kind":"streaming","timeout_ms":20000,"full_credit_ms":1500,"priority":0,"service":"lm","max_attempts":2,"auth_exempt":false,"sticky":true,"resumable":false,"gap_aim_ms":200},)"
	       R"({"name":"r2","host":"a.example","path_prefix":"/more/","kind":"streaming","timeout_ms":20000,"full_credit_ms":1500,"priority":1,"service":"lm","max_attempts":2,"auth_exempt":false,"sticky":true,"resumable":true,"gap_aim_ms":200}],)"
	       R"("services":[{"name":"lm","health_path":"/health","max_conns":200,"protocol":"h1","tls":false,"engine":{"slot_count":8,"kv_capacity":100000,"kv_token_bytes":459000,"link_speed_mbps":480000.0,"stride":2,"models":[{"name":"m","pace":1.0,"load_time_s":2.0,"warm_s":0.1}],"step_ms":0.85,"per_seq_ms":0.003,"context_per_k":0.004,"read_per_s":252000.0,"pairs_per_m":0.129,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"usual":{"prompt":100,"answer":20},"layers":4,"layer_mb":1750.0,"act_bytes":22900,"pipe_mbps":7900.0,"kinds":[{"name":"card","mb":80000.0,"pace":1.0,"read_x":1.0}]}}],)"
	       R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
	       R"("tenants":[{"name":"t1","api_keys":["key1"]}]})";
}

int callNode(const Node& _node, const std::string& _path, const std::string& _id)
{
	const int fd = connectTo(_node.callerAddress());
	Message answer;
	const std::string body = "{\"ask\":\"" + _id + "\"}";
	record().line("client sends " + _id + " to " + _node.name() + ", " + _path);
	const bool whole = 0 <= fd &&
	                   writeAll(fd, "POST " + _path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + _id +
	                                    "\r\nModel: m\r\nToken-Counts: 100,20\r\nPrompt-Prefix: aa:20," + _id +
	                                    ":80\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer key1\r\nContent-Length: " +
	                                    std::to_string(body.size()) + "\r\n\r\n" + body) &&
	                   Reader(fd).read(answer, true, nowMs() + 20000);
	close(fd);
	record().line("client: " + _id + " gets " + std::to_string(answer.status) +
	              (whole ? ", whole, " : ", not whole, ") + std::to_string(answer.body.size()) + " bytes");
	return whole ? answer.status : 0;
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
	std::mutex mutex;
	std::set<std::string> refusedBy;
	// Only runner one hands out surplus answers: one for each round, fewer than one in a hundred of its answers.
	const auto faultsOf = [&](const std::string& _runner, bool _isFaulty)
	{
		RunnerFaults faults;
		faults.isFull = [&, _runner](const std::string& _id)
		{
			const std::lock_guard<std::mutex> lock(mutex);
			return 0 == _id.find("5e") && refusedBy.insert(_runner + _id)
			                                  .second; // other work takes its places when it comes for the first time
		};
		faults.isRepeated = [_isFaulty](const std::string&)
		{
			return _isFaulty;
		};
		return faults;
	};
	store.put("keyed.op", "config", desiredState());
	Runner one("i-one", "lm", 4, store, faultsOf("one", trouble));
	Runner two("i-two", "lm", 4, store, faultsOf("two", false));
	Node node("front-1", folder, store.address());
	Node other("front-2", folder, store.address());
	node.start();
	other.start();
	if (!node.awaitReady(15000) || !other.awaitReady(15000))
	{
		record().line("the nodes did not become ready");
		return 2;
	}
	sleepMs(2000);
	std::vector<std::string> asked;
	int usualServed = 0;
	for (int round = 0; round < kRounds; ++round)
	{
		for (int number = 0; number < kUsual; ++number)
		{
			char id[32];
			std::snprintf(id, sizeof(id), "a%03d%04d", round, number);
			usualServed += 200 == callNode(node, "/more/x", id) ? 1 : 0;
		}
		char id[32];
		std::snprintf(id, sizeof(id), "5e%06d", round);
		asked.push_back(id);
		callNode(node, "/once/x", id);
		sleepMs(500);
	}
	std::map<std::string, int> runs;
	for (const Runner* const runner : {&one, &two})
	{
		for (const std::string& id : runner->runs())
		{
			++runs[id];
		}
		record().line("runner " + runner->id() + ": " + std::to_string(runner->answers()) + " answers, " +
		              std::to_string(runner->surplus()) + " of them given a second time");
	}
	int twice = 0;
	for (const std::string& id : asked)
	{
		record().line("verdict: " + id + ", which may run once, was run " + std::to_string(runs[id]) + " times");
		twice += 1 < runs[id] ? 1 : 0;
	}
	record().line("verdict: " + std::to_string(usualServed) + " of " + std::to_string(kRounds * kUsual) +
	              " usual requests were served; TWICE is broken by " + std::to_string(twice) + " requests");
	node.kill(SIGKILL);
	other.kill(SIGKILL);
	node.wait();
	other.wait();
	removeFolder(folder);
	if (usualServed < kRounds * kUsual * 9 / 10)
	{
		std::_Exit(2);
	}
	std::_Exit(0 < twice ? 1 : 0);
}
