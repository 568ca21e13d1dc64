// Time types of the decision libraries. The libraries never read a clock: every call takes the current time, so that
// the daemon (steady clock) and the randomised trial (virtual clock) run the same code.

#pragma once

#include <chrono>
#include <cstdint>

namespace peridot {

using Duration = std::chrono::microseconds;

/** Tag of the local monotonic clock. It is not comparable between instances. */
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

using TimePoint = MonotonicClock::time_point;

/** Largest clock rate error between two instances that the protocols tolerate, in percent. */
constexpr int maximumClockDriftPercent = 1;

/** Returns @p duration prolonged by the largest tolerated clock drift. */
constexpr Duration withDrift(Duration duration) noexcept
{
    return duration + duration * maximumClockDriftPercent / 100 + Duration { 1 };
}

constexpr std::int64_t toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr double toSeconds(Duration duration) noexcept { return std::chrono::duration<double>(duration).count(); }

/** Cuts off parts of a microsecond. The result is at most some 30 years, so that sums of durations and times of the
 *  clock don't overflow, and 0 if @p seconds is no number. */
constexpr Duration fromSeconds(double seconds) noexcept
{
    constexpr double longest = 1e9;
    if (!(seconds >= -longest && seconds <= longest))
        seconds = seconds > 0 ? longest : seconds < 0 ? -longest : 0;
    return Duration { static_cast<Duration::rep>(seconds * 1e6) };
}

}
