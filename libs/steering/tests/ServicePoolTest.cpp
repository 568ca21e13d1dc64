// Choice of servers: warm objects, load, failures, cold limits and the division among regions.

#include "steering/ServicePool.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <map>
#include <set>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const RegionId jadran("jadran");
const RegionId slavonija("slavonija");
const RegionId zagorje("zagorje");

std::vector<ListedServer> serversIn(const RegionId& region, int count, std::uint32_t slots = 8)
{
    std::vector<ListedServer> servers;
    for (int i = 0; i < count; ++i) {
        ListedServer server;
        server.id = BackendServerId(region.value() + std::to_string(i));
        server.service = ServiceId("salonik");
        server.address = "10.0.0.1:" + std::to_string(8000 + i);
        server.failureDomain = FailureDomainId(region.value() + (i % 2 ? "-a" : "-b"));
        server.region = region;
        server.slots = slots;
        servers.push_back(server);
    }
    return servers;
}

std::vector<ListedServer> operator+(std::vector<ListedServer> a, const std::vector<ListedServer>& b)
{
    a.insert(a.end(), b.begin(), b.end());
    return a;
}

PoolQuery query(std::optional<std::uint64_t> object)
{
    PoolQuery query;
    query.object = object;
    query.coldWork = 400ms;
    query.warmWork = 120ms;
    return query;
}

ServicePool makePool(std::uint64_t seed = 1) { return { jadran, ServicePoolOptions {}, seed }; }

BackendServerId send(ServicePool& pool, const PoolQuery& it, TimePoint now)
{
    const auto choice = pool.choose(it, now);
    CPPUNIT_ASSERT(choice.server);
    auto id = choice.server->id;
    pool.started(id, it.object, now);
    return id;
}

void finish(ServicePool& pool, const BackendServerId& id, TimePoint now,
    DispatchResult result = DispatchResult::Succeeded, std::optional<ServerLoad> load = {})
{
    pool.finished(id, result, 120ms, 120ms, load, now);
}

}

class ServicePoolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServicePoolTest);
    CPPUNIT_TEST(instancesAgreeOnTheServerOfAnObject);
    CPPUNIT_TEST(lostServerMovesOnlyItsObjects);
    CPPUNIT_TEST(fullServerYieldsToTheSecondChoice);
    CPPUNIT_TEST(answeredRequestIsNoForeignLoad);
    CPPUNIT_TEST(oldReportsSayLittle);
    CPPUNIT_TEST(shortSlotsAreNotSpentOnColdObjects);
    CPPUNIT_TEST(freeSlotsTakeColdWork);
    CPPUNIT_TEST(leavingAndEvacuatedServersGetNothing);
    CPPUNIT_TEST(homesAreKept);
    CPPUNIT_TEST(reusedAddressIsLeftAlone);
    CPPUNIT_TEST(failuresNeverEmptyARegion);
    CPPUNIT_TEST(coldServersGetTheirRateOnly);
    CPPUNIT_TEST(silentServerIsAvoidedBeforeItAnswers);
    CPPUNIT_TEST(coldRunIsNoSlowServer);
    CPPUNIT_TEST(smallRegionSendsItsExcessAway);
    CPPUNIT_TEST(equalRegionsExchangeNothing);
    CPPUNIT_TEST(regionThatRunsShortSendsMore);
    CPPUNIT_TEST(spillStaysUnderTheShiftCap);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Each instance sending an object elsewhere would make every run a cold one. */
    void instancesAgreeOnTheServerOfAnObject()
    {
        auto first = makePool(1);
        auto second = makePool(2);
        first.setServers(serversIn(jadran, 8), start);
        second.setServers(serversIn(jadran, 8), start);
        std::set<BackendServerId> used;
        for (std::uint64_t object = 0; object < 200; ++object) {
            const auto choice = first.choose(query(object), start);
            CPPUNIT_ASSERT(choice.server->id == second.choose(query(object), start).server->id);
            CPPUNIT_ASSERT(choice.hasFreeSlot && choice.isWarm);
            used.insert(choice.server->id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, used.size());
    }

    void lostServerMovesOnlyItsObjects()
    {
        auto pool = makePool();
        auto servers = serversIn(jadran, 8);
        pool.setServers(servers, start);
        std::map<std::uint64_t, BackendServerId> before;
        for (std::uint64_t object = 0; object < 200; ++object)
            before[object] = pool.choose(query(object), start).server->id;
        const auto lost = servers.back().id;
        servers.pop_back();
        pool.setServers(servers, start);
        for (const auto& [object, id] : before) {
            if (id != lost)
                CPPUNIT_ASSERT(pool.choose(query(object), start).server->id == id);
        }
    }

    /** Load pattern: one object is asked for far more often than one server can bear. */
    void fullServerYieldsToTheSecondChoice()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4, 4), start);
        const auto first = send(pool, query(17), start);
        // One more than there are slots, so that the slot that falls free next is used at once.
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(send(pool, query(17), start) == first);
        // A short wait for the warm server is better than a server that may be cold, a long one is not.
        CPPUNIT_ASSERT(!pool.choose(query(17), start).hasFreeSlot);
        pool.claim(first);
        pool.claim(first);
        const auto choice = pool.choose(query(17), start);
        CPPUNIT_ASSERT(choice.hasFreeSlot && choice.server->id != first);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, choice.rank);
    }

    /** Load pattern: steady load on servers of few slots. A report counts the request that it comes with; taken for
     *  another instance's, it would make each server look one request fuller and turn requests away from free slots. */
    void answeredRequestIsNoForeignLoad()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 1, 3), start);
        auto now = start;
        auto running = send(pool, query({}), now);
        for (int i = 0; i < 40; ++i, now += 60ms) {
            const auto next = send(pool, query({}), now);
            finish(pool, running, now, DispatchResult::Succeeded, ServerLoad { 2, 0, 3 });
            running = next;
        }
        send(pool, query({}), now);
        CPPUNIT_ASSERT(pool.choose(query({}), now).hasFreeSlot);
    }

    /** Load pattern: short requests at servers of few slots. Half a second after a server was full its slots have
     * changed hands several times; trusted for longer, the report turns requests away from free slots. */
    void oldReportsSayLittle()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 1, 3), start);
        for (int i = 0; i < 10; ++i)
            finish(pool, send(pool, query({}), start), start, DispatchResult::Succeeded, ServerLoad { 3, 0, 3 });
        CPPUNIT_ASSERT(pool.choose(query({}), start).occupancy > 0.6);
        CPPUNIT_ASSERT(pool.choose(query({}), start + 500ms).occupancy < 0.3);
    }

    /** Load pattern: demand beyond all slots. A cold run takes the room of three warm ones, so it must wait. */
    void shortSlotsAreNotSpentOnColdObjects()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 6, 1), start);
        const std::vector<BackendServerId> first { pool.choose(query(17), start).server->id };
        auto other = query(17);
        other.excluded = first;
        const auto second = pool.choose(other, start).server->id;
        for (const auto& id : { first[0], second }) {
            pool.started(id, 17, start);
            for (int i = 0; i < 5; ++i)
                pool.claim(id);
        }
        CPPUNIT_ASSERT(pool.choose(query(17), start).hasFreeSlot);
        pool.tick(start, true);
        const auto choice = pool.choose(query(17), start);
        CPPUNIT_ASSERT(choice.server && !choice.hasFreeSlot);
        CPPUNIT_ASSERT(pool.choose(query(17), start + 600ms).hasFreeSlot);
    }

    /** Load pattern: a few popular objects. Requests that wait for their server while others are idle are no sign that
     *  slots are short; with cold work kept out, they would be turned away beside free slots. */
    void freeSlotsTakeColdWork()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 16, 1), start);
        auto popular = query(17);
        std::vector<BackendServerId> used;
        for (int i = 0; i < 2; ++i) {
            popular.excluded = used;
            used.push_back(pool.choose(popular, start).server->id);
            for (int n = 0; n < 2; ++n) {
                pool.started(used.back(), 17, start);
                pool.claim(used.back());
            }
        }
        pool.tick(start, true);
        CPPUNIT_ASSERT(pool.choose(query(17), start).hasFreeSlot);
    }

    void leavingAndEvacuatedServersGetNothing()
    {
        auto pool = makePool();
        auto servers = serversIn(jadran, 4);
        servers[0].isLeaving = true;
        pool.setServers(servers, start);
        pool.setEvacuated({ FailureDomainId("jadran-a") });
        for (std::uint64_t object = 0; object < 50; ++object)
            CPPUNIT_ASSERT_EQUAL(std::string("jadran2"), pool.choose(query(object), start).server->id.value());
        pool.setEvacuated({ FailureDomainId("jadran-a"), FailureDomainId("jadran-b") });
        CPPUNIT_ASSERT(!pool.choose(query(1), start).server);
    }

    /** A request with homes must not reach another region, not even when its own has no server. */
    void homesAreKept()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2) + serversIn(zagorje, 2), start);
        const std::vector<RegionId> homes { zagorje };
        const std::vector<RegionId> elsewhere { slavonija };
        auto it = query(3);
        it.homeRegions = &homes;
        CPPUNIT_ASSERT(pool.choose(it, start).server->region == zagorje);
        it.workspaceHomeRegions = &elsewhere;
        CPPUNIT_ASSERT(!pool.choose(it, start).server);
    }

    /** A server of another service has taken over the address. */
    void reusedAddressIsLeftAlone()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2), start);
        const auto id = send(pool, query(5), start);
        finish(pool, id, start, DispatchResult::WrongServer);
        CPPUNIT_ASSERT(pool.choose(query(5), start).server->id != id);
        auto servers = serversIn(jadran, 2);
        for (auto& server : servers)
            server.incarnation = 1;
        pool.setServers(servers, start);
        CPPUNIT_ASSERT(pool.choose(query(5), start).server->id == id);
    }

    /** Failures of all servers say more about the way there than about the servers. */
    void failuresNeverEmptyARegion()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 6), start);
        for (int i = 0; i < 60; ++i) {
            const auto choice = pool.choose(query(std::nullopt), start);
            CPPUNIT_ASSERT(choice.server);
            pool.started(choice.server->id, {}, start);
            finish(pool, choice.server->id, start, DispatchResult::NotSent);
        }
    }

    /** Load pattern: a zone comes back cold under full traffic; ten or eighty instances share its rate. */
    void coldServersGetTheirRateOnly()
    {
        constexpr double coldPerSecond = 19;
        for (const int instances : { 10, 80 }) {
            auto servers = serversIn(jadran, 1);
            servers[0].coldUntil = start + 10s;
            const auto share = std::min(1.0, 11.0 / instances);
            std::vector<std::unique_ptr<ServicePool>> pools;
            for (int i = 0; i < instances; ++i) {
                pools.push_back(
                    std::make_unique<ServicePool>(jadran, ServicePoolOptions {}, static_cast<std::uint64_t>(i)));
                pools.back()->setServers(servers, start);
                pools.back()->setColdRate(coldPerSecond * 0.8 / (instances * share), share);
            }
            std::vector<TimePoint> sends;
            for (auto now = start; now < start + 5s; now += 5ms) {
                for (auto& pool : pools) {
                    const auto choice = pool->choose(query(1), now);
                    if (!choice.server || !choice.hasFreeSlot)
                        continue;
                    pool->started(choice.server->id, 1, now);
                    finish(*pool, choice.server->id, now);
                    sends.push_back(now);
                }
            }
            for (const auto first : sends) {
                const auto count = std::count_if(
                    sends.begin(), sends.end(), [&](auto it) { return it >= first && it < first + 1s; });
                CPPUNIT_ASSERT(static_cast<double>(count) <= coldPerSecond * 1.5 + 5);
            }
            CPPUNIT_ASSERT(sends.size() > 30);
        }
    }

    /** A server that went dark holds its requests until they time out; no more must follow them. */
    void silentServerIsAvoidedBeforeItAnswers()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4), start);
        const auto id = send(pool, query(9), start);
        CPPUNIT_ASSERT(pool.choose(query(9), start + 300ms).server->id == id);
        CPPUNIT_ASSERT(pool.choose(query(9), start + 2s).server->id != id);
    }

    /** Load pattern: objects that a server has lost now and then. One long response sent the server's other objects to
     *  servers that did not hold them, whose long responses did the same. */
    void coldRunIsNoSlowServer()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 8), start);
        const auto id = send(pool, query(1), start);
        pool.finished(id, DispatchResult::Succeeded, 400ms, 120ms, {}, start + 400ms);
        CPPUNIT_ASSERT(pool.choose(query(1), start + 400ms).server->id == id);
        // A server that stays slow is left.
        for (int i = 0; i < 3; ++i) {
            pool.started(id, 1, start + 400ms);
            pool.finished(id, DispatchResult::Succeeded, 900ms, 120ms, {}, start + 1300ms);
        }
        CPPUNIT_ASSERT(pool.choose(query(1), start + 1300ms).server->id != id);
    }

    /** Load pattern: a third of the demand meets an eighth of the slots, as in slavonija. */
    void smallRegionSendsItsExcessAway()
    {
        ServicePool pool(slavonija, ServicePoolOptions {}, 1);
        pool.setServers(serversIn(jadran, 8) + serversIn(slavonija, 2) + serversIn(zagorje, 6), start);
        pool.tick(start, false);
        CPPUNIT_ASSERT(pool.spillShare() > 0.5); // Before the first request: as if the regions brought the same.
        pool.started(send(pool, query(1), start), 1, start);
        pool.setOfferedLoad({ { jadran, 30 }, { slavonija, 30 }, { zagorje, 30 } });
        for (auto now = start; now < start + 20s; now += 20ms)
            pool.tick(now, false);
        // 90 of 128 slots are asked for; slavonija keeps that share of its 16 slots.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1 - 90.0 / 128 * 16 / 30, pool.spillShare(), 0.02);
    }

    /** Load pattern: every region is as full as the others; work that crosses over only turns cold on the way. */
    void equalRegionsExchangeNothing()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4) + serversIn(slavonija, 4) + serversIn(zagorje, 4), start);
        send(pool, query(1), start);
        pool.setOfferedLoad({ { jadran, 60 }, { slavonija, 60 }, { zagorje, 60 } });
        for (auto now = start; now < start + 10s; now += 20ms)
            pool.tick(now, true);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, pool.spillShare(), 1e-9);
    }

    /** Load pattern: a region turns requests away although its offered work would fit, because its few servers are slow
     *  or cold, while other regions have room. Those that were turned away came back to it when traffic ended, which
     *  counted as a shift (quiet-1 of plesnicaj, seed 865597153820). */
    void regionThatRunsShortSendsMore()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2) + serversIn(slavonija, 6) + serversIn(zagorje, 6), start);
        for (std::uint64_t i = 0; i < 13; ++i)
            pool.started(BackendServerId(i % 2 ? "jadran0" : "jadran1"), i, start);
        pool.setOfferedLoad({ { jadran, 9 }, { slavonija, 15 }, { zagorje, 15 } });
        for (auto now = start; now < start + 5s; now += 20ms)
            pool.tick(now, false);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, pool.spillShare(), 1e-9);
        for (auto now = start + 5s; now < start + 20s; now += 20ms)
            pool.tick(now, true);
        CPPUNIT_ASSERT(pool.spillShare() > 0.3);
        for (auto now = start + 20s; now < start + 80s; now += 20ms)
            pool.tick(now, false);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, pool.spillShare(), 1e-9);
    }

    /** Load pattern: demand of a region jumps. At most 0.15 of its requests may change their region within 2 s. */
    void spillStaysUnderTheShiftCap()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2) + serversIn(slavonija, 6) + serversIn(zagorje, 6), start);
        pool.setOfferedLoad({ { jadran, 5 }, { slavonija, 5 }, { zagorje, 5 } });
        pool.tick(start, false);
        send(pool, query(1), start);
        std::vector<double> shares;
        for (auto now = start; now < start + 20s; now += 20ms) {
            const bool isPeak = now >= start + 4s && now < start + 12s;
            pool.setOfferedLoad({ { jadran, isPeak ? 80 : 5 }, { slavonija, 5 }, { zagorje, 5 } });
            pool.tick(now, isPeak);
            shares.push_back(pool.spillShare());
            if (shares.size() > 100)
                CPPUNIT_ASSERT(std::abs(shares.back() - shares[shares.size() - 101]) <= 0.15);
        }
        CPPUNIT_ASSERT(*std::max_element(shares.begin(), shares.end()) > 0.4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicePoolTest);
