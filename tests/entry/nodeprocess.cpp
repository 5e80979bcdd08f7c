// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "nodeprocess.h"

#include "entryharness.h"

#include <boost/system/system_error.hpp>

#include <cstdlib>
#include <fstream>
#include <utility>

namespace sedgecart
{

namespace
{

std::string programPath()
{
	const char* const folder = std::getenv("SEDGECART_BINARIES");
	return std::string(nullptr == folder ? "build" : folder) + "/sedgecartd";
}

int portOf(const std::string& _address)
{
	return std::stoi(_address.substr(_address.rfind(':') + 1));
}

} // namespace

NodeProcess::NodeProcess(const std::string& _name, const std::string& _folder, const std::string& _store)
    : file_(_folder + '/' + _name),
      callerAddress_(freeAddress()),
      readyAddress_(freeAddress())
{
	peerAddress_ = freeAddress();
	handoverAddress_ = freeAddress();
	if (portOf(handoverAddress_) < portOf(peerAddress_))
	{
		std::swap(peerAddress_, handoverAddress_);
	}
	std::ofstream(settingsPath()) << "name=" << _name << "\nhall=h1\ncaller-address=" << callerAddress_
	                              << "\nready-address=" << readyAddress_
	                              << "\nip=127.0.0.1\npeer-ports=" << portOf(peerAddress_) << ','
	                              << portOf(handoverAddress_) << "\nstore-address=" << _store
	                              << "\nretry-ratio=0.2\nretry-slack=1000\nretry-window-s=10\nkey-bound-ms=5000\n"
	                                 "key-bound-strict=true\nstop-bound-s=8\ncpu-share=0.25\nlink-mbps=1000.0\n"
	                                 "switched-off=capacity-leases\n";
}

void NodeProcess::addSetting(const std::string& _line) const
{
	std::ofstream(settingsPath(), std::ios::app) << _line << '\n';
}

pid_t NodeProcess::id() const
{
	return process_->id();
}

void NodeProcess::start()
{
	process_ = std::make_unique<Process>(std::vector<std::string>{programPath(), "entry", "--settings", settingsPath()},
	                                     file_ + ".log");
}

std::vector<std::string> NodeProcess::addresses() const
{
	return {callerAddress_, readyAddress_, peerAddress_, handoverAddress_};
}

std::string NodeProcess::settingsPath() const
{
	return file_ + ".settings";
}

bool NodeProcess::isReady() const
{
	TestRequest question;
	question.method = "GET";
	question.path = "/sedgecart/ready";
	question.body.clear();
	try
	{
		return 200 == EntryHarness::callAt(readyAddress_, question).status;
	}
	catch (const boost::system::system_error&)
	{
		return false; // it does not listen yet
	}
}

void NodeProcess::signal(int _signal) const
{
	process_->signal(_signal);
}

void NodeProcess::kill()
{
	process_->kill();
}

int NodeProcess::stop()
{
	return process_->stop();
}

bool NodeProcess::hasEnded() const
{
	return !process_ || !process_->running();
}

} // namespace sedgecart
