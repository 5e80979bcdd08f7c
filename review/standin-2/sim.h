// Stand-ins of the second review: the platform's store, runners, clients, and the start and end of the nodes, which
// are the project's own processes. Standard library and POSIX only; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sim
{

using Clock = std::chrono::steady_clock;

inline int64_t nowMs()
{
	static const Clock::time_point start = Clock::now();
	return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(int64_t _ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(_ms));
}

/// What was sent, answered and run: one line each.
class Record
{
public:
	void open(const std::string& _path)
	{
		file_.open(_path, std::ios::trunc);
	}
	void line(const std::string& _text)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		file_ << nowMs() << " ms  " << _text << std::endl;
	}

private:
	std::mutex mutex_;
	std::ofstream file_;
};

inline Record& record()
{
	static Record one;
	return one;
}

inline int listenOn(uint16_t _port, uint16_t& _bound)
{
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sockaddr_in at{};
	at.sin_family = AF_INET;
	at.sin_port = htons(_port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (0 != bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) || 0 != listen(fd, 512))
	{
		std::perror("listen");
		std::exit(2);
	}
	socklen_t size = sizeof(at);
	getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
	_bound = ntohs(at.sin_port);
	return fd;
}

inline uint16_t freePort()
{
	uint16_t port = 0;
	close(listenOn(0, port));
	return port;
}

inline int connectTo(const std::string& _address)
{
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in at{};
	at.sin_family = AF_INET;
	at.sin_port = htons(static_cast<uint16_t>(std::stoi(_address.substr(_address.rfind(':') + 1))));
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (0 != connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)))
	{
		close(fd);
		return -1;
	}
	int on = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

inline bool writeAll(int _fd, const std::string& _bytes)
{
	std::size_t done = 0;
	while (done < _bytes.size())
	{
		const ssize_t n = send(_fd, _bytes.data() + done, _bytes.size() - done, MSG_NOSIGNAL);
		if (n <= 0)
		{
			return false;
		}
		done += static_cast<std::size_t>(n);
	}
	return true;
}

