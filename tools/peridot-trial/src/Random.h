// Random numbers that are the same on every platform for the same seed. Each part of a trial has its own stream, so
// that a change in one part leaves the draws of the others as they were.

#pragma once

#include "base/Time.h"

#include <cmath>
#include <cstdint>
#include <string_view>

namespace peridot::trial {

class Random {
public:
    Random(std::uint64_t seed, std::string_view stream)
        : m_state(seed * 0x9e3779b97f4a7c15ULL)
    {
        for (const char ch : stream)
            m_state = (m_state ^ static_cast<unsigned char>(ch)) * 0x100000001b3ULL;
        next();
    }

    /** SplitMix64. */
    std::uint64_t next() noexcept
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }
    /** In [0, 1). */
    double uniform() noexcept { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    double uniform(double low, double high) noexcept { return low + (high - low) * uniform(); }
    std::size_t below(std::size_t limit) noexcept { return static_cast<std::size_t>(next() % limit); }
    bool chance(double probability) noexcept { return uniform() < probability; }
    double exponential(double mean) noexcept { return -mean * std::log(1.0 - uniform()); }
    Duration between(Duration low, Duration high) noexcept
    {
        return Duration { static_cast<Duration::rep>(
            uniform(static_cast<double>(low.count()), static_cast<double>(high.count()))) };
    }
    Duration exponential(Duration mean) noexcept
    {
        return Duration { static_cast<Duration::rep>(exponential(static_cast<double>(mean.count()))) };
    }

private:
    std::uint64_t m_state;
};

}
