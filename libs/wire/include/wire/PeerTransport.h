// Messages between instances over ZeroMQ: one ROUTER socket on the own peer address and a DEALER socket per peer that
// this instance has addressed. Delivery is best effort; a message that does not fit a bounded queue is dropped.

#pragma once

#include "base/Error.h"
#include "base/EventLog.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

/**
 * Keys for ZeroMQ CURVE in Z85 text of 40 characters. All instances of a deployment listen under one server key pair;
 * a connecting instance proves itself by its client key pair.
 */
struct CurveKeys {
    std::string serverPublicKey;
    std::string serverSecretKey;
    std::string publicKey;
    std::string secretKey;
    /** Public keys of the instances that may connect, of the old and of the new generation during a replacement. */
    std::vector<std::string> allowedPublicKeys;
};

struct PeerTransportSettings {
    DeploymentId deployment;
    InstanceId self;
    std::uint64_t incarnation = 0;
    std::string address; // host:port to bind and to name as sender address.
    std::uint32_t queueLimit = 1000; // Messages per direction and peer.
    bool isEncrypted = false;
    CurveKeys curve {};
    std::string listenAddress {}; // host:port to bind if it is another one than `address`, for example behind a proxy.
};

struct PeerTransportCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t dropped = 0; // Did not fit a queue or had no reachable peer.
    std::uint64_t unparsable = 0;
    std::uint64_t foreign = 0; // Of another deployment.
    std::uint64_t refusedConnections = 0; // For want of an allowed client key.
};

class PeerTransport {
public:
    /** Called on the transport's thread. */
    using Receiver = std::function<void(const Envelope&)>;

    PeerTransport(PeerTransportSettings, EventLog&, Receiver);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /** Binds the address and starts the thread. */
    Result<void> start();
    /** Thread-safe; never blocks. */
    void send(const std::string& address, PeerMessage);
    PeerTransportCounters counters() const;
    /** Stops the thread and drops what is queued. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
