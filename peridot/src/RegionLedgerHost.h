// Runs the budget ledger of the own region while this instance holds the lease: lease, ledger, shares and the budgets
// whose size follows from capacity.

#pragma once

#include "StoreCallTable.h"
#include "base/EventLog.h"
#include "budget/LedgerLease.h"
#include "budget/RegionLedger.h"
#include "budget/ShareTable.h"
#include "config/Configuration.h"
#include "membership/Membership.h"
#include "peridot/Node.h"
#include "routing/ShiftRamp.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridot {

/** Capacity of one service in the own region, from which the ledger derives what other regions may use. */
struct RegionCapacity {
    ServiceId service;
    double freeSlots = 0;
    double slots = 0;
    double meanSeconds = 0.03; // That a request takes.
};

/** Not thread-safe; belongs to the control plane. */
class RegionLedgerHost {
public:
    RegionLedgerHost(const NodeSettings&, Membership&, StoreCallTable&, EventLog&);

    void setConfiguration(const Configuration&, TimePoint now);
    void setCapacity(std::vector<RegionCapacity>, double requestsPerLookup);

    Actions tick(TimePoint now);
    Actions leaseCompleted(const StoreResult&, TimePoint now);
    Actions sharesCompleted(const StoreResult&, TimePoint now);
    Actions lapsedRegionsCompleted(const StoreResult&, TimePoint readStart, TimePoint now);

    /** Empty if this instance doesn't run the ledger. */
    std::optional<BudgetGrant> answer(const BudgetDemand&, TimePoint now);

    /** Stops granting and hands the lease over. */
    void leave(TimePoint now);
    /** True after leave() once the lease, if it was held, has been handed over. */
    bool hasLeft() const noexcept;

    /** Lease epoch if this instance runs the ledger, else 0. */
    std::uint64_t epoch(TimePoint now) const noexcept;
    BudgetShare share(const WorkspaceId& workspace) const { return m_shares.share(workspace); }
    BudgetUsage usage(const BudgetKey& key, TimePoint now) { return m_ledger.usage(key, now); }

private:
    struct WatchedRegion {
        RowVersion version = 0;
        TimePoint unchangedSince {}; // Start of the first read that showed this version.
        TimePoint lastRead {};
    };

    bool isCandidate() const;
    bool hasLiveMembers(const RegionId&) const;
    void followLease(TimePoint now);
    void updateCapacityBudgets(TimePoint now);
    void updateShiftBudgets(TimePoint now);
    void watchLostRegions(TimePoint now, Actions&);
    void announce(Actions&);
    std::vector<LapsedRegion> lapsedRegions() const;

    const NodeSettings& m_settings;
    Membership& m_membership;
    StoreCallTable& m_calls;
    EventLog& m_log;
    RegionLedger m_ledger;
    LedgerLease m_lease;
    ShareTable m_shares;
    ShiftRamp m_shiftRamp { ShiftRampOptions {} };
    std::map<WorkspaceId, BudgetShare> m_workspaces;
    std::vector<RegionCapacity> m_capacity;
    double m_requestsPerLookup = 1;
    std::uint64_t m_activeTerm = 0; // Of the lease under which the ledger is active; 0 if it is not.
    bool m_isLeaving = false;
    bool m_isAnnouncementDue = false; // The ledger has started; the region's instances don't know yet.
    bool m_isHandingOver = false; // Held the lease when it left.
    TimePoint m_nextCapacityUpdate {};
    TimePoint m_nextWatch {};
    std::map<RegionId, WatchedRegion> m_watched; // Regions without live members.
};

}
