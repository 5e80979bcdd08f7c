// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace sedgecart
{

namespace
{

constexpr int kCannotRun = 127;

[[noreturn]] void become(const std::vector<std::string>& _command, const std::string& _output)
{
	// Whatever ends the test ends its children too.
	::prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigset_t none;
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, nullptr);
	const int file = ::open(_output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	::dup2(file, STDOUT_FILENO);
	::dup2(file, STDERR_FILENO);
	std::vector<char*> arguments;
	arguments.reserve(_command.size() + 1);
	for (const std::string& word : _command)
	{
		arguments.push_back(const_cast<char*>(word.c_str()));
	}
	arguments.push_back(nullptr);
	::execv(arguments[0], arguments.data());
	::_exit(kCannotRun);
}

} // namespace

Process::Process(const std::vector<std::string>& _command, const std::string& _output) : id_(::fork())
{
	if (0 == id_)
	{
		become(_command, _output);
	}
}

Process::~Process()
{
	kill();
}

void Process::signal(int _signal) const
{
	if (id_ <= 0)
	{
		return;
	}
	::kill(id_, _signal);
	if (SIGSTOP == _signal)
	{
		// Until all of its threads have stopped, those that are awake go on.
		int status = 0;
		::waitpid(id_, &status, WUNTRACED);
	}
}

void Process::kill()
{
	signal(SIGKILL);
	await();
}

int Process::stop()
{
	signal(SIGCONT);
	signal(SIGTERM);
	return await();
}

bool Process::running() const
{
	siginfo_t info{};
	// Without WNOWAIT its exit code would be gone for `await`.
	return 0 < id_ && 0 == ::waitid(P_PID, static_cast<id_t>(id_), &info, WEXITED | WNOHANG | WNOWAIT) &&
	       0 == info.si_pid;
}

int Process::await()
{
	int status = 0;
	if (id_ <= 0 || ::waitpid(id_, &status, 0) != id_)
	{
		return -1;
	}
	id_ = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace sedgecart
