// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/operatorclient.h>

#include <http/httpclient.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr uint16_t kOk = 200;
constexpr int64_t kAnswerMillis = 15000; // beyond the wait that is asked for
constexpr std::size_t kColumnGap = 2;
constexpr int kDecimal = 10;
constexpr std::chrono::milliseconds kFollowEvery{500};

HttpOutcome send(const OperatorOptions& _options, HttpCall _call)
{
	_call.headers.push_back({"Authorization", "Bearer " + _options.key});
	_call.headers.push_back({"Sedgecart-Author", _options.author});
	HttpOutcome outcome;
	for (const Endpoint& node : _options.nodes)
	{
		HttpClient client(node);
		outcome = client.call(_call, Duration::fromMillis(_options.waitMs + kAnswerMillis));
		// A node that was reached may have carried it out; asking another could do it twice.
		if (CallState::NotSent != outcome.state)
		{
			return outcome;
		}
	}
	return outcome;
}

ExitCode::Enum complain(const HttpOutcome& _outcome)
{
	if (CallState::Replied != _outcome.state)
	{
		std::cerr << "sedgecart: no answer from the node: " << _outcome.detail << '\n';
		return ExitCode::Failed;
	}
	wire::ErrorReply error;
	fromJson(_outcome.reply.body, error);
	std::cerr << "sedgecart: " << error.error().kind() << ": " << error.error().message() << '\n';
	return ExitCode::Failed;
}

void printTable(const wire::CommandReply& _reply)
{
	std::vector<std::size_t> widths;
	for (const std::string& column : _reply.columns())
	{
		widths.push_back(column.size());
	}
	for (const wire::Row& row : _reply.rows())
	{
		for (int index = 0; index < row.cells_size(); ++index)
		{
			widths[index] = std::max(widths[index], row.cells(index).size());
		}
	}
	const auto print = [&widths](const auto& _cells)
	{
		for (int index = 0; index < _cells.size(); ++index)
		{
			const bool last = index + 1 == _cells.size();
			const std::size_t pad = last ? 0 : widths[index] + kColumnGap - _cells.Get(index).size();
			std::cout << _cells.Get(index) << std::string(pad, ' ');
		}
		std::cout << '\n';
	};
	print(_reply.columns());
	for (const wire::Row& row : _reply.rows())
	{
		print(row.cells());
	}
}

ExitCode::Enum printReply(const OperatorOptions& _options, const HttpOutcome& _outcome)
{
	wire::CommandReply reply;
	if (!fromJson(_outcome.reply.body, reply))
	{
		std::cerr << "sedgecart: the node's answer cannot be read\n";
		return ExitCode::Failed;
	}
	if (_options.json)
	{
		std::cout << _outcome.reply.body << '\n';
	}
	else if (0 < reply.columns_size())
	{
		printTable(reply);
	}
	else
	{
		std::cout << reply.message() << '\n';
	}
	for (const std::string& node : reply.unconfirmed())
	{
		std::cerr << "sedgecart: not confirmed by node " << node << '\n';
	}
	return 0 == reply.unconfirmed_size() ? ExitCode::Done : ExitCode::Unconfirmed;
}

HttpOutcome order(const OperatorOptions& _options, const std::string& _statement)
{
	wire::CommandRequest request;
	request.set_text(_statement);
	request.set_dry_run(_options.dryRun);
	request.set_wait_ms(_options.waitMs);
	HttpCall call;
	call.method = "POST";
	call.target = "/v1/command";
	call.body = toJson(request);
	return send(_options, call);
}

bool succeeded(const HttpOutcome& _outcome)
{
	return CallState::Replied == _outcome.state && kOk == _outcome.reply.status;
}

/// @returns the statement that shows what a drain leaves to be done, empty if the statement is no drain.
std::string progressOf(const std::string& _statement)
{
	std::istringstream words(_statement);
	std::string verb;
	std::string kind;
	std::string name;
	words >> verb >> kind >> name;
	if ("drain" != verb)
	{
		return std::string();
	}
	return "show targets where " + std::string("hall" == kind ? "hall" : "name") + " = " + name;
}

/// @returns the sum of a column.
uint64_t sumOf(const wire::CommandReply& _reply, const std::string& _column)
{
	const auto& columns = _reply.columns();
	const auto found = std::find(columns.begin(), columns.end(), _column);
	uint64_t sum = 0;
	for (const wire::Row& row : _reply.rows())
	{
		const auto index = static_cast<int>(found - columns.begin());
		sum += index < row.cells_size() ? std::strtoull(row.cells(index).c_str(), nullptr, kDecimal) : 0;
	}
	return sum;
}

/// Prints how many streams are left each time that it changes, until there are none.
ExitCode::Enum followDrain(const OperatorOptions& _options, const std::string& _show)
{
	uint64_t told = UINT64_MAX;
	while (0 != told)
	{
		const HttpOutcome outcome = order(_options, _show);
		wire::CommandReply reply;
		if (!succeeded(outcome) || !fromJson(outcome.reply.body, reply))
		{
			return complain(outcome);
		}
		const uint64_t left = sumOf(reply, "own") + sumOf(reply, "others");
		if (left != told)
		{
			std::cout << left << " streams and calls left" << std::endl;
		}
		told = left;
		std::this_thread::sleep_for(kFollowEvery);
	}
	return ExitCode::Done;
}

} // namespace

ExitCode::Enum runStatement(const OperatorOptions& _options, const std::string& _statement)
{
	const HttpOutcome outcome = order(_options, _statement);
	if (!succeeded(outcome))
	{
		return complain(outcome);
	}
	const ExitCode::Enum code = printReply(_options, outcome);
	const std::string show = progressOf(_statement);
	const bool follow = _options.follow && !_options.dryRun && !show.empty();
	return follow && ExitCode::Done == code ? followDrain(_options, show) : code;
}

ExitCode::Enum runFile(const OperatorOptions& _options, const std::string& _path)
{
	std::ifstream file(_path);
	if (!file)
	{
		std::cerr << "sedgecart: cannot read " << _path << '\n';
		return ExitCode::BadUsage;
	}
	std::string line;
	while (std::getline(file, line))
	{
		if (line.empty() || '#' == line.front())
		{
			continue;
		}
		const ExitCode::Enum code = runStatement(_options, line);
		if (ExitCode::Done != code)
		{
			std::cerr << "sedgecart: stopped at: " << line << '\n';
			return code;
		}
	}
	return ExitCode::Done;
}

ExitCode::Enum printDump(const OperatorOptions& _options)
{
	HttpCall call;
	call.target = "/v1/dump";
	const HttpOutcome outcome = send(_options, call);
	if (!succeeded(outcome))
	{
		return complain(outcome);
	}
	std::cout << outcome.reply.body << '\n';
	return ExitCode::Done;
}

} // namespace sedgecart
