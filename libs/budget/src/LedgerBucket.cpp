// Balance of one bucket. Every change either refills by the rate, moves units between tokens and outstanding, or
// destroys them.

#include "LedgerBucket.h"

#include "base/Assert.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    /** Keeps burst * s_nanoPerUnit within 64 bits. */
    constexpr Units largestBurst = 4'000'000'000;
    constexpr MilliRate largestRate = 4'000'000'000'000;
    /** A holder that has not asked for this long no longer counts as wanting units. */
    constexpr Duration wantLifetime = std::chrono::milliseconds { 100 };
    /** Holders are forgotten when all that they were granted has expired. */
    constexpr Duration holderLifetime = withDrift(unitLifetime) * 2;
    constexpr Duration longestRefillTime = unitLifetime;

    BudgetShare clamped(const BudgetShare& share)
    {
        return { std::clamp<MilliRate>(share.rate, 0, largestRate), std::clamp<Units>(share.burst, 0, largestBurst) };
    }

}

void SlidingRate::advance(TimePoint now)
{
    const auto slot = now.time_since_epoch() / s_slot;
    if (slot <= m_newest)
        return;
    const auto steps = std::min<std::int64_t>(slot - m_newest, static_cast<std::int64_t>(m_sums.size()));
    for (std::int64_t i = 1; i <= steps; ++i)
        m_sums[static_cast<std::size_t>(slot - steps + i) % m_sums.size()] = 0;
    m_newest = slot;
}

void SlidingRate::add(Units n, TimePoint now)
{
    advance(now);
    auto& sum = m_sums[static_cast<std::size_t>(m_newest) % m_sums.size()];
    sum = static_cast<std::int32_t>(std::min<Units>(sum + n, INT32_MAX));
}

double SlidingRate::perSecond(std::size_t slots, TimePoint now)
{
    advance(now);
    const auto intoSlot = toSeconds(now.time_since_epoch() % s_slot) / toSeconds(s_slot);
    double sum = 0;
    for (std::size_t age = 0; age <= slots; ++age) {
        const auto slot = static_cast<std::size_t>(m_newest) + m_sums.size() - age;
        sum += m_sums[slot % m_sums.size()] * (age == slots ? 1 - intoSlot : 1.0);
    }
    return sum / (toSeconds(s_slot) * static_cast<double>(slots));
}

LedgerBucket::LedgerBucket(TimePoint refillFrom)
    : m_refilledTo(refillFrom)
{
}

void LedgerBucket::setShare(const BudgetShare& share, TimePoint now) { rampShare(share, Duration { 0 }, now); }

void LedgerBucket::rampShare(const BudgetShare& requested, Duration ramp, TimePoint now)
{
    const auto share = clamped(requested);
    const bool isRamping = m_ramp.count() > 0 && now < m_rampStart + m_ramp;
    if (share == m_share && (ramp.count() > 0 || !isRamping))
        return;
    advance(now);
    m_rampFrom = rateAt(now);
    m_rampStart = now;
    m_ramp = ramp;
    m_share = share;
    settle();
}

MilliRate LedgerBucket::rateAt(TimePoint time) const noexcept
{
    if (m_ramp.count() == 0 || time >= m_rampStart + m_ramp)
        return m_share.rate;
    const auto elapsed = std::max<Duration::rep>(0, (time - m_rampStart).count());
    const auto part = static_cast<double>(elapsed) / static_cast<double>(m_ramp.count());
    return m_rampFrom + static_cast<MilliRate>(static_cast<double>(m_share.rate - m_rampFrom) * part);
}

/** Returns the refill between two times, at most @p room. The rate is reduced by the largest clock drift. */
LedgerBucket::NanoUnits LedgerBucket::refillBetween(TimePoint from, TimePoint to, NanoUnits room) const noexcept
{
    const auto rampEnd = m_rampStart + m_ramp;
    if (from < rampEnd && to > rampEnd) {
        const auto first = refillBetween(from, rampEnd, room);
        return first + refillBetween(rampEnd, to, room - first);
    }
    const auto rate = (rateAt(from) + rateAt(to)) / 2 * 100 / (100 + maximumClockDriftPercent);
    if (rate <= 0 || room <= 0)
        return 0;
    const auto elapsed = (to - from).count();
    return elapsed > room / rate ? room : std::min(room, rate * elapsed);
}

void LedgerBucket::addTokens(NanoUnits amount)
{
    const auto room = (m_share.burst - m_outstanding) * s_nanoPerUnit - m_nanoTokens;
    m_nanoTokens += std::clamp<NanoUnits>(amount, 0, std::max<NanoUnits>(room, 0));
}

