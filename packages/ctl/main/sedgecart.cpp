// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/capacityledger.h>
#include <ctl/loadplan.h>
#include <ctl/loadreport.h>
#include <ctl/loadrunner.h>
#include <ctl/lossledger.h>
#include <ctl/operatorclient.h>
#include <ctl/requeststory.h>
#include <peer/peerlink.h>

#include <boost/algorithm/string.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

using namespace sedgecart;
namespace po = boost::program_options;

namespace
{

const char kUsage[] = R"(sedgecart: operators' tool of sedgecart.

  sedgecart [options] "STATEMENT"   carries out one statement, such as
                                      show targets where hall = kakkanad
                                      who holds route returns-draft
                                      drain target t7
                                      move route returns-draft from old to new
                                      undo 42
  sedgecart [options] apply FILE    carries out a file of statements, one a line
  sedgecart [options] dump          prints the state of a node as JSON
  sedgecart [options] load ROUTE    sends an open-loop load to a model route and reports times and outcomes;
                                      customers are given as --customers name:key:share,...
  sedgecart explain ID [FILE...]    tells one request's story from the logs of nodes on the users' platform, in FILEs or
                                      standard input
  sedgecart losses [FILE...]        tells from such logs where requests were lost or late, and why; see --window-s,
                                      --first-ms, --csv
  sedgecart capacity [FILE...]      tells from such logs, by second and hall, how much capacity was free, leased and
                                      waited for, and which requests waited or were refused; see --csv
  sedgecart keygen                  makes a key pair for the nodes' own traffic

)";

po::options_description describe()
{
	po::options_description description("Options (each also as SEDGECART_...)");
	description.add_options()("help", "Print this and exit.")("version", "Print the version and exit.")(
	    "node", po::value<std::string>()->default_value("127.0.0.1:7100"),
	    "Nodes to ask, ip:port,ip:port,...; the first that can be reached answers. [SEDGECART_NODE]")(
	    "operator-key", po::value<std::string>()->default_value(""), "Operator's credential. [SEDGECART_OPERATOR_KEY]")(
	    "author", po::value<std::string>()->default_value("operator"),
	    "Who orders it, for the record. [SEDGECART_AUTHOR]")(
	    "wait-ms", po::value<uint32_t>()->default_value(5000),
	    "How long to wait for every node to confirm. [SEDGECART_WAIT_MS]")("dry-run", po::bool_switch(),
	                                                                       "Say what would change, change nothing.")(
	    "follow", po::bool_switch(), "After a drain: tell how many streams are left, until there are none.")(
	    "json", po::bool_switch(), "Print JSON instead of a table.")(
	    "customers", po::value<std::string>()->default_value(""), "load: name:key:share,name:key:share,...")(
	    "rate", po::value<double>()->default_value(10), "load: requests a second, 0.1 to 100000.")(
	    "seconds", po::value<double>()->default_value(10), "load: time of arrivals, 0.1 to 86400.")(
	    "tokens", po::value<uint32_t>()->default_value(32), "load: mean length of an answer, 1 to 2048.")(
	    "prompt-bytes", po::value<uint32_t>()->default_value(64), "load: length of a prompt, up to 65536.")(
	    "deadline-ms", po::value<uint32_t>()->default_value(30000), "load: deadline of each request, 1 to 3600000.")(
	    "window-s", po::value<double>()->default_value(2), "losses: length of a window, 0.1 to 86400.")(
	    "first-ms", po::value<uint32_t>()->default_value(500), "losses: a later first event is late, 1 to 3600000.")(
	    "csv", po::bool_switch(), "losses, capacity: print rows for a spreadsheet or a plot.")(
	    "seed", po::value<uint64_t>()->default_value(1),
	    "load: the same seed sends the same requests.")("words", po::value<std::vector<std::string>>(), "");
	return description;
}

std::string flagOf(const std::string& _variable)
{
	if ("SEDGECART_NODE" == _variable)
	{
		return "node";
	}
	if ("SEDGECART_OPERATOR_KEY" == _variable)
	{
		return "operator-key";
	}
	if ("SEDGECART_AUTHOR" == _variable)
	{
		return "author";
	}
	return "SEDGECART_WAIT_MS" == _variable ? "wait-ms" : "";
}

