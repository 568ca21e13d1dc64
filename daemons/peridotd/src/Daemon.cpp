#include "Daemon.h"

#include "BackendProbe.h"
#include "CallerListener.h"
#include "OperatorListener.h"

#include "store/HttpStoreClient.h"
#include "wire/PeerTransport.h"

#include <sstream>

namespace peridot {

namespace {

    std::string requestIdPrefix(const NodeSettings& node)
    {
        std::ostringstream text;
        text << node.self.id << '-' << std::hex << (node.self.incarnation & 0xffffffffU) << '-';
        return text.str();
    }

    PeerTransportSettings transportSettings(const DaemonSettings& settings)
    {
        PeerTransportSettings result;
        result.deployment = settings.node.deployment;
        result.self = settings.node.self.id;
        result.incarnation = settings.node.self.incarnation;
        result.address = settings.node.self.peerAddress;
        result.isEncrypted = settings.isPeerTrafficEncrypted;
        result.curve = settings.curve;
        return result;
    }

    void writeTransportMetrics(std::string& page, const PeerTransportCounters& counters)
    {
        writeMetric(page, "peridot_peer_messages_sent_total", "counter", counters.messagesSent);
        writeMetric(page, "peridot_peer_bytes_sent_total", "counter", counters.bytesSent);
        writeMetric(page, "peridot_peer_messages_received_total", "counter", counters.messagesReceived);
        writeMetric(page, "peridot_peer_bytes_received_total", "counter", counters.bytesReceived);
        writeMetric(page, "peridot_peer_messages_dropped_total", "counter", counters.dropped);
        writeMetric(page, "peridot_peer_messages_unparsable_total", "counter", counters.unparsable);
        writeMetric(page, "peridot_peer_messages_foreign_total", "counter", counters.foreign);
        writeMetric(page, "peridot_peer_connections_refused_total", "counter", counters.refusedConnections);
    }

}

class Daemon::Implementation {
public:
    Implementation(const DaemonSettings& settings, EventLog& log)
        : m_log(log)
        , m_driver(settings.node, log)
        , m_probe(m_driver, m_clients)
        , m_store(std::make_unique<HttpStoreClient>(
              HttpStoreClientSettings { settings.platformAddress, settings.node.self.id.value() }))
        , m_transport(
              transportSettings(settings), log, [this](const Envelope& envelope) { m_driver.receive(envelope); })
        , m_caller({ settings.node.self.callerAddress, settings.callerTls, requestIdPrefix(settings.node),
                       settings.defaultTimeout, settings.longestTimeout },
              { m_driver, m_clients, m_statistics, log, settings.limits },
              [this](std::string& page) { writeTransportMetrics(page, m_transport.counters()); })
        , m_operator(
              { settings.operatorAddress, settings.operatorTls, requestIdPrefix(settings.node), settings.operatorKey },
              m_driver, log)
    {
        m_driver.connect({
            [this](const SendMessage& action) { m_transport.send(action.address, action.message); },
            [this](const StoreCall& action) { callStore(action); },
            [this](const ProbeBackendServer& action) { m_probe.probe(action); },
        });
    }

    Result<void> open()
    {
        if (auto opened = m_transport.start(); !opened)
            return opened;
        if (auto opened = m_operator.open(); !opened)
            return opened;
        return m_caller.open();
    }

    void close()
    {
        m_caller.close();
        m_operator.close();
        m_driver.stop();
        m_transport.stop();
        // Waits for the callbacks of open store calls.
        m_store.reset();
    }

    NodeDriver& driver() noexcept { return m_driver; }

private:
    void callStore(const StoreCall& action)
    {
        m_store->call(action.request, action.timeout, [this, id = action.id](const StoreResult& result) {
            m_statistics.countStoreCall(result.has_value());
            if (!result) {
                m_log.write(LogLevel::Warning,
                    LogLine("store_call_failed").add("id", id).add("error", result.error().describe()));
            }
            m_driver.storeCompleted(id, result);
        });
    }

    EventLog& m_log;
    NodeDriver m_driver;
    BackendClients m_clients;
    RequestStatistics m_statistics;
    BackendProbe m_probe;
    std::unique_ptr<HttpStoreClient> m_store;
    PeerTransport m_transport;
    CallerListener m_caller;
    OperatorListener m_operator;
};

Daemon::Daemon(const DaemonSettings& settings, EventLog& log)
    : m_implementation(std::make_unique<Implementation>(settings, log))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::open() { return m_implementation->open(); }

void Daemon::start() { m_implementation->driver().start(); }

void Daemon::leave() { m_implementation->driver().leave(); }

bool Daemon::hasDrained() const { return m_implementation->driver().hasDrained(); }

std::size_t Daemon::openRequests() const { return m_implementation->driver().openRequests(); }

void Daemon::close() { m_implementation->close(); }

}
