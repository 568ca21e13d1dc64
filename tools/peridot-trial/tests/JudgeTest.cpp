// Guards against a judge that stays silent: each case breaks one rule in what callers, backend servers or operators
// see, beside the allowed course of events.

#include "Judge.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t idempotentClass = 0;
constexpr std::size_t bookingClass = 3;

/** A judge over the plesni-caj deployment with one accepted configuration. */
struct Fixture {
    Deployment deployment = *deploymentByName("plesni-caj", 1);
    Verdict verdict;
    Judge judge { deployment, verdict, 10 };
    AcceptedConfiguration configuration;

    Fixture()
    {
        configuration.version = 1;
        for (const WorkspaceShape& it : deployment.workspaces)
            configuration.workspaces[it.id] = { 100, 10 };
        configuration.keys = { { "k1", deployment.workspaces[0].id } };
        judge.configurationAccepted(configuration, seconds { 0 });
    }

    RequestIndex send(std::size_t trafficClass, VirtualTime now, const std::string& idempotencyKey = "")
    {
        SentRequest request;
        request.trafficClass = trafficClass;
        request.keyId = "k1";
        request.idempotencyKey = idempotencyKey;
        request.sentAt = now;
        request.timeout = seconds { 1 };
        return judge.sent(request);
    }

    void dispatch(RequestIndex index, VirtualTime now, std::uint64_t version = 1)
    {
        SeenDispatch seen;
        seen.request = index;
        seen.version = version;
        judge.dispatched(seen, now);
        judge.ran(index, now);
    }

    std::uint64_t count(Rule rule) const { return verdict.violations(rule); }
};

const Answer completed { AnswerKind::Completed, RunState::Unknown, {}, {} };
const Answer notRun { AnswerKind::Refused, RunState::NotRun, "overloaded", {} };

}

class JudgeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JudgeTest);
    CPPUNIT_TEST(acceptsAnOrdinaryRequest);
    CPPUNIT_TEST(findsDoubleRuns);
    CPPUNIT_TEST(findsDoubleRunsOfAnIdempotencyKey);
    CPPUNIT_TEST(findsFalseNotRun);
    CPPUNIT_TEST(findsRunsWithoutAKey);
    CPPUNIT_TEST(findsLateDispatchesOfAWithdrawnKey);
    CPPUNIT_TEST(findsStaleAndRevertedConfigurations);
    CPPUNIT_TEST(findsMissingAndRepeatedAnswers);
    CPPUNIT_TEST(findsWorkForALeavingServer);
    CPPUNIT_TEST(findsOverloadBySteeringOnly);
    CPPUNIT_TEST(findsFullLinks);
    CPPUNIT_TEST(findsShiftsAboveTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsAnOrdinaryRequest()
    {
        Fixture it;
        const RequestIndex index = it.send(bookingClass, seconds { 1 });
        it.dispatch(index, seconds { 1 });
        it.judge.answered(index, completed, seconds { 1 } + milliseconds { 50 });
        it.judge.finish(seconds { 9 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, it.verdict.violations());
        CPPUNIT_ASSERT(it.verdict.checks() > 5);
    }

    void findsDoubleRuns()
    {
        Fixture it;
        const RequestIndex index = it.send(bookingClass, seconds { 1 });
        it.dispatch(index, seconds { 1 });
        it.judge.ran(index, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::DoubleRun));
        const RequestIndex idempotent = it.send(idempotentClass, seconds { 1 });
        it.dispatch(idempotent, seconds { 1 });
        it.judge.ran(idempotent, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::DoubleRun));
    }

    void findsDoubleRunsOfAnIdempotencyKey()
    {
        Fixture it;
        it.dispatch(it.send(bookingClass, seconds { 1 }, "order-1"), seconds { 1 });
        it.dispatch(it.send(bookingClass, seconds { 2 }, "order-2"), seconds { 2 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, it.count(Rule::DoubleRun));
        it.dispatch(it.send(bookingClass, seconds { 3 }, "order-1"), seconds { 3 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::DoubleRun));
    }

    void findsFalseNotRun()
    {
        Fixture it;
        const RequestIndex before = it.send(bookingClass, seconds { 1 });
        it.dispatch(before, seconds { 1 });
        it.judge.answered(before, notRun, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::FalseNotRun));
        const RequestIndex after = it.send(bookingClass, seconds { 1 });
        it.judge.answered(after, notRun, seconds { 1 });
        it.judge.ran(after, seconds { 2 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, it.count(Rule::FalseNotRun));
    }

    void findsRunsWithoutAKey()
    {
        Fixture it;
        SentRequest request;
        request.trafficClass = idempotentClass;
        request.keyUse = KeyUse::Wrong;
        it.dispatch(it.judge.sent(request), seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::Workspace));
    }

    void findsLateDispatchesOfAWithdrawnKey()
    {
        Fixture it;
        it.configuration.version = 2;
        it.configuration.keys.clear();
        it.judge.configurationAccepted(it.configuration, seconds { 10 });
        it.dispatch(it.send(idempotentClass, seconds { 15 }), seconds { 15 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, it.count(Rule::Withdrawal));
        it.dispatch(it.send(idempotentClass, seconds { 15 }), seconds { 15 } + milliseconds { 1 }, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::Withdrawal));
    }

    void findsStaleAndRevertedConfigurations()
    {
        Fixture it;
        it.configuration.version = 2;
        it.judge.configurationAccepted(it.configuration, seconds { 10 });
        it.dispatch(it.send(idempotentClass, seconds { 14 }), seconds { 14 }, 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, it.count(Rule::StaleConfiguration));
        it.dispatch(it.send(idempotentClass, seconds { 16 }), seconds { 16 }, 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::StaleConfiguration));
        it.judge.undisturbedInstance(0, 1, seconds { 16 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, it.count(Rule::StaleConfiguration));
        it.judge.versionSeen(0, 1, 2, seconds { 16 });
        it.judge.versionSeen(0, 2, 0, seconds { 17 }); // A new process.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, it.count(Rule::RevertedConfiguration));
        it.judge.versionSeen(0, 2, 2, seconds { 18 });
        it.judge.versionSeen(0, 2, 1, seconds { 19 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::RevertedConfiguration));
    }

    void findsMissingAndRepeatedAnswers()
    {
        Fixture it;
        it.send(idempotentClass, seconds { 1 });
        const RequestIndex left = it.send(idempotentClass, seconds { 1 });
        it.judge.callerLeft(left);
        const RequestIndex twice = it.send(idempotentClass, seconds { 1 });
        it.judge.answered(twice, notRun, seconds { 1 });
        it.judge.answered(twice, notRun, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::FinalAnswer));
        it.judge.finish(seconds { 9 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, it.count(Rule::FinalAnswer));
        const RequestIndex late = it.send(idempotentClass, seconds { 10 });
        it.judge.answered(late, notRun, seconds { 13 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, it.count(Rule::FinalAnswer));
    }

    void findsWorkForALeavingServer()
    {
        Fixture it;
        it.judge.dispatchedToLeaving("salonik-0", 0, seconds { 1 }, seconds { 4 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, it.count(Rule::Leaving));
        it.judge.dispatchedToLeaving("salonik-0", 0, seconds { 1 }, seconds { 4 } + milliseconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, it.count(Rule::Leaving));
    }

    void findsOverloadBySteeringOnly()
    {
        for (const bool isSteered : { false, true }) {
            Deployment deployment = *deploymentByName("plesni-caj", 1);
            Verdict verdict;
            LoadWatch watch(deployment, verdict);
            watch.slotsChanged(0, 1, 40, seconds { 0 });
            for (int n = 0; n < 60; ++n)
                watch.began(0, 1, 1, isSteered, 0, seconds { 0 });
            for (int n = 1; n <= 10; ++n)
                watch.sample(n * milliseconds { 100 });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, verdict.violations());
            watch.sample(milliseconds { 1200 });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { isSteered ? 1U : 0U }, verdict.violations(Rule::RegionOverload));
        }
    }

    void findsFullLinks()
    {
        const Deployment deployment = *deploymentByName("plesni-caj", 1);
        Verdict verdict;
        LoadWatch watch(deployment, verdict);
        const std::uint64_t capacity = deployment.linkMegabitsPerSecond * 1000 * 1000 / 8;
        watch.began(0, 0, 1, false, capacity - 1000, seconds { 0 });
        watch.sample(milliseconds { 100 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, verdict.violations());
        watch.ended(0, 1, 0, false, 2000, seconds { 0 }); // The response takes the same direction.
        watch.sample(milliseconds { 200 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, verdict.violations(Rule::Link));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, watch.linkExcess());
    }

    void findsShiftsAboveTheCap()
    {
        const Deployment deployment = *deploymentByName("plesni-caj", 1);
        Verdict verdict;
        ShiftWatch watch(deployment, verdict, 10);
        for (int n = 0; n < 10; ++n)
            watch.lookedUp(0, 1, seconds { 1 });
        watch.lookedUp(1, 1, seconds { 1 });
        watch.lookedUp(0, std::nullopt, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, verdict.violations());
        watch.lookedUp(0, 1, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, verdict.violations(Rule::ShiftCap));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JudgeTest);
