// Tests how many requests of a workspace one instance admits.

#include "steering/QuotaGate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const WorkspaceId kavana("kavana");

std::vector<WorkspaceQuota> quota(double rate, double burst) { return { { kavana, std::nullopt, rate, burst, {} } }; }

int admitted(QuotaGate& gate, TimePoint from, Duration length, Duration interval)
{
    int count = 0;
    for (auto now = from; now < from + length; now += interval)
        count += gate.tryAdmit(kavana, now) ? 1 : 0;
    return count;
}

}

class QuotaGateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaGateTest);
    CPPUNIT_TEST(admitsWithTheGivenProbability);
    CPPUNIT_TEST(lateAttemptsComeLast);
    CPPUNIT_TEST(allowanceBoundsASurge);
    CPPUNIT_TEST(newConfigurationKeepsUsage);
    CPPUNIT_TEST(retryAfterMatchesTheAllowance);
    CPPUNIT_TEST(unlimitedWorkspacesAreCountedOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load pattern: one workspace asks for four times its rate. */
    void admitsWithTheGivenProbability()
    {
        QuotaGate gate(7);
        gate.configure(quota(100, 50));
        gate.setAdmission(kavana, { 0.25, 1e6, 3s });
        const auto count = admitted(gate, start, 10s, 1ms);
        CPPUNIT_ASSERT(count > 2300 && count < 2700);
        gate.setAdmission(kavana, { 0, 1e6, 3s });
        const auto refused = gate.tryAdmit(kavana, start + 10s);
        CPPUNIT_ASSERT(!refused && refused.error() == 3s);
    }

    /** Load pattern: a workspace exceeds its quota, and its refused callers come back too late for their target. If
     * they were admitted like the others, half of what the quota allows would be answered late. */
    void lateAttemptsComeLast()
    {
        QuotaGate gate(7);
        gate.configure(quota(100, 50));
        const auto count = [&](double probability) {
            gate.setAdmission(kavana, { probability, 1e6, 1s });
            std::pair<int, int> result;
            for (int i = 0; i < 4'000; ++i) {
                const bool isLate = i % 2 == 0;
                (isLate ? result.second : result.first) += gate.tryAdmit(kavana, start, isLate) ? 1 : 0;
            }
            return result;
        };
        count(0.3);
        const auto [first, late] = count(0.3);
        CPPUNIT_ASSERT(first > 1'100 && first < 1'300 && late == 0);
        const auto [allFirst, someLate] = count(0.8);
        CPPUNIT_ASSERT(allFirst > 1'950 && someLate > 1'100 && someLate < 1'300);
    }

    /** Load pattern: a workspace surges before any other instance has received its demand. */
    void allowanceBoundsASurge()
    {
        QuotaGate gate(7);
        gate.configure(quota(100, 50));
        gate.setAdmission(kavana, { 1, 10, 1s });
        CPPUNIT_ASSERT_EQUAL(10, admitted(gate, start, 700ms, 1ms));
        // The limit holds for any window of this length, here for one that begins within a fixed window.
        CPPUNIT_ASSERT(admitted(gate, start + 700ms, QuotaGate::s_window, 1ms) <= 10);
        const auto later = admitted(gate, start + 10s, 15s, 1ms);
        CPPUNIT_ASSERT(later >= 90 && later <= 110);
    }

    /** Each configuration change calls configure(), which must not reset the usage and grant the allowance again. */
    void newConfigurationKeepsUsage()
    {
        QuotaGate gate(7);
        gate.configure(quota(100, 50));
        gate.setAdmission(kavana, { 1, 10, 1s });
        admitted(gate, start, 100ms, 1ms);
        gate.configure(quota(50, 5));
        CPPUNIT_ASSERT_EQUAL(0, admitted(gate, start + 100ms, 100ms, 1ms));
    }

    /** Callers retry after the stated time; a request must be admitted about then. */
    void retryAfterMatchesTheAllowance()
    {
        QuotaGate gate(7);
        gate.configure(quota(20, 1));
        gate.setAdmission(kavana, { 1, 5, 1s });
        auto now = start;
        while (gate.tryAdmit(kavana, now))
            now += 1ms;
        const auto refused = gate.tryAdmit(kavana, now);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error() <= QuotaGate::s_window);
        // The previous window still counts in part at its end.
        CPPUNIT_ASSERT(gate.tryAdmit(kavana, now + refused.error() + QuotaGate::s_window / 4));
        gate.refund(kavana);
        CPPUNIT_ASSERT(gate.tryAdmit(kavana, now + refused.error() + QuotaGate::s_window / 4));
    }

    void unlimitedWorkspacesAreCountedOnly()
    {
        QuotaGate gate(7);
        gate.configure(quota(0, 0));
        CPPUNIT_ASSERT_EQUAL(1000, admitted(gate, start, 1s, 1ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1000 }, gate.takeDemand().at(kavana));
        CPPUNIT_ASSERT(gate.takeDemand().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaGateTest);
