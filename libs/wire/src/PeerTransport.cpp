// The transport's thread owns all sockets. Other threads put messages into a bounded queue and wake it through an
// event descriptor.

#include "wire/PeerTransport.h"

#include "wire/Codec.h"

#include <zmq.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace peridot {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    // A peer that has not been addressed for this long loses its connection, so that relays that moved on are
    // forgotten.
    constexpr std::chrono::seconds idleSocketLifetime { 60 };
    // Below the 2 s after which membership takes a member for lost.
    constexpr std::chrono::milliseconds connectionHeartbeat { 500 };
    constexpr std::chrono::milliseconds connectionTimeout { 1'000 };
    // Bounds the time that one busy socket keeps the others waiting.
    constexpr int messagesPerTurn = 256;
    constexpr std::size_t maximumRoutes = 10000;

    struct Outgoing {
        std::string address;
        PeerMessage message;
    };

    struct DealerSocket {
        zmq::socket_t socket;
        SteadyClock::time_point lastUse;
    };

}

class PeerTransport::Implementation {
public:
    Implementation(PeerTransportSettings settings, EventLog& log, Receiver receiver)
        : m_settings(std::move(settings))
        , m_log(log)
        , m_receiver(std::move(receiver))
        , m_wakeup(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~Implementation()
    {
        stop();
        ::close(m_wakeup);
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    Result<void> start();
    void send(const std::string& address, PeerMessage);
    PeerTransportCounters counters() const;
    void stop();

private:
    void run();
    void setCommonOptions(zmq::socket_t&) const;
    void takeQueued();
    void sendOne(const Outgoing&);
    void openAuthentication();
    void answerAuthentication();
    bool isAllowed(const zmq::message_t& credentials) const;
    bool sendByRouter(const std::string& address, const std::string& bytes);
    bool sendByDealer(const std::string& address, const std::string& bytes);
    DealerSocket& dealerFor(const std::string& address);
    void drainRouter();
    void drainDealer(zmq::socket_t&);
    void handle(const zmq::message_t& payload, const std::string& route);
    void closeIdleSockets();
    void logDropped(const char* reason, const std::string& detail);
    void wake() const;

    const PeerTransportSettings m_settings;
    EventLog& m_log;
    const Receiver m_receiver;
    const int m_wakeup;

    mutable std::mutex m_mutex;
    std::deque<Outgoing> m_queue; // At most queueLimit × 16 messages.
    std::atomic<bool> m_isStopping { false };

    // Owned by the thread once it runs.
    zmq::context_t m_context { 1 };
    zmq::socket_t m_authenticator; // Answers libzmq's questions about clients (ZAP, RFC 27). Only if encrypted.
    zmq::socket_t m_router;
    std::map<std::string, DealerSocket> m_dealers; // By peer address.
    std::map<std::string, std::string> m_routes; // Peer address to the routing id of the peer's inbound connection.
    SteadyClock::time_point m_lastDropLog;
    std::thread m_thread;

    std::atomic<std::uint64_t> m_messagesSent { 0 };
    std::atomic<std::uint64_t> m_bytesSent { 0 };
    std::atomic<std::uint64_t> m_messagesReceived { 0 };
    std::atomic<std::uint64_t> m_bytesReceived { 0 };
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<std::uint64_t> m_unparsable { 0 };
    std::atomic<std::uint64_t> m_foreign { 0 };
    std::atomic<std::uint64_t> m_refusedConnections { 0 };
};

void PeerTransport::Implementation::setCommonOptions(zmq::socket_t& socket) const
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, static_cast<int>(m_settings.queueLimit));
    socket.set(zmq::sockopt::rcvhwm, static_cast<int>(m_settings.queueLimit));
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maximumEnvelopeBytes));
}

Result<void> PeerTransport::Implementation::start()
{
    try {
        m_router = zmq::socket_t(m_context, zmq::socket_type::router);
        setCommonOptions(m_router);
        // Without it the socket would drop replies to vanished peers silently, and they would go uncounted.
        m_router.set(zmq::sockopt::router_mandatory, true);
        // With a domain the socket refuses ZMTP 1.0 and 2.0. It takes any bytes for a greeting of 1.0, and then HTTP
        // bodies for parts of a message without end, all of which it keeps.
        m_router.set(zmq::sockopt::zap_domain, "peridot");
        if (m_settings.isEncrypted) {
            openAuthentication();
            m_router.set(zmq::sockopt::curve_server, true);
            m_router.set(zmq::sockopt::curve_secretkey, m_settings.curve.serverSecretKey);
        }
        m_router.bind("tcp://" + (m_settings.listenAddress.empty() ? m_settings.address : m_settings.listenAddress));
    } catch (const zmq::error_t& error) {
        return makeError(ErrorCode::Unavailable, "bind peer address", m_settings.address, error.what());
    }
    m_thread = std::thread([this] { run(); });
    return {};
}

