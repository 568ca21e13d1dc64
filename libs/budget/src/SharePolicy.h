// How much share a region keeps and asks for, by its use.

#pragma once

#include "budget/BudgetShare.h"
#include "budget/RegionLedger.h"

#include <cstddef>

namespace peridot {

/** Rate that each region keeps without use, so that the first requests after a move find units. */
MilliRate floorRate(MilliRate totalRate, std::size_t regions) noexcept;

/** Burst share that goes with a rate share. Rate shares that add up to the total give burst shares within it. */
Units burstFor(MilliRate rate, const BudgetShare& total, std::size_t regions) noexcept;

/** Rate below which a region doesn't give share away. */
MilliRate rateToKeep(const BudgetUsage&, const BudgetShare& total, std::size_t regions) noexcept;

/** Rate that a region wants to have. */
MilliRate rateToAskFor(const BudgetUsage&, const BudgetShare& total, std::size_t regions) noexcept;

/** True if less than half of the burst share is left. */
bool isBurstLow(const BudgetUsage&, const BudgetShare& own) noexcept;

/** True if the region needs a higher rate than @p own. Demand above the share for a moment is what the burst is for. */
bool isShort(const BudgetUsage&, const BudgetShare& own, const BudgetShare& total, std::size_t regions) noexcept;

}
