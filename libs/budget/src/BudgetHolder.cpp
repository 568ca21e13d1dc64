// Spending, demands and grants at one instance.

#include "budget/BudgetHolder.h"

#include "HeldUnits.h"

#include "base/LogLine.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace peridot {

namespace {

    constexpr std::size_t shardCount = 16;
    constexpr Duration shortestAnswerTimeout = demandInterval;
    constexpr Duration longestAnswerTimeout = std::chrono::milliseconds { 500 };
    /** First assumption on the time from a demand to its grant: the delay between failure domains both ways. */
    constexpr Duration assumedRoundTrip = std::chrono::milliseconds { 4 };

    struct KeyHash {
        std::size_t operator()(const BudgetKey& key) const noexcept
        {
            return XXH3_64bits_withSeed(key.subject.data(), key.subject.size(), static_cast<XXH64_hash_t>(key.kind));
        }
    };

    using HeldUnitsByKey = std::unordered_map<BudgetKey, HeldUnits, KeyHash>;

}

struct alignas(64) BudgetHolder::Shard {
    std::mutex mutex;
    TimePoint latest {}; // Latest time of any call: a thread that was paused must not spend expired units.
    HeldUnitsByKey units;
    std::vector<HeldUnitsByKey::value_type*> inUse;

    TimePoint advance(TimePoint now) noexcept { return latest = std::max(latest, now); }
};

BudgetHolder::BudgetHolder(InstanceId self, std::uint64_t incarnation, RegionId ledgerRegion, EventLog& log)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_ledgerRegion(std::move(ledgerRegion))
    , m_log(log)
    , m_shards(std::make_unique<Shard[]>(shardCount))
    , m_roundTrip(assumedRoundTrip)
{
}

BudgetHolder::~BudgetHolder() = default;

BudgetHolder::Shard& BudgetHolder::shardOf(const BudgetKey& key) noexcept
{
    // The hash table inside the shard uses the low bits.
    return m_shards[(KeyHash {}(key) >> 48) % shardCount];
}

bool BudgetHolder::isDemandDue(TimePoint now) const noexcept
{
    return now >= m_dueAt.load(std::memory_order_relaxed) && now >= m_openUntil.load(std::memory_order_relaxed);
}

/** Makes the next demand due at @p time, if it isn't due earlier. */
void BudgetHolder::demandBy(TimePoint time) noexcept
{
    auto due = m_dueAt.load(std::memory_order_relaxed);
    while (time < due && !m_dueAt.compare_exchange_weak(due, time, std::memory_order_relaxed)) { }
}

SpendOutcome BudgetHolder::trySpend(const BudgetKey& key, Units units, TimePoint now)
{
    auto& shard = shardOf(key);
    SpendOutcome outcome;
    {
        const std::lock_guard lock(shard.mutex);
        now = shard.advance(now);
        auto& item = *shard.units.try_emplace(key).first;
        auto& own = item.second;
        if (own.touch(now))
            shard.inUse.push_back(&item);
        own.expire(now);
        outcome.isSpent = own.spend(units);
        if (!outcome.isSpent) {
            own.refuse(units);
            outcome.retryAfter = own.refillAt() > now ? own.refillAt() - now : m_roundTrip.load();
        }
        // While the ledger is short of units, asking more often than every interval brings no more of them.
        const bool isUrgent = (!outcome.isSpent || own.isLow()) && !own.isLedgerShort(now);
        demandBy(isUrgent ? now : m_collectedAt.load(std::memory_order_relaxed) + demandInterval);
    }
    outcome.isDemandDue = isDemandDue(now);
    return outcome;
}

std::optional<BudgetDemand> BudgetHolder::nextDemand(TimePoint now)
{
    if (!isDemandDue(now))
        return std::nullopt;
    const std::lock_guard demandLock(m_demandMutex);
    if (!isDemandDue(now))
        return std::nullopt;
    // An answer that did not come in time may be on its way from a ledger that is farther than assumed. Without this, a
    // ledger of another region would never be heard: each demand closes the one before.
    if (m_isOpen)
        m_roundTrip = std::min(m_roundTrip.load() * 2, longestAnswerTimeout);
    // Grants of earlier demands are dropped from here on, even if this one turns out empty.
    m_isOpen = false;
    m_dueAt = TimePoint::max();
    const bool isEarly = now < m_collectedAt.load() + demandInterval;
    if (!isEarly)
        m_collectedAt = now;
    BudgetDemand demand { m_self, m_incarnation, m_sequence + 1, {} };
    bool isInUse = false;
    for (std::size_t i = 0; i < shardCount; ++i)
        isInUse |= collect(m_shards[i], demand, isEarly, now);
    if (isInUse)
        demandBy(m_collectedAt.load() + demandInterval);
    if (demand.items.empty())
        return std::nullopt;
    open(demand, now);
    return demand;
}

