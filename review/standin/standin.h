/// @file
/// Stand-ins of the review: the platform's store, plain runners, clients, the platform's choice of nodes, and the nodes
/// as processes. Blocking sockets, one thread for each connection, loopback addresses only.

#ifndef REVIEW_STANDIN_H_HEADER_GUARD
#define REVIEW_STANDIN_H_HEADER_GUARD

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline const Clock::time_point kBegin = Clock::now();

/// @returns milliseconds since the start of the case.
inline double nowMs()
{
	return std::chrono::duration<double, std::milli>(Clock::now() - kBegin).count();
}

inline void sleepMs(int64_t _millis)
{
	std::this_thread::sleep_for(Millis(_millis));
}

/// The file of what was sent, answered and run.
class Record
{
public:
	void open(const std::string& _path)
	{
		out_.open(_path, std::ios::trunc);
	}

	/// Writes what is buffered; a case ends without destructors.
	void flush()
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		out_.flush();
	}

	void line(const std::string& _text)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		char time[32];
		std::snprintf(time, sizeof(time), "%10.1f ms  ", nowMs());
		out_ << time << _text << '\n';
	}

private:
	std::mutex mutex_;
	std::ofstream out_;
};

inline Record& record()
{
	static Record one;
	return one;
}

/// "ip:port".
struct Address
{
	std::string ip;
	uint16_t port = 0;

	std::string text() const
	{
		return ip + ':' + std::to_string(port);
	}

	sockaddr_in raw() const
	{
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(port);
		inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
		return address;
	}
};

/// @returns a listening socket at a free port of the address; sets the port.
inline int listenAt(Address& _address)
{
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int yes = 1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	sockaddr_in raw = _address.raw();
	if (0 != bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) || 0 != listen(fd, 512))
	{
		close(fd);
		return -1;
	}
	socklen_t size = sizeof(raw);
	getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
	_address.port = ntohs(raw.sin_port);
	return fd;
}

/// @returns a port that is free at the address now, below those that the system gives to whoever asks for any.
inline uint16_t freePort(const std::string& _ip)
{
	static std::atomic<uint32_t> next{static_cast<uint32_t>(getpid()) * 37U};
	while (true)
	{
		Address address{_ip, static_cast<uint16_t>(21000 + next++ % 9000)};
		const int fd = listenAt(address);
		if (0 <= fd)
		{
			close(fd);
			return address.port;
		}
	}
}

/// A request or an answer.
struct Message
{
	std::string start;
	std::vector<std::pair<std::string, std::string>> headers;
	std::string body;
	bool whole = false;

	std::string header(const std::string& _name) const
	{
		for (const auto& field : headers)
		{
			if (0 == strcasecmp(field.first.c_str(), _name.c_str()))
			{
				return field.second;
			}
		}
		return std::string();
	}

	int status() const
	{
		return 12 <= start.size() ? std::atoi(start.c_str() + 9) : 0;
	}

	std::string method() const
	{
		return start.substr(0, start.find(' '));
	}

	std::string target() const
	{
		const std::size_t from = start.find(' ') + 1;
		return start.substr(from, start.find(' ', from) - from);
	}
};

/// One connection with its bytes that were received and not yet used.
class Connection
{
public:
	explicit Connection(int _fd = -1) : fd_(_fd)
	{
		const int yes = 1;
		setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	}

	~Connection()
	{
		shut();
	}

	Connection(const Connection&) = delete;
	Connection& operator=(const Connection&) = delete;

	bool isOpen() const
	{
		return 0 <= fd_;
	}

