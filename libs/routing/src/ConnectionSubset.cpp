// Rendezvous ranking of servers by each instance, with a bound on the instances of a server. Instances take servers in
// rounds, one each, so that subsets differ in size by at most one while connections last.

#include "ConnectionSubset.h"

#include "RendezvousHash.h"

#include <algorithm>
#include <numeric>

namespace peridot {

namespace {

    using Assignment = std::vector<std::vector<bool>>; // By instance and server.

    Assignment assignAll(const ConnectionSubsetInputs& inputs)
    {
        return Assignment(inputs.instances.size(), std::vector<bool>(inputs.servers.size(), true));
    }

    /** Gives each instance up to @p size servers; a server serves at most @p places instances. */
    Assignment assignSubsets(const ConnectionSubsetInputs& inputs, std::vector<std::uint32_t> places, std::size_t size)
    {
        const auto serverCount = inputs.servers.size();
        Assignment result(inputs.instances.size(), std::vector<bool>(serverCount, false));
        for (std::size_t round = 0; round < size; ++round) {
            for (std::size_t i = 0; i < inputs.instances.size(); ++i) {
                std::size_t best = serverCount;
                std::uint64_t bestScore = 0;
                for (std::size_t s = 0; s < serverCount; ++s) {
                    const auto score = mixHashes(inputs.instances[i], inputs.servers[s]);
                    if (places[s] && !result[i][s] && (best == serverCount || score > bestScore)) {
                        best = s;
                        bestScore = score;
                    }
                }
                if (best == serverCount)
                    continue;
                result[i][best] = true;
                --places[best];
            }
        }
        return result;
    }

    Assignment assign(const ConnectionSubsetInputs& inputs)
    {
        const auto count = inputs.instances.size();
        const auto hasRoomForAll = std::all_of(inputs.maximumConnections.begin(), inputs.maximumConnections.end(),
            [&](std::uint32_t maximum) { return maximum / count >= inputs.connectionsWanted; });
        if (hasRoomForAll)
            return assignAll(inputs);
        // Where connections are too few for one server each, instances share them singly.
        for (const auto wanted : { inputs.connectionsWanted, 1U }) {
            std::vector<std::uint32_t> places;
            places.reserve(inputs.servers.size());
            for (const auto maximum : inputs.maximumConnections)
                places.push_back(maximum / std::max(1U, wanted));
            const auto size = std::accumulate(places.begin(), places.end(), std::size_t { 0 }) / count;
            if (size || wanted <= 1)
                return assignSubsets(inputs, places, std::clamp<std::size_t>(size, 1, inputs.servers.size()));
        }
        return {};
    }

}

std::vector<std::uint32_t> connectionLimits(const ConnectionSubsetInputs& inputs, std::size_t self)
{
    std::vector<std::uint32_t> limits(inputs.servers.size(), 0);
    if (inputs.servers.empty())
        return limits;
    const auto assignment = assign(inputs);
    for (std::size_t s = 0; s < inputs.servers.size(); ++s) {
        const auto users = std::count_if(
            assignment.begin(), assignment.end(), [s](const std::vector<bool>& servers) { return servers[s]; });
        if (assignment[self][s])
            limits[s] = inputs.maximumConnections[s] / static_cast<std::uint32_t>(users);
    }
    return limits;
}

}
