#include "steering/RateDivision.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace peridot {

namespace {

    // A holder in another region uses the server for what its own region can't serve, and for requests bound to the
    // server's region.
    constexpr double localWeight = 16;

    std::uint64_t hashOf(const std::string& text, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

}

RateDivision::RateDivision(InstanceId self, std::vector<EntryInstance> instances)
    : m_self(std::move(self))
    , m_instances(std::move(instances))
{
}

double RateDivision::part(const BackendServerId& server, const RegionId& serverRegion, double rate,
    double maximumHolders, std::size_t turn) const
{
    const auto count = m_instances.size();
    if (count == 0)
        return rate;
    const auto seed = hashOf(server.value(), 0);
    std::vector<std::tuple<bool, bool, std::uint64_t, const EntryInstance*>> order;
    order.reserve(count);
    for (const auto& it : m_instances)
        order.emplace_back(!it.isLive || it.isDetached, it.region != serverRegion, hashOf(it.id.value(), seed), &it);
    std::sort(order.begin(), order.end());
    const auto holders = static_cast<std::size_t>(std::clamp(maximumHolders, 1.0, static_cast<double>(count)));
    double own = 0;
    double sum = 0;
    for (std::size_t i = 0; i < holders; ++i) {
        const auto& [isLast, isRemote, hash, instance] = order[(turn * holders + i) % count];
        const auto weight = isRemote ? 1.0 : localWeight;
        sum += weight;
        if (instance->id == m_self)
            own = weight;
    }
    return rate * own / sum;
}

void SendTokens::refill(TimePoint now)
{
    m_tokens = std::min(1.0, m_tokens + m_perSecond * toSeconds(now - m_time));
    m_time = now;
}

void SendTokens::setRate(double perSecond, TimePoint now)
{
    refill(now);
    m_perSecond = perSecond;
}

std::optional<Duration> SendTokens::wait(std::size_t ahead, TimePoint now)
{
    refill(now);
    if (m_perSecond <= 0)
        return std::nullopt;
    const auto missing = static_cast<double>(ahead) + 1 - m_tokens;
    // Rounding must not delay a request by another visit of the queue.
    return missing <= 1e-9 ? Duration { 0 } : fromSeconds(missing / m_perSecond);
}

}
