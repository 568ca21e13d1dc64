// A backend server as described by its entry in the platform's server list.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace peridot {

struct ListedServer {
    BackendServerId id;
    ServiceId service;
    std::string address;
    FailureDomainId failureDomain;
    RegionId region;
    std::uint32_t slots = 1; // Requests that the server runs at the same time.
    bool isLeaving = false;
    // Start time in milliseconds of the server's own clock. It differs between two starts under the same id and is only
    // compared for equality.
    std::int64_t incarnation = 0;
    TimePoint coldUntil {}; // Until then the server is cold and may receive the service's cold rate only.

    bool operator==(const ListedServer&) const = default;
};

}