	bool open(const Address& _address)
	{
		shut();
		rest_.clear();
		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		const timeval limit{30, 0};
		setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		const int yes = 1;
		setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
		const sockaddr_in raw = _address.raw();
		if (0 == connect(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)))
		{
			return true;
		}
		shut();
		return false;
	}

	void shut()
	{
		if (0 <= fd_)
		{
			close(fd_);
		}
		fd_ = -1;
	}

	/// @returns true if the peer has closed the connection, or sent what nobody asked for.
	bool isStale() const
	{
		char next = 0;
		return 0 > fd_ || 0 <= recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) ||
		       (EAGAIN != errno && EWOULDBLOCK != errno);
	}

	bool send(const std::string& _text)
	{
		std::size_t done = 0;
		while (done < _text.size())
		{
			const ssize_t size = ::send(fd_, _text.data() + done, _text.size() - done, MSG_NOSIGNAL);
			if (size <= 0)
			{
				return false;
			}
			done += static_cast<std::size_t>(size);
		}
		return true;
	}

	/// Reads one message with a length, or in chunks.
	Message receive()
	{
		Message message;
		std::string head;
		if (!until("\r\n\r\n", head))
		{
			return message;
		}
		std::istringstream lines(head);
		std::string line;
		std::getline(lines, line);
		message.start = line.substr(0, line.find('\r'));
		while (std::getline(lines, line) && line.size() > 1)
		{
			line = line.substr(0, line.find('\r'));
			const std::size_t colon = line.find(':');
			const std::size_t value = line.find_first_not_of(' ', colon + 1);
			message.headers.emplace_back(line.substr(0, colon),
			                             std::string::npos == value ? std::string() : line.substr(value));
		}
		if ("chunked" == message.header("Transfer-Encoding"))
		{
			message.whole = readChunks(message.body);
			return message;
		}
		const std::string length = message.header("Content-Length");
		message.whole = take(length.empty() ? 0 : std::stoul(length), message.body);
		return message;
	}

private:
	bool more()
	{
		char bytes[65536];
		const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
		if (size <= 0)
		{
			return false;
		}
		rest_.append(bytes, static_cast<std::size_t>(size));
		return true;
	}

	bool until(const std::string& _mark, std::string& _text)
	{
		std::size_t at = rest_.find(_mark);
		while (std::string::npos == at)
		{
			if (!more())
			{
				return false;
			}
			at = rest_.find(_mark);
		}
		_text = rest_.substr(0, at + _mark.size());
		rest_.erase(0, at + _mark.size());
		return true;
	}

	bool take(std::size_t _size, std::string& _text)
	{
		while (rest_.size() < _size)
		{
			if (!more())
			{
				return false;
			}
		}
		_text.append(rest_, 0, _size);
		rest_.erase(0, _size);
		return true;
	}

	bool readChunks(std::string& _body)
	{
		while (true)
		{
			std::string line;
			if (!until("\r\n", line))
			{
				return false;
			}
			const std::size_t size = std::stoul(line, nullptr, 16);
			std::string end;
			if (!take(size, _body) || !take(2, end))
			{
				return false;
			}
			if (0 == size)
			{
				return true;
			}
		}
	}

	int fd_;
	std::string rest_;
};

/// Accepts connections and answers their requests, one after the other on each.
class HttpServer
{
public:
	/// @returns the whole answer; an empty one closes the connection.
	using Answer = std::function<std::string(const Message&)>;

	/// @param _address its port 0: any free one.
	HttpServer(Address _address, Answer _answer) : address_(std::move(_address)), answer_(std::move(_answer))
	{
		fd_ = listenAt(address_);
		std::thread(
		    [this]
		    {
			    accept();
		    })
		    .detach();
	}

	const Address& address() const
	{
		return address_;
	}

private:
	void accept()
	{
		while (true)
		{
			const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
			if (fd < 0)
			{
				return;
			}
			std::thread(
			    [this, fd]
			    {
				    serve(fd);
			    })
			    .detach();
		}
	}

	void serve(int _fd)
	{
		Connection connection(_fd);
		while (true)
		{
			const Message request = connection.receive();
			if (!request.whole)
			{
				return;
			}
			const std::string answer = answer_(request);
			if (answer.empty() || !connection.send(answer))
			{
				return;
			}
		}
	}

	Address address_;
	Answer answer_;
	int fd_ = -1;
};