void LedgerBucket::settle()
{
    const auto room = std::max<Units>(0, m_share.burst - m_outstanding);
    m_nanoTokens = std::min(m_nanoTokens, room * s_nanoPerUnit);
    m_boundBurst = std::max(m_share.burst, m_outstanding);
    PERIDOT_ASSERT(m_outstanding >= 0 && m_nanoTokens >= 0, "a bucket has a negative balance");
    PERIDOT_ASSERT(m_nanoTokens + m_outstanding * s_nanoPerUnit <= m_boundBurst * s_nanoPerUnit,
        "tokens and outstanding units exceed the burst share");
}

void LedgerBucket::reset(TimePoint refillFrom)
{
    m_nanoTokens = 0;
    m_outstanding = 0;
    m_firstLot += m_lots.size();
    m_lots.clear();
    m_holders.clear();
    m_totalWanted = 0;
    m_refilledTo = refillFrom;
    settle();
}

void LedgerBucket::restore(NanoUnits tokens, Units outstanding, TimePoint expiry)
{
    PERIDOT_ASSERT(m_lots.empty(), "a balance is restored into a bucket that has granted units");
    if (outstanding > 0) {
        m_outstanding += outstanding;
        m_lots.push_back({ outstanding, expiry });
    }
    m_nanoTokens = std::max<NanoUnits>(0, tokens);
    settle();
}

void LedgerBucket::advance(TimePoint now)
{
    while (!m_lots.empty() && m_lots.front().expiry <= now) {
        refillTo(m_lots.front().expiry);
        m_outstanding -= m_lots.front().units;
        m_lots.pop_front();
        ++m_firstLot;
    }
    refillTo(now);
    settle();
}

/** Refills up to the burst share less the units that were outstanding in that time. */
void LedgerBucket::refillTo(TimePoint time)
{
    if (time <= m_refilledTo)
        return;
    const auto room = (m_share.burst - m_outstanding) * s_nanoPerUnit - m_nanoTokens;
    const auto amount = refillBetween(m_refilledTo, time, room);
    addTokens(amount);
    m_refilledTo = time;
    if (m_totalWanted > 0)
        m_entitlement += static_cast<double>(amount) / s_nanoPerUnit / static_cast<double>(m_totalWanted);
}

bool LedgerBucket::report(
    const InstanceId& id, std::uint64_t sequence, const BudgetDemandItem& item, DemandOrigin origin, TimePoint now)
{
    const auto [it, isNew] = m_holders.try_emplace(id);
    auto& holder = it->second;
    if (isNew)
        holder.entitlement = m_entitlement;
    if (holder.hasReported && sequence <= holder.sequence)
        return false;
    holder.sequence = sequence;
    // The totals of the first report may reach back to before this ledger started.
    const auto spent = holder.hasReported ? std::max<Units>(0, item.spentTotal - holder.spentTotal) : 0;
    const auto refused = holder.hasReported ? std::max<Units>(0, item.refusedTotal - holder.refusedTotal) : 0;
    if (origin == DemandOrigin::OwnRegion) {
        m_spent.add(spent, now);
        m_refused.add(refused, now);
        m_refusedTotal += refused;
    }
    holder.hasReported = true;
    holder.spentTotal = std::max(holder.spentTotal, item.spentTotal);
    holder.refusedTotal = std::max(holder.refusedTotal, item.refusedTotal);
    holder.lastDemand = now;

    // A demand closes all earlier ones at the holder, so `held` is all that it has of earlier grants. What it has is
    // taken to be in its newest lots, which expire last.
    Units before = 0;
    Units left = std::max<Units>(0, item.held);
    std::vector<std::uint64_t> kept;
    for (auto number = holder.lots.rbegin(); number != holder.lots.rend() && *number >= m_firstLot; ++number) {
        auto& lot = m_lots[static_cast<std::size_t>(*number - m_firstLot)];
        before += lot.units;
        const auto units = std::min(lot.units, left);
        m_outstanding -= lot.units - units;
        lot.units = units;
        left -= units;
        if (units > 0)
            kept.push_back(*number);
    }
    holder.lots.assign(kept.rbegin(), kept.rend());
    // Units that were outstanding and neither spent nor held can't be spent any more. Spent units may belong to lots
    // that have expired here, so this is a lower bound.
    const auto lost = before - std::max<Units>(0, item.held) - spent;
    if (lost > 0)
        addTokens(lost * s_nanoPerUnit);
    settle();
    return true;
}

/** Returns how many units the holder may get now. */
Units LedgerBucket::allowance(HolderEntry& holder, Units wanted)
{
    const auto available = m_nanoTokens / s_nanoPerUnit;
    const auto entitled = static_cast<double>(wanted) * (m_entitlement - holder.entitlement);
    holder.credit = std::min(holder.credit + entitled, static_cast<double>(wanted));
    holder.entitlement = m_entitlement;
    if (m_totalWanted <= available) {
        holder.credit = 0;
        return wanted;
    }
    // What was saved up is split in proportion. Of what comes in, a holder with any credit gets a whole unit, and then
    // waits until the others have had theirs; the order in which holders ask does not matter.
    const auto saved = static_cast<Units>(
        static_cast<double>(available) * static_cast<double>(wanted) / static_cast<double>(m_totalWanted));
    const auto due = holder.credit > 0 ? std::max<Units>(1, static_cast<Units>(holder.credit)) : 0;
    const auto units = std::min({ std::max(saved, due), wanted, available });
    holder.credit = std::max(holder.credit - static_cast<double>(units), -1.0);
    return units;
}

