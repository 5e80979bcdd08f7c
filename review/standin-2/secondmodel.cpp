// A change of the desired state brings a second model service; its runners are ordered to hold more than they can.
#include "sim.h"

using namespace sim;

namespace
{

constexpr int kRunners = 6; // of each service
constexpr uint32_t kLayers = 80;
constexpr double kCardMb = 36000; // as a100s
constexpr double kFirstLayerMb = 350;
constexpr double kSecondLayerMb = 1750;

std::atomic<int> ordersBeyond{0};
std::atomic<int> orders{0};

uint32_t numberOf(const std::string& _text, const std::string& _name)
{
	const std::size_t at = _text.find('"' + _name + "\":");
	return std::string::npos == at ? 0 : static_cast<uint32_t>(std::atoi(_text.c_str() + at + _name.size() + 3));
}

/// A model runner: starts empty, takes orders, falls if it is ordered beyond its memory.
class Runner
{
public:
	Runner(const std::string& _id, const std::string& _service, double _layerMb, Store& _store)
	    : id_(_id),
	      service_(_service),
	      layerMb_(_layerMb),
	      store_(_store),
	      server_(
	          [this](int _fd, uint16_t)
	          {
		          serve(_fd);
	          })
	{
	}
	void start()
	{
		beat();
		std::thread(
		    [this]
		    {
			    while (!fallen_)
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
		const std::lock_guard<std::mutex> lock(mutex_);
		if (fallen_)
		{
			return;
		}
		const std::string layers = begin_ == end_
		                               ? std::string()
		                               : "\"layers\":{\"from\":" + std::to_string(begin_) +
		                                     ",\"target_version\":" + std::to_string(end_) + ",\"version\":1},";
		store_.put(
		    "keyed.servers", id_,
		    "{\"service\":\"" + service_ + "\",\"address\":\"" + server_.address() +
		        "\",\"zone\":\"h1\",\"version\":\"v1\",\"slot_count\":192,\"state\":\"ready\",\"cold_left_ms\":0," +
		        "\"stage\":\"both\",\"models\":[],\"kind\":\"a100s\"," + layers +
		        "\"sequence\":" + std::to_string(++sequence_) + '}');
	}
	void serve(int _fd)
	{
		Reader reader(_fd);
		Message call;
		while (!fallen_ && reader.read(call, false))
		{
			const bool isOrder = 0 == call.target.find("/sedgecart/order");
			const std::string answer =
			    isOrder ? order(call)
			            : answerText(200, "application/json", "{\"busy\":false,\"sequence\":0,\"pace\":1}");
			if (fallen_ || !writeAll(_fd, answer))
			{
				break;
			}
		}
		resetClose(_fd);
	}
	std::string order(const Message& _call)
	{
		if (_call.has("Expect-Instance") && id_ != _call.header("Expect-Instance"))
		{
			return answerText(421, "", "", "Instance-Id: " + id_ + "\r\n");
		}
		const uint32_t begin = numberOf(_call.body, "from");
		const uint32_t end = numberOf(_call.body, "target_version");
		const double mb = (end - begin) * layerMb_;
		++orders;
		record().line("runner " + id_ + " of " + service_ + " is ordered to hold layers " + std::to_string(begin) +
		              " to " + std::to_string(end) + ", " + std::to_string(static_cast<int>(mb)) + " MB of " +
		              std::to_string(static_cast<int>(kCardMb)));
		if (kCardMb < mb)
		{
			++ordersBeyond;
			fallen_ = true;
			record().line("runner " + id_ + " falls");
			return std::string();
		}
		std::thread(
		    [this, begin, end]
		    {
			    sleepMs(300);
			    {
				    const std::lock_guard<std::mutex> lock(mutex_);
				    begin_ = begin;
				    end_ = end;
			    }
			    beat();
		    })
		    .detach();
		return answerText(202, "application/json", "{}");
	}
	std::string id_;
	std::string service_;
	double layerMb_;
	Store& store_;
	std::mutex mutex_;
	uint32_t sequence_ = 0;
	uint32_t begin_ = 0;
	uint32_t end_ = 0;
	std::atomic<bool> fallen_{false};
	Server server_;
};

std::string serviceText(const std::string& _name, double _layerMb)
{
	return "{\"name\":\"" + _name +
	       "\",\"health_path\":\"/"
	       "health\",\"max_conns\":1078,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slot_count\":192,"
	       "\"kv_capacity\":100000,\"kv_token_bytes\":459000,\"link_speed_mbps\":480000.0,\"stride\":2,\"models\":[{"
	       "\"name\":\"m-" +
	       _name +
	       "\",\"pace\":1.0,\"load_time_s\":2.0,\"warm_s\":1.0}],\"step_ms\":0.85,\"per_seq_ms\":0.00297,\"context_per_"
	       "k\":0.00398,"
	       "\"read_per_s\":252000.0,\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_at_once\":6,"
	       "\"usual\":{\"prompt\":772,\"answer\":154},\"layers\":" +
	       std::to_string(kLayers) + ",\"layer_mb\":" + std::to_string(_layerMb) +
	       ",\"act_bytes\":22900,\"pipe_mbps\":7900.0,\"kinds\":[{\"name\":\"a100s\",\"mb\":" +
	       std::to_string(kCardMb) + ",\"pace\":3.1,\"read_x\":3.2}]}}";
}

std::string desiredState(int _version, bool _isSplit)
{
	const std::string target =
	    _isSplit ? "\"split\":[{\"service\":\"first\",\"weight\":90},{\"service\":\"second\",\"weight\":10}]"
	             : "\"service\":\"first\"";
	return "{\"version\":" + std::to_string(_version) +
	       ",\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\",\"path_prefix\":\"/s/"
	       "\",\"kind\":\"streaming\",\"timeout_ms\":20000,"
	       "\"full_credit_ms\":500,\"priority\":1," +
	       target +
	       ",\"max_attempts\":2,\"auth_exempt\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":200}],"
	       "\"services\":[" +
	       serviceText("first", kFirstLayerMb) +
	       (_isSplit ? ',' + serviceText("second", kSecondLayerMb) : std::string()) +
	       "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	       "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"]}]}";
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
	store.put("keyed.op", "config", desiredState(1, false));
	std::vector<std::unique_ptr<Runner>> first;
	std::vector<std::unique_ptr<Runner>> second;
	for (int index = 0; index < kRunners; ++index)
	{
		first.push_back(std::make_unique<Runner>("i-m" + std::to_string(index), "first", kFirstLayerMb, store));
		first.back()->start();
		second.push_back(std::make_unique<Runner>("i-b" + std::to_string(index), "second", kSecondLayerMb, store));
	}
	std::vector<std::unique_ptr<Node>> nodes;
	for (int index = 0; index < 3; ++index)
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
	sleepMs(10000);
	const int ordersBefore = orders;
	if (trouble)
	{
		store.put("keyed.op", "config", desiredState(2, true));
		record().line("store: desired state 2 is acknowledged: a tenth of the route goes to the service second");
		for (const auto& runner : second)
		{
			runner->start();
		}
	}
	sleepMs(12000);
	for (const auto& node : nodes)
	{
		node->kill(SIGKILL);
		node->wait();
	}
	removeFolder(folder);
	record().line("verdict: " + std::to_string(ordersBefore) + " orders before the change, " +
	              std::to_string(orders - ordersBefore) + " after it; LIMIT is broken by " +
	              std::to_string(ordersBeyond.load()));
	if (0 == ordersBefore)
	{
		std::_Exit(2);
	}
	std::_Exit(0 < ordersBeyond ? 1 : 0);
}
