// Settings of one instance, read from a JSON file with comments.

#pragma once

#include "base/Error.h"
#include "base/EventLog.h"
#include "peridot/Node.h"
#include "wire/PeerTransport.h"

#include <cstdint>
#include <string>

namespace peridot {

struct RequestLimits {
    std::uint64_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 16'777'216;
    // Bodies up to this size are kept whole: such a request can be sent again, such a response is checked before the
    // caller sees any of it.
    std::uint64_t bufferedBodyBytes = 65'536;
    std::uint32_t openRequests = 4096; // Requests beyond it are refused at once.
};

struct TlsFiles {
    std::string certificateFile; // PEM, with the chain.
    std::string keyFile;

    bool isEnabled() const noexcept { return !certificateFile.empty(); }
};

struct DaemonSettings {
    NodeSettings node; // Without incarnation and random seed, which the program draws at its start.
    std::string operatorAddress;
    std::string platformAddress;
    std::string operatorKey;
    RequestLimits limits;
    Duration defaultTimeout = std::chrono::seconds { 30 };
    Duration longestTimeout = std::chrono::minutes { 10 };
    Duration longestShutdown = std::chrono::minutes { 2 };
    std::uint32_t threads = 4; // Of cpprestsdk, for all listeners and clients.
    LogLevel logLevel = LogLevel::Info;
    TlsFiles callerTls;
    TlsFiles operatorTls;
    bool isPeerTrafficEncrypted = false;
    CurveKeys curve;
};

/** Reads and checks a settings file and the files that it names. */
Result<DaemonSettings> readDaemonSettings(const std::string& path);

}
