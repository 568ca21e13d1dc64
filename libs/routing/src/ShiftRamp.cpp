// Growth cap and max-min fair division of the accepted rate among the home regions.

#include "routing/ShiftRamp.h"

#include "base/Assert.h"

#include <algorithm>
#include <vector>

namespace peridot {

namespace {

    // Time without an update counts as at most this much, so that a pause does not end in a large step.
    constexpr Duration longestStep = std::chrono::seconds(1);

    /** Divides @p total so that no home gets more than its demand and unmet homes get equal rates. */
    std::map<RegionId, double> divide(const std::map<RegionId, double>& demand, double total)
    {
        std::vector<std::pair<double, RegionId>> ascending;
        for (const auto& [home, rate] : demand) {
            if (rate > 0)
                ascending.emplace_back(rate, home);
        }
        std::sort(ascending.begin(), ascending.end());
        std::map<RegionId, double> rates;
        for (std::size_t i = 0; i < ascending.size(); ++i) {
            const auto& [rate, home] = ascending[i];
            const auto accepted = std::min(rate, total / static_cast<double>(ascending.size() - i));
            rates[home] = accepted;
            total -= accepted;
        }
        return rates;
    }

}

ShiftRamp::ShiftRamp(ShiftRampOptions options)
    : m_options(options)
{
    PERIDOT_ASSERT(m_options.initialPerSecond > 0 && m_options.growthPerSecond > 0, "a shift ramp rises");
}

void ShiftRamp::update(TimePoint now, const std::map<RegionId, double>& demand, double headroomPerSecond)
{
    double wanted = 0;
    for (const auto& [home, rate] : demand)
        wanted += std::max(0.0, rate);
    const auto before = totalRate();
    const auto step = m_hasUpdate ? std::clamp(now - m_updated, Duration { 0 }, longestStep) : Duration { 0 };
    m_updated = now;
    m_hasUpdate = true;
    // A rate that was limited by demand or headroom grows from where it was, not from what the cap had allowed.
    const auto ceiling = std::max(m_options.initialPerSecond, before + m_options.growthPerSecond * toSeconds(step));
    const auto total = std::min({ wanted, ceiling, std::max(0.0, headroomPerSecond) });
    m_rates = divide(demand, total);
    PERIDOT_ASSERT(totalRate() <= std::max(0.0, headroomPerSecond) * (1 + 1e-9) + 1e-9, "a shift fits the headroom");
}

double ShiftRamp::rate(const RegionId& home) const
{
    const auto it = m_rates.find(home);
    return it == m_rates.end() ? 0 : it->second;
}

double ShiftRamp::totalRate() const
{
    double sum = 0;
    for (const auto& [home, rate] : m_rates)
        sum += rate;
    return sum;
}

}
