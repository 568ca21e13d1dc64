// Ordering of instances and regions. Both orders come from rendezvous hashes of the client, so that equal clients get
// equal answers from every instance and a change moves only the clients of the changed instance or region.

#include "routing/LookupPlanner.h"

#include "RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    constexpr std::size_t entriesOfTarget = 3;
    constexpr std::size_t entriesOfEachOther = 1;
    constexpr std::size_t otherRegions = 2;

    /** Regions whose delays differ by no more than this share of the smaller one count as equally far. */
    constexpr double delayTolerance = 0.25;

    struct RankedRegion {
        Duration delay { 0 };
        double headroom = 0;
        double score = 0; // Smaller is better; the expected rank follows the headroom.
        std::size_t delayGroup = 0;
        std::size_t index = 0;
    };

    void setDelayGroups(std::vector<RankedRegion>& regions)
    {
        std::sort(regions.begin(), regions.end(), [](const auto& a, const auto& b) { return a.delay < b.delay; });
        for (std::size_t i = 1, first = 0; i < regions.size(); ++i) {
            const auto limit = toSeconds(regions[first].delay) * (1 + delayTolerance);
            if (toSeconds(regions[i].delay) > limit)
                first = i;
            regions[i].delayGroup = first;
        }
    }

    /** Moves an instance of a second failure domain to the third place if the first three share one. */
    void spreadOverDomains(std::vector<const LookupEntry*>& ranked)
    {
        if (ranked.size() <= entriesOfTarget)
            return;
        const auto isElsewhere
            = [&](const LookupEntry* entry) { return entry->failureDomain != ranked.front()->failureDomain; };
        const auto head = ranked.begin() + entriesOfTarget;
        if (std::any_of(ranked.begin(), head, isElsewhere))
            return;
        const auto other = std::find_if(head, ranked.end(), isElsewhere);
        if (other != ranked.end())
            std::rotate(head - 1, other, other + 1);
    }

}

std::shared_ptr<const LookupPlan> LookupPlanner::build(const LookupInputs& inputs) const
{
    auto plan = std::make_shared<LookupPlan>();
    plan->m_localRegion = inputs.localRegion;
    plan->m_headroom = inputs.headroom;
    plan->m_delays = inputs.delays;
    for (const auto& member : inputs.instances) {
        if (member.state != InstanceState::Ready || inputs.drainedFailureDomains.count(member.failureDomain)
            || inputs.drainedInstances.count(member.id))
            continue;
        auto& regions = inputs.drainedRegions.count(member.region) ? plan->m_drainedRegions : plan->m_regions;
        auto& region = regions[member.region];
        region.id = member.region;
        region.instances.push_back({ member.id, member.region, member.failureDomain, member.callerAddress });
        region.hashes.push_back(hashOf(member.id.value()));
    }
    return plan;
}

std::vector<const LookupPlan::RegionEntries*> LookupPlan::orderRegions(
    const RegionId& origin, const ServiceId& service, std::uint64_t seed) const
{
    std::vector<const RegionEntries*> regions;
    std::vector<RankedRegion> ranked;
    for (const auto& [id, entries] : m_regions) {
        if (id == origin)
            continue;
        const auto delay = m_delays.find({ origin, id });
        const auto headroom = m_headroom.find({ id, service });
        RankedRegion region;
        region.delay = delay == m_delays.end() ? Duration::max() : delay->second;
        region.headroom = headroom == m_headroom.end() ? 0 : std::max(0.0, headroom->second);
        // Weighted rendezvous: a region is first for a share of the seeds that is proportional to its headroom.
        const auto draw = -std::log(unitInterval(mixHashes(seed, hashOf(id.value()))));
        region.score = region.headroom > 0 ? draw / region.headroom : draw;
        region.index = regions.size();
        ranked.push_back(region);
        regions.push_back(&entries);
    }
    setDelayGroups(ranked);
    std::sort(ranked.begin(), ranked.end(), [](const RankedRegion& a, const RankedRegion& b) {
        if ((a.headroom > 0) != (b.headroom > 0))
            return a.headroom > 0;
        return a.delayGroup != b.delayGroup ? a.delayGroup < b.delayGroup : a.score < b.score;
    });
    std::vector<const RegionEntries*> ordered;
    if (const auto it = m_regions.find(origin); it != m_regions.end())
        ordered.push_back(&it->second);
    for (const auto& region : ranked)
        ordered.push_back(regions[region.index]);
    return ordered;
}

LookupAnswer LookupPlan::answer(const std::optional<RegionId>& home, const ServiceId& service, std::uint64_t seed) const
{
    const auto& origin = home ? *home : m_localRegion;
    const auto regions = orderRegions(origin, service, seed);
    LookupAnswer answer;
    if (regions.empty())
        return answer;
    if (regions.front()->id != origin) {
        answer.shift = RegionShift { origin, regions.front()->id };
        if (const auto it = m_drainedRegions.find(origin); it != m_drainedRegions.end())
            append(it->second, entriesOfTarget, seed, answer.stay);
    }
    for (std::size_t i = 0; i < std::min(regions.size(), 1 + otherRegions); ++i)
        append(*regions[i], i ? entriesOfEachOther : entriesOfTarget, seed, answer.instances);
    return answer;
}

void LookupPlan::append(
    const RegionEntries& region, std::size_t count, std::uint64_t seed, std::vector<LookupEntry>& entries)
{
    std::vector<std::pair<std::uint64_t, const LookupEntry*>> scored;
    for (std::size_t i = 0; i < region.instances.size(); ++i)
        scored.emplace_back(mixHashes(seed, region.hashes[i]), &region.instances[i]);
    std::sort(scored.begin(), scored.end());
    std::vector<const LookupEntry*> ranked;
    ranked.reserve(scored.size());
    for (const auto& [score, entry] : scored)
        ranked.push_back(entry);
    spreadOverDomains(ranked);
    for (std::size_t i = 0; i < std::min(ranked.size(), count); ++i)
        entries.push_back(*ranked[i]);
}

bool LookupPlan::isServing(const RegionId& region) const { return m_regions.count(region); }

}
