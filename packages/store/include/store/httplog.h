// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_STORE_HTTPLOG_H_HEADER_GUARD
#define SEDGECART_STORE_HTTPLOG_H_HEADER_GUARD

#include <http/endpoint.h>
#include <http/httpclient.h>
#include <store/log.h>

namespace sedgecart
{

/// Accesses the log over HTTP. Not thread-safe.
class HttpLog : public LogI
{
public:
	explicit HttpLog(const Endpoint& _endpoint);

	AppendOutcome append(const std::string& _stream, const std::string& _bytes) override;
	bool read(const std::string& _stream, Offset _from, uint32_t _max, Duration _wait, LogPage& _page) override;

private:
	HttpClient client_;
};

} // namespace sedgecart

#endif // SEDGECART_STORE_HTTPLOG_H_HEADER_GUARD
