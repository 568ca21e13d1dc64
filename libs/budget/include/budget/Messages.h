// Messages between the holders of budget units and the ledger of their region. Messages move or destroy units; none
// creates them.

#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

/** Whole units of a budget: requests for rates, spill and shifts, kilobytes for links. */
using Units = std::int64_t;

enum class BudgetKind {
    WorkspaceRate,
    SpillIn,
    Link,
    ShiftIn,
};

template <>
inline constexpr EnumNameTable<BudgetKind, 4> enumNames<BudgetKind> { {
    { BudgetKind::WorkspaceRate, "workspace_rate" },
    { BudgetKind::SpillIn, "spill_in" },
    { BudgetKind::Link, "link" },
    { BudgetKind::ShiftIn, "shift_in" },
} };

/** Names one budget. The subject is a workspace, a service, a region pair "from>to" or a home region, by kind. */
struct BudgetKey {
    BudgetKind kind = BudgetKind::WorkspaceRate;
    std::string subject;

    auto operator<=>(const BudgetKey&) const = default;
};

struct BudgetDemandItem {
    BudgetKey key;
    Units spentTotal = 0; // Spent since the holder started (its incarnation), not since the last demand.
    Units expiredTotal = 0; // Units that the holder let expire or gave back since it started; no longer spendable.
    Units held = 0; // Spendable now.
    Units wanted = 0;
    Units refusedTotal = 0; // Units of requests refused for want of units since the holder started.
};

struct BudgetDemand {
    InstanceId holder;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; // Rises by one with each demand of an incarnation.
    std::vector<BudgetDemandItem> items;
};

struct BudgetGrantItem {
    BudgetKey key;
    Units granted = 0;
    Duration validity { 0 }; // Counted by the holder from the moment it sent the demand.
    Duration refillTime { 0 }; // When the next units are expected; 0 if all wanted units were granted.
};

/** Answers one demand. The holder takes it only if incarnation and sequence match an open demand. */
struct BudgetGrant {
    RegionId region;
    std::uint64_t epoch = 0; // Lease epoch of the ledger; holders refuse an epoch lower than one they have seen.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<BudgetGrantItem> items;
};

}
