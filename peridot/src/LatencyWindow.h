// Latency quantiles over a recent period, for the status that operators see.

#pragma once

#include "base/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>
#include <utility>

namespace peridot {

/** Estimates the 99th percentile over the last one to two periods. Not thread-safe. */
class LatencyWindow {
public:
    static constexpr Duration s_period = std::chrono::seconds { 10 };
    // Fewer samples say nothing about a 99th percentile.
    static constexpr std::size_t s_fewestSamples = 20;

    void add(Duration latency, TimePoint now)
    {
        advance(now);
        m_current(static_cast<double>(latency.count()));
    }

    /** Empty if there were too few requests. */
    std::optional<Duration> p99(TimePoint now)
    {
        advance(now);
        const auto& chosen = boost::accumulators::count(m_current) >= s_fewestSamples ? m_current : m_previous;
        if (boost::accumulators::count(chosen) < s_fewestSamples)
            return std::nullopt;
        return Duration { static_cast<Duration::rep>(boost::accumulators::p_square_quantile(chosen)) };
    }

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    static Accumulator makeAccumulator() { return Accumulator(boost::accumulators::quantile_probability = 0.99); }

    void advance(TimePoint now)
    {
        if (now - m_periodStart < s_period)
            return;
        const bool isNextPeriod = now - m_periodStart < 2 * s_period;
        m_previous = isNextPeriod ? std::exchange(m_current, makeAccumulator()) : makeAccumulator();
        if (!isNextPeriod)
            m_current = makeAccumulator();
        m_periodStart = now;
    }

    Accumulator m_current = makeAccumulator();
    Accumulator m_previous = makeAccumulator();
    TimePoint m_periodStart {};
};

}
