// The model of a backend server in virtual time: capacity, cold start and reports that lag, freeze or lie.

#include "BackendServer.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

class BackendServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendServerTest);
    CPPUNIT_TEST(runsWaitsThenSheds);
    CPPUNIT_TEST(waitingJobTakesFreedSlotInOrder);
    CPPUNIT_TEST(cancelledWaitingJobNeverStarts);
    CPPUNIT_TEST(coldStartIsSlowUntilWarm);
    CPPUNIT_TEST(serviceTimesFollowMedianAndP99);
    CPPUNIT_TEST(reportLags);
    CPPUNIT_TEST(frozenReportKeepsItsState);
    CPPUNIT_TEST(falseReportHidesTheTruth);
    CPPUNIT_TEST(rejectsBadControl);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start { 100s };

    static BackendServer makeServer(std::uint32_t slots = 2, ServiceBehaviour behaviour = {})
    {
        BackendServerSettings settings;
        settings.slots = slots;
        return { settings, behaviour, 7 };
    }

public:
    void runsWaitsThenSheds()
    {
        auto server = makeServer();
        CPPUNIT_ASSERT(server.arrive(1, m_start) == Arrival::Run);
        CPPUNIT_ASSERT(server.arrive(2, m_start) == Arrival::Run);
        CPPUNIT_ASSERT(server.arrive(3, m_start) == Arrival::Wait);
        CPPUNIT_ASSERT(server.arrive(4, m_start) == Arrival::Wait);
        CPPUNIT_ASSERT(server.arrive(5, m_start) == Arrival::Shed);
        CPPUNIT_ASSERT_EQUAL(4U, server.report(m_start).inFlight);
    }

    void waitingJobTakesFreedSlotInOrder()
    {
        auto server = makeServer();
        for (JobId job = 1; job <= 4; ++job)
            server.arrive(job, m_start);
        CPPUNIT_ASSERT(server.leave(2, m_start) == JobId { 3 });
        CPPUNIT_ASSERT(server.leave(1, m_start) == JobId { 4 });
        CPPUNIT_ASSERT(!server.leave(3, m_start));
        CPPUNIT_ASSERT(!server.leave(4, m_start));
        CPPUNIT_ASSERT_EQUAL(0U, server.report(m_start).inFlight);
    }

    void cancelledWaitingJobNeverStarts()
    {
        auto server = makeServer();
        for (JobId job = 1; job <= 4; ++job)
            server.arrive(job, m_start);
        CPPUNIT_ASSERT(!server.leave(3, m_start));
        CPPUNIT_ASSERT(server.leave(1, m_start) == JobId { 4 });
        CPPUNIT_ASSERT(!server.leave(2, m_start));
    }

    void coldStartIsSlowUntilWarm()
    {
        ServiceBehaviour behaviour;
        behaviour.medianServiceTime = behaviour.p99ServiceTime = 10ms;
        behaviour.coldFactor = 5;
        behaviour.warmRuns = 4;
        auto server = makeServer(2, behaviour);
        for (const Duration expected : { 50ms, 40ms, 30ms, 20ms, 10ms, 10ms })
            CPPUNIT_ASSERT(server.drawServiceTime() == expected);
        server.startCold();
        CPPUNIT_ASSERT(server.drawServiceTime() == 50ms);
    }

    void serviceTimesFollowMedianAndP99()
    {
        ServiceBehaviour behaviour;
        behaviour.medianServiceTime = 20ms;
        behaviour.p99ServiceTime = 80ms;
        behaviour.warmRuns = 0;
        auto server = makeServer(2, behaviour);
        constexpr int draws = 20000;
        int overMedian = 0;
        int overP99 = 0;
        for (int i = 0; i < draws; ++i) {
            const auto time = server.drawServiceTime();
            overMedian += time > 20ms ? 1 : 0;
            overP99 += time > 80ms ? 1 : 0;
        }
        // Five standard deviations of a binomial count.
        CPPUNIT_ASSERT(std::abs(overMedian - draws / 2) < 354);
        CPPUNIT_ASSERT(std::abs(overP99 - draws / 100) < 71);
    }

    void reportLags()
    {
        auto server = makeServer();
        ServerControl control;
        control.reportLag = 2s;
        server.setControl(control, m_start);
        server.arrive(1, m_start + 10s);
        CPPUNIT_ASSERT_EQUAL(0U, server.report(m_start + 11999ms).inFlight);
        CPPUNIT_ASSERT_EQUAL(1U, server.report(m_start + 12s).inFlight);
        control.isDraining = true;
        server.setControl(control, m_start + 13s);
        CPPUNIT_ASSERT(!server.report(m_start + 14999ms).isDraining);
        CPPUNIT_ASSERT(server.report(m_start + 15s).isDraining);
    }

    void frozenReportKeepsItsState()
    {
        auto server = makeServer();
        server.arrive(1, m_start);
        ServerControl control;
        control.isReportFrozen = true;
        server.setControl(control, m_start + 1s);
        server.arrive(2, m_start + 2s);
        server.setControl(control, m_start + 3s); // Setting it again must not refresh the report.
        CPPUNIT_ASSERT_EQUAL(1U, server.report(m_start + 60s).inFlight);
        server.setControl({}, m_start + 60s);
        CPPUNIT_ASSERT_EQUAL(2U, server.report(m_start + 60s).inFlight);
    }

    void falseReportHidesTheTruth()
    {
        auto server = makeServer();
        server.arrive(1, m_start);
        const auto control = readSettings<ServerControl>(
            parseJsonWithComments(R"({"false_report":{"slots":99,"state":"draining"}})", "").value(), "",
            readServerControl);
        CPPUNIT_ASSERT(control.has_value());
        server.setControl(*control, m_start);
        CPPUNIT_ASSERT_EQUAL(0U, server.report(m_start).inFlight);
        CPPUNIT_ASSERT_EQUAL(99U, server.report(m_start).slots);
        CPPUNIT_ASSERT(server.report(m_start).isDraining);
    }

    void rejectsBadControl()
    {
        for (const auto* text : { R"({"drain":true})", R"({"shed_probability":2})", R"({"slow_factor":0})",
                 R"({"false_report":{"state":"gone","slots":1}})", R"({"false_report":{}})" }) {
            const auto control
                = readSettings<ServerControl>(parseJsonWithComments(text, "").value(), "", readServerControl);
            CPPUNIT_ASSERT_MESSAGE(text, !control);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendServerTest);
