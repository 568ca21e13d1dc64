// Answers to demands and balances of the buckets of one region.

#include "budget/RegionLedger.h"

#include "LedgerBucket.h"

#include "base/Assert.h"
#include "base/LogLine.h"

#include <algorithm>

namespace peridot {

namespace {

    constexpr Duration sweepInterval = std::chrono::seconds { 1 };
    /** A holder's last sequence is kept for longer than any of its messages can be under way. */
    constexpr Duration holderStateLifetime = std::chrono::minutes { 2 };
    /** Totals beyond this can only come from a faulty peer; sums stay within 64 bits. */
    constexpr Units largestTotal = Units { 1 } << 60;

    bool isPlausible(const BudgetDemandItem& item)
    {
        const auto inRange = [](Units n) { return n >= 0 && n <= largestTotal; };
        return inRange(item.spentTotal) && inRange(item.expiredTotal) && inRange(item.held) && inRange(item.wanted)
            && inRange(item.refusedTotal);
    }

}

RegionLedger::RegionLedger(RegionId region, EventLog& log)
    : m_region(std::move(region))
    , m_log(log)
{
}

RegionLedger::~RegionLedger() = default;

LedgerBucket& RegionLedger::bucket(const BudgetKey& key, TimePoint now)
{
    auto& bucket = m_buckets[key];
    if (!bucket)
        bucket = std::make_unique<LedgerBucket>(m_isActive ? std::max(now, m_grantsFrom) : TimePoint::max());
    return *bucket;
}

LedgerBucket* RegionLedger::findBucket(const BudgetKey& key, TimePoint now)
{
    const auto it = m_buckets.find(key);
    if (it == m_buckets.end())
        return nullptr;
    it->second->advance(now);
    return it->second.get();
}

void RegionLedger::setShare(const BudgetKey& key, const BudgetShare& share, TimePoint now)
{
    rampShare(key, share, Duration { 0 }, now);
}

void RegionLedger::rampShare(const BudgetKey& key, const BudgetShare& share, Duration ramp, TimePoint now)
{
    auto& target = bucket(key, now);
    m_removed.erase(key);
    target.rampShare(share, ramp, now);
    if (const auto it = m_inherited.find(key); it != m_inherited.end() && share != BudgetShare {}) {
        target.restore(it->second.nanoTokens, it->second.outstanding, m_inheritedExpiry);
        target.advance(now);
        m_inherited.erase(it);
    }
}

void RegionLedger::removeShare(const BudgetKey& key, TimePoint now)
{
    if (auto* target = findBucket(key, now)) {
        target->setShare({}, now);
        m_removed.insert(key);
    }
}

BudgetShare RegionLedger::share(const BudgetKey& key) const
{
    const auto it = m_buckets.find(key);
    return it == m_buckets.end() ? BudgetShare {} : it->second->share();
}

Units RegionLedger::boundBurst(const BudgetKey& key, TimePoint now)
{
    const auto* target = findBucket(key, now);
    return target ? target->boundBurst() : 0;
}

void RegionLedger::activate(std::uint64_t epoch, TimePoint grantsFrom, TimePoint now)
{
    PERIDOT_ASSERT(!m_isActive || epoch > m_epoch, "a ledger is activated twice in one lease epoch");
    m_isActive = true;
    m_epoch = epoch;
    m_grantsFrom = grantsFrom;
    m_holders.clear();
    m_inherited.clear();
    for (auto& [key, bucket] : m_buckets)
        bucket->reset(std::max(now, grantsFrom));
    LogLine line("ledger_activated");
    line.add("region", m_region).add("epoch", epoch).add("wait_ms", std::max(Duration { 0 }, grantsFrom - now));
    m_log.write(LogLevel::Info, line);
}

void RegionLedger::deactivate()
{
    if (!m_isActive)
        return;
    m_isActive = false;
    m_holders.clear();
    m_inherited.clear();
    m_removed.clear();
    // Shares may have changed when the ledger is activated again.
    m_buckets.clear();
    m_log.write(LogLevel::Info, LogLine("ledger_deactivated").add("region", m_region).add("epoch", m_epoch));
}

bool RegionLedger::isActive(TimePoint now) const noexcept { return m_isActive && now >= m_grantsFrom; }

BudgetGrant RegionLedger::answer(const BudgetDemand& demand, TimePoint now, DemandOrigin origin)
{
    BudgetGrant grant;
    grant.region = m_region;
    grant.epoch = m_epoch;
    grant.incarnation = demand.incarnation;
    grant.sequence = demand.sequence;
    if (!isActive(now)) {
        const auto wait
            = m_isActive ? std::clamp<Duration>(m_grantsFrom - now, Duration { 1 }, unitLifetime) : unitLifetime;
        for (const auto& item : demand.items)
            grant.items.push_back({ item.key, 0, unitLifetime, wait });
        return grant;
    }
    sweep(now);
    auto& holder = m_holders[demand.holder];
    if (holder.incarnation != demand.incarnation) {
        for (auto& [key, bucket] : m_buckets)
            bucket->forgetHolder(demand.holder);
        holder = { demand.incarnation, 0, now, {} };
    }
    if (demand.sequence <= holder.sequence) {
        // The holder has closed older demands and drops their grants. The newest one may be a repetition.
        if (demand.sequence == holder.sequence)
            grant.items = holder.answer;
        return grant;
    }
    holder.sequence = demand.sequence;
    holder.lastDemand = now;
    for (const auto& item : demand.items) {
        if (isPlausible(item))
            answerItem(demand, item, origin, now, grant);
    }
    holder.answer = grant.items;
    return grant;
}

void RegionLedger::answerItem(
    const BudgetDemand& demand, const BudgetDemandItem& item, DemandOrigin origin, TimePoint now, BudgetGrant& grant)
{
    auto* target = findBucket(item.key, now);
    if (!target)
        grant.items.push_back({ item.key, 0, unitLifetime, unitLifetime });
    else if (target->report(demand.holder, demand.sequence, item, origin, now))
        grant.items.push_back(target->grant(demand.holder, item, now));
}

void RegionLedger::sweep(TimePoint now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    std::erase_if(m_holders, [&](const auto& entry) { return entry.second.lastDemand + holderStateLifetime < now; });
    std::erase_if(m_removed, [&](const BudgetKey& key) {
        const auto it = m_buckets.find(key);
        it->second->advance(now);
        if (!it->second->isIdle(now))
            return false;
        m_buckets.erase(it);
        return true;
    });
}

BudgetUsage RegionLedger::usage(const BudgetKey& key, TimePoint now)
{
    auto* target = findBucket(key, now);
    return target ? target->usage(now) : BudgetUsage {};
}

LedgerSnapshot RegionLedger::snapshot(TimePoint now)
{
    LedgerSnapshot snapshot;
    if (!isActive(now))
        return snapshot;
    for (auto& [key, bucket] : m_buckets) {
        bucket->advance(now);
        snapshot.items.push_back({ key, bucket->nanoTokens(), bucket->outstanding() });
    }
    return snapshot;
}

void RegionLedger::restore(const LedgerSnapshot& snapshot, TimePoint now)
{
    PERIDOT_ASSERT(m_isActive, "balances are restored into a ledger that is not active");
    m_inheritedExpiry = now + withDrift(unitLifetime);
    for (const auto& item : snapshot.items) {
        const auto it = m_buckets.find(item.key);
        if (it != m_buckets.end() && it->second->share() != BudgetShare {})
            it->second->restore(item.nanoTokens, item.outstanding, m_inheritedExpiry);
        else
            m_inherited[item.key] = item;
    }
}

}
