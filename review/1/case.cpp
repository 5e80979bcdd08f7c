/// @file
/// Case 1: the operator adds a second model service, with runners of its own.

#include "../standin/standin.h"

using namespace review;

namespace
{

constexpr std::size_t kNodes = 3;
constexpr double kCardMb = 36000;
constexpr uint32_t kLayers = 80;
constexpr int kWatchedMs = 15000; //!< How long orders are watched after the change.

const ModelCard kSmall{"llm-small", "small", "a100s", kCardMb, 350, kLayers, 1400};
const ModelCard kLarge{"llm-large", "large", "a100s", kCardMb, 1750, kLayers, 14000};

std::string serviceText(const ModelCard& _card)
{
	return "{\"name\":\"" + _card.service +
	       "\",\"health_path\":\"/health\",\"max_conns\":1078,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
	       "\"slot_count\":192,\"kv_capacity\":100000,\"kv_token_bytes\":459000,\"link_speed_mbps\":480000.0,"
	       "\"stride\":2,\"models\":[{\"name\":\"" +
	       _card.model +
	       "\",\"pace\":1.0,\"load_time_s\":14.0,\"warm_s\":1.0}],\"step_ms\":0.85,\"per_seq_ms\":0.00297,"
	       "\"context_per_k\":0.00398,\"read_per_s\":252000.0,\"pairs_per_m\":0.129,\"chunk\":512,"
	       "\"report_lag_ms\":200.0,\"loads_at_once\":6,\"usual\":{\"prompt\":772,\"answer\":154},\"layers\":80,"
	       "\"layer_mb\":" +
	       std::to_string(_card.layerMb) +
	       ",\"act_bytes\":22900,\"pipe_mbps\":7900.0,\"kinds\":[{\"name\":\"a100s\",\"mb\":36000.0,\"pace\":3.1,"
	       "\"read_x\":3.2}]}}";
}

std::string routeText(const std::string& _name, const std::string& _services)
{
	return "{\"name\":\"r-" + _name + "\",\"host\":\"desk.example\",\"path_prefix\":\"/" + _name +
	       "/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"full_credit_ms\":500,\"priority\":1," + _services +
	       ",\"max_attempts\":2,\"auth_exempt\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":200}";
}

std::string stateText(int _version, const std::string& _routes, const std::string& _services)
{
	return "{\"version\":" + std::to_string(_version) + ",\"routes\":[" + _routes + "],\"services\":[" + _services +
	       "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
	       "\"idle_timeout_ms\":30000},\"tenants\":[{\"name\":\"tenant-one\",\"api_keys\":[\"key-one\"]}]}";
}

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
	const std::string ip = "127.0.0.1";
	Store store(ip);
	store.put("keyed.op", "config", stateText(3, routeText("draft", "\"service\":\"llm-small\""), serviceText(kSmall)));
	std::vector<std::unique_ptr<ModelRunner>> runners;
	for (int index = 0; index < 6; ++index)
	{
		runners.push_back(std::make_unique<ModelRunner>(ip, kSmall, "i-9f3a91c" + std::to_string(index), store));
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
	sleepMs(12000); // the first layout is ordered, loaded and shown
	std::size_t before = 0;
	for (const auto& runner : runners)
	{
		before += runner->orders().size();
	}
	report(std::to_string(before) + " orders to runners of llm-small before the change");
	if (0 == before)
	{
		return 2;
	}
	if (isTroubled())
	{
		const std::string split = "\"split\":[{\"service\":\"llm-small\",\"weight\":90},"
		                          "{\"service\":\"llm-large\",\"weight\":10}]";
		store.put("keyed.op", "config",
		          stateText(8, routeText("draft", split), serviceText(kSmall) + ',' + serviceText(kLarge)));
		record().line(
		    "operator  desired state 8 is acknowledged: llm-large is added, and a tenth of the route goes there");
		for (int index = 0; index < 6; ++index)
		{
			runners.push_back(std::make_unique<ModelRunner>(ip, kLarge, "i-1b04d7e" + std::to_string(index), store));
		}
	}
	sleepMs(kWatchedMs);
	std::size_t all = 0;
	std::size_t beyond = 0;
	std::size_t fallen = 0;
	for (const auto& runner : runners)
	{
		fallen += runner->hasFallen() ? 1 : 0;
		for (const LayerOrder& order : runner->orders())
		{
			++all;
			beyond += order.mb < order.neededMb ? 1 : 0;
		}
	}
	report(std::to_string(all) + " orders in all, " + std::to_string(beyond) + " beyond the memory of their runner; " +
	       std::to_string(fallen) + " runners have fallen");
	nodes.clear();
	_exit(0 < beyond ? 1 : 0);
}
