// Units that one instance holds of the budgets of one region's ledger. Requests are admitted against them.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "budget/BudgetShare.h"
#include "budget/Messages.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

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

    /** Spends @p units if that many can be spent now, or none. */
    SpendOutcome trySpend(const BudgetKey&, Units units, TimePoint now);

    /** Returns the demand to send now, if one is due. Its units expire 1 s after @p now, so send it without delay. */
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
    struct Lot {
        Units units = 0;
        TimePoint expiry {};
    };

    /** One budget in use. Lots are in order of expiry. */
    struct Entry {
        std::vector<Lot> lots;
        Units spentTotal = 0;
        Units expiredTotal = 0;
        Units refusedTotal = 0;
        Units reportedSpent = 0; // Totals as of the last demand that named the key.
        Units reportedRefused = 0;
        Units unmetUnits = 0; // Units of requests refused since the last demand.
        double usePerSecond = 0; // Units asked for, smoothed.
        TimePoint lastDemand {};
        TimePoint lastUse {};
        TimePoint refillAt {}; // As the ledger stated it.
        bool isQueued = false; // In the shard's list of keys in use.
    };

    struct KeyHash {
        std::size_t operator()(const BudgetKey&) const noexcept;
    };

    using EntryMap = std::unordered_map<BudgetKey, Entry, KeyHash>;

    struct alignas(64) Shard {
        std::mutex mutex;
        TimePoint latest {}; // Latest time of any call, so that a thread that was paused cannot spend expired units.
        EntryMap entries;
        std::vector<EntryMap::value_type*> inUse;
    };

    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(const BudgetKey&) noexcept;
    static Units spendable(const Entry&) noexcept;
    static void expire(Entry&, TimePoint now);
    bool isUnderLowWaterMark(const Entry&) const noexcept;
    void requestDemand(TimePoint at) noexcept;
    void collect(Shard&, BudgetDemand&, TimePoint now);

    const InstanceId m_self;
    const std::uint64_t m_incarnation;
    const RegionId m_ledgerRegion;
    EventLog& m_log;
    std::array<Shard, shardCount> m_shards;
    std::atomic<Duration::rep> m_dueAt; // Time at which the next demand is due.

    std::mutex m_demandMutex;
    std::uint64_t m_sequence = 0;
    bool m_isOpen = false; // The demand m_sequence waits for its grant.
    TimePoint m_sentAt {};
    Duration m_answerTimeout;
    std::uint64_t m_epoch = 0; // Highest epoch seen; grants with a lower one are dropped.
};

}
