// Units of one budget at a holder: what can be spent until when, and how much to ask for.

#pragma once

#include "base/Time.h"
#include "budget/BudgetShare.h"
#include "budget/Messages.h"

#include <optional>
#include <vector>

namespace peridot {

/**
 * Totals never decrease while the process runs, so entries are not erased: the ledger takes the difference of two
 * totals as units spent.
 */
class HeldUnits {
public:
    /** Marks use at @p now. Returns true if the budget was idle before. */
    bool touch(TimePoint now) noexcept;
    void expire(TimePoint now);
    bool spend(Units);
    void refuse(Units units) noexcept { m_refusedTotal += units; }
    void add(Units, TimePoint expiry, TimePoint now);

    Units held() const noexcept;
    bool isLow() const noexcept { return held() < m_lowWaterMark; }
    bool isIdle(TimePoint now) const noexcept;
    void setIdle() noexcept { m_isInUse = false; }

    TimePoint refillAt() const noexcept { return m_refillAt; }
    void setRefillAt(TimePoint time) noexcept { m_refillAt = time; }
    /** True if the last grant was short and no demand since then could have shown otherwise. */
    bool isLedgerShort(TimePoint now) const noexcept { return now < m_refillAt + demandInterval; }

    /** Returns what a demand should say, or nothing. Gives back units that are not needed. */
    std::optional<BudgetDemandItem> report(const BudgetKey&, Duration roundTrip, TimePoint now);
    /** Gives everything back. */
    std::optional<BudgetDemandItem> release(const BudgetKey&, TimePoint now);

private:
    struct Lot {
        Units units = 0;
        TimePoint expiry {};
    };

    BudgetDemandItem item(const BudgetKey&, Units wanted);
    void estimate(Units used, TimePoint now);
    void giveBack(Units keep);

    std::vector<Lot> m_lots; // In order of expiry.
    Units m_spentTotal = 0;
    Units m_expiredTotal = 0;
    Units m_refusedTotal = 0;
    Units m_reportedSpent = 0; // Totals as of the last demand that named the budget.
    Units m_reportedExpired = 0;
    Units m_reportedRefused = 0;
    Units m_lowWaterMark = 1;
    double m_usePerSecond = 0; // Units asked for, smoothed.
    TimePoint m_estimatedAt {};
    TimePoint m_lastUse {};
    TimePoint m_refillAt {}; // When the next units are expected, if the last grant was short.
    bool m_isInUse = false;
};

}
