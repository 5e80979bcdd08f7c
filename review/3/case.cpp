/// @file
/// Case 3: the operator takes the last tenant's keys away by removing the tenant.

#include "../standin/standin.h"

using namespace review;

namespace
{

constexpr std::size_t kNodes = 3;
constexpr int kRevokeBoundMs = 5000; //!< `revoke_timeout_ms`.
constexpr int kAskedMs = 20000;      //!< How long requests are sent after that bound.

std::string stateText(int _version, const std::string& _tenants)
{
	return "{\"version\":" + std::to_string(_version) +
	       R"(,"routes":[{"name":"r-file","host":"desk.example","path_prefix":"/file/","kind":"non_idempotent",)"
	       R"("timeout_ms":1500,"full_credit_ms":300,"priority":2,"service":"desk-app","max_attempts":1,)"
	       R"("auth_exempt":false}],)"
	       R"("services":[{"name":"desk-app","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],)"
	       R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
	       R"("idle_timeout_ms":15000},"tenants":)" +
	       _tenants + '}';
}

/// Counts of one kind of key.
struct Tally
{
	int sent = 0;
	int ran = 0;
	std::map<int, int> statuses;

	std::string text() const
	{
		std::string all = std::to_string(sent) + " sent, " + std::to_string(ran) + " run; statuses";
		for (const auto& row : statuses)
		{
			all += ' ' + std::to_string(row.first) + ':' + std::to_string(row.second);
		}
		return all;
	}
};

class Case
{
public:
	explicit Case(const std::string& _folder) : store_(kIp)
	{
		store_.put("keyed.op", "config", stateText(3, R"([{"name":"tenant-one","api_keys":["key-one","key-two"]}])"));
		for (int index = 0; index < 3; ++index)
		{
			runners_.push_back(
			    std::make_unique<Runner>(kIp, "desk-app", "i-desk" + std::to_string(index), 15, store_, runs_));
		}
		for (std::size_t index = 0; index < kNodes; ++index)
		{
			nodes_.push_back(std::make_unique<Node>("front-" + std::to_string(index), kIp, store_.address(), _folder));
		}
	}

	/// @returns false if a node does not become ready.
	bool start()
	{
		for (const auto& node : nodes_)
		{
			node->start();
		}
		return std::all_of(nodes_.begin(), nodes_.end(),
		                   [](const auto& _node)
		                   {
			                   return _node->awaitReady(15000);
		                   });
	}

	void put(int _version, const std::string& _tenants)
	{
		store_.put("keyed.op", "config", stateText(_version, _tenants));
		record().line("operator  desired state " + std::to_string(_version) + " is acknowledged, tenants " + _tenants);
	}

	/// Sends one request to each node in turn.
	void ask(const std::string& _kind, const std::string& _key, Tally& _tally)
	{
		for (const auto& node : nodes_)
		{
			const std::string id = _kind + std::to_string(next_++);
			Connection connection;
			connection.open(node->front());
			connection.send("POST /file/status HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
			                "\r\nDeadline-Ms: 3000\r\n" +
			                (_key.empty() ? std::string() : "Authorization: Bearer " + _key + "\r\n") +
			                "Content-Length: 5\r\n\r\nhello");
			const int status = connection.receive().status();
			record().line("attempt   " + id + " at " + node->name() + " with " + (_key.empty() ? "no key" : _key) +
			              ": status " + std::to_string(status));
			++_tally.sent;
			++_tally.statuses[status];
			_tally.ran += runs_.of(id).empty() ? 0 : 1;
		}
	}

	void end()
	{
		nodes_.clear();
	}

private:
	static inline const std::string kIp = "127.0.0.1";

	RunLog runs_;
	Store store_;
	std::vector<std::unique_ptr<Runner>> runners_;
	std::vector<std::unique_ptr<Node>> nodes_;
	int next_ = 0;
};

void report(const std::string& _text)
{
	record().line(_text);
	std::cout << _text << std::endl;
}

} // namespace

int main(int _argc, char** _argv)
{
	if (3 != _argc)
	{
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	record().open(_argv[2]);
	Case played(_argv[1]);
	if (!played.start())
	{
		return 2;
	}
	sleepMs(4000); // all nodes are in touch: longer than contact_ms
	Tally before;
	Tally beforeUnknown;
	played.ask("before-", "key-one", before);
	played.ask("unknown-", "key-nobody-ever-held", beforeUnknown);
	report("key of the tenant, before: " + before.text());
	report("key that nobody ever held, before: " + beforeUnknown.text());
	if (before.ran != before.sent)
	{
		return 2;
	}
	// Without the disruption, the change keeps the tenant and its keys.
	played.put(8, isTroubled() ? "[]" : R"([{"name":"tenant-one","api_keys":["key-one","key-two"]}])");
	sleepMs(kRevokeBoundMs + 1000);
	Tally revoked;
	Tally unknown;
	Tally without;
	for (const double end = nowMs() + kAskedMs; nowMs() < end; sleepMs(500))
	{
		played.ask("revoked-", "key-one", revoked);
		played.ask("unknown-", "key-nobody-ever-held", unknown);
		played.ask("without-", "", without);
	}
	report("key of the tenant, later than 6 s after the change: " + revoked.text());
	report("key that nobody ever held, the same: " + unknown.text());
	report("no key, the same: " + without.text());
	played.end();
	const int wronglyRun = (isTroubled() ? revoked.ran : 0) + unknown.ran + without.ran + beforeUnknown.ran;
	record().flush();
	_exit(0 < wronglyRun ? 1 : 0);
}
