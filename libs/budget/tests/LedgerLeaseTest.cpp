// Rules of the lease: when it is held, how long a successor waits, and lost answers of the store.

#include "budget/BudgetShare.h"
#include "budget/LedgerLease.h"
#include "store/MemoryTable.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

namespace {

constexpr Duration second = std::chrono::seconds { 1 };
constexpr Duration millisecond = std::chrono::milliseconds { 1 };
const TimePoint start { 1000 * second };

}

class LedgerLeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LedgerLeaseTest);
    CPPUNIT_TEST(holdsForTheLifetimeFromBeforeTheWrite);
    CPPUNIT_TEST(takesOverOnlyAfterTheLeaseAndWaits);
    CPPUNIT_TEST(doesNotCountTimeInWhichItDidNotAttest);
    CPPUNIT_TEST(losesTheLeaseToASuccessor);
    CPPUNIT_TEST(handsOverWithoutAWait);
    CPPUNIT_TEST(makesTheSuccessorWaitIfItHadToWaitItself);
    CPPUNIT_TEST(resolvesLostAnswers);
    CPPUNIT_TEST(countsALateWriteFromBeforeItBegan);
    CPPUNIT_TEST(isProlongedOnlyWhileHeld);
    CPPUNIT_TEST(startsANewTermAfterALapse);
    CPPUNIT_TEST(writesOnlyWhenTold);
    CPPUNIT_TEST_SUITE_END();

    enum class Answer {
        Given,
        LostAfterEffect,
        LostBeforeEffect,
    };

    NullEventLog m_log;
    MemoryTable m_table;
    LedgerLease m_first { RegionId("r"), InstanceId("a"), 1, m_log };
    LedgerLease m_second { RegionId("r"), InstanceId("b"), 2, m_log };

    StoreResult apply(const StoreRequest& request)
    {
        if (const auto* read = std::get_if<TableRead>(&request))
            return StoreValue(*m_table.read(*read));
        return StoreValue(*m_table.commit(std::get<TableCommit>(request)));
    }

    /** Makes one step and answers it at once. Returns whether there was a request. */
    bool step(LedgerLease& lease, TimePoint now, Answer answer = Answer::Given, LeaseInputs inputs = { true, true })
    {
        const auto request = lease.next(inputs, now);
        if (!request)
            return false;
        StoreResult result = makeError(ErrorCode::OutcomeUnknown, "commit", "store", "timeout");
        if (answer != Answer::LostBeforeEffect) {
            auto applied = apply(*request);
            if (answer == Answer::Given)
                result = std::move(applied);
        }
        lease.completed(result, now);
        return true;
    }

    /** Runs one lease until @p end in steps of 10 ms. */
    void run(LedgerLease& lease, TimePoint from, TimePoint end, LeaseInputs inputs = { true, true })
    {
        for (auto now = from; now < end; now += 10 * millisecond)
            step(lease, now, Answer::Given, inputs);
    }

