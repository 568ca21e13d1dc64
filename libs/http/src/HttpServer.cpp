#include "http/HttpServer.h"

#include <algorithm>
#include <vector>

namespace peridot {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    // Time limits of connections are seconds, so this granularity is fine.
    constexpr std::chrono::milliseconds sweepInterval { 200 };
    // Above this share of the allowed connections, idle ones are closed and those whose request makes no progress are
    // refused, oldest first, this part of the limit at a time.
    constexpr double fullShare = 0.7;
    constexpr std::size_t closedPart = 10;
    constexpr std::chrono::milliseconds shortestIdleTime {
        700
    }; // More than a caller takes between two requests in a row.
    constexpr std::chrono::milliseconds stallTime { 1'000 }; // More than a sound link takes between two packets.

}

Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return makeError(ErrorCode::InvalidArgument, "parse address", text, "expected host:port");
    const auto port = parseNumber(std::string_view(text).substr(colon + 1));
    auto hostText = text.substr(0, colon);
    const bool isBracketed = hostText.size() >= 2 && hostText.front() == '[' && hostText.back() == ']';
    if (isBracketed)
        hostText = hostText.substr(1, hostText.size() - 2);
    error_code ec;
    const auto host = asio::ip::make_address(hostText, ec);
    if (ec || (isBracketed && !host.is_v6()) || !port || *port > 65'535)
        return makeError(ErrorCode::InvalidArgument, "parse address", text, "expected an IP address and a port");
    return asio::ip::tcp::endpoint(host, static_cast<std::uint16_t>(*port));
}

Result<asio::ip::tcp::endpoint> parseServerEndpoint(const std::string& text)
{
    auto endpoint = parseEndpoint(text);
    if (!endpoint)
        return endpoint;
    auto host = endpoint->address();
    if (host.is_v6() && host.to_v6().is_v4_mapped())
        host = asio::ip::make_address_v4(asio::ip::v4_mapped, host.to_v6());
    const bool isBroadcast = host.is_v4() && host.to_v4() == asio::ip::address_v4::broadcast();
    if (endpoint->port() == 0 || host.is_unspecified() || host.is_multicast() || isBroadcast)
        return makeError(ErrorCode::InvalidArgument, "parse address", text, "expected the address of one server");
    return endpoint;
}

Result<void> openListener(asio::ip::tcp::acceptor& acceptor, const std::string& address, std::size_t receiveBufferBytes)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return tl::make_unexpected(endpoint.error());
    error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*endpoint, ec);
    // Connections take the size over when they are opened.
    if (!ec && receiveBufferBytes > 0)
        acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(receiveBufferBytes)), ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return makeError(ErrorCode::Unavailable, "listen", address, ec.message());
    return {};
}

HttpServer::HttpServer(asio::io_context& context, HttpServerLimits limits, std::size_t maximumConnections,
    ServerConnection::RequestHandler onRequest, EndHandler onEnd, std::shared_ptr<ByteAccount> bytes,
    ServerConnection::RefusalHandler onRefused)
    : m_limits(limits)
    , m_maximumConnections(maximumConnections)
    , m_onRequest(std::move(onRequest))
    , m_onEnd(std::move(onEnd))
    , m_onRefused(std::move(onRefused))
    , m_bytes(std::move(bytes))
    , m_acceptor(context)
    , m_sweepTimer(context)
{
}

HttpServer::~HttpServer()
{
    *m_isAlive = false;
    closeAll();
}

Result<void> HttpServer::listen(const std::string& address)
{
    if (auto opened = openListener(m_acceptor, address, m_limits.receiveBufferBytes); !opened)
        return opened;
    accept();
    scheduleSweep();
    return {};
}

std::uint16_t HttpServer::port() const
{
    error_code ec;
    return m_acceptor.local_endpoint(ec).port();
}

void HttpServer::setLimits(const HttpServerLimits& limits) { m_limits = limits; }

void HttpServer::accept()
{
    if (!m_acceptor.is_open())
        return;
    m_isAcceptPaused = false;
    if (m_connections.size() >= m_maximumConnections && !closeLingering()) {
        m_isAcceptPaused = true;
        return;
    }
    m_acceptor.async_accept([this, isAlive = m_isAlive](const error_code& ec, asio::ip::tcp::socket socket) {
        if (!*isAlive || ec == asio::error::operation_aborted)
            return;
        if (ec) {
            // Accepting goes on with the next sweep.
            m_isAcceptPaused = true;
            return;
        }
        open(std::move(socket));
        accept();
    });
}

