/// @file
/// Case 1: nodes are stopped in turn while clients hold kept connections to it, most of them at rest.

#include "../standin/standin.h"

#include <queue>
#include <sys/epoll.h>
#include <sys/resource.h>

using namespace review;

namespace
{

constexpr std::size_t kNodes = 3;
constexpr std::size_t kClients = 4500;
constexpr int kMostRestMs = 12000; //!< Of a kept connection between two requests: four fifths of the idle timeout.
constexpr int kWarmUpMs = 6000;
constexpr int kPlayMs = 84000;
constexpr int kGraceMs = 8000; //!< `grace_period_s`.

struct Client
{
	std::size_t node = 0;
	int fd = -1;
	bool isWaiting = false;
	std::string id;
	std::string got;
	double sentMs = 0;
	uint32_t count = 0;
};

struct Stop
{
	std::size_t node = 0;
	double atMs = 0;
	double endMs = 0;
};

class Clients
{
public:
	Clients(std::vector<std::unique_ptr<Node>>& _nodes, Entry& _entry)
	    : nodes_(_nodes),
	      entry_(_entry),
	      clients_(kClients),
	      epoll_(epoll_create1(EPOLL_CLOEXEC))
	{
		for (std::size_t index = 0; index < clients_.size(); ++index)
		{
			due_.emplace(nowMs() + random_() % static_cast<uint32_t>(kMostRestMs), index);
		}
	}

	void run(const std::atomic<bool>& _done)
	{
		std::vector<epoll_event> events(512);
		while (!_done)
		{
			const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 1);
			for (int event = 0; event < count; ++event)
			{
				onReadable(events[static_cast<std::size_t>(event)].data.u64);
			}
			while (!due_.empty() && due_.top().first < nowMs())
			{
				const std::size_t index = due_.top().second;
				due_.pop();
				send(index);
			}
		}
	}

	std::vector<std::pair<Client, double>> unanswered; //!< With when the connection ended.
	std::map<int, int> statuses;

private:
	void open(Client& _client, std::size_t _index)
	{
		_client.node = entry_.choose(random_);
		_client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		const int yes = 1;
		setsockopt(_client.fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
		const sockaddr_in raw = nodes_[_client.node]->front().raw();
		if (0 != connect(_client.fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)))
		{
			close(_client.fd);
			_client.fd = -1;
			return;
		}
		epoll_event event{};
		event.events = EPOLLIN;
		event.data.u64 = _index;
		epoll_ctl(epoll_, EPOLL_CTL_ADD, _client.fd, &event);
	}

	void send(std::size_t _index)
	{
		Client& client = clients_[_index];
		if (client.fd < 0)
		{
			open(client, _index);
		}
		client.id = "c" + std::to_string(_index) + '-' + std::to_string(client.count++);
		const bool isPost = 0 == random_() % 2;
		const std::string text = std::string(isPost ? "POST /file/status" : "GET /ack/fetch") +
		                         " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + client.id +
		                         "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-one\r\n" +
		                         (isPost ? "Content-Length: 5\r\n\r\nhello" : "\r\n");
		client.sentMs = nowMs();
		client.got.clear();
		client.isWaiting = 0 <= client.fd && static_cast<ssize_t>(text.size()) ==
		                                         ::send(client.fd, text.data(), text.size(), MSG_NOSIGNAL);
		if (!client.isWaiting)
		{
			shut(client);
			rest(_index, 500);
		}
	}

	void rest(std::size_t _index, int _mostMs)
	{
		due_.emplace(nowMs() + random_() % static_cast<uint32_t>(_mostMs), _index);
	}

	void recordEnd(const Client& _client, const std::string& _how) const
	{
		record().line("attempt   " + _client.id + " at " + nodes_[_client.node]->name() + " sent at " +
		              std::to_string(_client.sentMs) + " ms, " + _how);
	}

	static void shut(Client& _client)
	{
		if (0 <= _client.fd)
		{
			close(_client.fd);
		}
		_client.fd = -1;
	}

	void onReadable(std::size_t _index)
	{
		Client& client = clients_[_index];
		char bytes[4096];
		const ssize_t size = recv(client.fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (size < 0 && (EAGAIN == errno || EWOULDBLOCK == errno))
		{
			return;
		}
		if (size <= 0)
		{
			shut(client);
			if (client.isWaiting)
			{
				client.isWaiting = false;
				++statuses[0];
				recordEnd(client, "no answer");
				unanswered.emplace_back(client, nowMs());
				rest(_index, 500);
			}
			return;
		}
		client.got.append(bytes, static_cast<std::size_t>(size));
		const std::size_t end = client.got.find("\r\n\r\n");
		const std::size_t at = client.got.find("Content-Length: ");
		if (std::string::npos == end || client.got.size() < end + 4 + std::stoul(client.got.substr(at + 16)))
		{
			return;
		}
		++statuses[std::atoi(client.got.c_str() + 9)];
		recordEnd(client, "status " + client.got.substr(9, 3));
		client.isWaiting = false;
		if (std::string::npos != client.got.find("Connection: close"))
		{
			shut(client);
		}
		rest(_index, kMostRestMs);
	}

	std::vector<std::unique_ptr<Node>>& nodes_;
	Entry& entry_;
	std::vector<Client> clients_;
	std::priority_queue<std::pair<double, std::size_t>, std::vector<std::pair<double, std::size_t>>, std::greater<>>
	    due_;
	std::mt19937 random_{7};
	int epoll_;
};

} // namespace

