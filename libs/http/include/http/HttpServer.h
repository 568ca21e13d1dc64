// Listens on an address and keeps the connections of callers within bounds.

#pragma once

#include "base/Error.h"
#include "http/ServerConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridot {

/** Splits "host:port". The host has to be an IP address; an IPv6 address may be in brackets. */
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

/** As parseEndpoint(), but fails for endpoints that no server can have: port 0, and an unspecified, multicast or
 *  broadcast address. */
Result<boost::asio::ip::tcp::endpoint> parseServerEndpoint(const std::string& text);

/** Opens a listening socket on "host:port"; the address may be in use by connections that are closing. A value of
 *  @p receiveBufferBytes other than 0 bounds what the kernel takes on a connection before it is read. */
Result<void> openListener(
    boost::asio::ip::tcp::acceptor&, const std::string& address, std::size_t receiveBufferBytes = 0);

/** Not thread-safe: runs on the thread of the io_context. */
class HttpServer {
public:
    using EndHandler = std::function<void(const ConnectionEnd&)>;

    /** @p onEnd, which may be empty, is called when a connection has ended, @p onRefused when input was refused.
     *  @p bytes, which may be null, bounds what connections, requests and responses hold. */
    HttpServer(boost::asio::io_context&, HttpServerLimits, std::size_t maximumConnections,
        ServerConnection::RequestHandler, EndHandler onEnd = {}, std::shared_ptr<ByteAccount> bytes = {},
        ServerConnection::RefusalHandler onRefused = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    Result<void> listen(const std::string& address);
    std::uint16_t port() const;
    /** Applies to open connections as well, but for a shorter idle limit, which spares those that are idle. */
    void setLimits(const HttpServerLimits&);
    /** Answers end their connections from now on. Connections without a request stay open: one may be on its way, and
     *  only an answer tells the caller to send no more. */
    void drain();
    /** Answers 503 to the requests that have arrived in part, behind the answers that are due before them. */
    void rejectUnfinishedRequests();
    /** Whether no connection has had a request, also in what its socket holds, for @p idleTime. */
    bool isQuiet(Duration idleTime) const;
    /** Whether every request that has arrived is answered, and the answers have reached the callers' machines. */
    bool isSettled() const;
    /** Closes the listening socket; open connections go on, those included that wait to be accepted. */
    void stopAccepting();
    bool isAccepting() const noexcept { return m_acceptor.is_open(); }
    void closeAll();
    std::size_t connectionCount() const noexcept { return m_connections.size(); }
    /** Connections that have ended, by reason. */
    const std::map<CloseReason, std::uint64_t>& endedConnections() const noexcept { return m_ended; }
    /** Input that was refused, by cause. */
    const std::map<RefusalCause, std::uint64_t>& refusedInput() const noexcept { return m_refused; }

private:
    void accept();
    void open(boost::asio::ip::tcp::socket);
    void scheduleSweep();
    void sweep();
    void closeIdlest(ServerConnection::Clock::time_point now);
    void rejectStalled(ServerConnection::Clock::time_point now);
    /** Closes a connection whose last answer is written. Returns false if there is none. */
    bool closeLingering();
    /** Connections that are given up at a time. */
    std::size_t closedAtATime() const;

    HttpServerLimits m_limits;
    const std::size_t m_maximumConnections;
    ServerConnection::RequestHandler m_onRequest;
    EndHandler m_onEnd;
    ServerConnection::RefusalHandler m_onRefused;
    const std::shared_ptr<ByteAccount> m_bytes;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    std::map<ServerConnection*, std::shared_ptr<ServerConnection>> m_connections;
    std::map<CloseReason, std::uint64_t> m_ended;
    std::map<RefusalCause, std::uint64_t> m_refused;
    bool m_isDraining = false;
    bool m_isAcceptPaused = false; // The limit of connections is reached.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
