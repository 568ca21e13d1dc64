// Rules of the backend pool, one at a time; their interplay is tested in ServiceSimulationTest.

#include "routing/BackendPool.h"

#include "base/Assert.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

BackendServerId id(std::size_t n) { return BackendServerId("b" + std::to_string(n)); }

std::vector<BackendServerInfo> servers(std::size_t count, std::uint32_t slots = 8, std::uint32_t connections = 360)
{
    std::vector<BackendServerInfo> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({ id(i), "10.0.0." + std::to_string(i) + ":80", slots, connections, false });
    return list;
}

std::vector<InstanceId> instances(std::size_t count)
{
    std::vector<InstanceId> result;
    for (std::size_t i = 0; i < count; ++i)
        result.emplace_back("instance" + std::to_string(i));
    return result;
}

}

class BackendPoolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendPoolTest);
    CPPUNIT_TEST(leavingServerGetsNoNewWork);
    CPPUNIT_TEST(namesWhyThereIsNoServer);
    CPPUNIT_TEST(instancesTogetherKeepConnectionLimits);
    CPPUNIT_TEST(ejectsAtMostAThird);
    CPPUNIT_TEST(ejectionsBackOff);
    CPPUNIT_TEST(removalOfServersKeepsTheCap);
    CPPUNIT_TEST(coldServerStartsSlowly);
    CPPUNIT_TEST(prefersServerWithLessReportedLoad);
    CPPUNIT_TEST(prefersServerWithLessOfItsOwnWork);
    CPPUNIT_TEST(avoidsServerThatSheds);
    CPPUNIT_TEST(oldReportLosesItsWeight);
    CPPUNIT_TEST(contradictedReportsLoseTrust);
    CPPUNIT_TEST(latencyContradictsReports);
    CPPUNIT_TEST(shedsLowerTheConcurrencyLimit);
    CPPUNIT_TEST(fullServersGetNoMoreThanTheFairShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_random.seed(1);
        m_pool = std::make_unique<BackendPool>(
            ServiceId("salonik"), InstanceId("instance0"), BackendPoolOptions {}, m_random);
    }

    void leavingServerGetsNoNewWork()
    {
        auto list = servers(2);
        m_pool->setServers(start, list);
        m_pool->started(start, id(0), 1);
        list[0].isLeaving = true;
        m_pool->setServers(start, list);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(m_pool->choose(start, 1).value().server == id(1));
        // Missing from the list means the same, also with requests running.
        m_pool->setServers(start, servers(2));
        m_pool->setServers(start, { list[1] });
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(m_pool->choose(start, 1).value().server == id(1));
        CPPUNIT_ASSERT_THROW(m_pool->started(start, id(0), 1), InvariantViolation);
        m_pool->setServers(start, { list[1] });
        m_pool->finished(start + 1s, id(0), 1, BackendOutcome::Succeeded, 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_pool->servers(start + 1s).size());
        CPPUNIT_ASSERT_EQUAL(0U, m_pool->inFlight());
    }

    void namesWhyThereIsNoServer()
    {
        CPPUNIT_ASSERT(m_pool->choose(start, 1).error() == NoBackendReason::NoServers);
        m_pool->setServers(start, servers(1, 1));
        CPPUNIT_ASSERT(m_pool->choose(start, 1, std::vector { id(0) }).error() == NoBackendReason::AllExcluded);
        m_pool->started(start, m_pool->choose(start, 1).value().server, 1);
        CPPUNIT_ASSERT(m_pool->choose(start, 1).error() == NoBackendReason::AllAtLimit);
        m_pool->finished(start, id(0), 1, BackendOutcome::Cancelled, 1ms);
        CPPUNIT_ASSERT(m_pool->choose(start, 1));
        // A tenth of the connections is kept for instances that are not in the view yet.
        setUp();
        m_pool->setServers(start, servers(1, 8, 4));
        for (int i = 0; i < 3; ++i)
            m_pool->started(start, m_pool->choose(start, 1).value().server, 1);
        CPPUNIT_ASSERT(m_pool->choose(start, 1).error() == NoBackendReason::AllAtLimit);
    }

    /** A server at its connection limit refuses all instances, also those within their share. */
    void instancesTogetherKeepConnectionLimits()
    {
        for (const auto& [instanceCount, serverCount, connections] :
            { std::tuple(11, 16, 360), std::tuple(187, 16, 360), std::tuple(700, 12, 390), std::tuple(60, 5, 40) }) {
            const auto all = instances(static_cast<std::size_t>(instanceCount));
            std::map<BackendServerId, std::uint32_t> sums;
            for (const auto& self : all) {
                BackendPool pool(ServiceId("salonik"), self, {}, m_random);
                pool.setEntryInstances(all);
                pool.setServers(
                    start, servers(static_cast<std::size_t>(serverCount), 8, static_cast<std::uint32_t>(connections)));
                std::uint32_t own = 0;
                for (const auto& server : pool.servers(start)) {
                    sums[server.id] += server.connectionLimit;
                    own += server.connectionLimit;
                }
                CPPUNIT_ASSERT_MESSAGE("each instance reaches a server", own > 0);
            }
            for (const auto& [server, sum] : sums)
                CPPUNIT_ASSERT(sum <= static_cast<std::uint32_t>(connections));
        }
    }

    /** Ejecting many servers would overload the rest. */
    void ejectsAtMostAThird()
    {
        m_pool->setServers(start, servers(12));
        for (int i = 0; i < 600; ++i) {
            const auto server = id(static_cast<std::size_t>(i) % 12);
            m_pool->started(start, server, 1);
            m_pool->finished(start, server, 1, BackendOutcome::Failed, 1ms);
        }
        CPPUNIT_ASSERT_EQUAL(4L, ejectedCount(start));
        CPPUNIT_ASSERT_EQUAL(64U, m_pool->usableSlots(start));
    }

    void ejectionsBackOff()
    {
        m_pool->setServers(start, servers(3));
        auto now = start;
        for (const Duration expected : { 1s, 2s, 4s, 8s }) {
            for (int i = 0; i < 3; ++i)
                m_pool->probeFailed(now, id(0));
            CPPUNIT_ASSERT_EQUAL(1L, ejectedCount(now + expected - 1ms));
            CPPUNIT_ASSERT_EQUAL(0L, ejectedCount(now + expected * 11 / 10 + 1ms));
            now += expected * 11 / 10 + 1ms;
        }
        now += 11s; // Has worked for a whole slow start: counts from the beginning.
        for (int i = 0; i < 5; ++i) {
            m_pool->started(now, id(0), 1);
            m_pool->finished(now, id(0), 1, BackendOutcome::Failed, 1ms);
        }
        CPPUNIT_ASSERT_EQUAL(1L, ejectedCount(now));
        CPPUNIT_ASSERT_EQUAL(0L, ejectedCount(now + 1101ms));
    }

    void removalOfServersKeepsTheCap()
    {
        m_pool->setServers(start, servers(12));
        for (std::size_t server = 0; server < 4; ++server) {
            for (int i = 0; i < 3; ++i)
                m_pool->probeFailed(start, id(server));
        }
        CPPUNIT_ASSERT_EQUAL(4L, ejectedCount(start));
        m_pool->setServers(start, servers(6));
        CPPUNIT_ASSERT_EQUAL(2L, ejectedCount(start));
    }

    /** A cold server that gets its full share at once sheds or answers late. */
    void coldServerStartsSlowly()
    {
        m_pool->setServers(start, servers(8));
        m_pool->setServers(start, servers(9));
        const auto shareOfNew = [&](TimePoint now) {
            int count = 0;
            for (int i = 0; i < 2000; ++i)
                count += m_pool->choose(now, 1).value().server == id(8);
            return count / 2000.0;
        };
        const auto atStart = shareOfNew(start);
        const auto half = shareOfNew(start + 5s);
        const auto full = shareOfNew(start + 10s);
        CPPUNIT_ASSERT(atStart < 0.03);
        CPPUNIT_ASSERT(half > atStart && half < full);
        CPPUNIT_ASSERT(full > 0.08 && full < 0.14);
    }

    void prefersServerWithLessReportedLoad()
    {
        m_pool->setServers(start, servers(2));
        m_pool->report(start, id(0), { 6, 0 }, 0ms);
        m_pool->report(start, id(1), { 1, 0 }, 0ms);
        CPPUNIT_ASSERT(timesChosen(id(1), start, 400) > 350);
    }

    /** Without reports, only its own requests tell an instance which server is busy. */
    void prefersServerWithLessOfItsOwnWork()
    {
        m_pool->setServers(start, servers(2));
        for (int i = 0; i < 3; ++i)
            m_pool->started(start, id(0), 1);
        CPPUNIT_ASSERT(timesChosen(id(1), start, 400) > 350);
    }

    /** A server that sheds is full whatever it reports; retries and new requests belong elsewhere for a while. */
    void avoidsServerThatSheds()
    {
        m_pool->setServers(start, servers(2));
        for (int i = 0; i < 3; ++i) {
            m_pool->started(start, id(0), 1);
            m_pool->finished(start, id(0), 1, BackendOutcome::Shed, 1ms);
        }
        CPPUNIT_ASSERT(timesChosen(id(1), start, 400) > 350);
        CPPUNIT_ASSERT(timesChosen(id(1), start + 20s, 400) < 250);
    }

    /** A frozen report must not steer for long. */
    void oldReportLosesItsWeight()
    {
        m_pool->setServers(start, servers(2));
        m_pool->report(start, id(0), { 6, 0 }, 0ms);
        m_pool->report(start, id(1), { 1, 0 }, 0ms);
        const auto views = m_pool->servers(start + 10s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(views[0].estimatedLoad, views[1].estimatedLoad, 0.01);
    }

    /** A server that says it is idle while it refuses work, and one that says less than this instance runs there. */
    void contradictedReportsLoseTrust()
    {
        m_pool->setServers(start, servers(3));
        m_pool->report(start, id(0), { 0, 0 }, 0ms);
        for (int i = 0; i < 5; ++i) {
            m_pool->started(start, id(0), 1);
            m_pool->finished(start, id(0), 1, BackendOutcome::Shed, 1ms);
        }
        m_pool->started(start, id(1), 1);
        m_pool->started(start, id(1), 1);
        m_pool->started(start, id(2), 1);
        for (int i = 1; i <= 3; ++i) {
            m_pool->report(start + i * 1s, id(1), { 1, 0 }, 1ms);
            m_pool->report(start + i * 1s, id(2), { 1, 0 }, 1ms);
        }
        const auto views = m_pool->servers(start);
        CPPUNIT_ASSERT(views[0].reportTrust < 0.1);
        CPPUNIT_ASSERT(views[1].reportTrust < 0.2);
        CPPUNIT_ASSERT_EQUAL(1.0, views[2].reportTrust);
    }

    /** A server that says it is full but answers as fast as the others, and one that says it is idle but is slow. */
    void latencyContradictsReports()
    {
        m_pool->setServers(start, servers(4));
        for (int i = 0; i < 40; ++i) {
            const auto now = start + i * 100ms;
            for (std::size_t server = 0; server < 4; ++server) {
                m_pool->report(
                    now, id(server), server == 0 ? LoadReport { 8, 4 } : LoadReport { server == 1 ? 0U : 4U }, 0ms);
                m_pool->started(now, id(server), 1);
            }
            for (std::size_t server = 0; server < 4; ++server)
                m_pool->finished(now + 50ms, id(server), 1, BackendOutcome::Succeeded,
                    server == 1 ? Duration(300ms) : Duration(40ms));
        }
        const auto views = m_pool->servers(start + 4s);
        CPPUNIT_ASSERT(views[0].reportTrust < 0.2);
        CPPUNIT_ASSERT(views[1].reportTrust < 0.2);
        CPPUNIT_ASSERT(views[2].reportTrust > 0.9);
    }

    void shedsLowerTheConcurrencyLimit()
    {
        m_pool->setServers(start, servers(1));
        const auto before = m_pool->servers(start).front().concurrencyLimit;
        for (int i = 1; i < 20; ++i) {
            m_pool->started(start + i * 1s, id(0), 1);
            m_pool->finished(start + i * 1s, id(0), 1, BackendOutcome::Shed, 1ms);
        }
        CPPUNIT_ASSERT_EQUAL(8.0, before);
        CPPUNIT_ASSERT_EQUAL(1.0, m_pool->servers(start).front().concurrencyLimit);
    }

    /** Instances that each send all they have to full servers overload them together. */
    void fullServersGetNoMoreThanTheFairShare()
    {
        for (const bool isFull : { false, true }) {
            setUp();
            m_pool->setEntryInstances(instances(4));
            m_pool->setServers(start, servers(16));
            for (std::size_t server = 0; server < 16; ++server)
                m_pool->report(start, id(server), isFull ? LoadReport { 8, 4 } : LoadReport {}, 0ms);
            while (const auto choice = m_pool->choose(start, 1))
                m_pool->started(start, choice->server, 1);
            // A quarter of 128 slots and half as much for queues; or twice the share at each server.
            CPPUNIT_ASSERT_EQUAL(isFull ? 48U : 64U, m_pool->inFlight());
        }
    }

private:
    long ejectedCount(TimePoint now) const
    {
        const auto views = m_pool->servers(now);
        return std::count_if(views.begin(), views.end(), [](const auto& view) { return view.isEjected; });
    }

    int timesChosen(const BackendServerId& server, TimePoint now, int choices)
    {
        int count = 0;
        for (int i = 0; i < choices; ++i)
            count += m_pool->choose(now, 1).value().server == server;
        return count;
    }

    BackendPool::RandomEngine m_random;
    std::unique_ptr<BackendPool> m_pool;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPoolTest);