inline std::string answerText(const std::string& _status, const std::string& _body, const std::string& _lines = "")
{
	return "HTTP/1.1 " + _status + "\r\n" + _lines + "Content-Length: " + std::to_string(_body.size()) + "\r\n\r\n" +
	       _body;
}

inline std::string base64(const std::string& _bytes)
{
	static const char* const kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string text;
	for (std::size_t at = 0; at < _bytes.size(); at += 3)
	{
		uint32_t bits = 0;
		for (std::size_t next = at; next < at + 3; ++next)
		{
			bits = bits << 8 | (next < _bytes.size() ? static_cast<unsigned char>(_bytes[next]) : 0U);
		}
		for (std::size_t letter = 0; letter < 4; ++letter)
		{
			const bool isFilled = at + letter <= _bytes.size();
			text += isFilled ? kLetters[bits >> (18 - 6 * letter) & 63U] : '=';
		}
	}
	return text;
}

inline std::string bigEndian(uint64_t _number, int _bytes)
{
	std::string text;
	for (int byte = _bytes - 1; 0 <= byte; --byte)
	{
		text += static_cast<char>(_number >> (8 * byte) & 0xFFU);
	}
	return text;
}

/// The platform's store: keyed topics with one partition, which forget nothing.
class Store
{
public:
	explicit Store(const std::string& _ip)
	    : server_(Address{_ip, 0},
	              [this](const Message& _request)
	              {
		              sleepMs(4);
		              return answer(_request);
	              })
	{
	}

	const Address& address() const
	{
		return server_.address();
	}

	/// Writes as the operator and the runners do. An empty value removes the key. @returns after the acknowledgement.
	void put(const std::string& _topic, const std::string& _key, const std::string& _value)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		topics_[_topic].emplace_back(_key, _value);
		changed_.notify_all();
	}

private:
	using Rows = std::vector<std::pair<std::string, std::string>>;

	static std::string query(const std::string& _target, const std::string& _name)
	{
		const std::size_t at = _target.find(_name + '=');
		const std::size_t from = at + _name.size() + 1;
		return std::string::npos == at ? std::string() : _target.substr(from, _target.find('&', from) - from);
	}

	std::string answer(const Message& _request)
	{
		const std::string target = _request.target();
		const std::string topic = query(target, "topic");
		if (0 == target.find("/sedgecart/log-newest"))
		{
			return newestPage(topic);
		}
		if (0 == target.find("/sedgecart/log-read"))
		{
			return read(topic, std::stoul(query(target, "from")), std::atoi(query(target, "wait_ms").c_str()));
		}
		if (0 == target.find("/sedgecart/log-append"))
		{
			return append(topic, query(target, "as_of"), _request.body);
		}
		return answerText("404 Not Found", "{}");
	}

	std::string newestPage(const std::string& _topic)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		const Rows& rows = topics_[_topic];
		std::map<std::string, std::size_t> last;
		for (std::size_t offset = 0; offset < rows.size(); ++offset)
		{
			last[rows[offset].first] = offset;
		}
		std::string items;
		for (const auto& row : last)
		{
			const std::string& value = rows[row.second].second;
			if (!value.empty())
			{
				items += items.empty() ? "" : ",";
				items += "{\"key_file\":\"" + row.first + "\",\"value\":\"" + base64(value) +
				         "\",\"offset\":" + std::to_string(row.second) + '}';
			}
		}
		return answerText("200 OK",
		                  "{\"items\":[" + items + "],\"truncated\":false,\"end\":" + std::to_string(rows.size()) + '}',
		                  "Content-Type: application/json\r\n");
	}

	std::string read(const std::string& _topic, std::size_t _from, int _waitMs)
	{
		std::unique_lock<std::mutex> lock(mutex_);
		changed_.wait_for(lock, Millis(_waitMs),
		                  [this, &_topic, _from]
		                  {
			                  return _from < topics_[_topic].size();
		                  });
		const Rows& rows = topics_[_topic];
		std::string body = bigEndian(rows.size(), 8) + bigEndian(0, 8);
		for (std::size_t offset = _from; offset < rows.size(); ++offset)
		{
			const std::string bytes =
			    static_cast<char>(rows[offset].first.size()) + rows[offset].first + rows[offset].second;
			body += bigEndian(bytes.size(), 4) + bytes;
		}
		return answerText("200 OK", body);
	}

	std::string append(const std::string& _topic, const std::string& _asOf, const std::string& _body)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		Rows& rows = topics_[_topic];
		const std::size_t offset = rows.size();
		const std::string end = "\"end\":" + std::to_string(offset);
		if (!_asOf.empty() && std::stoul(_asOf) != offset)
		{
			return answerText("412 Precondition Failed", '{' + end + '}');
		}
		for (std::size_t at = 0; at + 5 <= _body.size();)
		{
			uint32_t size = 0;
			for (int byte = 0; byte < 4; ++byte)
			{
				size = size << 8 | static_cast<unsigned char>(_body[at + static_cast<std::size_t>(byte)]);
			}
			const std::size_t key = static_cast<unsigned char>(_body[at + 4]);
			rows.emplace_back(_body.substr(at + 5, key), _body.substr(at + 5 + key, size - 1 - key));
			at += 4 + size;
		}
		changed_.notify_all();
		return answerText("200 OK",
		                  "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(rows.size()) + '}');
	}

	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::string, Rows> topics_;
	HttpServer server_;
};

