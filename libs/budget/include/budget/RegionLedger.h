// The ledger of one region: grants units of each budget to the holders of the region out of a token bucket.

#pragma once

#include "base/Error.h"
#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "budget/BudgetShare.h"
#include "budget/Messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridot {

class LedgerBucket;

/** Where a holder is. Demand of other regions is served, but does not hold share in this region. */
enum class DemandOrigin {
    OwnRegion,
    OtherRegion,
};

/** Use of one budget in this region, for decisions on moving share. */
struct BudgetUsage {
    double demandPerSecond = 0; // Units spent plus units refused, over 8 s, or over 2 s after a change.
    double recentDemandPerSecond = 0; // Over 2 s.
    double demandDeviation = 0; // Standard deviation of demandPerSecond for independent requests.
    double spentPerSecond = 0; // Units spent, over the same time.
    Units refusedTotal = 0; // Refusals reported by holders since the ledger was created.
    Units tokens = 0;
    Units outstanding = 0;
};

/** State of one budget for a planned handover. */
struct LedgerSnapshotItem {
    BudgetKey key;
    std::int64_t nanoTokens = 0;
    Units outstanding = 0;
};

struct LedgerSnapshot {
    std::vector<LedgerSnapshotItem> items;
};

/** The text form of a snapshot for the lease row. */
std::string toText(const LedgerSnapshot&);
Result<LedgerSnapshot> ledgerSnapshotFromText(const std::string&);

/**
 * Grants units out of one token bucket per budget. For each bucket, tokens + outstanding <= burst share at all times,
 * where outstanding units are those granted and not yet reported spent, reported given back or expired by this clock.
 * Together with expiry at the holder it follows that the units spent in any window of length w are at most
 * rate * w + burst.
 *
 * Buckets refill at rate / 1.01, so that a clock that is 1% fast keeps within the rate, and start without tokens.
 *
 * Not thread-safe. The caller answers demands only while its lease is held.
 */
class RegionLedger {
public:
    RegionLedger(RegionId, EventLog&);
    ~RegionLedger();
    RegionLedger(const RegionLedger&) = delete;
    RegionLedger& operator=(const RegionLedger&) = delete;

    /**
     * Sets what the region may grant. Cheap; may be called at any time, before or after activation. A smaller rate
     * holds at once. A smaller burst destroys tokens at once; see boundBurst for units that holders still have.
     */
    void setShare(const BudgetKey&, const BudgetShare&, TimePoint now);
    /** Sets a share whose rate rises or falls linearly from the present rate to @p share over @p ramp (shiftIn). */
    void rampShare(const BudgetKey&, const BudgetShare& share, Duration ramp, TimePoint now);
    /** Stops granting. The state is kept until all outstanding units have expired. */
    void removeShare(const BudgetKey&, TimePoint now);

    /** Returns the share that was last set, or zero. */
    BudgetShare share(const BudgetKey&) const;
    /**
     * Returns the most units that can be spent from now on beyond the refill: the burst share, or more while units
     * outstanding from a larger share have not been spent, given back or expired.
     */
    Units boundBurst(const BudgetKey&, TimePoint now);

    /** Starts granting at @p grantsFrom under lease epoch @p epoch. Buckets refill from then on. */
    void activate(std::uint64_t epoch, TimePoint grantsFrom, TimePoint now);
    /** Stops granting and forgets all balances and shares. */
    void deactivate();
    bool isActive(TimePoint now) const noexcept;
    std::uint64_t epoch() const noexcept { return m_epoch; }

    /** Answers a demand. Inactive ledgers grant nothing; a repeated demand gets the same answer again. */
    BudgetGrant answer(const BudgetDemand&, TimePoint now, DemandOrigin = DemandOrigin::OwnRegion);

    BudgetUsage usage(const BudgetKey&, TimePoint now);

    /** Takes the balances for a planned handover. The caller must not answer demands afterwards. */
    LedgerSnapshot snapshot(TimePoint now);
    /**
     * Takes over balances from a previous ledger. Call it after activate, with the shares set or not; outstanding
     * units count until they must have expired.
     */
    void restore(const LedgerSnapshot&, TimePoint now);

private:
    /** The newest demand of a holder and its answer. */
    struct HolderState {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastDemand {};
        std::vector<BudgetGrantItem> answer;
    };

    LedgerBucket& bucket(const BudgetKey&, TimePoint now);
    LedgerBucket* findBucket(const BudgetKey&, TimePoint now);
    void answerItem(const BudgetDemand&, const BudgetDemandItem&, DemandOrigin, TimePoint now, BudgetGrant&);
    void sweep(TimePoint now);

    RegionId m_region;
    EventLog& m_log;
    bool m_isActive = false;
    std::uint64_t m_epoch = 0;
    TimePoint m_grantsFrom {};
    TimePoint m_nextSweep {};
    std::map<BudgetKey, std::unique_ptr<LedgerBucket>> m_buckets;
    std::set<BudgetKey> m_removed; // Buckets to be dropped when nothing is outstanding.
    std::map<InstanceId, HolderState> m_holders;
    std::map<BudgetKey, LedgerSnapshotItem> m_inherited; // Restored balances whose share has not been set yet.
    TimePoint m_inheritedExpiry {};
};

}
