// Limits how fast the share of requests may grow that must run in another region because the home regions of their
// route or workspace require it.

#pragma once

#include "base/Time.h"
#include "steering/RateEstimate.h"

#include <cstddef>
#include <optional>

namespace peridot {

/**
 * A token bucket. Its refill rate is the mean rate at which requests leave the region plus the increase that the
 * maximum shift share allows. Each instance limits its own requests; if each keeps its share, so does the region. Not
 * thread-safe.
 */
class OutflowLimit {
public:
    /** Sets the share of the region's requests that may change their region from one 2 s window to the next. */
    void setMaximumShiftShare(double share) noexcept { m_maximumShiftShare = share; }

    /** Whether one more request may leave the region now. */
    bool hasRoom(TimePoint now);
    /** Counts a request that is sent; @p leavesRegion if it goes to another region. */
    void count(bool leavesRegion, TimePoint now);
    /** Time until a request may leave the region after @p ahead others that wait for the same. */
    Duration expectedWait(std::size_t ahead, TimePoint now);

private:
    void advance(TimePoint now);
    bool isLimiting() const { return m_firstSend && m_updated - *m_firstSend >= s_window; }
    double allowedRate() const; // Requests per second; valid only while isLimiting().

    double m_maximumShiftShare = 0.15; // The users' bound; replaced by setMaximumShiftShare().
    RateEstimate m_all { s_window, 0 }; // All requests.
    RateEstimate m_leaving { s_window, 0 }; // Requests that leave the region.
    // Requests that may leave the region now; at most s_maximumTokens, negative if count() was called without a token.
    double m_tokens = s_maximumTokens;
    TimePoint m_updated {};
    // Nothing is limited until one window after this time, because there is no baseline yet.
    std::optional<TimePoint> m_firstSend;

    static constexpr Duration s_window = std::chrono::seconds { 2 };
    static constexpr double s_maximumTokens = 4; // Random arrivals often form bursts of this size.
};

}
