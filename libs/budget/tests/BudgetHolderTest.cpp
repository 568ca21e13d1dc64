// Rules of the holder: when units may be spent, which grants count, and what it asks for.

#include "budget/BudgetHolder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

using namespace peridot;

namespace {

constexpr Duration second = std::chrono::seconds { 1 };
constexpr Duration millisecond = std::chrono::milliseconds { 1 };
const TimePoint start { 1000 * second };
const BudgetKey key { BudgetKind::WorkspaceRate, "w" };

BudgetGrant answer(const BudgetDemand& demand, Units units, std::uint64_t epoch = 1)
{
    return { RegionId("r"), epoch, demand.incarnation, demand.sequence, { { key, units, unitLifetime, {} } } };
}

}

class BudgetHolderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BudgetHolderTest);
    CPPUNIT_TEST(spendsUntilOneSecondAfterTheDemandWasSent);
    CPPUNIT_TEST(takesTheLatestTimeOfAnyThread);
    CPPUNIT_TEST(dropsGrantsThatAnswerNoOpenDemand);
    CPPUNIT_TEST(asksAtOnceWhenUnitsRunLow);
    CPPUNIT_TEST(waitsForRefillWhenTheLedgerIsShort);
    CPPUNIT_TEST(givesBackWhatItDoesNotUse);
    CPPUNIT_TEST(learnsTheRoundTripOfADistantLedger);
    CPPUNIT_TEST(releasesEverything);
    CPPUNIT_TEST(spendsEachUnitOnceAcrossThreads);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    BudgetHolder m_holder { InstanceId("h"), 7, RegionId("r"), m_log };

    /** Lets a first request be refused and takes @p units at once. */
    BudgetDemand holdUnits(Units units, TimePoint now)
    {
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, now).isSpent);
        auto demand = m_holder.nextDemand(now);
        CPPUNIT_ASSERT(demand.has_value());
        CPPUNIT_ASSERT(m_holder.accept(answer(*demand, units), now));
        return *demand;
    }

