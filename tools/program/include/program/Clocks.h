// The clocks of the programs.

#pragma once

#include "base/SteadyTime.h"
#include "base/Time.h"

#include <chrono>

namespace peridot {

inline TimePoint monotonicTime() { return steadyNow(); }

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}
