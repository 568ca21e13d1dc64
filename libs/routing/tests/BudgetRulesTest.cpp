// Rules that cap growth: retries, shifts between regions and spill into another region.

#include "routing/RetryBudget.h"
#include "routing/ShiftRamp.h"
#include "routing/SpillPolicy.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const RegionId jadran("jadran");
const RegionId slavonija("slavonija");
const RegionId zagorje("zagorje");

SpillRequest request(Duration remaining) { return { ServiceId("salonik"), remaining, 20ms, 1200, 50000 }; }
SpillRegion local(double headroom, Duration wait) { return { jadran, 0ms, headroom, wait, false }; }

}

class BudgetRulesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BudgetRulesTest);
    CPPUNIT_TEST(fullOutageStaysUnderTheShare);
    CPPUNIT_TEST(retriesReachTheirShare);
    CPPUNIT_TEST(shiftStaysUnderItsCaps);
    CPPUNIT_TEST(smallHomeRegionGetsItsDemand);
    CPPUNIT_TEST(endedShiftStartsAgainFromTheBottom);
    CPPUNIT_TEST(spillStaysLocalWithoutNeed);
    CPPUNIT_TEST(spillPicksRegionThatMeetsTheTarget);
    CPPUNIT_TEST(spillNamesItsUnits);
    CPPUNIT_TEST_SUITE_END();

public:
    /** In a full outage, attempts must not exceed 1.1 per request at any moment, whatever the bursts. */
    void fullOutageStaysUnderTheShare()
    {
        std::mt19937_64 random(3);
        RetryBudget budget({});
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
        auto now = start;
        for (int i = 0; i < 200000; ++i) {
            now += Duration { static_cast<std::int64_t>(random() % 1000 ? random() % 2000 : random() % 20000000) };
            if (random() % 3) {
                budget.requestStarted(now);
                ++requests;
            }
            while (budget.tryRetry(now))
                ++retries;
            CPPUNIT_ASSERT(static_cast<double>(retries) <= 0.1 * static_cast<double>(requests));
        }
        CPPUNIT_ASSERT(retries > requests / 12);
    }

    /** The budget must not refuse what it allows: with steady traffic nearly a tenth is retried. */
    void retriesReachTheirShare()
    {
        RetryBudget budget({});
        CPPUNIT_ASSERT(!budget.tryRetry(start));
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.requestStarted(start + i * 10ms);
            retries += budget.tryRetry(start + i * 10ms);
        }
        CPPUNIT_ASSERT(retries >= 990 && retries <= 1000);
    }

    /** A shift must not exceed the receiver's headroom or land on it faster than the growth cap allows. */
    void shiftStaysUnderItsCaps()
    {
        std::mt19937_64 random(4);
        ShiftRamp ramp({ 20, 10 });
        auto now = start;
        double before = 0;
        for (int i = 0; i < 5000; ++i) {
            const auto step = Duration { static_cast<std::int64_t>(random() % 1500000) };
            now += step;
            const auto headroom = static_cast<double>(random() % 200) - 10;
            ramp.update(now,
                { { jadran, static_cast<double>(random() % 90) }, { zagorje, static_cast<double>(random() % 90) } },
                headroom);
            CPPUNIT_ASSERT(ramp.totalRate() <= std::max(0.0, headroom) + 1e-6);
            CPPUNIT_ASSERT(ramp.totalRate() <= std::max(20.0, before + 10 * toSeconds(step)) + 1e-6);
            before = ramp.totalRate();
        }
        for (int i = 0; i < 20; ++i)
            ramp.update(now += 1s, { { jadran, 500 } }, 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, ramp.rate(jadran), 1e-6);
    }

    /** A large lost region must not keep a small one from shifting. */
    void smallHomeRegionGetsItsDemand()
    {
        ShiftRamp ramp({ 20, 10 });
        ramp.update(start, { { jadran, 1000 }, { zagorje, 4 } }, 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, ramp.rate(zagorje), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(16, ramp.rate(jadran), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, ramp.rate(slavonija), 0);
        ramp.update(start, { { jadran, 1000 }, { zagorje, 500 } }, 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, ramp.rate(zagorje), 1e-9);
    }

    /** Caches are cold again after a shift ended; the next one must not start at the old rate. */
    void endedShiftStartsAgainFromTheBottom()
    {
        ShiftRamp ramp({ 20, 10 });
        for (int i = 0; i < 10; ++i)
            ramp.update(start + i * 1s, { { jadran, 1000 } }, 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(110, ramp.totalRate(), 1e-6);
        ramp.update(start + 10s, {}, 1000);
        ramp.update(start + 11s, { { jadran, 1000 } }, 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, ramp.totalRate(), 1e-6);
    }

    /** Spill costs delay and link capacity; it must not happen while the local region meets the target. */
    void spillStaysLocalWithoutNeed()
    {
        const SpillPolicy policy({});
        const std::vector<SpillRegion> others = { { zagorje, 5ms, 0.9, 0ms, false } };
        CPPUNIT_ASSERT(policy.choose(request(200ms), local(0.1, 0ms), others).error() == StayReason::LocalHasHeadroom);
        CPPUNIT_ASSERT(policy.choose(request(200ms), local(0, 100ms), others).error() == StayReason::LocalMeetsTarget);
        CPPUNIT_ASSERT(policy.choose(request(200ms), local(0, 300ms), others));
        auto drained = local(0.5, 0ms);
        drained.isDrained = true;
        CPPUNIT_ASSERT(policy.choose(request(200ms), drained, others));
    }

    /** Spill must not send work where it is late or where it overloads the receiver. */
    void spillPicksRegionThatMeetsTheTarget()
    {
        const SpillPolicy policy({});
        const std::vector<SpillRegion> others
            = { { zagorje, 55ms, 0.9, 0ms, false }, { slavonija, 12ms, 0.3, 0ms, false },
                  { RegionId("drained"), 1ms, 1, 0ms, true }, { RegionId("full"), 1ms, 0.05, 0ms, false } };
        const auto both = policy.choose(request(200ms), local(0, 1s), others);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, both->size());
        CPPUNIT_ASSERT(both->front().region == slavonija);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, policy.choose(request(100ms), local(0, 1s), others)->size());
        CPPUNIT_ASSERT(policy.choose(request(40ms), local(0, 1s), others).error() == StayReason::NoHeadroomElsewhere);
        CPPUNIT_ASSERT(
            policy.choose(request(10ms), local(0, 1s), others).error() == StayReason::TargetUnreachableElsewhere);
    }

    /** A decision that omits a budget would break the cap of that budget. */
    void spillNamesItsUnits()
    {
        const auto decision
            = SpillPolicy({}).choose(request(200ms), local(0, 1s), { { zagorje, 5ms, 0.9, 0ms, false } })->front();
        const std::vector<BudgetNeed> expected = { { { BudgetKind::SpillIn, "salonik" }, 1, zagorje },
            { { BudgetKind::Link, "jadran>zagorje" }, 2, jadran },
            { { BudgetKind::Link, "zagorje>jadran" }, 50, zagorje } };
        CPPUNIT_ASSERT(decision.needs == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetRulesTest);
