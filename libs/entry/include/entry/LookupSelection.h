// Selects the entry instances that a lookup answer names.

#pragma once

#include "base/Ids.h"
#include "membership/Messages.h"

#include <set>
#include <string>
#include <vector>

namespace peridot {

/**
 * Returns the callers' addresses of the instances for a caller in @p callerRegion: those of its region. If there are
 * none, those in the home regions @p homes of the host, because bodies of requests with homes may be sent to the
 * caller's region or a home only; and all instances if there are none there either, or no homes.
 */
std::vector<std::string> selectForLookup(
    const std::vector<MemberInfo>& ready, const RegionId& callerRegion, const std::set<RegionId>& homes);

}
