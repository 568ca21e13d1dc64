#include "membership/RelayRank.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace peridot {

namespace {

    std::uint64_t weight(const FailureDomainId& domain, const InstanceId& id)
    {
        const auto seed = XXH3_64bits(domain.value().data(), domain.value().size());
        return XXH3_64bits_withSeed(id.value().data(), id.value().size(), seed);
    }

}

std::vector<InstanceId> rankMembers(const LiveView& view, const FailureDomainId& id)
{
    const auto* domain = view.findDomain(id);
    if (!domain)
        return {};
    struct Ranked {
        bool isLeaving;
        std::uint64_t weight;
        const InstanceId* id;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(domain->members.size());
    for (const auto& [member, info] : domain->members)
        ranked.push_back({ info.state == InstanceState::Leaving, weight(id, member), &member });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        return std::tie(a.isLeaving, b.weight, *a.id) < std::tie(b.isLeaving, a.weight, *b.id);
    });
    std::vector<InstanceId> result;
    result.reserve(ranked.size());
    for (const auto& item : ranked)
        result.push_back(*item.id);
    return result;
}

std::vector<InstanceId> relaysOf(const LiveView& view, const FailureDomainId& id, const SilentRelays& silent)
{
    auto result = rankMembers(view, id);
    std::erase_if(result, [&](const InstanceId& member) { return silent.contains(member); });
    if (result.size() > relaysPerDomain)
        result.resize(relaysPerDomain);
    return result;
}

}
