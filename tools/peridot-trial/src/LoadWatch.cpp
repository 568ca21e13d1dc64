#include "LoadWatch.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridot::trial {

namespace {

    constexpr std::size_t samplesPerSecond = 10;
    // The loss of slots is no steering decision: the steered load may lag behind it by the age of load reports.
    constexpr Duration slotLossAllowance = std::chrono::seconds { 5 };

}

LoadWatch::LoadWatch(const Deployment& deployment, Verdict& verdict)
    : m_deployment(deployment)
    , m_verdict(verdict)
    , m_regions(deployment.regions.size())
    , m_pools(deployment.services.size() * deployment.regions.size())
    , m_links(deployment.regions.size() * deployment.regions.size())
{
    for (std::size_t n = 0; n < m_pools.size(); ++n) {
        m_pools[n].service = n / m_regions;
        m_pools[n].region = n % m_regions;
        m_pools[n].slots.emplace_back(VirtualTime { 0 }, 0);
    }
}

void LoadWatch::slotsChanged(std::size_t service, std::size_t region, int slots, VirtualTime now)
{
    pool(service, region).slots.emplace_back(now, slots);
}

void LoadWatch::began(
    std::size_t service, std::size_t fromRegion, std::size_t toRegion, bool isSteered, std::uint64_t bytes, VirtualTime)
{
    Pool& it = pool(service, toRegion);
    ++it.inFlight;
    if (isSteered || fromRegion != toRegion)
        ++it.steered;
    if (fromRegion != toRegion)
        link(fromRegion, toRegion).current += bytes;
}

void LoadWatch::ended(std::size_t service, std::size_t fromRegion, std::size_t toRegion, bool isSteered,
    std::uint64_t responseBytes, VirtualTime)
{
    Pool& it = pool(service, toRegion);
    --it.inFlight;
    if (isSteered || fromRegion != toRegion)
        --it.steered;
    if (fromRegion != toRegion)
        link(toRegion, fromRegion).current += responseBytes;
}

void LoadWatch::samplePool(Pool& it, VirtualTime now)
{
    while (it.slots.size() > 1 && now - it.slots[1].first > slotLossAllowance)
        it.slots.pop_front();
    int slots = 0;
    for (const auto& [since, value] : it.slots)
        slots = std::max(slots, value);

    const int current = it.slots.back().second;
    it.headroomSum += current > 0 ? 1.0 - static_cast<double>(it.inFlight) / current : 0.0;
    if (++it.samples == static_cast<int>(samplesPerSecond)) {
        m_lowestHeadroom = std::min(m_lowestHeadroom, it.headroomSum / it.samples);
        it.headroomSum = 0;
        it.samples = 0;
    }

    const int limit = slots + static_cast<int>(slots * overloadMarginRatio) + overloadMarginRequests;
    if (it.inFlight <= limit || it.steered == 0) {
        it.overloadedSince = VirtualTime { -1 };
        it.isReported = false;
        return;
    }
    m_overloadSeconds += toSeconds(now - m_lastSample);
    if (it.overloadedSince.count() < 0)
        it.overloadedSince = now;
    if (it.isReported)
        return;
    it.isReported = !m_verdict.check(Rule::RegionOverload, now - it.overloadedSince <= overloadAllowance, now, [&] {
        return fmt::format("region={} service={} in_flight={} steered={} slots={} limit={}",
            m_deployment.regions[it.region], m_deployment.services[it.service].name, it.inFlight, it.steered, slots,
            limit);
    });
}

void LoadWatch::sampleLink(std::size_t from, std::size_t to, VirtualTime now)
{
    Link& it = link(from, to);
    it.recent.push_back(it.current);
    it.recentSum += it.current;
    it.current = 0;
    if (it.recent.size() > samplesPerSecond) {
        it.recentSum -= it.recent.front();
        it.recent.pop_front();
    }
    const double capacity = static_cast<double>(m_deployment.linkMegabitsPerSecond) * 1e6 / 8;
    const double use = static_cast<double>(it.recentSum) / capacity;
    m_highestLinkUse = std::max(m_highestLinkUse, use);
    const bool isOver = use > 1;
    if (isOver && !it.isOver)
        ++m_linkExcess;
    if (!it.isOver)
        m_verdict.check(Rule::Link, !isOver, now, [&] {
            return fmt::format("from={} to={} use={:.3f}", m_deployment.regions[from], m_deployment.regions[to], use);
        });
    it.isOver = isOver;
}

void LoadWatch::sample(VirtualTime now)
{
    for (Pool& it : m_pools)
        samplePool(it, now);
    for (std::size_t from = 0; from < m_regions; ++from) {
        for (std::size_t to = 0; to < m_regions; ++to) {
            if (from != to)
                sampleLink(from, to, now);
        }
    }
    m_lastSample = now;
}

}
