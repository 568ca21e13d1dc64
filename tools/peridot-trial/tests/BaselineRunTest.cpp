// Whole runs of the baselines. Guards against runs that differ for one seed, and against wiring in which a broken rule
// goes unseen.

#include "Trial.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::trial;

namespace {

TrialOptions shortRun(Policy policy)
{
    TrialOptions options;
    options.policy = policy;
    options.length = std::chrono::seconds { 20 };
    return options;
}

std::uint64_t violations(const TrialResult& result, Rule rule)
{
    const auto it = result.violationsByRule.find(rule);
    return it == result.violationsByRule.end() ? 0 : it->second;
}

}

class BaselineRunTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BaselineRunTest);
    CPPUNIT_TEST(repeatsASeed);
    CPPUNIT_TEST(staticSplitStaysWithinTheRate);
    CPPUNIT_TEST(localCountersOverspend);
    CPPUNIT_TEST(mutationsAreFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatsASeed()
    {
        TrialOptions options = shortRun(Policy::StaticSplit);
        options.faults = allFaults();
        options.faultInterval = 1;
        const TrialResult first = runTrial(options);
        const TrialResult second = runTrial(options);
        CPPUNIT_ASSERT_EQUAL(first.detailLine() + first.summaryLine(), second.detailLine() + second.summaryLine());
        options.seed = 2;
        CPPUNIT_ASSERT(first.detailLine() != runTrial(options).detailLine());
    }

    void staticSplitStaysWithinTheRate()
    {
        TrialOptions options = shortRun(Policy::StaticSplit);
        options.scenario = Scenario::Flash;
        const TrialResult result = runTrial(options);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, violations(result, Rule::Rate));
        CPPUNIT_ASSERT(result.counts.admitted > 4000);
        CPPUNIT_ASSERT(result.counts.rateRefusals > 0);
    }

    void localCountersOverspend()
    {
        TrialOptions options = shortRun(Policy::LocalCounters);
        options.scenario = Scenario::Flash;
        CPPUNIT_ASSERT(violations(runTrial(options), Rule::Rate) > 100);
    }

    void mutationsAreFound()
    {
        struct Case {
            Mutation mutation;
            Rule rule;
            double load;
            std::set<Fault> faults;
        };
        const Case cases[] = {
            { Mutation::DoubleDispatch, Rule::DoubleRun, 0.1, {} },
            { Mutation::ForgeKey, Rule::Workspace, 0.1, {} },
            { Mutation::ClaimNotRun, Rule::FalseNotRun, 0.5, { Fault::BackendDeath } },
            { Mutation::HideLeaving, Rule::Leaving, 0.1, { Fault::BackendDrain } },
            { Mutation::DropAnswer, Rule::FinalAnswer, 0.1, {} },
            { Mutation::RepeatAnswer, Rule::FinalAnswer, 0.1, {} },
            { Mutation::CutStop, Rule::PlannedStop, 1.0, {} },
            { Mutation::RouteAway, Rule::RegionOverload, 1.0, {} },
            { Mutation::RouteAway, Rule::Link, 1.0, {} },
            { Mutation::ShiftLookups, Rule::ShiftCap, 0.1, {} },
        };
        for (const auto& [mutation, rule, load, faults] : cases) {
            // The policy that breaks none of the rules of the table by itself.
            TrialOptions options = shortRun(Policy::NearestOnly);
            options.load = load;
            options.faults = faults;
            options.faultInterval = 1;
            options.responseKilobytes = rule == Rule::Link ? 1000 : 100;
            for (const bool isMutated : { false, true }) {
                options.mutation = isMutated ? mutation : Mutation::None;
                const std::uint64_t found = violations(runTrial(options), rule);
                const std::string name = describe(options) + " rule=" + std::string(enumName(rule));
                // Baselines have no idempotency claims, so retries of callers run twice without a mutation too.
                const bool isFound = rule == Rule::DoubleRun ? found > 20 : found > 0;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, isMutated, isFound);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaselineRunTest);