bool readNodes(const std::string& _text, std::vector<Endpoint>& _nodes)
{
	std::vector<std::string> list;
	boost::split(list, _text, boost::is_any_of(","));
	for (const std::string& one : list)
	{
		_nodes.push_back(parseEndpoint(one));
		if (!isValid(_nodes.back()))
		{
			return false;
		}
	}
	return true;
}

int printKeys()
{
	const PeerKeys keys = makePeerKeys();
	std::cout << "public " << keys.publicKey << "\nsecret " << keys.secretKey << '\n';
	return ExitCode::Done;
}

/// Reads log files, standard input if there are none.
/// @returns false if one cannot be read.
template <typename Reader>
bool readLogs(const std::vector<std::string>& _words, std::size_t _firstFile, Reader& _reader)
{
	for (std::size_t index = _firstFile; index < _words.size(); ++index)
	{
		std::ifstream log(_words[index]);
		if (!log)
		{
			std::cerr << "sedgecart: log file '" << _words[index] << "' cannot be read\n";
			return false;
		}
		_reader.read(log);
	}
	if (_firstFile == _words.size())
	{
		_reader.read(std::cin);
	}
	return true;
}

/// @param _words "losses", names of log files.
int losses(const po::variables_map& _values, const std::vector<std::string>& _words)
{
	constexpr double kLeastWindow = 0.1;
	constexpr double kMostWindow = 86400;
	constexpr double kMicrosPerSecond = 1e6;
	const double window = _values["window-s"].as<double>();
	const uint32_t firstMs = _values["first-ms"].as<uint32_t>();
	if (!(kLeastWindow <= window && window <= kMostWindow) || 0 == firstMs)
	{
		std::cerr << "sedgecart: --window-s is " << window << ", allowed: 0.1 to 86400; --first-ms is " << firstMs
		          << ", allowed: 1 to 3600000\n";
		return ExitCode::BadUsage;
	}
	LossLedger ledger(static_cast<int64_t>(window * kMicrosPerSecond), firstMs);
	if (!readLogs(_words, 1, ledger))
	{
		return ExitCode::BadUsage;
	}
	std::cout << (_values["csv"].as<bool>() ? ledger.csv() : ledger.table());
	return ExitCode::Done;
}

/// @param _words "capacity", names of log files.
int capacity(const po::variables_map& _values, const std::vector<std::string>& _words)
{
	CapacityLedger ledger;
	if (!readLogs(_words, 1, ledger))
	{
		return ExitCode::BadUsage;
	}
	std::cout << (_values["csv"].as<bool>() ? ledger.csv() : ledger.table());
	return ExitCode::Done;
}

/// @param _words "explain", the request's id, names of log files.
int explain(const std::vector<std::string>& _words)
{
	if (_words.size() < 2)
	{
		std::cerr << "sedgecart: explain takes a request's id and log files\n";
		return ExitCode::BadUsage;
	}
	RequestStory story(_words[1]);
	if (!readLogs(_words, 2, story))
	{
		return ExitCode::BadUsage;
	}
	const std::string text = story.text();
	std::cout << (text.empty() ? "No line about request " + _words[1] + ".\n" : text);
	return text.empty() ? ExitCode::Failed : ExitCode::Done;
}

bool readCustomers(const std::string& _text, std::vector<LoadCustomer>& _customers)
{
	std::vector<std::string> list;
	boost::split(list, _text, boost::is_any_of(","));
	for (const std::string& one : list)
	{
		std::vector<std::string> parts;
		boost::split(parts, one, boost::is_any_of(":"));
		if (3 != parts.size())
		{
			return false;
		}
		_customers.push_back(LoadCustomer{parts[0], parts[1], std::strtod(parts[2].c_str(), nullptr)});
		if (!(0 < _customers.back().share))
		{
			return false;
		}
	}
	return true;
}

