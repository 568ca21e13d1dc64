// Isolation of requests that end servers: counting, exoneration by a response, and exchange between instances.

#include "SteeringFixtures.h"
#include "steering/CrashRegistry.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::steering_fixtures;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t harmful = 7;

CrashReport crash(int server, std::uint64_t content = harmful)
{
    return { content, BackendServerId("i-" + std::to_string(server)) };
}

}

class CrashRegistryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashRegistryTest);
    CPPUNIT_TEST(threeDifferentServersIsolateARequest);
    CPPUNIT_TEST(serverThatStartsAgainCanEndAgain);
    CPPUNIT_TEST(reportWithoutIncarnationIsNoFurtherEnd);
    CPPUNIT_TEST(sendsThatWereOpenTogetherCountOnce);
    CPPUNIT_TEST(responseExoneratesARequest);
    CPPUNIT_TEST(reportsOfAllInstancesCountTogether);
    CPPUNIT_TEST(oldReportsAreRemovedEverywhere);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(isolatedRequestIsRejectedAtAnyInstance);
    CPPUNIT_TEST(queuedAndRepeatedRequestsAreIsolatedToo);
    CPPUNIT_TEST_SUITE_END();

public:
    void threeDifferentServersIsolateARequest()
    {
        CrashRegistry registry({}, 1);
        registry.observe(crash(1), start);
        registry.observe(crash(2), start);
        registry.observe(crash(2), start);
        CPPUNIT_ASSERT(!registry.isIsolated(harmful));
        registry.observe(crash(3), start);
        CPPUNIT_ASSERT(registry.isIsolated(harmful));
        CPPUNIT_ASSERT(!registry.isIsolated(harmful + 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, registry.takeChanges(start).added.size());
    }

    /** With fewer than three servers, which start again under their ids, a request that ends them was never isolated
     *  (BUDGET, review/8). */
    void serverThatStartsAgainCanEndAgain()
    {
        for (const int servers : { 1, 2 }) {
            CrashRegistry registry({}, 1);
            for (int i = 0; i < 3; ++i) {
                CPPUNIT_ASSERT(!registry.isIsolated(harmful));
                auto report = crash(i % servers);
                report.incarnation = 100 + i;
                registry.observe(report, start);
                registry.observe(report, start); // Another copy of the request was there.
            }
            CPPUNIT_ASSERT(registry.isIsolated(harmful));
            registry.completed(harmful);
            CPPUNIT_ASSERT(!registry.isIsolated(harmful));
        }
    }

    /** Instances of an earlier build report the id of the server only. */
    void reportWithoutIncarnationIsNoFurtherEnd()
    {
        CrashRegistry registry({}, 1);
        registry.add(crash(1), start);
        auto report = crash(1);
        for (report.incarnation = 100; report.incarnation < 102; ++report.incarnation) {
            registry.observe(report, start);
            CPPUNIT_ASSERT(!registry.isIsolated(harmful));
        }
        registry.observe(report, start);
        CPPUNIT_ASSERT(registry.isIsolated(harmful));
    }

    /** When all servers lose power, or end behind a cut, a popular request is open at several of them. It is not what
     * ended them, and nothing would clear it while it is isolated. */
    void sendsThatWereOpenTogetherCountOnce()
    {
        CrashRegistry registry({}, 1);
        const auto observe = [&](int server, std::chrono::milliseconds sent, std::chrono::milliseconds lost) {
            auto report = crash(server);
            report.send = LostSend { sent, lost };
            registry.observe(report, start);
        };
        for (int i = 0; i < 5; ++i)
            observe(i, 1'000ms - i * 10ms, 1'001ms + i * 10ms);
        CPPUNIT_ASSERT(!registry.isIsolated(harmful));
        observe(5, 1'041ms, 1'100ms); // Sent once they were lost.
        CPPUNIT_ASSERT(!registry.isIsolated(harmful));
        observe(6, 1'100ms, 1'150ms);
        CPPUNIT_ASSERT(registry.isIsolated(harmful));
    }

    /** A popular request is often at servers that end for other reasons. */
    void responseExoneratesARequest()
    {
        CrashRegistry registry({}, 1);
        registry.observe(crash(1), start);
        registry.observe(crash(2), start);
        registry.takeChanges(start);
        registry.observe(crash(4), start);
        registry.completed(harmful);
        CPPUNIT_ASSERT(!registry.isIsolated(harmful));
        const auto changes = registry.takeChanges(start);
        CPPUNIT_ASSERT(changes.added.empty());
        CPPUNIT_ASSERT((changes.removed == std::vector { crash(1), crash(2) }));
    }

    /** The repeats of a harmful request come to any instance. No instance alone may see three servers end. */
    void reportsOfAllInstancesCountTogether()
    {
        CrashRegistry here({}, 1);
        CrashRegistry there({}, 2);
        here.observe(crash(1), start);
        here.observe(crash(2), start);
        for (const auto& report : here.takeChanges(start).added)
            there.add(report, start);
        there.observe(crash(3), start);
        CPPUNIT_ASSERT(there.isIsolated(harmful));
        for (const auto& report : there.takeChanges(start).added)
            here.add(report, start);
        CPPUNIT_ASSERT(here.isIsolated(harmful));
        there.remove(crash(3));
        CPPUNIT_ASSERT(!there.isIsolated(harmful));
    }

    void oldReportsAreRemovedEverywhere()
    {
        const CrashRegistryOptions options;
        CrashRegistry registry(options, 1);
        for (int i = 0; i < 3; ++i)
            registry.add(crash(i), start);
        CPPUNIT_ASSERT(registry.takeChanges(start + options.minimumRetention - 1s).removed.empty());
        CPPUNIT_ASSERT(registry.isIsolated(harmful));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 3 }, registry.takeChanges(start + options.maximumRetention + 1s).removed.size());
        CPPUNIT_ASSERT(!registry.isIsolated(harmful));
    }

    void memoryIsBounded()
    {
        CrashRegistryOptions options;
        options.maximumRequests = 10;
        CrashRegistry registry(options, 1);
        for (int i = 0; i < 3; ++i)
            registry.add(crash(i), start + 1s);
        for (std::uint64_t content = 100; content < 200; ++content)
            registry.add(crash(1, content), start);
        CPPUNIT_ASSERT(registry.isIsolated(harmful));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, registry.isolatedRequests());
    }

    /** A request that had ended three servers was sent on to one server after the other (BUDGET on lithoplan-edge). */
    void isolatedRequestIsRejectedAtAnyInstance()
    {
        TrafficSteering steering(options(), 1, m_log);
        steering.setRoutes(*RouteTable::create(data()));
        steering.setServers(servers(4, 4), start);
        for (int i = 0; i < 3; ++i)
            steering.crashes().add(crash(i), start); // As reported by another instance.
        auto caller = request("/lookup/x");
        caller.content = harmful;
        const auto actions = steering.begin(1, caller, start);
        const auto* reject = only<RejectRequest>(actions);
        CPPUNIT_ASSERT(reject && reject->reason == RejectReason::EndsServers);
        CPPUNIT_ASSERT(reject->retryAfter >= SteeringOptions {}.crashes.minimumRetention);
        auto other = request("/lookup/x");
        other.content = harmful + 1;
        CPPUNIT_ASSERT(only<SendToServer>(steering.begin(2, other, start)));
    }

    /** A request that waits, or that was running when the third server ended, must not be sent either. */
    void queuedAndRepeatedRequestsAreIsolatedToo()
    {
        TrafficSteering steering(options(), 1, m_log);
        steering.setRoutes(*RouteTable::create(data()));
        steering.setServers(servers(1, 1), start);
        auto caller = request("/lookup/x");
        caller.content = harmful;
        CPPUNIT_ASSERT(only<SendToServer>(steering.begin(1, caller, start)));
        CPPUNIT_ASSERT(only<SendToServer>(steering.begin(2, request("/lookup/x"), start)));
        CPPUNIT_ASSERT(steering.begin(3, caller, start).empty());
        for (int i = 0; i < 3; ++i)
            steering.crashes().add(crash(i), start);
        const auto rejected = steering.tick(start + 20ms);
        const auto* reject = only<RejectRequest>(rejected);
        CPPUNIT_ASSERT(reject && reject->request == 3 && reject->reason == RejectReason::EndsServers);
        const auto failed = steering.finished(1, { DispatchResult::Broken, {}, {}, {} }, start + 30ms);
        reject = only<RejectRequest>(failed);
        CPPUNIT_ASSERT(reject && reject->request == 1 && reject->reason == RejectReason::ServerFailed);
    }

private:
    NullEventLog m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashRegistryTest);
