// The rows `share/<workspace>`: how the rate and burst of each workspace are split between the regions.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "budget/BudgetShare.h"
#include "budget/RegionLedger.h"
#include "store/StoreTypes.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

std::string shareRowKey(const WorkspaceId&);

/** A region whose ledger must have stopped granting and whose units have all expired. */
struct LapsedRegion {
    RegionId region;
    RowVersion ledgerRowVersion = 0; // Version of its row `ledger/<region>` on which this statement rests.
};

/** What the caller knows at the time of a step. */
struct ShareInputs {
    bool isHeld = false; // LedgerLease::isHeld.
    std::uint64_t leaseTerm = 0; // LedgerLease::term.
    RowVersion leaseRowVersion = 0; // LedgerLease::confirmedRowVersion; without it nothing is written.
    bool mayWrite = false; // Rule W.
    std::vector<LapsedRegion> lapsedRegions;
};

/**
 * Moves share between regions. One instance runs beside the ledger of a region; it sets the shares of kind
 * workspaceRate at the ledger and writes only while the lease is held. Each commit has the lease row's version as a
 * condition, so that an instance that lost its lease cannot change shares.
 *
 * - The shares of all regions plus the remainder equal the rate and burst of the row.
 * - The ledger's share is never larger than the region's share in the row as last confirmed.
 * - To shrink, the ledger's bucket shrinks first, then the row is written. To grow, the row is written first.
 *
 * next() returns the store request to start, at most one at a time; completed() takes its result. Not thread-safe.
 */
class ShareTable {
public:
    ShareTable(RegionId self, std::vector<RegionId> regions, RegionLedger&, EventLog&);
    ~ShareTable();
    ShareTable(const ShareTable&) = delete;
    ShareTable& operator=(const ShareTable&) = delete;

    /** Tells the rate and burst of a workspace as of a configuration version. Call it with each new configuration. */
    void setWorkspace(const WorkspaceId&, const BudgetShare& total, std::uint64_t configurationVersion, TimePoint now);
    /** The workspace is gone: its units are no longer granted. The row is kept. */
    void removeWorkspace(const WorkspaceId&, TimePoint now);

    std::optional<StoreRequest> next(const ShareInputs&, TimePoint now);
    void completed(const StoreResult&, TimePoint now);

    /** Returns the share in force at the ledger, or zero. */
    BudgetShare share(const WorkspaceId&) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
