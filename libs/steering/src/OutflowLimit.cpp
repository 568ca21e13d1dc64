#include "steering/OutflowLimit.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    // Part of the allowed shift. The rest is for chance, the depth of the bucket and the shares that ServicePool
    // spills.
    constexpr double shiftUse = 0.5;

}

void OutflowLimit::advance(TimePoint now)
{
    m_all.advance(now, true);
    m_leaving.advance(now, true);
    if (now <= m_updated)
        return;
    const auto passed = toSeconds(now - m_updated);
    m_updated = now;
    m_units = isBounded() ? std::min(s_depth, m_units + allowedRate() * passed) : s_depth;
}

double OutflowLimit::allowedRate() const
{
    // The estimates began at 0 and hold this part of the true rates.
    const auto known = 1 - std::exp(-toSeconds(m_updated - *m_firstSend) / toSeconds(s_window));
    return (m_leaving.perSecond() + shiftUse * m_maximumShiftShare * m_all.perSecond()) / known;
}

bool OutflowLimit::hasRoom(TimePoint now)
{
    advance(now);
    return !isBounded() || m_units >= 1;
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
    m_units -= 1;
}

Duration OutflowLimit::expectedWait(std::size_t ahead, TimePoint now)
{
    advance(now);
    const auto missing = static_cast<double>(ahead + 1) - m_units;
    if (missing <= 0 || !isBounded())
        return Duration { 0 };
    const auto rate = allowedRate();
    constexpr double longestWaitSeconds = 10; // Longer than any request may wait.
    return fromSeconds(rate > 0 ? std::min(missing / rate, longestWaitSeconds) : longestWaitSeconds);
}

}
