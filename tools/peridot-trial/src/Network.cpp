#include "Network.h"

#include <algorithm>

namespace peridot::trial {

namespace {

    constexpr Duration sameDomainDelay = std::chrono::microseconds { 200 };
    constexpr Duration longestHoldBack = std::chrono::milliseconds { 300 };

}

Network::Network(const Deployment& deployment, std::uint64_t seed)
    : m_deployment(deployment)
    , m_random(seed, "network")
{
}

Duration Network::jittered(Duration base)
{
    return Duration { static_cast<Duration::rep>(static_cast<double>(base.count()) * m_random.uniform(1.0, 1.15)) };
}

Duration Network::delay(std::size_t fromDomain, std::size_t toDomain)
{
    if (fromDomain == toDomain)
        return jittered(sameDomainDelay);
    return jittered(regionOf(fromDomain) == regionOf(toDomain) ? m_deployment.domainDelay : m_deployment.regionDelay);
}

Duration Network::clientDelay(std::size_t homeRegion, std::size_t domain)
{
    const Duration distance = homeRegion == regionOf(domain) ? Duration { 0 } : m_deployment.regionDelay;
    return jittered(m_deployment.clientDelay + distance);
}

bool Network::isConnected(std::size_t fromRegion, std::size_t toRegion) const
{
    return fromRegion == toRegion || m_cuts.count(std::minmax(fromRegion, toRegion)) == 0;
}

void Network::cut(std::size_t regionA, std::size_t regionB) { ++m_cuts[std::minmax(regionA, regionB)]; }

void Network::restore(std::size_t regionA, std::size_t regionB)
{
    const auto it = m_cuts.find(std::minmax(regionA, regionB));
    if (it != m_cuts.end() && --it->second == 0)
        m_cuts.erase(it);
}

std::vector<Duration> Network::deliveries(std::size_t fromDomain, std::size_t toDomain)
{
    std::vector<Duration> result;
    if (!isConnected(regionOf(fromDomain), regionOf(toDomain)) || m_random.chance(m_faults.loss))
        return result;
    const int copies = m_random.chance(m_faults.duplication) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        Duration delay = this->delay(fromDomain, toDomain);
        if (m_random.chance(m_faults.reordering))
            delay += m_random.between(Duration { 0 }, longestHoldBack);
        result.push_back(delay);
    }
    return result;
}

}
