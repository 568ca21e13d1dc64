#include "steering/OutflowLimit.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    // The rest of the maximum shift share is left for random variation, bursts of up to the bucket's depth and the
    // shares that ServicePool spills.
    constexpr double usedPartOfShiftShare = 0.5;

}

void OutflowLimit::advance(TimePoint now)
{
    m_all.advance(now, true);
    m_leaving.advance(now, true);
    if (now <= m_updated)
        return;
    const auto passed = toSeconds(now - m_updated);
    m_updated = now;
    m_tokens = isLimiting() ? std::min(s_maximumTokens, m_tokens + allowedRate() * passed) : s_maximumTokens;
}

double OutflowLimit::allowedRate() const
{
    // The estimates start at 0 and have reached this part of the true rates.
    const auto observedPart = 1 - std::exp(-toSeconds(m_updated - *m_firstSend) / toSeconds(s_window));
    return (m_leaving.perSecond() + usedPartOfShiftShare * m_maximumShiftShare * m_all.perSecond()) / observedPart;
}

bool OutflowLimit::hasRoom(TimePoint now)
{
    advance(now);
    return !isLimiting() || m_tokens >= 1;
}

void OutflowLimit::count(bool leavesRegion, TimePoint now)
{
    advance(now);
    if (!m_firstSend)
        m_firstSend = now;
    m_all.count();
    if (!leavesRegion)
        return;
    m_leaving.count();
    m_tokens -= 1;
}

Duration OutflowLimit::expectedWait(std::size_t ahead, TimePoint now)
{
    advance(now);
    const auto missingTokens = static_cast<double>(ahead + 1) - m_tokens;
    if (missingTokens <= 0 || !isLimiting())
        return Duration { 0 };
    const auto rate = allowedRate();
    constexpr double maximumWaitSeconds = 10; // Longer than any request may wait.
    return fromSeconds(rate > 0 ? std::min(missingTokens / rate, maximumWaitSeconds) : maximumWaitSeconds);
}

}