/// One run of a request at a runner.
struct Run
{
	double atMs = 0;
	std::string runner;
	std::string tenant;
};

/// What runners ran, by the id of the client's attempt.
class RunLog
{
public:
	void add(const std::string& _id, const Run& _run)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		runs_[_id].push_back(_run);
	}

	std::vector<Run> of(const std::string& _id)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		const auto row = runs_.find(_id);
		return runs_.end() == row ? std::vector<Run>() : row->second;
	}

private:
	std::mutex mutex_;
	std::map<std::string, std::vector<Run>> runs_;
};

/// A runner of a plain service. It has enough slots, so that it refuses nothing but what is for another instance.
class Runner
{
public:
	Runner(const std::string& _ip, std::string _service, std::string _instance, int _workMs, Store& _store,
	       RunLog& _runs)
	    : service_(std::move(_service)),
	      instance_(std::move(_instance)),
	      workMs_(_workMs),
	      store_(_store),
	      runs_(_runs),
	      server_(Address{_ip, 0},
	              [this](const Message& _request)
	              {
		              return answer(_request);
	              })
	{
		std::thread(
		    [this]
		    {
			    beat();
		    })
		    .detach();
	}

private:
	static constexpr int kLookMs = 15; //!< Work on a request without a body.

	/// Writes its entry about every `beat_interval_ms`.
	void beat()
	{
		for (uint64_t sequence = 1;; ++sequence)
		{
			store_.put("keyed.servers", instance_,
			           "{\"service\":\"" + service_ + "\",\"address\":\"" + server_.address().text() +
			               "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slot_count\":64,\"state\":\"ready\"," +
			               "\"cold_left_ms\":0,\"sequence\":" + std::to_string(sequence) + '}');
			sleepMs(1200);
		}
	}

	std::string answer(const Message& _request)
	{
		const std::string id = _request.header("Attempt-Id");
		if ("/health" == _request.target())
		{
			return answerText("200 OK", "", "Instance-Id: " + instance_ + "\r\n");
		}
		if ("/sedgecart/report" == _request.target())
		{
			return answerText("200 OK", "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,"
			                            "\"running\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0}");
		}
		const std::string expected = _request.header("Expect-Instance");
		if (!expected.empty() && instance_ != expected)
		{
			return answerText("421 Misdirected Request", "", "Instance-Id: " + instance_ + "\r\n");
		}
		runs_.add(id, Run{nowMs(), instance_, _request.header("Tenant")});
		record().line("run       " + id + " at " + instance_ + ' ' + _request.start + " tenant " +
		              _request.header("Tenant"));
		sleepMs("GET" == _request.method() ? kLookMs : workMs_);
		return answerText("200 OK", "answer to " + id + '\n',
		                  "Attempt-Id: " + id + "\r\nResponse-Stamp: stamp." + instance_ + '.' + id + "\r\n");
	}

