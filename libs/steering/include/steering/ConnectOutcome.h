// How an attempt to connect to a backend server ended.

#pragma once

#include "base/EnumNames.h"

namespace peridot {

enum class ConnectOutcome {
    Connected,
    Refused, // No process listens at the address, or something on the way refuses in its place.
    Broken, // Accepted, and then closed: by a process that ends, or by something on the way.
    Failed, // It took too long, or there was another error.
};

template <>
inline constexpr EnumNameTable<ConnectOutcome, 4> enumNames<ConnectOutcome> { {
    { ConnectOutcome::Connected, "connected" },
    { ConnectOutcome::Refused, "refused" },
    { ConnectOutcome::Broken, "broken" },
    { ConnectOutcome::Failed, "failed" },
} };

}
