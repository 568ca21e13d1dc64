// Whole runs of the product with one rule broken in the trial's wiring. Guards against a judge or a wiring that would
// miss a fault of the product.

#include "Trial.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::trial;

class NodeRunTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NodeRunTest);
    CPPUNIT_TEST(repeatsASeed);
    CPPUNIT_TEST(mutationsAreFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatsASeed()
    {
        TrialOptions options;
        options.length = std::chrono::seconds { 20 };
        options.faults = allFaults();
        options.faultInterval = 1;
        const TrialResult first = runTrial(options);
        const TrialResult second = runTrial(options);
        CPPUNIT_ASSERT_EQUAL(first.detailLine() + first.summaryLine(), second.detailLine() + second.summaryLine());
        CPPUNIT_ASSERT(first.callerCompleted > 1000);
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
            { Mutation::DoubleGrant, Rule::Rate, 0.1, { Fault::FlashDemand } },
            { Mutation::HideConfiguration, Rule::Withdrawal, 0.1, { Fault::OperatorChanges } },
            { Mutation::HideConfiguration, Rule::StaleConfiguration, 0.1, { Fault::OperatorChanges } },
            { Mutation::RevertConfiguration, Rule::RevertedConfiguration, 0.1, { Fault::OperatorChanges } },
            { Mutation::ForgeChange, Rule::LostChange, 0.1, { Fault::OperatorChanges } },
            { Mutation::SwapReplay, Rule::Replay, 0.1, {} },
            { Mutation::DoubleDispatch, Rule::DoubleRun, 0.1, {} },
            { Mutation::ForgeKey, Rule::Workspace, 0.1, {} },
            { Mutation::ClaimNotRun, Rule::FalseNotRun, 0.5, { Fault::BackendDeath } },
            { Mutation::HideLeaving, Rule::Leaving, 0.1, { Fault::BackendDrain } },
            { Mutation::DropAnswer, Rule::FinalAnswer, 0.1, {} },
            { Mutation::RepeatAnswer, Rule::FinalAnswer, 0.1, {} },
            { Mutation::CutStop, Rule::PlannedStop, 0.5, {} },
            { Mutation::RouteAway, Rule::RegionOverload, 1.0, {} },
            { Mutation::RouteAway, Rule::Link, 1.0, {} },
            { Mutation::ShiftLookups, Rule::ShiftCap, 0.1, {} },
        };
        for (const auto& [mutation, rule, load, faults] : cases) {
            TrialOptions options;
            options.length = std::chrono::seconds { 60 };
            options.load = load;
            options.faults = faults;
            options.faultInterval = 2;
            options.responseKilobytes = rule == Rule::Link ? 1000 : 100;
            for (const bool isMutated : { false, true }) {
                options.mutation = isMutated ? mutation : Mutation::None;
                const TrialResult result = runTrial(options);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(options) + " rule=" + std::string(enumName(rule)), isMutated,
                    result.violationsByRule.count(rule) > 0);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeRunTest);
