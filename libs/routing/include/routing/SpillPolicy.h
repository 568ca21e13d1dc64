// Decides whether a request that the local region has no room for goes to another region, and to which.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "budget/Messages.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace peridot {

/** What an instance knows of a region for one service. */
struct SpillRegion {
    RegionId region;
    Duration delay { 0 }; // One-way, from the deciding region; 0 for that region itself.
    double headroom = 0; // Free share of the region's slots, 0 to 1.
    Duration expectedWait { 0 }; // Queue wait there.
    bool isDrained = false;
};

struct SpillRequest {
    ServiceId service;
    Duration remaining { 0 }; // Of the class target or the caller's deadline, whichever ends first.
    Duration expectedDuration { 0 }; // At the backend server.
    std::uint64_t requestBytes = 0;
    std::uint64_t expectedResponseBytes = 0;
};

/** Units of one budget that must be spent before the request is sent. */
struct BudgetNeed {
    BudgetKey key;
    Units units = 0;
    RegionId grantedBy; // The region whose ledger grants them.

    bool operator==(const BudgetNeed&) const = default;
};

struct SpillDecision {
    RegionId region;
    std::vector<BudgetNeed> needs; // `spillIn` of the service at the receiver and `link` in both directions.
};

enum class StayReason {
    LocalHasHeadroom,
    LocalMeetsTarget, // It is full, but its queue is short enough.
    TargetUnreachableElsewhere, // Delay and expected work do not fit the remaining time.
    NoHeadroomElsewhere,
};

template <>
inline constexpr EnumNameTable<StayReason, 4> enumNames<StayReason> { {
    { StayReason::LocalHasHeadroom, "local_has_headroom" },
    { StayReason::LocalMeetsTarget, "local_meets_target" },
    { StayReason::TargetUnreachableElsewhere, "target_unreachable_elsewhere" },
    { StayReason::NoHeadroomElsewhere, "no_headroom_elsewhere" },
} };

struct SpillPolicyOptions {
    double localReserve = 0.0; // The local region counts as full at or below this headroom.
    double remoteReserve = 0.1; // Other regions keep this headroom for their own requests.
};

/** Stateless; thread-safe. */
class SpillPolicy {
public:
    explicit SpillPolicy(SpillPolicyOptions options) noexcept
        : m_options(options)
    {
    }

    /** Returns the regions to try, best first, or why the request stays. The caller spends the units of the first
     *  decision for which it gets all of them. */
    tl::expected<std::vector<SpillDecision>, StayReason> choose(
        const SpillRequest&, const SpillRegion& local, const std::vector<SpillRegion>& others) const;

private:
    SpillPolicyOptions m_options;
};

}