	std::string service_;
	std::string instance_;
	int workMs_;
	Store& store_;
	RunLog& runs_;
	HttpServer server_;
};

/// @returns the whole number of a field of a JSON text; none: -1.
inline int64_t numberOf(const std::string& _json, const std::string& _name)
{
	const std::size_t at = _json.find('"' + _name + "\":");
	if (std::string::npos == at)
	{
		return -1;
	}
	std::size_t from = at + _name.size() + 3;
	from += '"' == _json[from] ? 1 : 0; // a number may stand in quotes
	return std::atoll(_json.c_str() + from);
}

/// What a model runner is.
struct ModelCard
{
	std::string service;
	std::string model;
	std::string kind;
	double mb = 0;      //!< Memory of the card.
	double layerMb = 0; //!< Of its service's model.
	uint32_t layers = 0;
	int loadMs = 0; //!< Of all layers.
};

/// An order to hold layers, as a runner received it.
struct LayerOrder
{
	std::string instance;
	std::string service;
	int64_t begin = 0;
	int64_t end = 0;
	double neededMb = 0;
	double mb = 0;
};

/// A runner that holds layers of its service's model and starts empty. One that is ordered beyond its memory falls.
class ModelRunner
{
public:
	ModelRunner(const std::string& _ip, ModelCard _card, std::string _instance, Store& _store)
	    : card_(std::move(_card)),
	      instance_(std::move(_instance)),
	      store_(_store),
	      server_(Address{_ip, 0},
	              [this](const Message& _request)
	              {
		              return answer(_request);
	              })
	{
		std::thread(
		    [this]
		    {
			    beat();
		    })
		    .detach();
	}

	std::vector<LayerOrder> orders()
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return orders_;
	}

	bool hasFallen() const
	{
		return hasFallen_;
	}