void PeerTransport::Implementation::openAuthentication()
{
    m_authenticator = zmq::socket_t(m_context, zmq::socket_type::rep);
    m_authenticator.set(zmq::sockopt::linger, 0);
    m_authenticator.bind("inproc://zeromq.zap.01");
}

bool PeerTransport::Implementation::isAllowed(const zmq::message_t& credentials) const
{
    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t textBytes = 41;
    if (credentials.size() != keyBytes)
        return false;
    std::array<char, textBytes> text {};
    if (!zmq_z85_encode(text.data(), credentials.data<std::uint8_t>(), keyBytes))
        return false;
    const auto& allowed = m_settings.curve.allowedPublicKeys;
    return std::find(allowed.begin(), allowed.end(), text.data()) != allowed.end();
}

void PeerTransport::Implementation::answerAuthentication()
{
    // Frames: version, request id, domain, address, routing id, mechanism, credentials.
    std::vector<zmq::message_t> frames;
    do {
        frames.emplace_back();
        if (!m_authenticator.recv(frames.back(), zmq::recv_flags::dontwait))
            return;
    } while (frames.back().more());
    const bool isKnownClient = frames.size() == 7 && frames[5].to_string_view() == "CURVE" && isAllowed(frames[6]);
    if (!isKnownClient) {
        ++m_refusedConnections;
        logDropped("client_key_not_allowed", frames.size() > 3 ? frames[3].to_string() : "");
    }
    const std::string requestId = frames.size() > 1 ? frames[1].to_string() : "";
    const std::array<std::string, 6> reply { "1.0", requestId, isKnownClient ? "200" : "400",
        isKnownClient ? "" : "key not allowed", "", "" };
    for (std::size_t i = 0; i < reply.size(); ++i)
        m_authenticator.send(
            zmq::buffer(reply[i]), i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
}

void PeerTransport::Implementation::send(const std::string& address, PeerMessage message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= std::size_t { m_settings.queueLimit } * 16) {
            ++m_dropped;
            return;
        }
        m_queue.push_back({ address, std::move(message) });
    }
    wake();
}

void PeerTransport::Implementation::wake() const
{
    const std::uint64_t one = 1;
    // A full counter means that the thread is about to wake up anyway.
    [[maybe_unused]] const auto written = ::write(m_wakeup, &one, sizeof one);
}

PeerTransportCounters PeerTransport::Implementation::counters() const
{
    return { m_messagesSent, m_bytesSent, m_messagesReceived, m_bytesReceived, m_dropped, m_unparsable, m_foreign,
        m_refusedConnections };
}

void PeerTransport::Implementation::stop()
{
    m_isStopping = true;
    wake();
    if (m_thread.joinable())
        m_thread.join();
}

void PeerTransport::Implementation::run()
{
    while (!m_isStopping) {
        std::vector<zmq::pollitem_t> items {
            { nullptr, m_wakeup, ZMQ_POLLIN, 0 },
            { m_router.handle(), 0, ZMQ_POLLIN, 0 },
        };
        std::vector<zmq::socket_t*> dealers;
        for (auto& [address, dealer] : m_dealers) {
            items.push_back({ dealer.socket.handle(), 0, ZMQ_POLLIN, 0 });
            dealers.push_back(&dealer.socket);
        }
        if (m_settings.isEncrypted)
            items.push_back({ m_authenticator.handle(), 0, ZMQ_POLLIN, 0 });
        try {
            zmq::poll(items, std::chrono::milliseconds { 1000 });
            if ((items[1].revents & ZMQ_POLLIN) != 0)
                drainRouter();
            for (std::size_t i = 0; i < dealers.size(); ++i) {
                if ((items[i + 2].revents & ZMQ_POLLIN) != 0)
                    drainDealer(*dealers[i]);
            }
            if ((items[0].revents & ZMQ_POLLIN) != 0)
                takeQueued();
            if (m_settings.isEncrypted && (items.back().revents & ZMQ_POLLIN) != 0)
                answerAuthentication();
            closeIdleSockets();
        } catch (const zmq::error_t& error) {
            logDropped("transport_error", error.what());
        }
    }
    m_dealers.clear();
    m_router.close();
    m_authenticator.close();
}

void PeerTransport::Implementation::takeQueued()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto read = ::read(m_wakeup, &count, sizeof count);
    std::deque<Outgoing> queue;
    {
        const std::lock_guard lock(m_mutex);
        queue.swap(m_queue);
    }
    for (const auto& outgoing : queue)
        sendOne(outgoing);
}

void PeerTransport::Implementation::sendOne(const Outgoing& outgoing)
{
    const std::string bytes = encode(
        { m_settings.deployment, m_settings.self, m_settings.incarnation, m_settings.address, outgoing.message });
    bool isSent = false;
    try {
        // An open connection is used in both directions; replies need no second one.
        isSent = bytes.size() <= maximumEnvelopeBytes
            && (sendByRouter(outgoing.address, bytes) || sendByDealer(outgoing.address, bytes));
    } catch (const zmq::error_t& error) {
        logDropped("send_failed", error.what());
    }
    if (!isSent) {
        ++m_dropped;
        return;
    }
    ++m_messagesSent;
    m_bytesSent += bytes.size();
}

