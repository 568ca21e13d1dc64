#include "RateCheck.h"

#include <algorithm>

namespace peridot::trial {

namespace {

    // Absorbs the rounding of sums of floating-point refills; far below one request.
    constexpr double rounding = 1e-6;
    constexpr double offerWindowSeconds = 10;

}

RateCheck::RateCheck(double rate, double burst)
    : m_limits { { VirtualTime { 0 }, rate, burst } }
    , m_admissionLevel(burst)
    , m_offerLevel(burst)
{
}

void RateCheck::setLimit(double rate, double burst, VirtualTime now) { m_limits.push_back({ now, rate, burst }); }

void RateCheck::dropExpired(VirtualTime now)
{
    while (m_limits.size() > 1 && now - m_limits[1].since > configurationAllowance)
        m_limits.pop_front();
}

RateCheck::Limit RateCheck::highest() const
{
    Limit result = m_limits.back();
    for (const Limit& limit : m_limits) {
        result.rate = std::max(result.rate, limit.rate);
        result.burst = std::max(result.burst, limit.burst);
    }
    return result;
}

RateCheck::Limit RateCheck::lowest() const
{
    Limit result = m_limits.back();
    for (const Limit& limit : m_limits) {
        result.rate = std::min(result.rate, limit.rate);
        result.burst = std::min(result.burst, limit.burst);
    }
    return result;
}

bool RateCheck::admit(VirtualTime now)
{
    dropExpired(now);
    const Limit limit = highest();
    m_admissionLevel = std::min(limit.burst, m_admissionLevel + limit.rate * toSeconds(now - m_admissionTime));
    m_admissionTime = now;
    if (m_admissionLevel < 1 - rounding)
        return false;
    m_admissionLevel = std::max(0.0, m_admissionLevel - 1);
    return true;
}

bool RateCheck::offer(VirtualTime now)
{
    dropExpired(now);
    const Limit limit = lowest();
    m_offerLevel = std::min(limit.burst, m_offerLevel + limit.rate * toSeconds(now - m_offerTime));
    m_offerTime = now;
    m_offerLevel = std::max(m_offerLevel - 1, -limit.rate * offerWindowSeconds);
    return m_offerLevel >= 0;
}

}
