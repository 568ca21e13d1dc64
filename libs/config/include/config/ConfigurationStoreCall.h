// A store request of the configuration writer or reader, as a value. The caller performs it and reports the result
// under the same id.

#pragma once

#include "base/Time.h"
#include "store/StoreTypes.h"

#include <cstdint>

namespace peridot {

struct ConfigurationStoreCall {
    std::uint64_t id = 0; // Unique within the writer or reader that made it.
    StoreRequest request;
    Duration timeout { 0 };
};

}