void HttpServer::open(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<ServerConnection>(
        std::move(socket), m_limits, m_bytes, m_onRequest,
        [this, isAlive = m_isAlive](ServerConnection& closed) {
            if (!*isAlive)
                return;
            m_connections.erase(&closed);
            ++m_ended[closed.end().reason];
            if (m_onEnd)
                m_onEnd(closed.end());
            if (m_isAcceptPaused)
                accept();
        },
        [this, isAlive = m_isAlive](const RefusedInput& refused) {
            if (!*isAlive)
                return;
            ++m_refused[refused.cause];
            if (m_onRefused)
                m_onRefused(refused);
        });
    m_connections.emplace(connection.get(), connection);
    if (m_isDraining)
        connection->drain();
    connection->start();
}

void HttpServer::scheduleSweep()
{
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this, isAlive = m_isAlive](const error_code& ec) {
        if (ec || !*isAlive)
            return;
        sweep();
        scheduleSweep();
    });
}

void HttpServer::sweep()
{
    // A connection that closes leaves the map.
    std::vector<std::shared_ptr<ServerConnection>> connections;
    connections.reserve(m_connections.size());
    for (const auto& [key, connection] : m_connections)
        connections.push_back(connection);
    const auto now = ServerConnection::Clock::now();
    for (const auto& connection : connections)
        connection->checkTimeouts(now);
    if (m_connections.size() > static_cast<std::size_t>(fullShare * static_cast<double>(m_maximumConnections))) {
        closeIdlest(now);
        rejectStalled(now);
    }
    if (m_isAcceptPaused)
        accept();
}

/** Makes room for new callers before the limit is reached. */
void HttpServer::closeIdlest(ServerConnection::Clock::time_point now)
{
    std::vector<std::shared_ptr<ServerConnection>> idle;
    for (const auto& [key, connection] : m_connections) {
        if (now - connection->lastActivity() > shortestIdleTime && connection->isIdle())
            idle.push_back(connection);
    }
    std::sort(
        idle.begin(), idle.end(), [](const auto& a, const auto& b) { return a->lastActivity() < b->lastActivity(); });
    idle.resize(std::min(idle.size(), closedAtATime()));
    for (const auto& connection : idle)
        connection->closeIfIdle(CloseReason::Room);
}

void HttpServer::rejectStalled(ServerConnection::Clock::time_point now)
{
    std::vector<std::shared_ptr<ServerConnection>> stalled;
    for (const auto& [key, connection] : m_connections) {
        if (connection->isStalled(now, stallTime))
            stalled.push_back(connection);
    }
    std::sort(stalled.begin(), stalled.end(),
        [](const auto& a, const auto& b) { return a->lastActivity() < b->lastActivity(); });
    stalled.resize(std::min(stalled.size(), closedAtATime()));
    for (const auto& connection : stalled)
        connection->rejectStalledRequest();
}

bool HttpServer::closeLingering()
{
    std::shared_ptr<ServerConnection> oldest;
    for (const auto& [key, connection] : m_connections) {
        if (connection->isLingering() && (!oldest || connection->lastActivity() < oldest->lastActivity()))
            oldest = connection;
    }
    if (!oldest)
        return false;
    oldest->close(oldest->end().reason);
    return true;
}

std::size_t HttpServer::closedAtATime() const { return std::max<std::size_t>(m_maximumConnections / closedPart, 1); }

void HttpServer::drain()
{
    m_isDraining = true;
    for (const auto& [key, connection] : m_connections)
        connection->drain();
}

void HttpServer::rejectUnfinishedRequests()
{
    for (const auto& [key, connection] : m_connections)
        connection->rejectUnfinishedRequest();
}

bool HttpServer::isQuiet(Duration idleTime) const
{
    const auto now = ServerConnection::Clock::now();
    return std::all_of(m_connections.begin(), m_connections.end(),
        [&](const auto& it) { return now - it.second->lastActivity() >= idleTime && it.second->isIdle(); });
}

bool HttpServer::isSettled() const
{
    return std::all_of(
        m_connections.begin(), m_connections.end(), [](const auto& it) { return it.second->isSettled(); });
}

void HttpServer::stopAccepting()
{
    if (!m_acceptor.is_open())
        return;
    // The kernel has accepted connections that closing the listener would reset, with the requests on them.
    error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec && m_connections.size() < m_maximumConnections) {
        auto socket = m_acceptor.accept(ec);
        if (!ec)
            open(std::move(socket));
    }
    m_acceptor.close(ec); // The descriptor is released whatever the result.
}

void HttpServer::closeAll()
{
    error_code ec;
    m_acceptor.close(ec); // The descriptor is released whatever the result.
    while (!m_connections.empty()) {
        const auto connection = m_connections.begin()->second;
        connection->close(CloseReason::Stopped);
        m_connections.erase(connection.get());
    }
}

}
