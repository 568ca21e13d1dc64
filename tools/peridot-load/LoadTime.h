// The clock of the callers.

#pragma once

#include "base/Time.h"

#include <chrono>

namespace peridot {

inline TimePoint monotonicTime()
{
    return TimePoint { std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) };
}

}
