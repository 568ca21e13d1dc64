// Division of the servers' connections among the entry instances.

#pragma once

#include <cstdint>
#include <vector>

namespace peridot {

/** Inputs and results refer to instances and servers by position; the hashes are of their names. */
struct ConnectionSubsetInputs {
    std::vector<std::uint64_t> instances;
    std::vector<std::uint64_t> servers;
    std::vector<std::uint32_t> maximumConnections; // Of each server, from all instances together.
    std::uint32_t connectionsWanted = 1; // Of an instance to a server that it uses.
};

/** Returns how many connections the instance @p self may hold to each server, 0 for servers outside its subset.
 *  Invariant: summed over all instances with the same inputs, no server's maximum is exceeded. */
std::vector<std::uint32_t> connectionLimits(const ConnectionSubsetInputs&, std::size_t self);

}
