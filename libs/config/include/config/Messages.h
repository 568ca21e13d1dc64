// Messages by which instances hand configuration versions to each other, so that store reads do not grow with the
// number of instances.

#pragma once

#include "store/StorePosition.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

struct ConfigurationPull {
    std::uint64_t sequence = 0;
    std::uint64_t haveVersion = 0; // The answer may be empty if the peer knows nothing newer.
    std::optional<StoreEra> era {}; // Of the version. Empty if the sender knows none.
    bool takesLargeValues = false; // The body may name a large value instead of holding it, unlike in earlier builds.
};

struct ConfigurationObject {
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    std::string body; // The JSON text of the version; empty if there is nothing newer.
    std::optional<StoreEra> era {}; // Of the version. Empty if the sender knows none.
};

}
