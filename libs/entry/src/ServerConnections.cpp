#include "entry/ServerConnections.h"

#include "http/HttpServer.h"
#include "http/PendingInput.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace peridot {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr Duration minimumSafeIdleTime = std::chrono::milliseconds { 200 };
    // Factor by which the safe idle time grows with each sweep, up to its maximum.
    constexpr double safeIdleTimeGrowth = 1.02;

}

ServerConnections::ServerConnections(boost::asio::io_context& context, const ServerConnectionsOptions& options)
    : m_context(context)
    , m_options(options)
    , m_safeIdleTime(options.maximumSafeIdleTime)
{
}

ServerConnections::~ServerConnections()
{
    *m_isAlive = false;
    for (auto& [id, server] : m_servers) {
        for (const auto& connection : server.idle)
            connection->close();
    }
    for (const auto& [address, attempt] : m_attempts) {
        error_code ec;
        attempt->socket.close(ec); // The descriptor is released whatever the result.
        attempt->timer.cancel();
    }
}

Duration ServerConnections::maximumIdleTime(const ClientConnection& connection, bool isIdempotent) const
{
    const auto idleTimeLimit
        = connection.keepAlive() ? *connection.keepAlive() - m_options.keepAliveMargin : m_options.defaultIdleTime;
    return isIdempotent ? idleTimeLimit : std::min(idleTimeLimit, m_safeIdleTime);
}

std::shared_ptr<ClientConnection> ServerConnections::acquire(
    const BackendServerId& id, const std::string& address, bool isIdempotent, std::string_view requestId)
{
    auto& server = m_servers[id];
    if (server.address != address) {
        // The server has a new address: close the idle connections to the old one. Busy ones are closed when their
        // request has ended.
        for (const auto& connection : std::exchange(server.idle, {}))
            connection->close();
        server.address = address;
    }
    const auto now = ClientConnection::Clock::now();
    for (auto i = server.idle.size(); i-- > 0;) {
        auto connection = server.idle[i];
        if (now - connection->idleSince() > maximumIdleTime(*connection, isIdempotent))
            break;
        if (connection->hasRefused(requestId))
            continue;
        // The event that the server has closed the connection may not have been handled yet.
        if (connection->hasUnreadInput()) {
            connection->close(); // It leaves the idle ones.
            continue;
        }
        server.idle.erase(server.idle.begin() + static_cast<std::ptrdiff_t>(i));
        return connection;
    }
    if (server.connectionCount >= m_limit && !server.idle.empty())
        server.idle.front()->close();
    return server.connectionCount >= m_limit ? nullptr : open(id, server);
}

std::shared_ptr<ClientConnection> ServerConnections::open(const BackendServerId& id, Server& server)
{
    const auto endpoint = parseEndpoint(server.address);
    if (!endpoint)
        return nullptr;
    const auto remove = [](Server& from, const ClientConnection& connection) {
        std::erase_if(from.idle, [&](const auto& it) { return it.get() == &connection; });
    };
    auto connection = std::make_shared<ClientConnection>(
        m_context, *endpoint, m_options.connection,
        [this, id, address = server.address, isAlive = m_isAlive](ClientConnection& idle) {
            if (!*isAlive)
                return;
            auto& owner = m_servers[id];
            if (owner.address == address)
                owner.idle.push_back(idle.shared_from_this());
            else
                idle.close();
        },
        [this, id, remove, isAlive = m_isAlive](ClientConnection& closed) {
            if (!*isAlive)
                return;
            auto& owner = m_servers[id];
            remove(owner, closed);
            --owner.connectionCount;
        });
    ++server.connectionCount;
    return connection;
}

void ServerConnections::sweep()
{
    const auto now = ClientConnection::Clock::now();
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const auto idle = it->second.idle;
        for (const auto& connection : idle) {
            if (now - connection->idleSince() > maximumIdleTime(*connection, true))
                connection->close();
        }
        it = it->second.connectionCount == 0 ? m_servers.erase(it) : std::next(it);
    }
    m_safeIdleTime = std::min(m_options.maximumSafeIdleTime,
        Duration { static_cast<Duration::rep>(static_cast<double>(m_safeIdleTime.count()) * safeIdleTimeGrowth) });
}

void ServerConnections::onIdleConnectionBroken(Duration idleTime)
{
    m_safeIdleTime = std::clamp(idleTime / 2, minimumSafeIdleTime, m_safeIdleTime);
}

void ServerConnections::tryConnect(
    const std::string& address, Duration settleTime, std::function<void(ConnectOutcome)> onResult)
{
    auto& attempt = m_attempts[address];
    if (attempt) {
        attempt->handlers.push_back(std::move(onResult));
        return;
    }
    attempt = std::make_shared<ConnectAttempt>(m_context);
    attempt->handlers.push_back(std::move(onResult));
    const auto finish = [this, address, attempt, isAlive = m_isAlive](ConnectOutcome outcome) {
        if (*isAlive)
            attemptFinished(address, attempt, outcome);
    };
    const auto endpoint = parseEndpoint(address);
    if (!endpoint || openSocket(attempt->socket, *endpoint, m_options.connection.source)) {
        asio::post(m_context, [finish] { finish(ConnectOutcome::Failed); });
        return;
    }
    attempt->timer.expires_after(m_options.attemptTimeout);
    attempt->timer.async_wait([finish, attempt](const error_code& ec) {
        // If connecting has ended, its handler follows.
        if (!ec && !isWritable(attempt->socket))
            finish(ConnectOutcome::Failed);
    });
    attempt->socket.async_connect(*endpoint, [finish, attempt, settleTime, isAlive = m_isAlive](const error_code& ec) {
        if (!*isAlive || !attempt->socket.is_open())
            return;
        if (ec) {
            finish(ec == asio::error::connection_refused ? ConnectOutcome::Refused : ConnectOutcome::Failed);
            return;
        }
        if (settleTime <= Duration { 0 }) {
            finish(ConnectOutcome::Connected);
            return;
        }
        // A server sends nothing before a request, so that any end of the read is one of the connection.
        attempt->socket.async_read_some(asio::buffer(&attempt->byte, 1),
            [finish](const error_code&, std::size_t) { finish(ConnectOutcome::Broken); });
        attempt->timer.expires_after(settleTime);
        attempt->timer.async_wait([finish, attempt](const error_code& timerEc) {
            if (!timerEc)
                finish(isReadable(attempt->socket) ? ConnectOutcome::Broken : ConnectOutcome::Connected);
        });
    });
}

void ServerConnections::attemptFinished(
    const std::string& address, const std::shared_ptr<ConnectAttempt>& attempt, ConnectOutcome outcome)
{
    // Timer and connection may both be due; the later one finds no check, or that of a later call.
    const auto it = m_attempts.find(address);
    if (it == m_attempts.end() || it->second != attempt)
        return;
    m_attempts.erase(it);
    error_code ec;
    attempt->socket.close(ec); // The descriptor is released whatever the result.
    attempt->timer.cancel();
    for (const auto& onResult : std::exchange(attempt->handlers, {}))
        onResult(outcome);
}

std::size_t ServerConnections::count() const noexcept
{
    std::size_t count = 0;
    for (const auto& [id, server] : m_servers)
        count += server.connectionCount;
    return count;
}

}
