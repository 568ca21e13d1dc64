// Connection pool of one entry instance, with a bounded number of persistent connections to each backend server.

#pragma once

#include "base/Ids.h"
#include "http/ClientConnection.h"
#include "steering/ConnectOutcome.h"
#include "steering/ListedServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

struct ServerConnectionsOptions {
    ClientConnectionOptions connection;
    // An idle connection is closed this long before the server would close it, so that no request is sent while the
    // server closes the connection.
    Duration keepAliveMargin = std::chrono::milliseconds { 1'500 };
    Duration defaultIdleTime = std::chrono::seconds { 4 }; // Maximum idle time if the server states no keep-alive time.
    // Upper bound on the idle time of a connection that is reused for a non-idempotent request. Such a request is not
    // repeated if the connection breaks.
    Duration maximumSafeIdleTime = std::chrono::seconds { 3 };
    // Of tryConnect(): time within which a host accepts or refuses a connection. Round trips between regions take up to
    // about 100 ms.
    Duration attemptTimeout = std::chrono::milliseconds { 300 };
};

/** Not thread-safe. */
class ServerConnections {
public:
    ServerConnections(boost::asio::io_context&, const ServerConnectionsOptions&);
    ~ServerConnections();
    ServerConnections(const ServerConnections&) = delete;
    ServerConnections& operator=(const ServerConnections&) = delete;

    /** Sets the maximum number of connections to each server. */
    void setLimit(std::size_t connectionsPerServer) { m_limit = connectionsPerServer; }
    /** Returns an idle or a new connection that has no open request and on which no request with this id was refused.
     *  Returns null if the limit is reached or @p address is not a valid endpoint. An idle connection whose end has
     *  arrived isn't returned; if its end is still on the way, the request breaks, which the limits of the idle time
     *  make rare. */
    std::shared_ptr<ClientConnection> acquire(
        const BackendServerId&, const std::string& address, bool isIdempotent, std::string_view requestId);
    /** Closes connections that have been idle for too long. To be called about once a second. */
    void sweep();
    /** Reports that a reused connection broke during a request, after it had been idle for @p idleTime. Lowers the idle
     *  time up to which connections are reused for non-idempotent requests. */
    void onIdleConnectionBroken(Duration idleTime);
    /** Opens a connection to @p address and closes it, without a request. It counts as connected if it lasts for
     *  @p settleTime. The handler is called later, unless this object is destroyed before. Attempts at one address at
     * the same time share the result. */
    void tryConnect(const std::string& address, Duration settleTime, std::function<void(ConnectOutcome)> onResult);
    /** Number of open and connecting connections to all servers, without those of tryConnect(). */
    std::size_t count() const noexcept;

private:
    struct Server {
        std::string address;
        std::size_t connectionCount = 0; // Busy and idle connections, also those to an earlier address.
        std::vector<std::shared_ptr<ClientConnection>> idle; // In the order in which they became idle, the latest last.
    };

    struct ConnectAttempt {
        explicit ConnectAttempt(boost::asio::io_context& context)
            : socket(context)
            , timer(context)
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        char byte = 0; // Read while the connection settles.
        std::vector<std::function<void(ConnectOutcome)>> handlers;
    };

    void attemptFinished(const std::string& address, const std::shared_ptr<ConnectAttempt>&, ConnectOutcome);
    /** Idle time up to which the connection may be reused for a request of this kind. */
    Duration maximumIdleTime(const ClientConnection&, bool isIdempotent) const;
    std::shared_ptr<ClientConnection> open(const BackendServerId&, Server&);

    boost::asio::io_context& m_context;
    const ServerConnectionsOptions m_options;
    std::size_t m_limit = 32;
    std::map<BackendServerId, Server> m_servers;
    std::map<std::string, std::shared_ptr<ConnectAttempt>> m_attempts; // Of tryConnect(), by address.
    // Maximum idle time of a connection that is reused for a non-idempotent request. It is lowered when servers close
    // idle connections early, and grows again with each sweep().
    Duration m_safeIdleTime;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
