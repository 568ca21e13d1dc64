// Limits how fast clients of other home regions are taken into a region, so that a shift does not land on cold caches
// all at once and never exceeds the region's headroom.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>

namespace peridot {

struct ShiftRampOptions {
    double initialPerSecond = 10; // Total rate at the start of a shift.
    double growthPerSecond = 10; // Largest rise of the total rate in one second, in lookups per second.
};

/** Rates at which one region accepts lookups from clients of foreign home regions. Not thread-safe.
 *  Invariants: the sum of all rates is at most the last stated headroom; above `initialPerSecond` it rises by at
 *  most `growthPerSecond` a second. */
class ShiftRamp {
public:
    explicit ShiftRamp(ShiftRampOptions);

    /** Recomputes the rates.
     *  @p demand is the rate of lookups that ask to shift, by home region; homes without demand get nothing.
     *  @p headroomPerSecond is the rate of lookups whose requests the region can take in addition to its own. */
    void update(TimePoint now, const std::map<RegionId, double>& demand, double headroomPerSecond);

    /** Accepted lookups per second for clients of this home region; the rate of its `shiftIn` budget here. */
    double rate(const RegionId& home) const;
    double totalRate() const;

private:
    ShiftRampOptions m_options;
    TimePoint m_updated;
    bool m_hasUpdate = false;
    std::map<RegionId, double> m_rates;
};

}
