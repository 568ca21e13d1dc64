// Margins of the shares. In steady demand at 90% of the rate, what all regions keep must fit into the rate; otherwise a
// region with too small a share is refused for ever. With three regions that is 90% + 2% + 3 x 1% + noise margin.

#include "SharePolicy.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    constexpr double floorPart = 0.03; // Of the rate, over all regions.
    constexpr double burstFloorPart = 0.12; // Of the burst, over all regions.
    constexpr double keepMargin = 0.02;
    constexpr double askMargin = 0.06;
    /** A region is short above this part of its share. */
    constexpr double shortAbove = 0.92;

    MilliRate toMilliRate(double perSecond) noexcept
    {
        return static_cast<MilliRate>(std::ceil(std::min(perSecond, 1e12) * 1000));
    }

    /** A region that runs out of burst counts its recent demand, even if the rise could be chance. */
    double demandWhenShort(const BudgetUsage& usage) noexcept
    {
        return std::max(usage.demandPerSecond, usage.recentDemandPerSecond);
    }

}

MilliRate floorRate(MilliRate totalRate, std::size_t regions) noexcept
{
    return static_cast<MilliRate>(static_cast<double>(totalRate) * floorPart / static_cast<double>(regions));
}

Units burstFor(MilliRate rate, const BudgetShare& total, std::size_t regions) noexcept
{
    const auto n = static_cast<Units>(regions);
    const auto floor = total.burst < n
        ? 0
        : std::max<Units>(1, static_cast<Units>(static_cast<double>(total.burst) * burstFloorPart) / n);
    if (total.rate <= 0)
        return floor;
    const auto part = static_cast<double>(rate) / static_cast<double>(total.rate);
    return floor + static_cast<Units>(static_cast<double>(total.burst - n * floor) * std::min(part, 1.0));
}

MilliRate rateToKeep(const BudgetUsage& usage, const BudgetShare& total, std::size_t regions) noexcept
{
    const auto rate = toMilliRate(usage.demandPerSecond * (1 + keepMargin) + usage.demandDeviation)
        + floorRate(total.rate, regions);
    return std::min(rate, total.rate);
}

MilliRate rateToAskFor(const BudgetUsage& usage, const BudgetShare& total, std::size_t regions) noexcept
{
    const auto rate = toMilliRate(demandWhenShort(usage) * (1 + askMargin) + 2 * usage.demandDeviation)
        + floorRate(total.rate, regions);
    return std::min(rate, total.rate);
}

bool isBurstLow(const BudgetUsage& usage, const BudgetShare& own) noexcept
{
    return (usage.tokens + usage.outstanding) * 2 < own.burst;
}

bool isShort(const BudgetUsage& usage, const BudgetShare& own, const BudgetShare& total, std::size_t regions) noexcept
{
    if (own.rate < floorRate(total.rate, regions))
        return true;
    return isBurstLow(usage, own) && demandWhenShort(usage) * 1000 > static_cast<double>(own.rate) * shortAbove;
}

}
