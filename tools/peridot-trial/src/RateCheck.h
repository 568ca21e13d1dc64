// Reference bucket of one workspace, as an outside observer keeps it.

#pragma once

#include "EventLoop.h"

#include <deque>

namespace peridot::trial {

/**
 * Judges admissions and refusals of one workspace against its rate and burst. A lowered limit binds after the
 * allowance that the configuration has to come into force; a raised one counts from its acceptance.
 */
class RateCheck {
public:
    RateCheck(double rate, double burst);

    void setLimit(double rate, double burst, VirtualTime now);

    /** Takes one admission. Returns false if some window now holds more than rate * w + burst admissions. */
    bool admit(VirtualTime now);
    /**
     * Takes one request as offered by a caller. Returns true if the workspace is within its rate: no window of up to
     * 10 s that ends now holds more than rate * w + burst offered requests.
     */
    bool offer(VirtualTime now);

private:
    struct Limit {
        VirtualTime since;
        double rate;
        double burst;
    };

    void dropExpired(VirtualTime now);
    Limit highest() const;
    Limit lowest() const;

    std::deque<Limit> m_limits; // The last one is the accepted one; the others still bind partly.
    double m_admissionLevel; // 0 <= level <= burst.
    VirtualTime m_admissionTime { 0 };
    double m_offerLevel; // Below 0 while more was offered than the rate allows.
    VirtualTime m_offerTime { 0 };
};

/** Time that an accepted configuration may take to be in force. */
constexpr Duration configurationAllowance = std::chrono::seconds { 5 };

}
