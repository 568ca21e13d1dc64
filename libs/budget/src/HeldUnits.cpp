// Spending in order of expiry, the estimate of use, and the amount to ask for.

#include "HeldUnits.h"

#include "budget/BudgetShare.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    /** Time constant of the estimate of use. */
    constexpr double estimateSeconds = 0.2;
    /** A budget that was not used for this long is given back and dropped from the demands. */
    constexpr Duration idleAfter = std::chrono::seconds { 2 };
    /** Units this close to their expiry are given back: the ledger can reuse them only if it hears of them in time. */
    constexpr Duration giveBackBefore = std::chrono::milliseconds { 60 };

    /** Units that cover the use until the answer to the next demand, with a margin of four standard deviations. */
    Units targetFor(double usePerSecond, Duration roundTrip)
    {
        const auto mean = usePerSecond * toSeconds(demandInterval + roundTrip);
        return std::max<Units>(1, static_cast<Units>(std::ceil(mean + 4 * std::sqrt(mean))));
    }

}

bool HeldUnits::touch(TimePoint now) noexcept
{
    if (m_estimatedAt == TimePoint {})
        m_estimatedAt = now;
    m_lastUse = now;
    return !std::exchange(m_isInUse, true);
}

bool HeldUnits::isIdle(TimePoint now) const noexcept { return m_lastUse + idleAfter <= now; }

Units HeldUnits::held() const noexcept
{
    Units units = 0;
    for (const auto& lot : m_lots)
        units += lot.units;
    return units;
}

void HeldUnits::expire(TimePoint now)
{
    auto it = m_lots.begin();
    for (; it != m_lots.end() && it->expiry <= now; ++it)
        m_expiredTotal += it->units;
    m_lots.erase(m_lots.begin(), it);
}

bool HeldUnits::spend(Units units)
{
    if (held() < units)
        return false;
    m_spentTotal += units;
    auto it = m_lots.begin();
    for (; it != m_lots.end() && it->units <= units; ++it)
        units -= it->units;
    if (units > 0)
        it->units -= units;
    m_lots.erase(m_lots.begin(), it);
    return true;
}

void HeldUnits::add(Units units, TimePoint expiry, TimePoint now)
{
    if (expiry <= now)
        m_expiredTotal += units;
    else
        m_lots.push_back({ units, expiry });
}

/** Destroys units in order of expiry until at most @p keep are left. */
void HeldUnits::giveBack(Units keep)
{
    auto excess = std::max<Units>(0, held() - keep);
    m_expiredTotal += excess;
    auto it = m_lots.begin();
    for (; it != m_lots.end() && it->units <= excess; ++it)
        excess -= it->units;
    if (excess > 0)
        it->units -= excess;
    m_lots.erase(m_lots.begin(), it);
}

void HeldUnits::estimate(Units used, TimePoint now)
{
    const auto elapsed = std::max(toSeconds(now - m_estimatedAt), 0.001);
    const auto weight = std::exp(-elapsed / estimateSeconds);
    m_usePerSecond = m_usePerSecond * weight + (1 - weight) * static_cast<double>(used) / elapsed;
    m_estimatedAt = now;
}

std::optional<BudgetDemandItem> HeldUnits::report(const BudgetKey& key, Duration roundTrip, TimePoint now)
{
    const auto refused = m_refusedTotal - m_reportedRefused;
    const auto used = m_spentTotal - m_reportedSpent + refused;
    estimate(used, now);
    expire(now + giveBackBefore);
    const auto target = isIdle(now) ? 0 : targetFor(m_usePerSecond, roundTrip);
    m_lowWaterMark = std::max<Units>(1, target / 2);
    if (held() > 2 * target + 2 || target == 0)
        giveBack(target);

    const auto wanted = std::max<Units>(0, target + refused - held());
    const bool asks = wanted > 0 && m_refillAt <= now;
    if (used == 0 && m_expiredTotal == m_reportedExpired && !asks)
        return std::nullopt;
    return item(key, wanted);
}

std::optional<BudgetDemandItem> HeldUnits::release(const BudgetKey& key, TimePoint now)
{
    expire(now);
    giveBack(0);
    if (m_spentTotal == m_reportedSpent && m_expiredTotal == m_reportedExpired)
        return std::nullopt;
    return item(key, 0);
}

BudgetDemandItem HeldUnits::item(const BudgetKey& key, Units wanted)
{
    m_reportedSpent = m_spentTotal;
    m_reportedExpired = m_expiredTotal;
    m_reportedRefused = m_refusedTotal;
    return { key, m_spentTotal, m_expiredTotal, held(), wanted, m_refusedTotal };
}

}
