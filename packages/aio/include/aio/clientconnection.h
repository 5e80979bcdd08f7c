// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_CLIENTCONNECTION_H_HEADER_GUARD
#define SEDGECART_AIO_CLIENTCONNECTION_H_HEADER_GUARD

#include <aio/messagereader.h>
#include <base/units.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

/// What to do with an answer whose head has come.
struct HeadVerdict
{
	enum Enum
	{
		Take, //!< It answers the request that waits.
		Skip, //!< It is a surplus answer to an earlier request: read past it.

		Count
	};
};

/// How an exchange failed.
struct ExchangeBreak
{
	enum Enum
	{
		NotConnected, //!< No connection came up; not a byte was sent.
		Refused,      //!< The same: the peer's machine says that nobody listens there.
		TurnedAway,   //!< The same: the peer ended the connection as soon as it came up.
		Cut,          //!< The connection ended before the answer did.
		Garbled,      //!< What came is no answer.

		Count
	};
};

/// @returns true if not a byte of the request was sent.
constexpr bool isUnsent(ExchangeBreak::Enum _how)
{
	return ExchangeBreak::Cut != _how && ExchangeBreak::Garbled != _how;
}

/// What a connection calls on its thread. After `onWhole` or `onBroken` it calls no more for this exchange.
class ExchangeHandlerI
{
public:
	virtual ~ExchangeHandlerI() = default;

	/// The connection is up and the request is being written.
	virtual void onSent() = 0;

	/// A final head has come.
	virtual HeadVerdict::Enum onHead(MessageHead& _head) = 0;

	/// Body bytes, freed of their framing.
	virtual void onBody(std::string_view _bytes) = 0;

	/// The answer is complete.
	virtual void onWhole() = 0;

	virtual void onBroken(ExchangeBreak::Enum _how) = 0;
};

/// One client's side of an HTTP/1.1 connection, for one exchange at a time, on one thread.
class ClientConnection
{
public:
	/// @param _address "ip:port".
	ClientConnection(boost::asio::io_context& _loop, const std::string& _address);
	~ClientConnection();

	ClientConnection(const ClientConnection&) = delete;
	ClientConnection& operator=(const ClientConnection&) = delete;

	/// Begins an exchange; connects first if there is no connection yet.
	/// @param _request the whole request as it goes on the wire.
	/// @param _handler must live until the exchange ends or the connection is closed.
	/// @param _connectBound longest wait for the connection.
	void exchange(std::string _request, ExchangeHandlerI& _handler, Duration _connectBound);

	/// @returns true if another exchange may use it: it is up, idle, nothing came unasked, and the peer keeps it.
	bool reusable() const;

	/// @returns until when the peer keeps it open when idle; far off if it named no time.
	Duration keptIdle() const;

	/// Called when an idle connection ends, or brings bytes that nobody asked for.
	void onIdleEnd(std::function<void()> _call);

	/// Ends it; calls nobody any more.
	void close();

private:
	class Impl;
	std::shared_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_CLIENTCONNECTION_H_HEADER_GUARD
