// Estimates a rate of events or amounts per second as an exponentially weighted mean over the observed time.

#pragma once

#include "base/Time.h"

#include <cmath>

namespace peridot {

/** Not thread-safe. */
class RateEstimate {
public:
    RateEstimate(Duration timeConstant, double initialRate)
        : m_timeConstant(toSeconds(timeConstant))
        , m_rate(initialRate)
    {
    }

    /** Advances the estimate to @p now. The rate decays only if @p isObserved, that is, if events could have
     *  occurred since the previous call. */
    void advance(TimePoint now, bool isObserved) noexcept
    {
        if (isObserved && now > m_updated)
            m_rate *= std::exp(-toSeconds(now - m_updated) / m_timeConstant);
        if (now > m_updated)
            m_updated = now;
    }
    void count(double amount = 1) noexcept { m_rate += amount / m_timeConstant; }
    double perSecond() const noexcept { return m_rate; }

private:
    double m_timeConstant;
    double m_rate;
    TimePoint m_updated {};
};

}
