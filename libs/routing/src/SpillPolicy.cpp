// Choice of the region for a request that the local region has no room for.

#include "routing/SpillPolicy.h"

#include <algorithm>

namespace peridot {

namespace {

    Units kilobytes(std::uint64_t bytes) noexcept { return static_cast<Units>((bytes + 999) / 1000); }

    /** Time from now until the response arrives. */
    Duration responseTime(const SpillRequest& request, const SpillRegion& region) noexcept
    {
        return 2 * region.delay + region.expectedWait + request.expectedDuration;
    }

    SpillDecision decisionFor(const SpillRequest& request, const RegionId& local, const RegionId& receiver)
    {
        SpillDecision decision { receiver, {} };
        decision.needs.push_back({ { BudgetKind::SpillIn, request.service.value() }, 1, receiver });
        decision.needs.push_back({ { BudgetKind::Link, local.value() + ">" + receiver.value() },
            std::max<Units>(1, kilobytes(request.requestBytes)), local });
        decision.needs.push_back({ { BudgetKind::Link, receiver.value() + ">" + local.value() },
            std::max<Units>(1, kilobytes(request.expectedResponseBytes)), receiver });
        return decision;
    }

}

tl::expected<std::vector<SpillDecision>, StayReason> SpillPolicy::choose(
    const SpillRequest& request, const SpillRegion& local, const std::vector<SpillRegion>& others) const
{
    if (!local.isDrained && local.headroom > m_options.localReserve)
        return tl::unexpected(StayReason::LocalHasHeadroom);
    // A region that is full may still be in time for its queue.
    if (!local.isDrained && responseTime(request, local) <= request.remaining)
        return tl::unexpected(StayReason::LocalMeetsTarget);
    std::vector<const SpillRegion*> candidates;
    bool isReachable = false;
    for (const auto& region : others) {
        if (region.isDrained || region.region == local.region || responseTime(request, region) > request.remaining)
            continue;
        isReachable = true;
        if (region.headroom > m_options.remoteReserve)
            candidates.push_back(&region);
    }
    if (candidates.empty())
        return tl::unexpected(isReachable ? StayReason::NoHeadroomElsewhere : StayReason::TargetUnreachableElsewhere);
    std::sort(candidates.begin(), candidates.end(), [&](const SpillRegion* a, const SpillRegion* b) {
        const auto timeA = responseTime(request, *a);
        const auto timeB = responseTime(request, *b);
        return timeA != timeB ? timeA < timeB : a->headroom > b->headroom;
    });
    std::vector<SpillDecision> decisions;
    decisions.reserve(candidates.size());
    for (const auto* region : candidates)
        decisions.push_back(decisionFor(request, local.region, region->region));
    return decisions;
}

}
