// The fleet under faults must never admit more than rate * w + burst in any window, and must keep serving. Each
// sabotaged double must be found by the same check, so that a check that finds nothing cannot pass.

#include "FleetSimulation.h"

#include "base/Assert.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

using namespace peridot;

namespace {

constexpr Duration second = std::chrono::seconds { 1 };

FaultRates allFaults()
{
    FaultRates faults;
    faults.loss = 0.02;
    faults.duplication = 0.02;
    faults.longDelay = 0.02;
    faults.storeAnswerLoss = 0.05;
    faults.storeLongDelay = 0.02;
    faults.clockRateError = 0.005;
    faults.eventsPerSecond = 0.5;
    return faults;
}

/** Workspaces beyond their rate, with demand that moves between regions, and with bursts. */
double mixedDemand(Duration time, std::size_t workspace, std::size_t region)
{
    const auto seconds = toSeconds(time);
    switch (workspace) {
    case 0:
        return 150;
    case 1:
        return static_cast<std::size_t>(seconds / 15) % 3 == region ? 80 : 4;
    case 2:
        return static_cast<std::int64_t>(seconds) % 4 == 0 ? 200 : 0;
    case 3: // Beyond a low rate with a high burst, which a ledger must not grant twice.
        return static_cast<std::size_t>(seconds / 12) % 3 == region ? 60 : 8;
    default: // All holders keep a few units when the burst comes.
        return static_cast<std::int64_t>(seconds * 2) % 10 == 9 ? 100 : 3;
    }
}

std::vector<BudgetShare> mixedWorkspaces()
{
    return { { 150'000, 100 }, { 100'000, 50 }, { 60'000, 200 }, { 20'000, 200 }, { 10'000, 20 } };
}

/** Two minutes with faults, changes of the rate, outages and the loss of a region; then half a minute without. */
void runWithFaults(FleetSimulation& fleet, std::uint64_t seed)
{
    fleet.run(20 * second, mixedDemand);
    fleet.setTotal(0, { 60'000, 40 });
    fleet.run(5 * second, mixedDemand);
    fleet.setTotal(1, { 150'000, 120 });
    fleet.run((5 + static_cast<int>(seed % 7)) * second, mixedDemand);
    fleet.setTotal(0, { 150'000, 100 });
    fleet.beginOutage();
    fleet.run((2 + static_cast<int>(seed % 11)) * second, mixedDemand);
    fleet.endOutage();
    fleet.run(10 * second, mixedDemand);
    const auto lost = seed % 3;
    fleet.killRegion(lost);
    fleet.run(25 * second, mixedDemand);
    fleet.reviveRegion(lost);
    fleet.setTotal(1, { 100'000, 50 });
    fleet.run(20 * second, mixedDemand);
    for (int n = 0; n < 10; ++n) {
        fleet.handOverAll();
        fleet.run(second, mixedDemand);
    }
    fleet.stopFaults();
    fleet.run(25 * second, mixedDemand);
}

std::uint64_t environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

}

class FleetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(neverOverspendsUnderFaults);
    CPPUNIT_TEST(servesThroughAnHourWithoutStore);
    CPPUNIT_TEST(findsEverySabotage);
    CPPUNIT_TEST(refusesNothingInSteadyDemandBelowTheRate);
    CPPUNIT_TEST(followsDemandThatMovesWithinTenSeconds);
    CPPUNIT_TEST(oneWorkspaceBeyondItsRateCostsTheOthersNothing);
    CPPUNIT_TEST_SUITE_END();

    static FleetOptions options(std::uint64_t seed, Sabotage sabotage = Sabotage::None)
    {
        FleetOptions options;
        options.seed = seed;
        options.workspaces = mixedWorkspaces();
        options.faults = allFaults();
        // The check is sharper without clock errors.
        if (seed % 2 == 1 || sabotage != Sabotage::None)
            options.faults.clockRateError = 0;
        options.sabotage = sabotage;
        return options;
    }

    /** Runs 30 s of @p before and 10 s of @p after, then counts wrongful refusals over 60 s; five seeds. */
    static double wrongfulPart(const BudgetShare& total, const DemandPattern& before, const DemandPattern& after)
    {
        std::int64_t requests = 0;
        std::int64_t wronglyRefused = 0;
        FleetOptions options;
        options.workspaces = { total };
        options.longestWait = std::chrono::milliseconds { 25 };
        for (options.seed = 1; options.seed <= 5; ++options.seed) {
            FleetSimulation fleet(options);
            fleet.run(30 * second, before);
            fleet.run(10 * second, after);
            fleet.resetFigures();
            fleet.run(60 * second, after);
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.overspent());
            requests += fleet.figures().front().requests;
            wronglyRefused += fleet.figures().front().wronglyRefused;
        }
        CPPUNIT_ASSERT(requests > 0);
        return static_cast<double>(wronglyRefused) / static_cast<double>(requests);
    }

    static DemandPattern constant(double perSecond, const std::vector<double>& parts)
    {
        return [=](Duration, std::size_t, std::size_t region) { return perSecond * parts[region]; };
    }

public:
    void neverOverspendsUnderFaults()
    {
        const auto first = environment("PERIDOT_SEED", 1);
        const auto count = environment("PERIDOT_SEEDS", 20);
        for (auto seed = first; seed < first + count; ++seed) {
            const auto message = "PERIDOT_SEED=" + std::to_string(seed);
            FleetSimulation fleet(options(seed));
            try {
                runWithFaults(fleet, seed);
            } catch (const InvariantViolation& error) {
                CPPUNIT_FAIL(message + " " + error.what());
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::int64_t { 0 }, fleet.overspent());
            CPPUNIT_ASSERT_MESSAGE(message + " took over no lease", fleet.acquisitions() > 3);
            CPPUNIT_ASSERT_MESSAGE(message + " moved no share", fleet.committedShareChanges() > 10);
            // Once the faults are over, the quiet workspace is served again, and the busy one gets most of its rate.
            fleet.resetFigures();
            fleet.run(20 * second, mixedDemand);
            const auto& figures = fleet.figures();
            CPPUNIT_ASSERT_MESSAGE(message + " serves too little", figures[0].admitted > 20 * 150 * 9 / 10);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::int64_t { 0 }, fleet.overspent());
        }
    }

    void servesThroughAnHourWithoutStore()
    {
        auto calm = options(1);
        calm.faults = {};
        calm.faults.loss = 0.01;
        calm.faults.clockRateError = 0.005;
        calm.workspaces = { { 20'000, 40 } };
        calm.longestWait = std::chrono::milliseconds { 25 };
        FleetSimulation fleet(calm);
        const auto demand = constant(15, { 0.4, 0.3, 0.3 });
        fleet.run(20 * second, demand);
        fleet.beginOutage();
        fleet.resetFigures();
        fleet.run(3600 * second, demand);
        const auto& figures = fleet.figures().front();
        CPPUNIT_ASSERT(figures.admitted > figures.requests * 9 / 10);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.overspent());
        fleet.endOutage();
        fleet.run(20 * second, demand);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.overspent());
    }

    void findsEverySabotage()
    {
        for (const auto sabotage : { Sabotage::HolderIgnoresExpiry, Sabotage::HolderHidesHeldUnits,
                 Sabotage::GrantsDoubled, Sabotage::GrowthBeforeWrite, Sabotage::SnapshotHidesOutstanding }) {
            bool isFound = false;
            for (std::uint64_t seed = 1; seed <= 40 && !isFound; ++seed) {
                FleetSimulation fleet(options(seed, sabotage));
                try {
                    runWithFaults(fleet, seed);
                    isFound = fleet.overspent() > 0;
                } catch (const InvariantViolation&) {
                    isFound = true;
                }
            }
            CPPUNIT_ASSERT_MESSAGE(
                "sabotage " + std::to_string(static_cast<int>(sabotage)) + " was not found", isFound);
        }
    }

    void refusesNothingInSteadyDemandBelowTheRate()
    {
        for (const auto& total : { BudgetShare { 1'000'000, 1000 }, BudgetShare { 200'000, 400 } }) {
            const auto demand = constant(static_cast<double>(total.rate) / 1000 * 0.88, { 0.4, 0.35, 0.25 });
            CPPUNIT_ASSERT_EQUAL(0.0, wrongfulPart(total, demand, demand));
        }
    }

    void followsDemandThatMovesWithinTenSeconds()
    {
        for (const auto& total : { BudgetShare { 1'000'000, 1000 }, BudgetShare { 200'000, 400 } }) {
            const auto perSecond = static_cast<double>(total.rate) / 1000 * 0.85;
            CPPUNIT_ASSERT(
                wrongfulPart(total, constant(perSecond, { 1, 0, 0 }), constant(perSecond, { 0, 0, 1 })) <= 0.001);
            CPPUNIT_ASSERT(
                wrongfulPart(total, constant(perSecond, { 0.6, 0.3, 0.1 }), constant(perSecond, { 0.1, 0.2, 0.7 }))
                <= 0.001);
            // A region that is short of little must not be left out.
            CPPUNIT_ASSERT(
                wrongfulPart(total, constant(perSecond, { 0.9, 0.05, 0.05 }), constant(perSecond, { 0, 0.1, 0.9 }))
                <= 0.001);
        }
    }

    void oneWorkspaceBeyondItsRateCostsTheOthersNothing()
    {
        FleetOptions options;
        options.workspaces.assign(3, { 300'000, 300 });
        options.longestWait = std::chrono::milliseconds { 25 };
        FleetSimulation fleet(options);
        const DemandPattern demand
            = [](Duration, std::size_t workspace, std::size_t) { return workspace == 0 ? 1000 : 50; };
        fleet.run(20 * second, demand);
        fleet.resetFigures();
        fleet.run(30 * second, demand);
        CPPUNIT_ASSERT(fleet.figures()[0].refused > 0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.figures()[1].refused);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.figures()[2].refused);
        CPPUNIT_ASSERT(fleet.figures()[0].admitted > 30 * 300 * 9 / 10);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.overspent());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