int main(int _argc, char** _argv)
{
	if (3 != _argc)
	{
		return 2;
	}
	rlimit files{};
	getrlimit(RLIMIT_NOFILE, &files);
	if (files.rlim_cur < kClients + 1000)
	{
		std::cerr << "needs " << kClients + 1000 << " open files" << std::endl;
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	record().open(_argv[2]);
	const std::string ip = "127.0.0.1";
	RunLog runs;
	Store store(ip);
	store.put(
	    "keyed.op", "config",
	    R"({"version":3,"routes":[)"
	    R"({"name":"r-file","host":"desk.example","path_prefix":"/file/","kind":"non_idempotent","timeout_ms":1500,)"
	    R"("full_credit_ms":300,"priority":2,"service":"desk-app","max_attempts":1,"auth_exempt":false},)"
	    R"({"name":"r-ack","host":"desk.example","path_prefix":"/ack/","kind":"idempotent","timeout_ms":1500,)"
	    R"("full_credit_ms":300,"priority":2,"service":"desk-app","max_attempts":2,"auth_exempt":false}],)"
	    R"("services":[{"name":"desk-app","health_path":"/health","max_conns":400,"protocol":"h1","tls":false}],)"
	    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
	    R"("idle_timeout_ms":15000},"tenants":[{"name":"tenant-one","api_keys":["key-one"]}]})");
	std::vector<std::unique_ptr<Runner>> runners;
	for (int index = 0; index < 3; ++index)
	{
		runners.push_back(std::make_unique<Runner>(ip, "desk-app", "i-desk" + std::to_string(index), 15, store, runs));
	}
	std::vector<std::unique_ptr<Node>> nodes;
	for (std::size_t index = 0; index < kNodes; ++index)
	{
		nodes.push_back(std::make_unique<Node>("front-" + std::to_string(index), ip, store.address(), _argv[1]));
		nodes.back()->start();
	}
	for (const auto& node : nodes)
	{
		if (!node->awaitReady(15000))
		{
			return 2;
		}
	}
	Entry entry(nodes);
	sleepMs(3500);
	std::atomic<bool> isDone{false};
	Clients clients(nodes, entry);
	std::thread thread(
	    [&]
	    {
		    clients.run(isDone);
	    });
	sleepMs(kWarmUpMs);
	std::vector<Stop> stops;
	const double end = nowMs() + kPlayMs;
	for (std::size_t next = 0; nowMs() < end; next = (next + 1) % kNodes)
	{
		if (!isTroubled())
		{
			sleepMs(1000);
			continue;
		}
		Stop stop{next, nowMs(), 0};
		nodes[next]->signal(SIGTERM);
		nodes[next]->awaitEnd(kGraceMs);
		stop.endMs = nowMs();
		stops.push_back(stop);
		sleepMs(300);
		nodes[next]->start();
		if (!nodes[next]->awaitReady(10000))
		{
			return 2;
		}
		sleepMs(1000);
	}
	isDone = true;
	thread.join();
	int lost = 0;
	int unread = 0; // closed without having been passed on: not counted
	for (const auto& row : clients.unanswered)
	{
		const Client& client = row.first;
		const std::vector<Run> ran = runs.of(client.id);
		unread += ran.empty() ? 1 : 0;
		for (const Stop& stop : stops)
		{
			// No runner works for more than some ms, so that none is at work in the last sixth of the grace period.
			const bool isDuring = stop.atMs <= client.sentMs && client.sentMs <= stop.atMs + kGraceMs + 1000;
			if (ran.empty() || stop.node != client.node || !isDuring)
			{
				continue;
			}
			++lost;
			std::ostringstream text;
			text << "LOST      " << client.id << " sent " << client.sentMs - stop.atMs << " ms after SIGTERM, ran "
			     << ran.front().atMs - client.sentMs << " ms later, connection ended " << row.second - client.sentMs
			     << " ms after it was sent; process gone at " << stop.endMs - stop.atMs << " ms";
			record().line(text.str());
			std::cout << text.str() << std::endl;
		}
	}
	std::ostringstream text;
	text << stops.size() << " stops; " << lost << " requests handed to a runner and closed without an answer, "
	     << unread << " closed unread; statuses";
	for (const auto& row : clients.statuses)
	{
		text << ' ' << row.first << ':' << row.second;
	}
	record().line(text.str());
	std::cout << text.str() << std::endl;
	nodes.clear();
	record().flush();
	_exit(0 < lost ? 1 : 0);
}