private:
	std::string modelsText() const
	{
		return "\"stage\":\"both\",\"models\":[{\"name\":\"" + card_.model +
		       "\",\"version\":1,\"adapters\":[]}],\"kind\":\"" + card_.kind +
		       "\",\"layers\":{\"from\":" + std::to_string(begin_) + ",\"target_version\":" + std::to_string(end_) +
		       ",\"version\":1}";
	}

	void beat()
	{
		while (!hasFallen_)
		{
			std::string entry;
			{
				const std::lock_guard<std::mutex> lock(mutex_);
				finishLoad();
				entry = "{\"service\":\"" + card_.service + "\",\"address\":\"" + server_.address().text() +
				        "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slot_count\":192,\"state\":\"ready\","
				        "\"cold_left_ms\":0," +
				        modelsText() + ",\"sequence\":" + std::to_string(++beats_) + '}';
			}
			store_.put("keyed.servers", instance_, entry);
			sleepMs(1200);
		}
		sleepMs(2400);
		store_.put("keyed.servers", instance_, ""); // the entry goes after three reports of silence
	}

	void finishLoad()
	{
		if (isLoading_ && loadedAtMs_ < nowMs())
		{
			isLoading_ = false;
			begin_ = nextBegin_;
			end_ = nextEnd_;
		}
	}

	std::string answer(const Message& _request)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if (hasFallen_)
		{
			return std::string();
		}
		finishLoad();
		const std::string expected = _request.header("Expect-Instance");
		if (!expected.empty() && instance_ != expected)
		{
			return answerText("421 Misdirected Request", "", "Instance-Id: " + instance_ + "\r\n");
		}
		if ("/health" == _request.target())
		{
			return answerText("200 OK", "", "Instance-Id: " + instance_ + "\r\n");
		}
		if ("/sedgecart/report" == _request.target())
		{
			return answerText("200 OK", "{" + modelsText() + ",\"busy\":" + (isLoading_ ? "true" : "false") +
			                                ",\"sequence\":" + std::to_string(taken_) +
			                                ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":100000,"
			                                "\"handles\":0,\"pace\":1.0,\"stalled\":[]}");
		}
		if ("/sedgecart/order" == _request.target())
		{
			return order(_request.body);
		}
		return answerText("503 Service Unavailable", "",
		                  "Not-Executed: 1\r\nAttempt-Id: " + _request.header("Attempt-Id") + "\r\n");
	}

	std::string order(const std::string& _body)
	{
		const int64_t begin = std::max<int64_t>(0, numberOf(_body, "from"));
		const int64_t end = numberOf(_body, "target_version");
		const int64_t fence = numberOf(_body, "fence");
		if (std::string::npos == _body.find("\"place\"") || end < begin || card_.layers < end)
		{
			record().line("order     " + instance_ + " refuses " + _body);
			return answerText("400 Bad Request", "{}");
		}
		if (0 <= fence && fence < fence_)
		{
			return answerText("412 Precondition Failed", "{}");
		}
		fence_ = std::max(fence_, fence);
		const double needed = static_cast<double>(end - begin) * card_.layerMb;
		orders_.push_back(LayerOrder{instance_, card_.service, begin, end, needed, card_.mb});
		record().line("order     " + instance_ + " of " + card_.service + ": layers " + std::to_string(begin) + '-' +
		              std::to_string(end) + ", " + std::to_string(static_cast<int64_t>(needed)) + " MB of " +
		              std::to_string(static_cast<int64_t>(card_.mb)) + (card_.mb < needed ? " LIMIT" : ""));
		if (begin == begin_ && end == end_ && !isLoading_)
		{
			return answerText("200 OK", "{}");
		}
		if (isLoading_)
		{
			return answerText(begin == nextBegin_ && end == nextEnd_ ? "200 OK" : "409 Conflict", "{}");
		}
		if (card_.mb < needed)
		{
			hasFallen_ = true;
			record().line("runner    " + instance_ + " falls, it was ordered beyond its memory");
			return std::string();
		}
		++taken_;
		isLoading_ = true;
		nextBegin_ = begin;
		nextEnd_ = end;
		loadedAtMs_ = nowMs() + static_cast<double>(card_.loadMs) * static_cast<double>(end - begin) / card_.layers;
		return answerText("202 Accepted", "{}");
	}

	ModelCard card_;
	std::string instance_;
	Store& store_;
	std::mutex mutex_;
	std::vector<LayerOrder> orders_;
	std::atomic<bool> hasFallen_{false};
	bool isLoading_ = false;
	double loadedAtMs_ = 0;
	int64_t begin_ = 0;
	int64_t end_ = 0;
	int64_t nextBegin_ = 0;
	int64_t nextEnd_ = 0;
	int64_t fence_ = 0;
	uint64_t taken_ = 0;
	uint64_t beats_ = 0;
	HttpServer server_;
};

/// A node of the system: the program and command of the deploy file, with settings by its template.
class Node
{
public:
	/// @param _folder temporary folder for its settings and its log.
	Node(std::string _name, std::string _ip, const Address& _store, std::string _folder)
	    : name_(std::move(_name)),
	      folder_(std::move(_folder)),
	      front_{_ip, freePort(_ip)},
	      ready_{_ip, freePort(_ip)}
	{
		const uint16_t first = freePort(_ip);
		const uint16_t last = freePort(_ip);
		std::ofstream out(settings());
		out << "name=" << name_ << "\nhall=zone-a\ncaller-address=" << front_.text()
		    << "\nready-address=" << ready_.text() << "\nip=" << _ip << "\npeer-ports=" << std::min(first, last) << ','
		    << std::max(first, last) << "\nstore-address=" << _store.text()
		    << "\nretry-ratio=0.2\nretry-slack=202\nretry-window-s=10\nkey-bound-ms=5000\nkey-bound-strict=true\n"
		       "stop-bound-s=8\ncpu-share=0.25\nlink-mbps=1000.0\nswitched-off=capacity-leases\n";
	}

	const std::string& name() const
	{
		return name_;
	}

	const Address& front() const
	{
		return front_;
	}