BudgetGrantItem LedgerBucket::grant(const InstanceId& id, const BudgetDemandItem& item, TimePoint now)
{
    sweepHolders(now);
    auto& holder = m_holders[id];
    const auto wanted = std::clamp<Units>(item.wanted, 0, m_share.burst);
    m_totalWanted += wanted - holder.wanted;
    holder.wanted = wanted;
    holder.lastDemand = now;

    BudgetGrantItem result;
    result.key = item.key;
    result.validity = unitLifetime;
    result.granted = wanted > 0 ? allowance(holder, wanted) : 0;
    if (result.granted > 0) {
        m_nanoTokens -= result.granted * s_nanoPerUnit;
        m_outstanding += result.granted;
        holder.lots.push_back(m_firstLot + m_lots.size());
        m_lots.push_back({ result.granted, now + withDrift(unitLifetime) });
        PERIDOT_ASSERT(m_outstanding <= m_share.burst, "more units are outstanding than the burst share");
    }
    if (result.granted < item.wanted)
        result.refillTime = refillTime(holder, std::max<Units>(1, wanted - result.granted), now);
    settle();
    return result;
}

/** Estimates when the holder will get its next unit, from its part in what all holders want. */
Duration LedgerBucket::refillTime(const HolderEntry& holder, Units missing, TimePoint now) const
{
    const auto rate = std::min(rateAt(now), m_share.rate);
    if (rate <= 0 || m_share.burst <= 0)
        return longestRefillTime;
    const auto part = static_cast<double>(std::max<Units>(holder.wanted, missing))
        / static_cast<double>(std::max<Units>(m_totalWanted, 1));
    const auto units = std::max(1.0, 1.0 / std::max(part, 1e-6) - holder.credit);
    const auto lacking = units - static_cast<double>(m_nanoTokens) / static_cast<double>(s_nanoPerUnit);
    const auto microseconds = std::max(lacking, 0.0) * 1e9 / static_cast<double>(rate);
    const auto time = Duration { static_cast<Duration::rep>(std::min(microseconds, 1e6)) };
    return std::clamp<Duration>(time, std::chrono::milliseconds { 1 }, longestRefillTime);
}

void LedgerBucket::sweepHolders(TimePoint now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + wantLifetime / 2;
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        auto& holder = it->second;
        if (holder.wanted > 0 && holder.lastDemand + wantLifetime < now) {
            m_totalWanted -= holder.wanted;
            holder.wanted = 0;
            holder.credit = 0;
        }
        it = holder.lastDemand + holderLifetime < now ? m_holders.erase(it) : std::next(it);
    }
}

void LedgerBucket::forgetHolder(const InstanceId& id)
{
    if (auto it = m_holders.find(id); it != m_holders.end()) {
        m_totalWanted -= it->second.wanted;
        m_holders.erase(it);
    }
}

BudgetUsage LedgerBucket::usage(TimePoint now)
{
    const auto demand
        = [&](std::size_t slots) { return m_spent.perSecond(slots, now) + m_refused.perSecond(slots, now); };
    const auto deviation = [](double perSecond, std::size_t slots) {
        return std::sqrt(perSecond / (toSeconds(SlidingRate::s_slot) * static_cast<double>(slots)));
    };
    const auto recent = demand(SlidingRate::s_shortSlots);
    const auto longer = demand(SlidingRate::s_longSlots);
    // The longer window is less noisy; the shorter one counts once it differs by more than independent requests would.
    const bool hasChanged
        = std::abs(recent - longer) > 3 * deviation(std::max(recent, longer), SlidingRate::s_shortSlots);
    const auto slots = hasChanged ? SlidingRate::s_shortSlots : SlidingRate::s_longSlots;
    BudgetUsage usage;
    usage.demandPerSecond = hasChanged ? recent : longer;
    usage.recentDemandPerSecond = recent;
    usage.demandDeviation = deviation(usage.demandPerSecond, slots);
    usage.spentPerSecond = m_spent.perSecond(slots, now);
    usage.refusedTotal = m_refusedTotal;
    usage.tokens = m_nanoTokens / s_nanoPerUnit;
    usage.outstanding = m_outstanding;
    return usage;
}

bool LedgerBucket::isIdle(TimePoint now) const noexcept
{
    return m_outstanding == 0 && std::all_of(m_holders.begin(), m_holders.end(), [now](const auto& entry) {
        return entry.second.lastDemand + holderLifetime < now;
    });
}

}