public:
    void spendsUntilOneSecondAfterTheDemandWasSent()
    {
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start).isSpent);
        const auto demand = m_holder.nextDemand(start);
        CPPUNIT_ASSERT(m_holder.accept(answer(*demand, 3), start + 500 * millisecond));
        CPPUNIT_ASSERT(m_holder.trySpend(key, 1, start + second - Duration { 1 }).isSpent);
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start + second).isSpent);
        // A grant that arrives after that brings nothing.
        const auto late = m_holder.nextDemand(start + second);
        CPPUNIT_ASSERT(m_holder.accept(answer(*late, 3), start + 2 * second));
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, m_holder.held(key, start + 2 * second));
    }

    void takesTheLatestTimeOfAnyThread()
    {
        // A thread that was paused after it read the clock must not spend expired units.
        holdUnits(3, start);
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start + second).isSpent);
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start).isSpent);
    }

    void dropsGrantsThatAnswerNoOpenDemand()
    {
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start).isSpent);
        const auto first = m_holder.nextDemand(start);
        auto wrong = answer(*first, 5);
        wrong.incarnation = 6;
        CPPUNIT_ASSERT(!m_holder.accept(wrong, start));
        wrong = answer(*first, 5);
        wrong.region = RegionId("other");
        CPPUNIT_ASSERT(!m_holder.accept(wrong, start));
        // The second demand says what is held, so the ledger may grant the units of the first one again.
        const auto second = m_holder.nextDemand(start + 600 * millisecond);
        CPPUNIT_ASSERT_EQUAL(first->sequence + 1, second->sequence);
        CPPUNIT_ASSERT(!m_holder.accept(answer(*first, 5), start + 601 * millisecond));
        CPPUNIT_ASSERT(m_holder.accept(answer(*second, 2, 9), start + 601 * millisecond));
        CPPUNIT_ASSERT(!m_holder.accept(answer(*second, 2, 9), start + 601 * millisecond));
        CPPUNIT_ASSERT_EQUAL(Units { 2 }, m_holder.held(key, start + 601 * millisecond));

        m_holder.trySpend(key, 2, start + 700 * millisecond);
        const auto third = m_holder.nextDemand(start + 700 * millisecond);
        CPPUNIT_ASSERT(!m_holder.accept(answer(*third, 2, 8), start + 701 * millisecond));
        CPPUNIT_ASSERT(m_holder.accept(answer(*third, 2, 9), start + 701 * millisecond));
    }

    void asksAtOnceWhenUnitsRunLow()
    {
        const auto outcome = m_holder.trySpend(key, 1, start);
        CPPUNIT_ASSERT(!outcome.isSpent && outcome.isDemandDue);
        CPPUNIT_ASSERT(outcome.retryAfter > Duration { 0 });
        const auto demand = m_holder.nextDemand(start);
        CPPUNIT_ASSERT(demand->items.front().wanted >= 1);
        CPPUNIT_ASSERT_EQUAL(Units { 1 }, demand->items.front().refusedTotal);
        CPPUNIT_ASSERT(!m_holder.nextDemand(start).has_value());
        CPPUNIT_ASSERT(m_holder.accept(answer(*demand, 2), start + 2 * millisecond));
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start + 3 * millisecond).isDemandDue);
        CPPUNIT_ASSERT(m_holder.trySpend(key, 1, start + 3 * millisecond).isDemandDue);
    }

    void waitsForRefillWhenTheLedgerIsShort()
    {
        m_holder.trySpend(key, 1, start);
        auto grant = answer(*m_holder.nextDemand(start), 0);
        grant.items.front().refillTime = 300 * millisecond;
        CPPUNIT_ASSERT(m_holder.accept(grant, start));
        const auto outcome = m_holder.trySpend(key, 1, start + 100 * millisecond);
        CPPUNIT_ASSERT(outcome.retryAfter == 200 * millisecond);
    }

    void givesBackWhatItDoesNotUse()
    {
        holdUnits(50, start);
        CPPUNIT_ASSERT(m_holder.trySpend(key, 1, start + millisecond).isSpent);
        Units expired = 0;
        std::size_t demands = 0;
        for (auto now = start; now < start + 10 * second; now += 10 * millisecond) {
            if (const auto demand = m_holder.nextDemand(now)) {
                ++demands;
                expired = demand->items.front().expiredTotal;
                CPPUNIT_ASSERT(m_holder.accept(answer(*demand, demand->items.front().wanted), now));
            }
        }
        CPPUNIT_ASSERT(expired >= 49);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, m_holder.held(key, start + 10 * second));
        CPPUNIT_ASSERT(demands < 15);
        CPPUNIT_ASSERT(!m_holder.isDemandDue(start + 20 * second));
    }

    void learnsTheRoundTripOfADistantLedger()
    {
        // Grants of a ledger 120 ms away must not all be dropped because a newer demand has been sent meanwhile.
        const auto roundTrip = 120 * millisecond;
        std::vector<std::pair<TimePoint, BudgetGrant>> underway;
        int taken = 0;
        for (auto now = start; now < start + second; now += 5 * millisecond) {
            m_holder.trySpend(key, 1, now);
            if (const auto demand = m_holder.nextDemand(now))
                underway.emplace_back(now + roundTrip, answer(*demand, 1));
            for (; !underway.empty() && underway.front().first <= now; underway.erase(underway.begin()))
                taken += m_holder.accept(underway.front().second, now);
        }
        CPPUNIT_ASSERT(taken >= 4);
    }

    void releasesEverything()
    {
        holdUnits(5, start);
        m_holder.trySpend(key, 2, start + millisecond);
        const auto demand = m_holder.releaseAll(start + 2 * millisecond);
        CPPUNIT_ASSERT(demand.has_value());
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, demand->items.front().held);
        CPPUNIT_ASSERT_EQUAL(Units { 2 }, demand->items.front().spentTotal);
        CPPUNIT_ASSERT(!m_holder.trySpend(key, 1, start + 2 * millisecond).isSpent);
        CPPUNIT_ASSERT(!m_holder.releaseAll(start + 3 * millisecond).has_value());
    }

    void spendsEachUnitOnceAcrossThreads()
    {
        holdUnits(10'000, start);
        std::atomic<Units> spent { 0 };
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int n = 0; n < 4; ++n) {
            threads.emplace_back([&] {
                for (int i = 0; i < 5'000; ++i)
                    spent += m_holder.trySpend(key, 1, start + millisecond).isSpent;
            });
        }
        for (int n = 0; n < 50; ++n) {
            if (const auto demand = m_holder.nextDemand(start + millisecond))
                m_holder.accept(answer(*demand, 0), start + millisecond);
        }
        for (auto& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(Units { 10'000 }, spent.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetHolderTest);
