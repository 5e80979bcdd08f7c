// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_OPERATORCLIENT_H_HEADER_GUARD
#define SEDGECART_CTL_OPERATORCLIENT_H_HEADER_GUARD

#include <http/endpoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// How a statement is to be carried out and shown.
struct OperatorOptions
{
	std::vector<Endpoint> nodes; //!< Tried in order until one can be reached.
	std::string key;             //!< Operator's key.
	std::string author;          //!< Stands in the log beside the change.
	uint32_t waitMs = 5000;      //!< How long to wait for every node to confirm.
	bool dryRun = false;
	bool json = false;
	bool follow = false; //!< After a drain: tell how many streams are left until there are none.
};

/// Exit codes of `sedgecart`.
struct ExitCode
{
	enum Enum
	{
		Done = 0,
		Failed = 1, //!< The node refused, or could not be reached.
		BadUsage = 2,
		Unconfirmed = 3, //!< Accepted, but not known to be in force everywhere.
	};
};

/// Sends one statement to a node and prints the answer.
ExitCode::Enum runStatement(const OperatorOptions& _options, const std::string& _statement);

/// Sends each line of a file as a statement; empty lines and lines that begin with # are passed over. Stops at the
/// first that fails.
ExitCode::Enum runFile(const OperatorOptions& _options, const std::string& _path);

/// Prints the state of a node.
ExitCode::Enum printDump(const OperatorOptions& _options);

} // namespace sedgecart

#endif // SEDGECART_CTL_OPERATORCLIENT_H_HEADER_GUARD
