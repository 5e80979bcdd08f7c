// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/loadreport.h>

#include <wire/json.h>

#include <google/protobuf/struct.pb.h>

#include <iomanip>
#include <sstream>

namespace sedgecart
{

namespace
{

using Object = google::protobuf::Struct;

constexpr double kMillisPerSecond = 1000;

void set(Object& _object, const std::string& _name, double _value)
{
	(*_object.mutable_fields())[_name].set_number_value(_value);
}

Object& child(Object& _object, const std::string& _name)
{
	return *(*_object.mutable_fields())[_name].mutable_struct_value();
}

void setTimes(Object& _object, const LoadTimes& _times)
{
	set(_object, "p50", _times.p50);
	set(_object, "p95", _times.p95);
	set(_object, "p99", _times.p99);
	set(_object, "max", _times.most);
}

void printTimes(std::ostringstream& _out, const char* _name, const LoadTimes& _times)
{
	_out << _name << "  p50 " << _times.p50 * kMillisPerSecond << " ms  p95 " << _times.p95 * kMillisPerSecond
	     << " ms  p99 " << _times.p99 * kMillisPerSecond << " ms  max " << _times.most * kMillisPerSecond << " ms\n";
}

} // namespace

std::string toJson(const LoadReport& _report)
{
	Object object;
	set(object, "seconds", _report.seconds);
	set(object, "sent", static_cast<double>(_report.sent));
	set(object, "whole", static_cast<double>(_report.whole));
	set(object, "refused", static_cast<double>(_report.refused));
	set(object, "broken", static_cast<double>(_report.broken));
	set(object, "refused_untold", static_cast<double>(_report.refusedUntold));
	set(object, "tokens_per_second", _report.tokensPerSecond);
	setTimes(child(object, "first_token_seconds"), _report.firstToken);
	setTimes(child(object, "token_gap_seconds"), _report.tokenGap);
	for (const auto& error : _report.errors)
	{
		set(child(object, "errors"), error.first, static_cast<double>(error.second));
	}
	for (const auto& customer : _report.customers)
	{
		Object& made = child(child(object, "customers"), customer.first);
		set(made, "sent", static_cast<double>(customer.second.sent));
		set(made, "whole", static_cast<double>(customer.second.whole));
		set(made, "refused", static_cast<double>(customer.second.refused));
		set(made, "broken", static_cast<double>(customer.second.broken));
	}
	return toJson(static_cast<const google::protobuf::Message&>(object));
}

std::string toTable(const LoadReport& _report)
{
	std::ostringstream out;
	out << std::fixed << std::setprecision(1);
	out << "sent " << _report.sent << "  whole " << _report.whole << "  refused " << _report.refused << "  broken "
	    << _report.broken << "  tokens/s " << _report.tokensPerSecond << '\n';
	printTimes(out, "first token", _report.firstToken);
	printTimes(out, "token gap  ", _report.tokenGap);
	for (const auto& error : _report.errors)
	{
		out << "  " << error.first << ' ' << error.second << '\n';
	}
	for (const auto& customer : _report.customers)
	{
		out << "  customer " << customer.first << ": sent " << customer.second.sent << " whole "
		    << customer.second.whole << " refused " << customer.second.refused << " broken " << customer.second.broken
		    << '\n';
	}
	return out.str();
}

} // namespace sedgecart