	void start()
	{
		const std::string log = folder_ + '/' + name_ + ".log";
		const std::string file = settings();
		const pid_t parent = getpid();
		const pid_t child = fork();
		if (0 == child)
		{
			prctl(PR_SET_PDEATHSIG, SIGKILL); // of the thread that forks: start nodes from the main thread
			if (parent != getppid())
			{
				_exit(127);
			}
			const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
			dup2(out, 1);
			dup2(out, 2);
			execl("target/sedgecartd", "target/sedgecartd", "entry", "--settings", file.c_str(), nullptr);
			_exit(127);
		}
		pid_ = child;
		record().line("node      " + name_ + " is started");
	}

	/// @returns true if it calls itself ready.
	bool isReady() const
	{
		Connection connection;
		return connection.open(ready_) && connection.send("GET /sedgecart/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
		       200 == connection.receive().status();
	}

	bool awaitReady(int _limitMs) const
	{
		for (const double end = nowMs() + _limitMs; nowMs() < end; sleepMs(20))
		{
			if (isReady())
			{
				return true;
			}
		}
		return false;
	}

	void signal(int _signal) const
	{
		record().line("node      " + name_ + " gets signal " + std::to_string(_signal));
		kill(pid_, _signal);
	}

	/// Waits for its end, with SIGKILL after the time that the platform allows. @returns its status.
	int awaitEnd(int _limitMs)
	{
		int status = 0;
		for (const double end = nowMs() + _limitMs; 0 == waitpid(pid_, &status, WNOHANG); sleepMs(2))
		{
			if (end < nowMs())
			{
				signal(SIGKILL);
			}
		}
		pid_ = 0;
		record().line("node      " + name_ + " has ended, status " + std::to_string(status));
		return status;
	}

	/// @returns the memory of its process that is resident, MB; 0 if it does not run.
	double memoryMb() const
	{
		std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
		double pages = 0;
		in >> pages >> pages;
		return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
	}

	~Node()
	{
		if (0 < pid_)
		{
			kill(pid_, SIGKILL);
			waitpid(pid_, nullptr, 0);
		}
	}

	Node(const Node&) = delete;
	Node& operator=(const Node&) = delete;

private:
	std::string settings() const
	{
		return folder_ + '/' + name_ + ".settings";
	}

	std::string name_;
	std::string folder_;
	Address front_;
	Address ready_;
	std::atomic<pid_t> pid_{0};
};

/// Chooses nodes for new connections as the platform does: it asks each node every second, and one that misses twice is
/// out until it answers 200 again. If under half of the nodes are in, all are used.
class Entry
{
public:
	explicit Entry(std::vector<std::unique_ptr<Node>>& _nodes) : nodes_(_nodes), misses_(_nodes.size())
	{
		for (std::size_t index = 0; index < nodes_.size(); ++index)
		{
			std::thread(
			    [this, index]
			    {
				    ask(index);
			    })
			    .detach();
		}
	}

	/// @returns the index of a node.
	std::size_t choose(std::mt19937& _random)
	{
		std::vector<std::size_t> in;
		for (std::size_t index = 0; index < nodes_.size(); ++index)
		{
			if (misses_[index] < 2)
			{
				in.push_back(index);
			}
		}
		if (2 * in.size() < nodes_.size())
		{
			return _random() % nodes_.size();
		}
		return in[_random() % in.size()];
	}

private:
	void ask(std::size_t _index)
	{
		while (true)
		{
			misses_[_index] = nodes_[_index]->isReady() ? 0 : misses_[_index] + 1;
			sleepMs(1000);
		}
	}

	std::vector<std::unique_ptr<Node>>& nodes_;
	std::vector<std::atomic<int>> misses_;
};

/// @returns true unless the case is to run without its disruption.
inline bool isTroubled()
{
	const char* const value = std::getenv("TROUBLE");
	return nullptr == value || 0 != std::strcmp(value, "0");
}

} // namespace review

#endif // REVIEW_STANDIN_H_HEADER_GUARD