bool PeerTransport::Implementation::sendByRouter(const std::string& address, const std::string& bytes)
{
    if (m_dealers.count(address) != 0)
        return false;
    const auto route = m_routes.find(address);
    if (route == m_routes.end())
        return false;
    try {
        if (!m_router.send(zmq::buffer(route->second), zmq::send_flags::sndmore | zmq::send_flags::dontwait))
            return false;
        return m_router.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t& error) {
        if (error.num() != EHOSTUNREACH)
            throw;
        m_routes.erase(route);
        return false;
    }
}

bool PeerTransport::Implementation::sendByDealer(const std::string& address, const std::string& bytes)
{
    auto& dealer = dealerFor(address);
    dealer.lastUse = SteadyClock::now();
    return dealer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
}

DealerSocket& PeerTransport::Implementation::dealerFor(const std::string& address)
{
    if (const auto it = m_dealers.find(address); it != m_dealers.end())
        return it->second;
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    setCommonOptions(socket);
    if (m_settings.isEncrypted) {
        socket.set(zmq::sockopt::curve_serverkey, m_settings.curve.serverPublicKey);
        socket.set(zmq::sockopt::curve_publickey, m_settings.curve.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, m_settings.curve.secretKey);
    }
    socket.set(zmq::sockopt::reconnect_ivl, 100);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    // A connection can go silent without a reset; only its own heartbeats show it.
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(connectionHeartbeat.count()));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(connectionTimeout.count()));
    socket.set(zmq::sockopt::connect_timeout, static_cast<int>(connectionTimeout.count()));
    socket.connect("tcp://" + address);
    return m_dealers.emplace(address, DealerSocket { std::move(socket), SteadyClock::now() }).first->second;
}

void PeerTransport::Implementation::drainRouter()
{
    for (int i = 0; i < messagesPerTurn; ++i) {
        zmq::message_t route;
        if (!m_router.recv(route, zmq::recv_flags::dontwait))
            return;
        zmq::message_t payload;
        bool isMultipart = false;
        while (route.more() && m_router.get(zmq::sockopt::rcvmore)) {
            isMultipart = !payload.empty();
            if (!m_router.recv(payload, zmq::recv_flags::dontwait))
                break;
        }
        if (isMultipart) {
            ++m_unparsable;
            logDropped("unparsable", "more than one part");
            continue;
        }
        handle(payload, route.to_string());
    }
}

void PeerTransport::Implementation::drainDealer(zmq::socket_t& socket)
{
    for (int i = 0; i < messagesPerTurn; ++i) {
        zmq::message_t payload;
        if (!socket.recv(payload, zmq::recv_flags::dontwait))
            return;
        handle(payload, "");
    }
}

void PeerTransport::Implementation::handle(const zmq::message_t& payload, const std::string& route)
{
    ++m_messagesReceived;
    m_bytesReceived += payload.size();
    const auto envelope = decode(payload.to_string_view());
    if (!envelope) {
        ++m_unparsable;
        logDropped("unparsable", envelope.error().message);
        return;
    }
    if (envelope->deployment != m_settings.deployment) {
        ++m_foreign;
        logDropped("other_deployment", envelope->deployment.value() + " from " + envelope->sender.value());
        return;
    }
    if (!route.empty() && (m_routes.size() < maximumRoutes || m_routes.count(envelope->senderAddress) != 0))
        m_routes[envelope->senderAddress] = route;
    m_receiver(*envelope);
}

void PeerTransport::Implementation::closeIdleSockets()
{
    const auto oldest = SteadyClock::now() - idleSocketLifetime;
    std::erase_if(m_dealers, [&](const auto& entry) { return entry.second.lastUse < oldest; });
}

void PeerTransport::Implementation::logDropped(const char* reason, const std::string& detail)
{
    // At most one line a second: a peer that sends garbage must not fill the log. The counters see every message.
    const auto now = SteadyClock::now();
    if (now - m_lastDropLog < std::chrono::seconds { 1 })
        return;
    m_lastDropLog = now;
    m_log.write(LogLevel::Warning, LogLine("peer_message_dropped").add("reason", reason).add("detail", detail));
}

PeerTransport::PeerTransport(PeerTransportSettings settings, EventLog& log, Receiver receiver)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), log, std::move(receiver)))
{
}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::start() { return m_implementation->start(); }

void PeerTransport::send(const std::string& address, PeerMessage message)
{
    m_implementation->send(address, std::move(message));
}

PeerTransportCounters PeerTransport::counters() const { return m_implementation->counters(); }

void PeerTransport::stop() { m_implementation->stop(); }

}