void BudgetHolder::open(const BudgetDemand& demand, TimePoint now)
{
    m_sequence = demand.sequence;
    m_isOpen = true;
    m_sentAt = now;
    m_openUntil = now + std::clamp<Duration>(m_roundTrip.load() * 4, shortestAnswerTimeout, longestAnswerTimeout);
}

/** Adds the keys of a shard to a demand; early demands name only keys that are low. Returns false if all are idle. */
bool BudgetHolder::collect(Shard& shard, BudgetDemand& demand, bool isEarly, TimePoint now)
{
    const std::lock_guard lock(shard.mutex);
    now = shard.advance(now);
    std::erase_if(shard.inUse, [&](auto* item) {
        auto& [key, own] = *item;
        own.expire(now);
        if (isEarly && (!own.isLow() || own.isLedgerShort(now)))
            return false;
        if (auto report = own.report(key, m_roundTrip, now))
            demand.items.push_back(std::move(*report));
        if (!own.isIdle(now))
            return false;
        own.setIdle();
        return true;
    });
    return !shard.inUse.empty();
}

bool BudgetHolder::accept(const BudgetGrant& grant, TimePoint now)
{
    const std::lock_guard demandLock(m_demandMutex);
    const bool answersOpenDemand
        = m_isOpen && grant.incarnation == m_incarnation && grant.sequence == m_sequence && now >= m_sentAt;
    if (!answersOpenDemand || grant.region != m_ledgerRegion || grant.epoch < m_epoch) {
        if (m_log.isEnabled(LogLevel::Debug)) {
            LogLine line("budget_grant_dropped");
            line.add("region", grant.region).add("epoch", grant.epoch).add("sequence", grant.sequence);
            m_log.write(LogLevel::Debug, line);
        }
        return false;
    }
    m_isOpen = false;
    m_epoch = grant.epoch;
    m_openUntil = TimePoint::min();
    m_roundTrip = (m_roundTrip.load() * 7 + (now - m_sentAt)) / 8;
    for (const auto& item : grant.items)
        takeItem(item, now);
    return true;
}

void BudgetHolder::takeItem(const BudgetGrantItem& item, TimePoint now)
{
    auto& shard = shardOf(item.key);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.units.find(item.key);
    if (it == shard.units.end())
        return;
    now = shard.advance(now);
    auto& own = it->second;
    if (item.granted > 0)
        own.add(item.granted, m_sentAt + std::min(item.validity, unitLifetime), now);
    own.setRefillAt(item.refillTime.count() > 0 ? now + item.refillTime : TimePoint {});
    if (own.refillAt() > now)
        demandBy(std::max(own.refillAt(), m_collectedAt.load() + demandInterval));
}

std::optional<BudgetDemand> BudgetHolder::releaseAll(TimePoint now)
{
    const std::lock_guard demandLock(m_demandMutex);
    m_isOpen = false;
    m_dueAt = TimePoint::max();
    BudgetDemand demand { m_self, m_incarnation, m_sequence + 1, {} };
    for (std::size_t i = 0; i < shardCount; ++i) {
        auto& shard = m_shards[i];
        const std::lock_guard lock(shard.mutex);
        for (auto& [key, own] : shard.units) {
            if (auto report = own.release(key, shard.advance(now)))
                demand.items.push_back(std::move(*report));
        }
    }
    if (demand.items.empty())
        return std::nullopt;
    open(demand, now);
    return demand;
}

Units BudgetHolder::held(const BudgetKey& key, TimePoint now)
{
    auto& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.units.find(key);
    if (it == shard.units.end())
        return 0;
    it->second.expire(shard.advance(now));
    return it->second.held();
}

}
