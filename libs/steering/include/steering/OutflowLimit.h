// Bounds how fast the share of requests grows that have to run in another region, because their route or workspace is
// bound to it.

#pragma once

#include "base/Time.h"
#include "steering/RateEstimate.h"

#include <cstddef>
#include <optional>

namespace peridot {

/**
 * A bucket whose units arrive at the rate at which requests usually leave the region, and as much faster as the allowed
 * shift permits. Counts the sends of one instance; what holds for the share of each instance holds for their region.
 * Not thread-safe.
 */
class OutflowLimit {
public:
    /** Share of the region's requests that may change their region from one 2 s to the next. */
    void setMaximumShiftShare(double share) noexcept { m_maximumShiftShare = share; }

    /** Whether one more request may leave the region now. */
    bool hasRoom(TimePoint now);
    /** Counts a request that is sent. */
    void count(bool leavesRegion, TimePoint now);
    /** Time until a request may leave behind @p ahead others. */
    Duration expectedWait(std::size_t ahead, TimePoint now);

private:
    void advance(TimePoint now);
    bool isBounded() const { return m_firstSend && m_updated - *m_firstSend >= s_window; }
    double allowedRate() const; // Only while isBounded().

    double m_maximumShiftShare = 0.15; // The users' bound, until the settings tell it.
    RateEstimate m_all { s_window, 0 };
    RateEstimate m_leaving { s_window, 0 };
    double m_units = s_depth; // Requests that may leave at once, at most s_depth.
    TimePoint m_updated {};
    std::optional<TimePoint> m_firstSend; // Until a window later there is no usual share, and nothing is bounded.

    static constexpr Duration s_window = std::chrono::seconds { 2 };
    static constexpr double s_depth = 4; // Chance brings together this many requests often.
};

}
