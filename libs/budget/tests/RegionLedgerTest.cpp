// Rules of the ledger: what it grants, takes back, forgets and hands over.

#include "budget/RegionLedger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

namespace {

constexpr Duration second = std::chrono::seconds { 1 };
constexpr Duration millisecond = std::chrono::milliseconds { 1 };
const TimePoint start { 1000 * second };
const BudgetKey key { BudgetKind::WorkspaceRate, "w" };

BudgetDemand demand(const std::string& holder, std::uint64_t sequence, Units wanted, Units held = 0, Units spent = 0)
{
    return { InstanceId(holder), 1, sequence, { { key, spent, 0, held, wanted, 0 } } };
}

}

class RegionLedgerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegionLedgerTest);
    CPPUNIT_TEST(refillsNoFasterThanTheRate);
    CPPUNIT_TEST(grantsNothingBeforeItsTime);
    CPPUNIT_TEST(holdsNoTokensWhileInactive);
    CPPUNIT_TEST(forgetsSharesWhenDeactivated);
    CPPUNIT_TEST(repeatsTheAnswerToARepeatedDemand);
    CPPUNIT_TEST(ignoresDemandsThatArriveLate);
    CPPUNIT_TEST(ignoresASecondItemOfTheSameKey);
    CPPUNIT_TEST(takesBackUnitsOfALostGrant);
    CPPUNIT_TEST(doesNotTakeBackSpentUnits);
    CPPUNIT_TEST(countsUnitsOfARestartedHolderUntilTheyExpire);
    CPPUNIT_TEST(shrinksAtOnceAndNamesTheBound);
    CPPUNIT_TEST(servesAllHoldersThatWantMoreThanThereIs);
    CPPUNIT_TEST(statesWhenUnitsCome);
    CPPUNIT_TEST(rampsTheRate);
    CPPUNIT_TEST(handsOverItsBalance);
    CPPUNIT_TEST(rejectsImplausibleItems);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    RegionLedger m_ledger { RegionId("r"), m_log };

    Units granted(const BudgetDemand& demand, TimePoint now)
    {
        const auto grant = m_ledger.answer(demand, now);
        return grant.items.empty() ? 0 : grant.items.front().granted;
    }

    /** A bucket of 100 units per second and 10 units burst, full at start. */
    void fill()
    {
        m_ledger.activate(1, start - second, start - second);
        m_ledger.setShare(key, { 100'000, 10 }, start - second);
    }

public:
    void refillsNoFasterThanTheRate()
    {
        m_ledger.activate(1, start, start);
        m_ledger.setShare(key, { 100'000, 10 }, start);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(demand("a", 1, 10), start));
        // 100 units per second, less 1% for a fast clock.
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, granted(demand("a", 2, 10), start + 50 * millisecond));
        // Refill stopped at 10 minus the 4 units that were outstanding until the report that they are spent.
        CPPUNIT_ASSERT_EQUAL(Units { 6 }, granted(demand("a", 3, 99, 0, 4), start + second));
        CPPUNIT_ASSERT_EQUAL(Units { 10 }, granted(demand("a", 4, 99, 0, 10), start + 3 * second));
    }

    void grantsNothingBeforeItsTime()
    {
        // Units granted by the previous ledger may still be spendable.
        m_ledger.setShare(key, { 100'000, 10 }, start);
        m_ledger.activate(2, start + 4 * second, start);
        const auto early = m_ledger.answer(demand("a", 1, 1), start + 3 * second);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, early.items.front().granted);
        CPPUNIT_ASSERT(early.items.front().refillTime == second);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(demand("a", 2, 1), start + 4 * second));
        CPPUNIT_ASSERT_EQUAL(Units { 1 }, granted(demand("a", 3, 1), start + 4 * second + 20 * millisecond));
    }

    void holdsNoTokensWhileInactive()
    {
        // Another instance may run the ledger meanwhile.
        fill();
        m_ledger.deactivate();
        m_ledger.setShare(key, { 50'000, 8 }, start);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, m_ledger.usage(key, start + second).tokens);
        m_ledger.activate(2, start + 3 * second, start + 2 * second);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, m_ledger.usage(key, start + 3 * second).tokens);
        CPPUNIT_ASSERT_EQUAL(Units { 8 }, m_ledger.usage(key, start + 4 * second).tokens);
    }

    void forgetsSharesWhenDeactivated()
    {
        // After a handover to another instance and back, the share may be smaller.
        fill();
        const auto snapshot = m_ledger.snapshot(start);
        m_ledger.deactivate();
        m_ledger.activate(3, start + second, start + second);
        m_ledger.restore(snapshot, start + second);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(demand("a", 1, 5), start + second));
        m_ledger.setShare(key, { 100'000, 3 }, start + second);
        CPPUNIT_ASSERT_EQUAL(Units { 3 }, granted(demand("a", 2, 5), start + second));
    }

    void repeatsTheAnswerToARepeatedDemand()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, granted(demand("a", 1, 4), start));
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, granted(demand("a", 1, 4), start));
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, m_ledger.usage(key, start).outstanding);
    }

    void ignoresDemandsThatArriveLate()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, granted(demand("a", 2, 4), start));
        CPPUNIT_ASSERT(m_ledger.answer(demand("a", 1, 4), start).items.empty());
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, m_ledger.usage(key, start).outstanding);
    }

    void ignoresASecondItemOfTheSameKey()
    {
        // Taken as a report, it would say that what the first item was granted is lost.
        fill();
        auto twice = demand("a", 1, 4);
        twice.items.push_back(twice.items.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_ledger.answer(twice, start).items.size());
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, m_ledger.usage(key, start).outstanding);
    }

    void takesBackUnitsOfALostGrant()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 10 }, granted(demand("a", 1, 10), start));
        CPPUNIT_ASSERT_EQUAL(Units { 10 }, granted(demand("a", 2, 10), start));
    }

    void doesNotTakeBackSpentUnits()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 10 }, granted(demand("a", 1, 10), start));
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(demand("a", 2, 10, 3, 7), start));
        CPPUNIT_ASSERT_EQUAL(Units { 3 }, m_ledger.usage(key, start).outstanding);
        CPPUNIT_ASSERT_EQUAL(Units { 2 }, granted(demand("a", 3, 10, 1, 7), start));
    }

    void countsUnitsOfARestartedHolderUntilTheyExpire()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 10 }, granted(demand("a", 7, 10), start));
        auto restarted = demand("a", 1, 10);
        restarted.incarnation = 2;
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(restarted, start + second));
        restarted.sequence = 2;
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(restarted, start + withDrift(second)));
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, m_ledger.usage(key, start + withDrift(second)).outstanding);
        restarted.sequence = 3;
        CPPUNIT_ASSERT_EQUAL(Units { 9 }, granted(restarted, start + withDrift(second) + 100 * millisecond));
    }

    void shrinksAtOnceAndNamesTheBound()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 6 }, granted(demand("a", 1, 6), start));
        m_ledger.setShare(key, { 50'000, 4 }, start);
        CPPUNIT_ASSERT_EQUAL(Units { 6 }, m_ledger.boundBurst(key, start));
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(demand("b", 1, 6), start + 500 * millisecond));
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, granted(demand("a", 2, 0, 3, 3), start + 500 * millisecond));
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, m_ledger.boundBurst(key, start + 500 * millisecond));
        m_ledger.removeShare(key, start + 500 * millisecond);
        CPPUNIT_ASSERT_EQUAL(Units { 3 }, m_ledger.boundBurst(key, start + 500 * millisecond));
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, m_ledger.boundBurst(key, start + 2 * second));
    }

    void servesAllHoldersThatWantMoreThanThereIs()
    {
        // One unit each 20 ms for four holders that ask in the same order each 20 ms: served first come, first served,
        // the first one would get every unit.
        m_ledger.activate(1, start, start);
        m_ledger.setShare(key, { 50'500, 10 }, start);
        std::map<std::string, Units> spent;
        std::uint64_t sequence = 0;
        for (auto now = start; now < start + 20 * second; now += 20 * millisecond) {
            ++sequence;
            for (const auto* holder : { "a", "b", "c", "d" })
                spent[holder] += granted(demand(holder, sequence, 5, 0, spent[holder]), now);
        }
        Units sum = 0;
        for (const auto& [holder, units] : spent) {
            CPPUNIT_ASSERT_MESSAGE(holder + " got " + std::to_string(units), units > 200 && units < 300);
            sum += units;
        }
        CPPUNIT_ASSERT(sum > 950);
    }

    void statesWhenUnitsCome()
    {
        fill();
        const auto all = m_ledger.answer(demand("a", 1, 10), start);
        CPPUNIT_ASSERT(all.items.front().refillTime == Duration { 0 });
        const auto none = m_ledger.answer(demand("b", 1, 1), start);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, none.items.front().granted);
        CPPUNIT_ASSERT(none.items.front().refillTime >= 10 * millisecond);
        CPPUNIT_ASSERT(none.items.front().refillTime <= 200 * millisecond);
    }

    void rampsTheRate()
    {
        m_ledger.activate(1, start, start);
        const BudgetKey shift { BudgetKind::ShiftIn, "lost" };
        m_ledger.rampShare(shift, { 101'000, 1000 }, 10 * second, start);
        // Repeating the target does not restart the ramp.
        m_ledger.rampShare(shift, { 101'000, 1000 }, 10 * second, start + 5 * second);
        CPPUNIT_ASSERT_EQUAL(Units { 125 }, m_ledger.usage(shift, start + 5 * second).tokens);
        CPPUNIT_ASSERT_EQUAL(Units { 500 }, m_ledger.usage(shift, start + 10 * second).tokens);
        CPPUNIT_ASSERT_EQUAL(Units { 600 }, m_ledger.usage(shift, start + 11 * second).tokens);
    }

    void handsOverItsBalance()
    {
        fill();
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, granted(demand("a", 1, 4), start));
        const auto snapshot = ledgerSnapshotFromText(toText(m_ledger.snapshot(start)));
        CPPUNIT_ASSERT(snapshot.has_value());

        RegionLedger next(RegionId("r"), m_log);
        next.activate(2, start, start);
        next.restore(*snapshot, start);
        next.setShare(key, { 100'000, 10 }, start + 100 * millisecond);
        auto usage = next.usage(key, start + 100 * millisecond);
        CPPUNIT_ASSERT_EQUAL(Units { 4 }, usage.outstanding);
        CPPUNIT_ASSERT_EQUAL(Units { 6 }, usage.tokens);
        CPPUNIT_ASSERT_EQUAL(Units { 0 }, next.usage(key, start + withDrift(second)).outstanding);
        CPPUNIT_ASSERT(!ledgerSnapshotFromText("[[\"workspace_rate\",\"w\",-1,0]]").has_value());
    }

    void rejectsImplausibleItems()
    {
        fill();
        CPPUNIT_ASSERT(m_ledger.answer(demand("a", 1, -5), start).items.empty());
        CPPUNIT_ASSERT(m_ledger.answer(demand("a", 2, 1, 0, INT64_MAX), start).items.empty());
        CPPUNIT_ASSERT_EQUAL(Units { 10 }, granted(demand("a", 3, INT64_MAX / 16), start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionLedgerTest);
