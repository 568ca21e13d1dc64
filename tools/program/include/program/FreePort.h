// Loopback ports for tests that run servers.

#pragma once

#include <string>

namespace peridot {

/** Returns "127.0.0.1:PORT" with a port that was free at the time of the call. */
std::string freeLoopbackAddress();

}