/// @returns the first option of a load that is out of its bounds, empty if none is.
std::string checkLoad(const LoadPlan& _plan)
{
	const auto within = [](double _value, double _least, double _most)
	{
		return _least <= _value && _value <= _most;
	};
	if (!within(_plan.requestsPerSecond, 0.1, 100000))
	{
		return "--rate must be 0.1 to 100000";
	}
	if (!within(_plan.seconds, 0.1, 86400))
	{
		return "--seconds must be 0.1 to 86400";
	}
	if (!within(_plan.meanTokens, 1, 2048))
	{
		return "--tokens must be 1 to 2048";
	}
	if (!within(_plan.promptBytes, 0, 65536))
	{
		return "--prompt-bytes must be 0 to 65536";
	}
	return within(_plan.deadlineMs, 1, 3600000) ? std::string() : "--deadline-ms must be 1 to 3600000";
}

int runLoadWords(const po::variables_map& _values, const OperatorOptions& _options, const std::string& _route)
{
	LoadPlan plan;
	plan.nodes = _options.nodes;
	plan.route = _route;
	plan.requestsPerSecond = _values["rate"].as<double>();
	plan.seconds = _values["seconds"].as<double>();
	plan.meanTokens = _values["tokens"].as<uint32_t>();
	plan.promptBytes = _values["prompt-bytes"].as<uint32_t>();
	plan.deadlineMs = _values["deadline-ms"].as<uint32_t>();
	plan.seed = _values["seed"].as<uint64_t>();
	std::string complaint = checkLoad(plan);
	if (!readCustomers(_values["customers"].as<std::string>(), plan.customers))
	{
		complaint = "--customers must be name:key:share,...";
	}
	if (!complaint.empty())
	{
		std::cerr << "sedgecart: " << complaint << '\n';
		return ExitCode::BadUsage;
	}
	const LoadReport report = runLoad(plan);
	std::cout << (_options.json ? toJson(report) + "\n" : toTable(report));
	return ExitCode::Done;
}

int runWords(const OperatorOptions& _options, const std::vector<std::string>& _words)
{
	if ("apply" == _words.front())
	{
		return 2 == _words.size() ? runFile(_options, _words.back()) : ExitCode::BadUsage;
	}
	if ("dump" == _words.front())
	{
		return printDump(_options);
	}
	return runStatement(_options, boost::join(_words, " "));
}

int run(int _argc, char** _argv)
{
	const po::options_description description = describe();
	po::positional_options_description positional;
	positional.add("words", -1);
	po::variables_map values;
	po::store(po::command_line_parser(_argc, _argv).options(description).positional(positional).run(), values);
	po::store(po::parse_environment(description, &flagOf), values);
	if (0 != values.count("version"))
	{
		std::cout << "sedgecart " SEDGECART_VERSION "\n";
		return ExitCode::Done;
	}
	if (0 != values.count("help") || 0 == values.count("words"))
	{
		std::cout << kUsage << description;
		return 0 != values.count("help") ? ExitCode::Done : ExitCode::BadUsage;
	}
	const auto words = values["words"].as<std::vector<std::string>>();
	if ("keygen" == words.front())
	{
		return printKeys();
	}
	if ("losses" == words.front())
	{
		return losses(values, words);
	}
	if ("capacity" == words.front())
	{
		return capacity(values, words);
	}
	if ("explain" == words.front())
	{
		return explain(words);
	}
	OperatorOptions options;
	if (!readNodes(values["node"].as<std::string>(), options.nodes))
	{
		std::cerr << "sedgecart: --node (SEDGECART_NODE) is '" << values["node"].as<std::string>()
		          << "', allowed: ip:port,ip:port,...\n";
		return ExitCode::BadUsage;
	}
	options.key = values["operator-key"].as<std::string>();
	options.author = values["author"].as<std::string>();
	options.waitMs = values["wait-ms"].as<uint32_t>();
	options.dryRun = values["dry-run"].as<bool>();
	options.json = values["json"].as<bool>();
	options.follow = values["follow"].as<bool>();
	if ("load" == words.front() && 2 == words.size())
	{
		return runLoadWords(values, options, words.back());
	}
	return runWords(options, words);
}

} // namespace

int main(int _argc, char** _argv)
{
	std::signal(SIGPIPE, SIG_IGN);
	try
	{
		return run(_argc, _argv);
	}
	catch (const std::exception& error)
	{
		std::cerr << "sedgecart: " << error.what() << ". See sedgecart --help.\n";
		return ExitCode::BadUsage;
	}
}
