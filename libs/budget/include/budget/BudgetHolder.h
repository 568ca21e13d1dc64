// Units that one instance holds of the budgets of one region's ledger. Requests are admitted against them.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "budget/BudgetShare.h"
#include "budget/Messages.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace peridot {

struct SpendOutcome {
    bool isSpent = false;
    Duration retryAfter { 0 }; // If refused: when units may come.
    bool isDemandDue = false; // nextDemand should be called now instead of at the next tick.
};

/**
 * Holds units of the budgets of one region's ledger. An instance has one holder for its own region, and one for each
 * region whose spillIn or shiftIn units it uses.
 *
 * Units can be spent until 1 s after the demand that brought them was sent; this is checked when they are spent. At
 * most one demand is open: a new demand closes the previous one, whose grant is then dropped. This lets the ledger
 * take `held` of the newest demand as all that the holder has of earlier grants.
 *
 * Thread-safe: one lock per shard of keys, and one for demands and grants, which is taken first.
 */
class BudgetHolder {
public:
    BudgetHolder(InstanceId self, std::uint64_t incarnation, RegionId ledgerRegion, EventLog&);
    ~BudgetHolder();
    BudgetHolder(const BudgetHolder&) = delete;
    BudgetHolder& operator=(const BudgetHolder&) = delete;

    /** Spends @p units if that many can be spent now, or none. */
    SpendOutcome trySpend(const BudgetKey&, Units units, TimePoint now);

    /**
     * Returns the demand to send now, if one is due. Its units expire 1 s after @p now, so send it without delay. Call
     * it at least every 10 ms, and at once when SpendOutcome::isDemandDue says so and after accept.
     */
    std::optional<BudgetDemand> nextDemand(TimePoint now);
    /** True if nextDemand would probably return a demand. */
    bool isDemandDue(TimePoint now) const noexcept;

    /** Takes a grant. Returns false if it was dropped because it answers no open demand or is from an older epoch. */
    bool accept(const BudgetGrant&, TimePoint now);

    /** Gives everything back; the returned demand tells the ledger. Empty if nothing was held or to be reported. */
    std::optional<BudgetDemand> releaseAll(TimePoint now);

    /** Units that can be spent now. */
    Units held(const BudgetKey&, TimePoint now);

    const RegionId& ledgerRegion() const noexcept { return m_ledgerRegion; }

private:
    struct Shard;

    Shard& shardOf(const BudgetKey&) noexcept;
    void demandBy(TimePoint) noexcept;
    TimePoint nextCollection() const noexcept;
    bool collect(Shard&, BudgetDemand&, bool isEarly, TimePoint now);
    void open(const BudgetDemand&, TimePoint now);
    void takeItem(const BudgetGrantItem&, TimePoint now);

    const InstanceId m_self;
    const std::uint64_t m_incarnation;
    const RegionId m_ledgerRegion;
    EventLog& m_log;
    const std::unique_ptr<Shard[]> m_shards;
    std::atomic<TimePoint> m_dueAt { TimePoint::max() }; // When the next demand is due, unless one is open.
    std::atomic<TimePoint> m_openUntil { TimePoint::min() }; // The open demand is given up at this time.
    std::atomic<TimePoint> m_collectedAt { TimePoint {} }; // When all keys were last looked at for a demand.
    std::atomic<Duration> m_interval { demandInterval };
    std::atomic<Duration> m_roundTrip; // Smoothed time from a demand to its grant.

    std::mutex m_demandMutex;
    std::uint64_t m_sequence = 0;
    bool m_isOpen = false; // The demand m_sequence waits for its grant.
    TimePoint m_sentAt {}; // Of the open demand.
    std::uint64_t m_epoch = 0; // Highest epoch seen; grants with a lower one are dropped.
};

}