public:
    void holdsForTheLifetimeFromBeforeTheWrite()
    {
        step(m_first, start);
        const auto write = m_first.next({ true, true }, start);
        CPPUNIT_ASSERT(!m_first.isHeld(start));
        m_first.completed(apply(*write), start + 2 * second);
        CPPUNIT_ASSERT(m_first.isHeld(start + leaseLifetime - Duration { 1 }));
        CPPUNIT_ASSERT(!m_first.isHeld(start + leaseLifetime));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_first.epoch());
        // There was no holder before, so no wait.
        CPPUNIT_ASSERT(m_first.grantsFrom() == start + 2 * second);
        run(m_first, start + 2 * second, start + 20 * second);
        CPPUNIT_ASSERT(m_first.isHeld(start + 21 * second));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_first.term());
    }

    void takesOverOnlyAfterTheLeaseAndWaits()
    {
        run(m_first, start, start + second);
        const auto crash = start + second;
        run(m_second, crash, crash + withDrift(leaseLifetime));
        CPPUNIT_ASSERT(!m_second.isHeld(crash + withDrift(leaseLifetime)));
        const auto taken = crash + leaseLifetime + 2 * second;
        run(m_second, crash + withDrift(leaseLifetime), taken);
        CPPUNIT_ASSERT(m_second.isHeld(taken));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, m_second.epoch());
        // The holder may have granted until its lease ended, and units live on after that.
        CPPUNIT_ASSERT(m_second.grantsFrom() >= crash + withDrift(leaseLifetime) + withDrift(unitLifetime));
        CPPUNIT_ASSERT(m_second.inheritedSnapshot().empty());
    }

    void doesNotCountTimeInWhichItDidNotAttest()
    {
        // While no heartbeat of the candidate says that the store can be reached, the holder may extend its lease.
        run(m_first, start, start + second);
        const auto interrupted = start + leaseLifetime;
        run(m_second, start + second, interrupted);
        run(m_second, interrupted, interrupted + 100 * millisecond, { true, false });
        const auto paused = interrupted + leaseLifetime;
        run(m_second, interrupted + 100 * millisecond, paused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, m_second.epoch());
        // Nor does it attest while it is paused.
        const auto awake = paused + leaseLifetime;
        run(m_second, awake, awake + leaseLifetime - second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, m_second.epoch());
        run(m_second, awake + leaseLifetime - second, awake + leaseLifetime + second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, m_second.epoch());
    }

    void losesTheLeaseToASuccessor()
    {
        run(m_first, start, start + second);
        run(m_second, start + second, start + 10 * second);
        CPPUNIT_ASSERT(m_second.isHeld(start + 10 * second));
        run(m_first, start + 10 * second, start + 11 * second);
        CPPUNIT_ASSERT(!m_first.isHeld(start + 10 * second));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), m_first.rowHolder().value());
    }

    void handsOverWithoutAWait()
    {
        run(m_first, start, start + second);
        m_first.handOver("state", start + second);
        CPPUNIT_ASSERT(!m_first.isHeld(start + second));
        CPPUNIT_ASSERT(!m_first.isHandedOver());
        step(m_first, start + second, Answer::LostAfterEffect);
        step(m_first, start + second);
        CPPUNIT_ASSERT(m_first.isHandedOver());
        run(m_second, start + second, start + 2 * second);
        CPPUNIT_ASSERT(m_second.isHeld(start + 2 * second));
        CPPUNIT_ASSERT_EQUAL(std::string("state"), m_second.inheritedSnapshot());
        CPPUNIT_ASSERT(m_second.grantsFrom() < start + 2 * second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, m_second.epoch());
    }

    void makesTheSuccessorWaitIfItHadToWaitItself()
    {
        run(m_first, start, start + second);
        auto now = start + second;
        for (; !m_second.isHeld(now) && now < start + 20 * second; now += 10 * millisecond)
            step(m_second, now, Answer::Given, { true, true });
        CPPUNIT_ASSERT(m_second.grantsFrom() > now);
        m_second.handOver("state", now);
        CPPUNIT_ASSERT(m_second.isHandedOver());
        CPPUNIT_ASSERT(!step(m_second, now + second));
    }

    void resolvesLostAnswers()
    {
        step(m_first, start);
        step(m_first, start, Answer::LostAfterEffect);
        CPPUNIT_ASSERT(!m_first.isHeld(start));
        step(m_first, start + 10 * millisecond);
        CPPUNIT_ASSERT(m_first.isHeld(start + 10 * millisecond));
        step(m_first, start + second, Answer::LostBeforeEffect);
        CPPUNIT_ASSERT_EQUAL(RowVersion { 0 }, m_first.confirmedRowVersion());
        step(m_first, start + 2 * second);
        CPPUNIT_ASSERT(!m_first.isHeld(start + leaseLifetime));
        step(m_first, start + 2 * second);
        // The unresolved write might have taken effect first, so the lease counts from before it.
        CPPUNIT_ASSERT(m_first.isHeld(start + second + leaseLifetime - Duration { 1 }));
        CPPUNIT_ASSERT(!m_first.isHeld(start + second + leaseLifetime));
        CPPUNIT_ASSERT(m_first.confirmedRowVersion() != 0);
    }

    void countsALateWriteFromBeforeItBegan()
    {
        step(m_first, start);
        const auto late = m_first.next({ true, true }, start);
        m_first.completed(makeError(ErrorCode::OutcomeUnknown, "commit", "store", "timeout"), start + second);
        step(m_first, start + second); // The row is read and has not changed.
        const auto again = m_first.next({ true, true }, start + 2 * second);
        apply(*late);
        m_first.completed(apply(*again), start + 2 * second);
        CPPUNIT_ASSERT(m_first.isHeld(start + leaseLifetime - Duration { 1 }));
        CPPUNIT_ASSERT(!m_first.isHeld(start + leaseLifetime));
    }

    void isProlongedOnlyWhileHeld()
    {
        run(m_first, start, start + 20 * millisecond);
        m_first.extend(start + 2 * second, start + 2 * second);
        CPPUNIT_ASSERT(m_first.isHeld(start + second + leaseLifetime));
        // After a lapse another instance may have taken the row before the outage.
        const auto lapsed = start + 3 * second + leaseLifetime;
        m_first.extend(lapsed, lapsed);
        CPPUNIT_ASSERT(!m_first.isHeld(lapsed));
    }

    void startsANewTermAfterALapse()
    {
        run(m_first, start, start + second);
        const auto term = m_first.term();
        run(m_first, start + 10 * second, start + 11 * second);
        CPPUNIT_ASSERT(m_first.isHeld(start + 11 * second));
        CPPUNIT_ASSERT_EQUAL(term + 1, m_first.term());
        CPPUNIT_ASSERT(m_first.grantsFrom() >= start + 11 * second);
    }

    void writesOnlyWhenTold()
    {
        run(m_first, start, start + second, { true, false });
        run(m_first, start, start + second, { false, true });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_table.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerLeaseTest);
