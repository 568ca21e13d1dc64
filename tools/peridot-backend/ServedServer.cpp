// Accepting, the connection limit and the hand-over of slots.

#include "ServedServer.h"

#include "BackendConnection.h"
#include "program/Clocks.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace peridot {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    Result<tcp::endpoint> parseAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        boost::system::error_code error;
        const auto host = asio::ip::make_address(address.substr(0, colon), error);
        if (colon == std::string::npos || error)
            return makeError(ErrorCode::InvalidSettings, "listen", address, "expected an IP address and a port");
        try {
            return tcp::endpoint { host, static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
        } catch (const std::exception&) {
            return makeError(ErrorCode::InvalidSettings, "listen", address, "expected an IP address and a port");
        }
    }

}

ServedServer::ServedServer(asio::io_context& io, const BackendServerSettings& settings,
    const ServiceBehaviour& behaviour, std::uint64_t randomSeed, ServedContext context)
    : m_io(io)
    , m_model(settings, behaviour, randomSeed)
    , m_context(std::move(context))
{
}

Result<void> ServedServer::open()
{
    const auto& address = m_model.settings().listen;
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return tl::make_unexpected(endpoint.error());
    try {
        m_acceptor.emplace(m_io, *endpoint);
    } catch (const boost::system::system_error& error) {
        return makeError(ErrorCode::Unavailable, "listen", address, error.what());
    }
    accept();
    return {};
}

void ServedServer::close()
{
    m_acceptor.reset();
    m_waiting.clear();
}

void ServedServer::accept()
{
    m_acceptor->async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (!m_acceptor)
            return;
        if (!error)
            accepted(std::move(socket));
        accept();
    });
}

void ServedServer::accepted(tcp::socket socket)
{
    ++m_counts.connections;
    if (m_counts.openConnections >= m_model.settings().maximumConnections || m_model.control().refusesConnections) {
        ++m_counts.refusedConnections;
        return; // The destructor closes the socket.
    }
    ++m_counts.openConnections;
    m_counts.highestOpenConnections = std::max(m_counts.highestOpenConnections, m_counts.openConnections);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<BackendConnection>(std::move(socket), *this)->start();
}

void ServedServer::wait(JobId job, std::shared_ptr<BackendConnection> connection)
{
    m_waiting.emplace(job, std::move(connection));
}

void ServedServer::leave(JobId job)
{
    m_waiting.erase(job);
    const auto next = m_model.leave(job, monotonicTime());
    if (!next)
        return;
    if (auto node = m_waiting.extract(*next); !node.empty())
        node.mapped()->startRun();
}

bool ServedServer::swapResponse(const std::shared_ptr<BackendConnection>& connection, Response& response)
{
    const auto partner = m_swapPartner.lock();
    if (!partner || partner == connection || !partner->exchangeHeldResponse(response)) {
        m_swapPartner = connection;
        return false;
    }
    m_swapPartner.reset();
    return true;
}

void ServedServer::setControl(const ServerControl& control, bool startsCold)
{
    if (!control.isDraining)
        m_counts.drainingSinceUnixMs = 0;
    else if (!m_model.control().isDraining)
        m_counts.drainingSinceUnixMs = unixMilliseconds();
    m_model.setControl(control, monotonicTime());
    if (startsCold)
        m_model.startCold();
}

nlohmann::json ServedServer::describe()
{
    const auto& settings = m_model.settings();
    return { { "service", settings.service }, { "region", settings.region },
        { "failure_domain", settings.failureDomain }, { "listen", settings.listen }, { "slots", settings.slots },
        { "control", encodeServerControl(m_model.control()) },
        { "counts",
            { { "connections", m_counts.connections }, { "open_connections", m_counts.openConnections },
                { "highest_open_connections", m_counts.highestOpenConnections },
                { "refused_connections", m_counts.refusedConnections }, { "requests", m_counts.requests },
                { "probes", m_counts.probes }, { "runs", m_counts.runs }, { "completed", m_counts.completed },
                { "shed", m_counts.shed }, { "cancelled_waiting", m_counts.cancelledWaiting },
                { "cancelled_running", m_counts.cancelledRunning }, { "expired_waiting", m_counts.expiredWaiting },
                { "expired_running", m_counts.expiredRunning }, { "bad_requests", m_counts.badRequests },
                { "damaged_bodies", m_counts.damagedBodies }, { "faults", m_counts.faults },
                { "requests_while_draining", m_counts.requestsWhileDraining },
                { "last_request_unix_ms", m_counts.lastRequestUnixMs },
                { "draining_since_unix_ms", m_counts.drainingSinceUnixMs } } } };
}

}
