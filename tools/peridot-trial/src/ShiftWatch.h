// Watches how fast look-ups move from one region into another.

#pragma once

#include "Deployment.h"
#include "Verdict.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace peridot::trial {

/** Shifted look-ups per second at the start of a shift, and the growth of that rate per second. */
constexpr double defaultShiftCap = 10;

/**
 * A look-up is shifted if its answer starts with another region than the home region of the client. The shifted
 * look-ups into one region stay under a ceiling that starts at the cap and rises by the cap each second; in every
 * window they are at most the integral of the ceiling plus one second of it. A shift is over after 10 s without a
 * shifted look-up.
 */
class ShiftWatch {
public:
    ShiftWatch(const Deployment&, Verdict&, double cap);

    /** @p region is the first region of the answer; none if the look-up was refused. */
    void lookedUp(std::size_t homeRegion, std::optional<std::size_t> region, VirtualTime now);

    std::uint64_t excess() const noexcept { return m_excess; }
    std::uint64_t shifted() const noexcept { return m_shifted; }

private:
    struct Shift {
        bool isRunning = false;
        VirtualTime since { 0 };
        VirtualTime last { 0 };
        double level = 0; // Look-ups that may follow at once.
    };

    const Deployment& m_deployment;
    Verdict& m_verdict;
    double m_cap;
    std::vector<Shift> m_shifts; // By receiving region.
    std::uint64_t m_excess = 0;
    std::uint64_t m_shifted = 0;
};

}
