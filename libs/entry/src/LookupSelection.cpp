#include "entry/LookupSelection.h"

namespace peridot {

std::vector<std::string> selectForLookup(
    const std::vector<MemberInfo>& ready, const RegionId& callerRegion, const std::set<RegionId>& homes)
{
    const auto addressesIn = [&](const auto& isWanted) {
        std::vector<std::string> addresses;
        for (const auto& member : ready) {
            if (isWanted(member.region))
                addresses.push_back(member.callerAddress);
        }
        return addresses;
    };
    if (auto local = addressesIn([&](const RegionId& region) { return region == callerRegion; }); !local.empty())
        return local;
    if (auto home = addressesIn([&](const RegionId& region) { return homes.contains(region); }); !home.empty())
        return home;
    return addressesIn([](const RegionId&) { return true; });
}

}
