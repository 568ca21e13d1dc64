// What an instance can say about its own path to the store.

#pragma once

#include "membership/Messages.h"

#include <optional>

namespace peridot {

class StoreContact {
public:
    // Readers poll every 500 ms, so two lost polls do not count as an outage. Evidence of an outage has to reach all
    // members before the last confirmed evidence lapses after 4 s, which leaves no more than this.
    static constexpr Duration s_reachableFor = std::chrono::milliseconds { 1200 };

    /** A store call has succeeded. */
    void succeeded(TimePoint now) noexcept { m_lastSuccess = now; }
    /**
     * Says "reachable" until @p until whatever calls return. For the writer of a lease row that another instance may
     * hold: its write may take effect late, and nobody may conclude before that no write can.
     */
    void holdReachable(TimePoint until) noexcept;

    bool isReachable(TimePoint now) const noexcept;
    StoreAttestation attestation(TimePoint now) const noexcept { return { isReachable(now), Duration { 0 } }; }

private:
    std::optional<TimePoint> m_lastSuccess;
    TimePoint m_heldUntil;
};

}
