// What a ledger may grant of one budget, and the constants that holders and ledgers share.

#pragma once

#include "base/Time.h"
#include "budget/Messages.h"

#include <compare>
#include <cstdint>

namespace peridot {

/** Thousandths of a unit per second. Rates are integers so that the shares of all regions add up exactly. */
using MilliRate = std::int64_t;

struct BudgetShare {
    MilliRate rate = 0;
    Units burst = 0;

    auto operator<=>(const BudgetShare&) const = default;
};

/** Life of granted units at the holder, counted from the moment it sent the demand. */
constexpr Duration unitLifetime = std::chrono::seconds { 1 };

/** Interval of demands while there is use and the ledger is short of units. */
constexpr Duration demandInterval = std::chrono::milliseconds { 20 };

/** Interval of reports while the ledger grants all that is wanted. A key that runs low is asked for at once. */
constexpr Duration relaxedDemandInterval = std::chrono::milliseconds { 60 };

}
