// The callers' own token bucket with the rate and burst that a workspace bought. It tells refusals inside the rate
// (wrongful) from those above it.

#pragma once

#include "base/Time.h"

#include <algorithm>

namespace peridot {

/** Not thread-safe. */
class ReferenceBucket {
public:
    ReferenceBucket(double ratePerSecond, double burst, TimePoint now)
        : m_ratePerSecond(ratePerSecond)
        , m_burst(burst)
        , m_tokens(burst)
        , m_refilled(now)
    {
    }

    /** Takes a token for a request that is being sent. Returns false if the request is above the rate. */
    bool take(TimePoint now)
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    /** Gives the token of a refused request back: only admitted requests count against the rate. */
    void giveBack(TimePoint now)
    {
        refill(now);
        m_tokens = std::min(m_burst, m_tokens + 1);
    }

private:
    void refill(TimePoint now)
    {
        if (now <= m_refilled)
            return;
        m_tokens = std::min(m_burst, m_tokens + toSeconds(now - m_refilled) * m_ratePerSecond);
        m_refilled = now;
    }

    const double m_ratePerSecond;
    const double m_burst;
    double m_tokens; // At most m_burst.
    TimePoint m_refilled;
};

}
