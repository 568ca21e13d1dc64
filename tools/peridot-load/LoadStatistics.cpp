// Counts and exact percentiles.

#include "LoadStatistics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridot {

void LoadStatistics::add(Outcome outcome, const std::string& code, Duration latency)
{
    ++m_counts.at(static_cast<std::size_t>(outcome));
    if (outcome == Outcome::Completed)
        m_latencies.push_back(static_cast<std::uint32_t>(std::min<Duration::rep>(latency.count(), UINT32_MAX)));
    else
        ++m_codes[std::string(enumName(outcome))][code];
}

void LoadStatistics::merge(const LoadStatistics& other)
{
    for (std::size_t i = 0; i < m_counts.size(); ++i)
        m_counts.at(i) += other.m_counts.at(i);
    for (const auto& [outcome, codes] : other.m_codes) {
        for (const auto& [code, count] : codes)
            m_codes[outcome][code] += count;
    }
    m_skipped += other.m_skipped;
    m_retries += other.m_retries;
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(), other.m_latencies.end());
}

std::uint64_t LoadStatistics::sent() const noexcept
{
    return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t { 0 });
}

Duration LoadStatistics::percentile(double percent) const
{
    if (m_latencies.empty())
        return Duration { 0 };
    auto sorted = m_latencies;
    // The smallest value that at least the given share of all values does not exceed.
    const auto rank = static_cast<std::size_t>(std::ceil(percent / 100 * static_cast<double>(sorted.size())));
    const auto position
        = sorted.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, sorted.size())) - 1;
    std::nth_element(sorted.begin(), position, sorted.end());
    return Duration { *position };
}

nlohmann::json LoadStatistics::toJson() const
{
    nlohmann::json object { { "sent", sent() }, { "skipped", m_skipped }, { "retries", m_retries },
        { "codes", m_codes } };
    for (const auto& [outcome, name] : enumNames<Outcome>)
        object[std::string(name)] = count(outcome);
    for (const auto& [name, percent] :
        { std::pair { "p50", 50.0 }, { "p90", 90.0 }, { "p99", 99.0 }, { "p999", 99.9 }, { "max", 100.0 } })
        object["latency_ms"][name] = static_cast<double>(percentile(percent).count()) / 1000.0;
    return object;
}

}
