// The budget units that this instance holds, by the region whose ledger grants them.

#pragma once

#include "base/EventLog.h"
#include "budget/BudgetHolder.h"

#include <map>
#include <memory>
#include <vector>

namespace peridot {

/** Thread-safe; the set of regions is fixed. */
class BudgetHolders {
public:
    BudgetHolders(
        const InstanceId& self, std::uint64_t incarnation, const std::vector<RegionId>& regions, EventLog& log)
    {
        for (const auto& region : regions)
            m_holders.emplace(region, std::make_unique<BudgetHolder>(self, incarnation, region, log));
    }

    /** Null for a region that the settings don't name. */
    BudgetHolder* find(const RegionId& region) const
    {
        auto it = m_holders.find(region);
        return it == m_holders.end() ? nullptr : it->second.get();
    }

    const std::map<RegionId, std::unique_ptr<BudgetHolder>>& all() const noexcept { return m_holders; }

private:
    std::map<RegionId, std::unique_ptr<BudgetHolder>> m_holders;
};

}
