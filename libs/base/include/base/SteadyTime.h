// The programs' clock: the steady clock of the machine, which also advances while the machine is suspended.

#pragma once

#include "base/Time.h"

#include <chrono>
#include <ctime>

namespace peridot {

/** Unlike std::chrono::steady_clock, counts the time during which the machine is suspended. What expires or grows old
 *  on other machines in the meantime has to do so here. */
struct SuspendAwareClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SuspendAwareClock>;

    static time_point now() noexcept
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
    }
};

inline TimePoint steadyNow() noexcept
{
    return TimePoint { std::chrono::duration_cast<Duration>(SuspendAwareClock::now().time_since_epoch()) };
}

}
