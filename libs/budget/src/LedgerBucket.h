// Token bucket of one budget at the ledger of a region, with the units outstanding at each holder.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "budget/BudgetShare.h"
#include "budget/RegionLedger.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace peridot {

/** Events per second over the last two or eight seconds. */
class SlidingRate {
public:
    static constexpr std::size_t s_shortSlots = 8;
    static constexpr std::size_t s_longSlots = 32;
    static constexpr Duration s_slot = std::chrono::milliseconds { 250 };

    void add(Units, TimePoint now);
    double perSecond(std::size_t slots, TimePoint now);

private:
    void advance(TimePoint now);

    std::array<std::int32_t, s_longSlots + 1> m_sums {}; // The newest slot is partial; the oldest is counted in part.
    std::int64_t m_newest = 0;
};

class LedgerBucket {
public:
    /** Tokens in billionths of a unit: one milli-unit per second times one microsecond, so that refill is exact. */
    using NanoUnits = std::int64_t;
    static constexpr NanoUnits s_nanoPerUnit = 1'000'000'000;

    explicit LedgerBucket(TimePoint refillFrom);

    void setShare(const BudgetShare&, TimePoint now);
    void rampShare(const BudgetShare&, Duration ramp, TimePoint now);
    const BudgetShare& share() const noexcept { return m_share; }
    MilliRate rateAt(TimePoint) const noexcept;
    Units boundBurst() const noexcept { return m_boundBurst; }

    /** Forgets tokens and outstanding units and refills from @p refillFrom on. */
    void reset(TimePoint refillFrom);
    /** Takes over a balance from a previous ledger. */
    void restore(NanoUnits tokens, Units outstanding, TimePoint expiry);
    /** Refills and drops outstanding units that have expired. */
    void advance(TimePoint now);

    /**
     * Takes what a demand says about earlier grants. Units neither spent nor held return to the bucket. Returns false
     * if the demand has named this budget before: `held` says nothing about what this same demand was granted.
     */
    bool report(const InstanceId&, std::uint64_t sequence, const BudgetDemandItem&, DemandOrigin, TimePoint now);
    /** Grants up to @p wanted units. A holder that wants more than there is gets a part in proportion. */
    BudgetGrantItem grant(const InstanceId&, const BudgetDemandItem&, TimePoint now);
    /** A new process runs under this name: what the old one had stays outstanding until it expires. */
    void forgetHolder(const InstanceId&);

    BudgetUsage usage(TimePoint now);
    NanoUnits nanoTokens() const noexcept { return m_nanoTokens; }
    Units outstanding() const noexcept { return m_outstanding; }
    /** True if nothing is outstanding and no holder asked recently. */
    bool isIdle(TimePoint now) const noexcept;

private:
    struct Lot {
        Units units = 0;
        TimePoint expiry {};
    };

    struct HolderEntry {
        std::vector<std::uint64_t> lots; // Numbers of lots, oldest first.
        bool hasReported = false;
        std::uint64_t sequence = 0; // Of the last demand that named this budget.
        Units spentTotal = 0;
        Units refusedTotal = 0;
        Units wanted = 0;
        TimePoint lastDemand {};
        double entitlement = 0; // m_entitlement at the last demand.
        double credit = 0; // Units due to this holder while there is less than all want; may be one unit ahead.
    };

    NanoUnits refillBetween(TimePoint from, TimePoint to, NanoUnits room) const noexcept;
    void refillTo(TimePoint);
    void addTokens(NanoUnits);
    void settle();
    Units allowance(HolderEntry&, Units wanted);
    Duration refillTime(const HolderEntry&, Units missing, TimePoint now) const;
    void sweepHolders(TimePoint now);

    BudgetShare m_share;
    MilliRate m_rampFrom = 0;
    TimePoint m_rampStart {};
    Duration m_ramp { 0 };

    // Invariant: m_nanoTokens + m_outstanding * s_nanoPerUnit <= m_boundBurst * s_nanoPerUnit.
    // m_boundBurst is the burst share, or the outstanding units if these exceed it after the share was reduced.
    NanoUnits m_nanoTokens = 0;
    Units m_outstanding = 0;
    Units m_boundBurst = 0;
    TimePoint m_refilledTo;

    std::deque<Lot> m_lots; // Granted units, in order of expiry. The first has the number m_firstLot.
    std::uint64_t m_firstLot = 0;
    std::map<InstanceId, HolderEntry> m_holders;
    Units m_totalWanted = 0; // Sum of wanted over m_holders.
    double m_entitlement = 0; // Units refilled for each unit wanted, since the bucket was created.
    TimePoint m_nextSweep {};

    SlidingRate m_spent;
    SlidingRate m_refused;
    Units m_refusedTotal = 0;
};

}
