// The limit that a backend server names in its responses.

#pragma once

#include "base/Time.h"

#include <limits>

namespace peridot {

/** Rate of a server that names no limit. */
constexpr double unlimitedRate = std::numeric_limits<double>::infinity();

/** Requests per second that one start of a server takes from all instances together, as it has last stated. */
class ServerLimit {
public:
    /** Records what a response states whose request was sent at @p sent. Returns whether the limit has changed.
     * Responses may overtake each other: a tighter limit counts from the receipt, a looser one from the time of the
     * request, so that an older response doesn't lift a limit. */
    bool state(double perSecond, TimePoint sent, TimePoint received)
    {
        const auto statedAt = perSecond > m_perSecond ? sent : received;
        if (statedAt <= m_statedAt)
            return false;
        m_statedAt = statedAt;
        const bool hasChanged = perSecond != m_perSecond;
        m_perSecond = perSecond;
        return hasChanged;
    }

    bool isSet() const noexcept { return m_perSecond < unlimitedRate; }
    double perSecond() const noexcept { return m_perSecond; }

private:
    double m_perSecond = unlimitedRate;
    TimePoint m_statedAt {};
};

}
