// Content of a row `share/<workspace>`: the split of one workspace's rate and burst between the regions.

#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "budget/BudgetShare.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot {

/** Invariant: no share is negative, and the shares of all regions plus the remainder equal the total. */
struct ShareRow {
    std::uint64_t configurationVersion = 0; // The total is the one of this version, or of a later one with the same.
    BudgetShare total;
    BudgetShare remainder; // Assigned to no region.
    std::map<RegionId, BudgetShare> shares;
    std::map<RegionId, MilliRate> needs; // Rates that regions short of share ask for.
    std::map<RegionId, std::string> changes; // Id of the last change that each region wrote.

    BudgetShare shareOf(const RegionId&) const;
    /** Moves the difference to the region's share from the remainder or to it. */
    void setShare(const RegionId&, const BudgetShare&);
    void assertSums() const;
};

std::string toText(const ShareRow&);
Result<ShareRow> shareRowFromText(const std::string&);

/** An equal split between @p regions. */
ShareRow initialShareRow(const BudgetShare& total, std::uint64_t configurationVersion, const std::vector<RegionId>&);

/** What may be granted of @p share of a row whose total is @p from once the total has become @p to. */
BudgetShare scaledShare(const BudgetShare& share, const BudgetShare& from, const BudgetShare& to);

/** The row with its total changed: shares are scaled where the total falls; what it rises goes to the remainder. */
ShareRow withTotal(const ShareRow&, const BudgetShare& total, std::uint64_t configurationVersion);

/** The lower rate and the lower burst of two shares. */
BudgetShare lowerOf(const BudgetShare&, const BudgetShare&) noexcept;

}
