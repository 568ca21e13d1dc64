// One backend server on its port: accepting connections, its counts, and what its connections share.

#pragma once

#include "BackendServer.h"
#include "KeyDetector.h"
#include "RunRegistry.h"
#include "base/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace peridot {

class BackendConnection;

struct ServerCounts {
    std::uint64_t connections = 0;
    std::uint64_t openConnections = 0;
    std::uint64_t highestOpenConnections = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t requests = 0; // Without GET /health and GET /load.
    std::uint64_t probes = 0;
    std::uint64_t runs = 0;
    std::uint64_t completed = 0; // Whole responses written.
    std::uint64_t shed = 0;
    std::uint64_t cancelledWaiting = 0; // The caller went away before the run.
    std::uint64_t cancelledRunning = 0;
    std::uint64_t expiredWaiting = 0; // The deadline passed before the run.
    std::uint64_t expiredRunning = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t damagedBodies = 0; // Request bodies that don't match their X-Content-Checksum.
    std::uint64_t faults = 0; // Closed, truncated, swapped or late by a switched fault.
    std::uint64_t requestsWhileDraining = 0;
    std::int64_t lastRequestUnixMs = 0;
    std::int64_t drainingSinceUnixMs = 0;
};

/** What all servers of a process share. */
struct ServedContext {
    RunRegistry& runs;
    const KeyDetector& keys;
    EventLog& log;
    std::function<void()> keySeen; // Ends the process.
};

/** All members but the constructor run on the thread of the io_context. */
class ServedServer {
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    ServedServer(boost::asio::io_context&, const BackendServerSettings&, const ServiceBehaviour&,
        std::uint64_t randomSeed, ServedContext);

    Result<void> open();
    /** Closes the listening socket and drops the connections' jobs. */
    void close();

    BackendServer& model() noexcept { return m_model; }
    ServerCounts& counts() noexcept { return m_counts; }
    const ServedContext& context() const noexcept { return m_context; }

    JobId nextJob() noexcept { return ++m_lastJob; }
    /** Remembers a job that waits for a slot. */
    void wait(JobId, std::shared_ptr<BackendConnection>);
    /** Ends a job; starts the one that waited longest. */
    void leave(JobId);
    void connectionClosed() noexcept { --m_counts.openConnections; }

    /** Exchanges responses with the request that waits for an exchange. Returns false if there is none. */
    bool swapResponse(const std::shared_ptr<BackendConnection>&, Response&);

    void setControl(const ServerControl&, bool startsCold);
    nlohmann::json describe();

private:
    void accept();
    void accepted(boost::asio::ip::tcp::socket);

    boost::asio::io_context& m_io;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    BackendServer m_model;
    ServerCounts m_counts;
    const ServedContext m_context;
    JobId m_lastJob = 0;
    std::map<JobId, std::shared_ptr<BackendConnection>> m_waiting;
    std::weak_ptr<BackendConnection> m_swapPartner; // Holds its response back until one to exchange with turns up.
};

}
