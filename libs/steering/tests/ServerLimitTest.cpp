// Limits that servers name on the requests of all instances together.

#include "LimitedFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

// The bound holds from then on after a server has first named its limit.
constexpr Duration stableWindow = 4s;
const TimePoint start { 1000s };
const BackendServerId server("s-0");

}

class ServerLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerLimitTest);
    CPPUNIT_TEST(allInstancesTogetherStayWithinALimit);
    CPPUNIT_TEST(manyInstancesStayWithinASmallLimit);
    CPPUNIT_TEST(changesAndRestartsKeepTheSumWithinTheLimit);
    CPPUNIT_TEST(instancesThatDifferAboutWhoLivesStayWithinALimit);
    CPPUNIT_TEST(limitsAreUsedAndTheRestIsRejectedAtOnce);
    CPPUNIT_TEST(endOfALimitIsNoticed);
    CPPUNIT_TEST(queuedRequestsObeyALimitThatTheyDidNotKnow);
    CPPUNIT_TEST(olderResponsesDoNotLiftALimit);
    CPPUNIT_TEST(statementsHoldForOneStartOfTheServer);
    CPPUNIT_TEST(limitedServersCountAsLessCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A limit that each instance obeyed alone, or not at all, would be exceeded many times over. */
    void allInstancesTogetherStayWithinALimit()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            LimitedFleet fleet(11, 18, 250, seed);
            fleet.run(4s);
            const double limits[] = { 7.5, 2.7, 0.4, 0 };
            for (std::size_t i = 0; i < 4; ++i)
                fleet.setLimit(i, limits[i]);
            const auto named = fleet.now();
            fleet.run(20s);
            for (std::size_t i = 0; i < 4; ++i)
                assertWithin(fleet, i, named + stableWindow, seed);
        }
    }

    /** One request of each instance would be more than a server takes in several seconds. */
    void manyInstancesStayWithinASmallLimit()
    {
        LimitedFleet fleet(80, 60, 1'600, 1);
        fleet.run(4s);
        for (std::size_t i = 0; i < 60; i += 5)
            fleet.setLimit(i, 2.7);
        const auto named = fleet.now();
        fleet.run(16s);
        for (std::size_t i = 0; i < 60; i += 5)
            assertWithin(fleet, i, named + stableWindow, 1);
    }

    /** Instances that restart know no limit, and those that hold parts of one change with them. */
    void changesAndRestartsKeepTheSumWithinTheLimit()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            std::mt19937_64 random(seed);
            LimitedFleet fleet(11, 18, 250, seed);
            fleet.run(4s);
            for (std::size_t i = 0; i < 6; ++i)
                fleet.setLimit(i, 3);
            const auto named = fleet.now();
            fleet.run(stableWindow);
            for (int i = 0; i < 12; ++i) {
                fleet.restart(random() % 11);
                fleet.setLimit(random() % 6, std::uniform_real_distribution<double>(0.1, 10)(random));
                fleet.run(Duration { static_cast<Duration::rep>(random() % 2'000'000) });
            }
            for (std::size_t i = 0; i < 6; ++i)
                assertWithin(fleet, i, named + stableWindow, seed);
        }
    }

    /** While instances restart one after the other, the rest divide a limit among different instances. */
    void instancesThatDifferAboutWhoLivesStayWithinALimit()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            LimitedFleet fleet(11, 18, 250, seed);
            fleet.run(4s);
            const double limits[] = { 7.5, 2.7, 0.4, 12 };
            for (std::size_t i = 0; i < 4; ++i)
                fleet.setLimit(i, limits[i]);
            const auto named = fleet.now();
            fleet.run(stableWindow);
            for (std::size_t i = 0; i < 11; ++i) {
                fleet.stop(i, 3s);
                fleet.run(1s);
                fleet.startAgain(i, 3s);
                fleet.run(300ms);
            }
            // Several that end at once, as with their failure domain.
            for (std::size_t i = 0; i < 6; ++i)
                fleet.stop(i, 3s);
            fleet.run(4s);
            for (std::size_t i = 0; i < 6; ++i)
                fleet.startAgain(i, 3s);
            fleet.run(4s);
            for (std::size_t i = 0; i < 4; ++i)
                assertWithin(fleet, i, named + stableWindow, seed);
        }
    }

    /** What the limits leave must be served, and what they don't must not wait for its deadline. */
    void limitsAreUsedAndTheRestIsRejectedAtOnce()
    {
        LimitedFleet fleet(11, 18, 250, 1);
        for (std::size_t i = 0; i < 18; ++i)
            fleet.setLimit(i, 7.5);
        fleet.run(8s);
        const auto settled = fleet.now();
        const auto answered = fleet.answered();
        const auto rejected = fleet.rejected();
        fleet.run(10s);
        for (std::size_t i = 0; i < 18; ++i) {
            assertWithin(fleet, i, settled, 1);
            CPPUNIT_ASSERT(fleet.rate(i, settled) > 0.7 * 7.5);
        }
        const auto ended = fleet.answered() - answered + fleet.rejected() - rejected;
        CPPUNIT_ASSERT(static_cast<double>(ended) > 0.95 * 2'500);
    }

    /** Only a response tells that a limit has ended, so that a limit of 0 must let some requests through. */
    void endOfALimitIsNoticed()
    {
        LimitedFleet fleet(11, 18, 250, 1);
        fleet.run(2s);
        for (const auto limit : { 2.7, 0.0 }) {
            fleet.setLimit(0, limit);
            fleet.run(10s);
            fleet.clearLimit(0);
            fleet.run(20s);
            const auto since = fleet.now();
            fleet.run(5s);
            CPPUNIT_ASSERT(fleet.rate(0, since) > 6);
        }
    }

    void queuedRequestsObeyALimitThatTheyDidNotKnow()
    {
        auto pool = onePool();
        for (int i = 0; i < 9; ++i)
            pool.started(server, {}, start);
        pool.claim(server);
        CPPUNIT_ASSERT(!pool.choose({}, start).hasFreeSlot);
        stated(pool, 2, start, start + 100ms);
        for (int i = 0; i < 9; ++i)
            pool.finished(server, DispatchResult::Succeeded, 100ms, 100ms, {}, start + 100ms);
        pool.clearClaims();
        CPPUNIT_ASSERT(!pool.choose({}, start + 100ms).hasFreeSlot);
        CPPUNIT_ASSERT(pool.choose({}, start + 600ms).hasFreeSlot);
        pool.started(server, {}, start + 600ms);
        CPPUNIT_ASSERT(!pool.choose({}, start + 700ms).hasFreeSlot);
    }

    /** A response without the limit may be on its way while another one brings it. */
    void olderResponsesDoNotLiftALimit()
    {
        ServerLimit limit;
        CPPUNIT_ASSERT(limit.state(3, start, start + 200ms));
        CPPUNIT_ASSERT(!limit.state(unlimitedRate, start + 100ms, start + 250ms));
        CPPUNIT_ASSERT(!limit.learn({ server, 0, unlimitedRate, false, 100ms }, start + 280ms));
        CPPUNIT_ASSERT(limit.state(2, start + 100ms, start + 260ms));
        CPPUNIT_ASSERT(limit.isSet());
        CPPUNIT_ASSERT(limit.state(unlimitedRate, start + 300ms, start + 400ms));
        CPPUNIT_ASSERT(!limit.isSet() && limit.isToBeTold(start + 1s) && !limit.isToBeTold(start + 60s));
    }

    /** A server that starts anew knows nothing of the limit that it had, whoever still holds responses with it. */
    void statementsHoldForOneStartOfTheServer()
    {
        auto pool = onePool();
        CPPUNIT_ASSERT(pool.learn({ server, 7, 0.5 }, start).limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pool.statedServers().limited);
        auto restarted = listed();
        restarted.incarnation = 8;
        pool.setServers({ restarted }, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, pool.statedServers().limited);
        CPPUNIT_ASSERT(!pool.learn({ server, 7, 0.5 }, start + 1s).limit);
        CPPUNIT_ASSERT(!stated(pool, 0.5, start, start + 2s));
        CPPUNIT_ASSERT(stated(pool, 0.5, start + 2s, start + 3s));
    }

    /** Requests would be kept in a region, or accepted, for slots that a limit keeps idle. */
    void limitedServersCountAsLessCapacity()
    {
        auto pool = onePool();
        pool.started(server, {}, start);
        pool.finished(server, DispatchResult::Succeeded, 200ms, 200ms, {}, start + 200ms);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, pool.localSlots(), 1e-9);
        stated(pool, 5, start, start + 200ms);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, pool.localSlots(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, pool.slots(), 1e-9);
    }

private:
    static ListedServer listed()
    {
        ListedServer info;
        info.id = server;
        info.service = ServiceId("salonik");
        info.region = RegionId("jadran");
        info.slots = 8;
        info.incarnation = 7;
        return info;
    }

    static bool stated(ServicePool& pool, double limit, TimePoint sent, TimePoint now)
    {
        ServerStatement statement;
        statement.requestLimit = limit;
        return pool.stated(server, statement, sent, now).limit;
    }

    static ServicePool onePool()
    {
        ServicePool pool(RegionId("jadran"), {}, 1);
        pool.setServers({ listed() }, start);
        return pool;
    }

    static void assertWithin(const LimitedFleet& fleet, std::size_t server, TimePoint from, std::uint64_t seed)
    {
        const auto excess = fleet.excess(server, from);
        CPPUNIT_ASSERT_MESSAGE("server " + std::to_string(server) + ", seed " + std::to_string(seed) + ": "
                + std::to_string(excess) + " requests more than allowed",
            excess <= 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);