/// Closes with a reset.
inline void resetClose(int _fd)
{
	linger hard{1, 0};
	setsockopt(_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(_fd);
}

inline bool peerGone(int _fd)
{
	pollfd one{_fd, POLLRDHUP, 0};
	return 0 < poll(&one, 1, 0) && 0 != (one.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

struct Message
{
	std::string first; // the request or status line
	std::string method;
	std::string target;
	int status = 0;
	std::vector<std::pair<std::string, std::string>> headers;
	std::string body;
	bool whole = false;

	std::string header(const std::string& _name) const
	{
		for (const auto& row : headers)
		{
			if (0 == strcasecmp(row.first.c_str(), _name.c_str()))
			{
				return row.second;
			}
		}
		return std::string();
	}
	bool has(const std::string& _name) const
	{
		return std::any_of(headers.begin(), headers.end(),
		                   [&](const auto& _row)
		                   {
			                   return 0 == strcasecmp(_row.first.c_str(), _name.c_str());
		                   });
	}
};

/// Reads messages from a socket.
class Reader
{
public:
	explicit Reader(int _fd) : fd_(_fd)
	{
	}
	/// @returns false at the end, an error or the time limit.
	bool read(Message& _message, bool _isAnswer, int64_t _untilMs = INT64_MAX)
	{
		_message = Message();
		std::size_t end = 0;
		while (std::string::npos == (end = buffer_.find("\r\n\r\n")))
		{
			if (!more(_untilMs))
			{
				return false;
			}
		}
		parseHead(buffer_.substr(0, end + 2), _message, _isAnswer);
		buffer_.erase(0, end + 4);
		if (0 == strcasecmp(_message.header("Transfer-Encoding").c_str(), "chunked"))
		{
			return chunks(_message, _untilMs);
		}
		const bool hasLength = _message.has("Content-Length");
		const std::size_t length = hasLength ? std::stoul(_message.header("Content-Length")) : 0;
		const bool toEnd = _isAnswer && !hasLength && 204 != _message.status && 200 <= _message.status;
		while (toEnd || buffer_.size() < length)
		{
			if (!more(_untilMs))
			{
				_message.body = buffer_;
				buffer_.clear();
				_message.whole = toEnd && atEnd_;
				return toEnd && atEnd_;
			}
		}
		_message.body = buffer_.substr(0, length);
		buffer_.erase(0, length);
		_message.whole = true;
		return true;
	}
	bool atEnd() const
	{
		return atEnd_;
	}

private:
	static void parseHead(const std::string& _text, Message& _message, bool _isAnswer)
	{
		std::size_t at = _text.find("\r\n");
		_message.first = _text.substr(0, at);
		const std::size_t blank = _message.first.find(' ');
		if (_isAnswer)
		{
			_message.status = std::atoi(_message.first.c_str() + blank);
		}
		else
		{
			_message.method = _message.first.substr(0, blank);
			_message.target = _message.first.substr(blank + 1, _message.first.rfind(' ') - blank - 1);
		}
		for (at += 2; at < _text.size();)
		{
			const std::size_t end = _text.find("\r\n", at);
			const std::string line = _text.substr(at, end - at);
			const std::size_t colon = line.find(':');
			std::size_t value = colon + 1;
			while (value < line.size() && ' ' == line[value])
			{
				++value;
			}
			_message.headers.emplace_back(line.substr(0, colon), line.substr(value));
			at = end + 2;
		}
	}
	bool chunks(Message& _message, int64_t _untilMs)
	{
		while (true)
		{
			std::size_t end = 0;
			while (std::string::npos == (end = buffer_.find("\r\n")))
			{
				if (!more(_untilMs))
				{
					return false;
				}
			}
			const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
			while (buffer_.size() < end + 2 + size + 2)
			{
				if (!more(_untilMs))
				{
					return false;
				}
			}
			_message.body += buffer_.substr(end + 2, size);
			buffer_.erase(0, end + 2 + size + 2);
			if (0 == size)
			{
				_message.whole = true;
				return true;
			}
		}
	}
	bool more(int64_t _untilMs)
	{
		while (true)
		{
			const int64_t left = INT64_MAX == _untilMs ? 1000 : _untilMs - nowMs();
			if (left <= 0)
			{
				return false;
			}
			pollfd one{fd_, POLLIN, 0};
			const int ready = poll(&one, 1, static_cast<int>(std::min<int64_t>(left, 1000)));
			if (0 == ready)
			{
				continue;
			}
			char bytes[65536];
			const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
			if (n <= 0)
			{
				atEnd_ = 0 == n;
				return false;
			}
			buffer_.append(bytes, static_cast<std::size_t>(n));
			return true;
		}
	}
	int fd_;
	bool atEnd_ = false;
	std::string buffer_;
};

/// A server with a thread for each connection.
class Server
{
public:
	using Handler = std::function<void(int, uint16_t)>; // socket, port of the peer
	explicit Server(Handler _serve) : serve_(std::move(_serve))
	{
		listener_ = listenOn(0, port_);
		std::thread(
		    [this]
		    {
			    while (true)
			    {
				    sockaddr_in from{};
				    socklen_t size = sizeof(from);
				    const int fd = accept4(listener_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC);
				    if (fd < 0)
				    {
					    continue;
				    }
				    int on = 1;
				    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
				    std::thread(serve_, fd, ntohs(from.sin_port)).detach();
			    }
		    })
		    .detach();
	}
	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

private:
	Handler serve_;
	int listener_ = -1;
	uint16_t port_ = 0;
};

inline std::string answerText(int _status, const std::string& _type, const std::string& _body,
                              const std::string& _lines = "")
{
	static const std::map<int, std::string> kWords = {{200, "OK"},
	                                                  {202, "Accepted"},
	                                                  {404, "Not Found"},
	                                                  {412, "Precondition Failed"},
	                                                  {421, "Misdirected Request"},
	                                                  {503, "Service Unavailable"}};
	const auto word = kWords.find(_status);
	return "HTTP/1.1 " + std::to_string(_status) + ' ' + (kWords.end() == word ? "Status" : word->second) + "\r\n" +
	       _lines + (_type.empty() ? "" : "Content-Type: " + _type + "\r\n") +
	       "Content-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body;
}

/// @returns the lines that a runner puts into each answer.
inline std::string stampLines(const std::string& _runner, const std::string& _request)
{
	return "Attempt-Id: " + _request + "\r\nResponse-Stamp: s." + _runner + '.' + _request + "\r\n";
}

inline std::string bigEndian(uint64_t _number, int _bytes)
{
	std::string text;
	for (int byte = _bytes; 0 < byte; --byte)
	{
		text += static_cast<char>(_number >> (8 * (byte - 1)) & 0xFFU);
	}
	return text;
}

inline std::string base64(const std::string& _bytes)
{
	static const char* const kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string text;
	for (std::size_t at = 0; at < _bytes.size(); at += 3)
	{
		uint32_t word = 0;
		const std::size_t count = std::min<std::size_t>(3, _bytes.size() - at);
		for (std::size_t index = 0; index < 3; ++index)
		{
			word = word << 8U | (index < count ? static_cast<unsigned char>(_bytes[at + index]) : 0U);
		}
		for (std::size_t index = 0; index < 4; ++index)
		{
			text += index <= count ? kLetters[word >> (18 - 6 * index) & 63U] : '=';
		}
	}
	return text;
}

/// The platform's store: a log, keyed topics, one partition each. Nothing is ever removed.
class Store
{
public:
	Store()
	    : server_(
	          [this](int _fd, uint16_t)
	          {
		          serve(_fd);
	          })
	{
	}
	std::string address() const
	{
		return server_.address();
	}
	/// A write of the operator or a runner: acknowledged when this returns.
	uint64_t put(const std::string& _topic, const std::string& _key, const std::string& _value)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		topics_[_topic].push_back({_key, _value});
		news_.notify_all();
		return topics_[_topic].size() - 1;
	}

private:
	struct Row
	{
		std::string key;
		std::string value; // empty: removed
	};
	static std::string query(const std::string& _target, const std::string& _name)
	{
		std::size_t at = _target.find('?');
		while (std::string::npos != at)
		{
			const std::size_t end = _target.find('&', at + 1);
			const std::string part = _target.substr(at + 1, std::string::npos == end ? end : end - at - 1);
			if (0 == part.find(_name + '='))
			{
				return part.substr(_name.size() + 1);
			}
			at = end;
		}
		return std::string();
	}
	void serve(int _fd)
	{
		Reader reader(_fd);
		Message call;
		while (reader.read(call, false))
		{
			sleepMs(4);
			if (!writeAll(_fd, answer(_fd, call)))
			{
				break;
			}
		}
		close(_fd);
	}
	std::string answer(int _fd, const Message& _call)
	{
		const std::string topic = query(_call.target, "topic");
		if (0 == _call.target.find("/sedgecart/log-append"))
		{
			return append(topic, _call);
		}
		if (0 == _call.target.find("/sedgecart/log-read"))
		{
			return read(_fd, topic, _call);
		}
		if (0 == _call.target.find("/sedgecart/log-newest"))
		{
			return newest(topic);
		}
		return answerText(404, "application/json", "{}");
	}
	std::string append(const std::string& _topic, const Message& _call)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		std::vector<Row>& rows = topics_[_topic];
		const std::string asOf = query(_call.target, "as_of");
		if (!asOf.empty() && std::stoull(asOf) != rows.size())
		{
			return answerText(412, "application/json", "{\"end\":" + std::to_string(rows.size()) + '}');
		}
		const uint64_t first = rows.size();
		for (std::size_t at = 0; at + 5 <= _call.body.size();)
		{
			std::size_t length = 0;
			for (int byte = 0; byte < 4; ++byte)
			{
				length = length << 8U | static_cast<unsigned char>(_call.body[at + static_cast<std::size_t>(byte)]);
			}
			const std::size_t key = static_cast<unsigned char>(_call.body[at + 4]);
			rows.push_back({_call.body.substr(at + 5, key), _call.body.substr(at + 5 + key, length - 1 - key)});
			at += 4 + length;
		}
		news_.notify_all();
		return answerText(200, "application/json",
		                  "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(rows.size()) + '}');
	}
	std::string read(int _fd, const std::string& _topic, const Message& _call)
	{
		const uint64_t from = std::stoull('0' + query(_call.target, "from"));
		const auto end = Clock::now() + std::chrono::milliseconds(std::stoll('0' + query(_call.target, "wait_ms")));
		std::unique_lock<std::mutex> lock(mutex_);
		while (topics_[_topic].size() <= from && Clock::now() < end && !peerGone(_fd))
		{
			news_.wait_until(lock, std::min(end, Clock::now() + std::chrono::milliseconds(200)));
		}
		const std::vector<Row>& rows = topics_[_topic];
		std::string body = bigEndian(rows.size(), 8) + bigEndian(0, 8);
		for (uint64_t offset = from; offset < rows.size() && body.size() < 1000000; ++offset)
		{
			const Row& row = rows[offset];
			body += bigEndian(1 + row.key.size() + row.value.size(), 4);
			body += static_cast<char>(row.key.size()) + row.key + row.value;
		}
		return answerText(200, "application/octet-stream", body);
	}
	std::string newest(const std::string& _topic)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		std::map<std::string, uint64_t> last;
		const std::vector<Row>& rows = topics_[_topic];
		for (uint64_t offset = 0; offset < rows.size(); ++offset)
		{
			last[rows[offset].key] = offset;
		}
		std::string items;
		for (const auto& row : last)
		{
			const Row& found = rows[row.second];
			if (!found.value.empty())
			{
				items += (items.empty() ? "" : ",") + ("{\"key_file\":\"" + found.key + "\",\"value\":\"") +
				         base64(found.value) + "\",\"offset\":" + std::to_string(row.second) + '}';
			}
		}
		return answerText(200, "application/json",
		                  "{\"items\":[" + items + "],\"truncated\":false,\"end\":" + std::to_string(rows.size()) +
		                      '}');
	}
	std::mutex mutex_;
	std::condition_variable news_;
	std::map<std::string, std::vector<Row>> topics_;
	Server server_;
};

/// A node: the project's own process, started with the command of the deploy file.
class Node
{
public:
	Node(const std::string& _name, const std::string& _folder, const std::string& _store)
	    : name_(_name),
	      settings_(_folder + '/' + _name + ".settings"),
	      log_(_folder + '/' + _name + ".log"),
	      store_(_store)
	{
		caller_ = "127.0.0.1:" + std::to_string(freePort());
		ready_ = "127.0.0.1:" + std::to_string(freePort());
		const uint16_t one = freePort();
		uint16_t two = freePort();
		while (two == one)
		{
			two = freePort();
		}
		std::ofstream(settings_) << "name=" << _name << "\nhall=h1\ncaller-address=" << caller_
		                         << "\nready-address=" << ready_ << "\nip=127.0.0.1\npeer-ports=" << std::min(one, two)
		                         << ',' << std::max(one, two) << "\nstore-address=" << _store
		                         << "\nretry-ratio=0.2\nretry-slack=202\nretry-window-s=10\nkey-bound-ms=5000\n"
		                            "key-bound-strict=true\nstop-bound-s=8\ncpu-share=0.25\nlink-mbps=1000.0\n"
		                            "switched-off=capacity-leases\n";
	}
	~Node()
	{
		kill(SIGKILL);
		wait();
	}
	void start()
	{
		pid_ = fork();
		if (0 == pid_)
		{
			prctl(PR_SET_PDEATHSIG, SIGKILL); // no node outlives its case
			const int out = open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
			dup2(out, 1);
			dup2(out, 2);
			const char* const program = std::getenv("SEDGECARTD");
			const std::string path = nullptr == program ? "target/sedgecartd" : program;
			execl(path.c_str(), path.c_str(), "entry", "--settings", settings_.c_str(), nullptr);
			_exit(127);
		}
	}
	void kill(int _signal) const
	{
		if (0 < pid_)
		{
			::kill(pid_, _signal);
		}
	}
	void wait()
	{
		if (0 < pid_)
		{
			waitpid(pid_, nullptr, 0);
			pid_ = 0;
		}
	}
	/// @returns true if it ended by itself.
	bool hasEnded(int& _status)
	{
		const bool ended = 0 < pid_ && pid_ == waitpid(pid_, &_status, WNOHANG);
		pid_ = ended ? 0 : pid_;
		return ended;
	}
	bool isReady() const
	{
		const int fd = connectTo(ready_);
		if (fd < 0)
		{
			return false;
		}
		Message answer;
		const bool ok = writeAll(fd, "GET /sedgecart/ready HTTP/1.1\r\nHost: " + ready_ + "\r\n\r\n") &&
		                Reader(fd).read(answer, true, nowMs() + 1000) && 200 == answer.status;
		close(fd);
		return ok;
	}
	bool awaitReady(int64_t _ms) const
	{
		for (const int64_t end = nowMs() + _ms; nowMs() < end; sleepMs(50))
		{
			if (isReady())
			{
				return true;
			}
		}
		return false;
	}
	/// @returns the resident memory of its process; 0 while there is none.
	uint64_t residentBytes() const
	{
		uint64_t total = 0;
		uint64_t resident = 0;
		std::ifstream("/proc/" + std::to_string(pid_) + "/statm") >> total >> resident;
		return 0 < pid_ ? resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) : 0;
	}
	const std::string& callerAddress() const
	{
		return caller_;
	}
	const std::string& name() const
	{
		return name_;
	}

private:
	std::string name_;
	std::string settings_;
	std::string log_;
	std::string store_;
	std::string caller_;
	std::string ready_;
	pid_t pid_ = 0;
};

inline std::string makeFolder()
{
	char path[] = "/tmp/sedgecart-review-XXXXXX";
	const char* const made = mkdtemp(path);
	if (nullptr == made)
	{
		std::perror("mkdtemp");
		std::exit(2);
	}
	return made;
}

inline void removeFolder(const std::string& _folder)
{
	if (0 != std::system(("rm -r '" + _folder + "'").c_str()))
	{
		std::perror("rm");
	}
}

inline bool hasTrouble()
{
	const char* const value = std::getenv("TROUBLE");
	return nullptr == value || std::string("0") != value;
}

} // namespace sim
