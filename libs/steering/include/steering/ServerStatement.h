// What a backend server states about itself in its responses.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace peridot {

/** Load that a server reports in a response. It counts the requests of all callers of the server. */
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0; // Requests that wait at the server for a slot.
    std::uint32_t slots = 0;
};

/** Rate of a server that names no limit. */
constexpr double unlimitedRate = std::numeric_limits<double>::infinity();

struct ServerStatement {
    std::optional<ServerLoad> load; // Empty if the response states no valid load.
    // Requests per second that the server takes from all instances together, unlimitedRate if it names no limit. Empty
    // if the response does not tell.
    std::optional<double> requestLimit {};
    bool isLeaving = false; // It takes no new requests.
    std::optional<Duration> pause {}; // It wants no requests of this instance for so long.
    bool isUnreadable = false; // A part can't be read and counts as not stated.
};

/** The part of a server's statements that concerns all instances, as they exchange it. */
struct ServerNotice {
    BackendServerId server;
    std::int64_t incarnation = 0; // As in ListedServer. The notice doesn't hold for another start of the server.
    double requestsPerSecond = unlimitedRate;
    bool isLeaving = false;
    Duration age { 0 };
};

}
