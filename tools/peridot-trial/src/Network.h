// Delays, losses and cuts between places. A place is a failure domain; callers are placed in the first domain of
// their region.

#pragma once

#include "Deployment.h"
#include "Random.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace peridot::trial {

/** Faults of messages between instances. TCP connections of callers, store and backend servers see only delays and
 *  cuts. */
struct MessageFaults {
    double loss = 0;
    double duplication = 0;
    double reordering = 0; // Part of the messages that is held back by up to 300 ms.
};

class Network {
public:
    Network(const Deployment&, std::uint64_t seed);

    std::size_t domainCount() const noexcept { return m_deployment.regions.size() * domainsPerRegion; }
    static std::size_t regionOf(std::size_t domain) noexcept { return domain / domainsPerRegion; }
    /** One-way delay with jitter. */
    Duration delay(std::size_t fromDomain, std::size_t toDomain);
    /** One-way delay between a caller of @p homeRegion and an instance. */
    Duration clientDelay(std::size_t homeRegion, std::size_t domain);

    bool isConnected(std::size_t fromRegion, std::size_t toRegion) const;
    /** Cuts nest: a pair is connected again once each of its cuts has been lifted. */
    void cut(std::size_t regionA, std::size_t regionB);
    void restore(std::size_t regionA, std::size_t regionB);

    /** Whether messages are lost or regions cut off from each other. */
    bool isImpaired() const noexcept { return !m_cuts.empty() || m_faults.loss > 0; }

    MessageFaults& faults() noexcept { return m_faults; }
    /** Delays of the deliveries of one message between instances; empty if it is lost. */
    std::vector<Duration> deliveries(std::size_t fromDomain, std::size_t toDomain);

private:
    Duration jittered(Duration);

    const Deployment& m_deployment;
    Random m_random;
    MessageFaults m_faults;
    std::map<std::pair<std::size_t, std::size_t>, int> m_cuts; // By ordered pair; number of cuts in force.
};

}
