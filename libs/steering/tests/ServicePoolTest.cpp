// Choice of servers by warm objects, load and failures, the rate limit of cold servers, and spilling to other regions.

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
    CPPUNIT_TEST(instancesChooseTheSameServerForAnObject);
    CPPUNIT_TEST(lostServerMovesOnlyItsObjects);
    CPPUNIT_TEST(secondServerIsChosenWhenTheFirstIsFull);
    CPPUNIT_TEST(reportedRequestIsNotOtherInstancesLoad);
    CPPUNIT_TEST(loadReportsAreDiscountedWithAge);
    CPPUNIT_TEST(coldRequestsWaitWhileSlotsAreShort);
    CPPUNIT_TEST(freeSlotsRunColdRequests);
    CPPUNIT_TEST(leavingAndEvacuatedServersAreNotChosen);
    CPPUNIT_TEST(requestsRunInHomeRegionsOnly);
    CPPUNIT_TEST(serverWithReusedAddressIsNotChosen);
    CPPUNIT_TEST(failuresNeverEjectAWholeRegion);
    CPPUNIT_TEST(coldServersReceiveNoMoreThanTheirRate);
    CPPUNIT_TEST(unresponsiveServerIsAvoidedBeforeItsResponse);
    CPPUNIT_TEST(oneSlowResponseDoesNotMakeAServerSlow);
    CPPUNIT_TEST(smallRegionSpillsItsExcessLoad);
    CPPUNIT_TEST(requestsBoundToARegionTakeItsSlotsFirst);
    CPPUNIT_TEST(smallResponsesAreSpilledFirst);
    CPPUNIT_TEST(equallyLoadedRegionsDoNotSpill);
    CPPUNIT_TEST(regionShortOfSlotsSpillsMore);
    CPPUNIT_TEST(spillShareChangesWithinTheMaximumShift);
    CPPUNIT_TEST_SUITE_END();

public:
    /** If each instance sent an object's requests to another server, most requests would find the object cold. */
    void instancesChooseTheSameServerForAnObject()
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

    /** Guards against moving the objects of remaining servers, which hold them warm, when one server is removed. */
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

    /** Load pattern: one object is requested far more often than one server can serve. */
    void secondServerIsChosenWhenTheFirstIsFull()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4, 4), start);
        const auto first = send(pool, query(17), start);
        // One more request than slots is sent, so that the next slot that becomes free is used at once.
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(send(pool, query(17), start) == first);
        // A short wait for the warm server is better than a server that may be cold; a long wait is worse.
        CPPUNIT_ASSERT(!pool.choose(query(17), start).hasFreeSlot);
        pool.claim(first);
        pool.claim(first);
        const auto choice = pool.choose(query(17), start);
        CPPUNIT_ASSERT(choice.hasFreeSlot && choice.server->id != first);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, choice.orderIndex);
    }

    /** Load pattern: steady load on servers with few slots. A load report includes the request whose response
     *  carries it. If it were counted as another instance's, each server would appear one request fuller than it is,
     *  and requests would be rejected while slots are free. */
    void reportedRequestIsNotOtherInstancesLoad()
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

    /** Load pattern: short requests at servers with few slots. Half a second after a server was full, several other
     *  requests have used its slots. Guards against relying on the report for longer, which rejects requests while
     *  slots are free. */
    void loadReportsAreDiscountedWithAge()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 1, 3), start);
        for (int i = 0; i < 10; ++i)
            finish(pool, send(pool, query({}), start), start, DispatchResult::Succeeded, ServerLoad { 3, 0, 3 });
        CPPUNIT_ASSERT(pool.choose(query({}), start).occupancy > 0.6);
        CPPUNIT_ASSERT(pool.choose(query({}), start + 500ms).occupancy < 0.3);
    }

    /** Load pattern: demand exceeds all slots. A cold request takes the slot time of three warm ones, so it must
     *  wait for a server that holds its object. */
    void coldRequestsWaitWhileSlotsAreShort()
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

    /** Load pattern: a few popular objects. Requests that wait for their server while others are idle do not show
     *  that slots are short. If cold requests were held back, they would be rejected while slots are free. */
    void freeSlotsRunColdRequests()
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

    /** Guards against sending requests to a server that leaves or whose failure domain is evacuated. */
    void leavingAndEvacuatedServersAreNotChosen()
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

    /** A request with home regions must not be sent to another region, even if the home regions have no server. */
    void requestsRunInHomeRegionsOnly()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2) + serversIn(zagorje, 2), start);
        const std::vector<RegionId> homes { zagorje };
        const std::vector<RegionId> elsewhere { slavonija };
        auto it = query(3);
        it.homeRegions = { &homes };
        CPPUNIT_ASSERT(pool.choose(it, start).server->region == zagorje);
        CPPUNIT_ASSERT(it.allowsAnyRegion());
        it.homeRegions = { &homes, nullptr, &elsewhere };
        CPPUNIT_ASSERT(!it.allowsAnyRegion());
        CPPUNIT_ASSERT(!pool.choose(it, start).server);
    }

    /** A server of another service has taken over the address. The listed server must not be chosen until its entry
     *  shows a new start. */
    void serverWithReusedAddressIsNotChosen()
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

    /** If all servers fail, the cause is more likely the network than the servers, so some must stay in use. */
    void failuresNeverEjectAWholeRegion()
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

    /** Load pattern: a failure domain restarts cold under full traffic, and ten or eighty instances share the rate
     *  limit of its servers. Guards against exceeding the limit in total. */
    void coldServersReceiveNoMoreThanTheirRate()
    {
        constexpr double coldPerSecond = 19;
        for (const int instances : { 10, 80 }) {
            auto servers = serversIn(jadran, 1);
            servers[0].coldUntil = start + 10s;
            std::vector<EntryInstance> all;
            all.reserve(static_cast<std::size_t>(instances));
            for (int i = 0; i < instances; ++i)
                all.push_back({ InstanceId("e-" + std::to_string(i)), i % 3 ? zagorje : jadran });
            std::vector<std::unique_ptr<ServicePool>> pools;
            for (int i = 0; i < instances; ++i) {
                pools.push_back(
                    std::make_unique<ServicePool>(jadran, ServicePoolOptions {}, static_cast<std::uint64_t>(i)));
                pools.back()->setServers(servers, start);
                pools.back()->setRateDivision(std::make_shared<RateDivision>(all[static_cast<std::size_t>(i)].id, all));
                pools.back()->setColdRate(coldPerSecond * 0.8, 11);
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

    /** The requests of a server that stopped responding end only by timeout. No further ones must be sent to it
     *  meanwhile. */
    void unresponsiveServerIsAvoidedBeforeItsResponse()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4), start);
        const auto id = send(pool, query(9), start);
        CPPUNIT_ASSERT(pool.choose(query(9), start + 300ms).server->id == id);
        CPPUNIT_ASSERT(pool.choose(query(9), start + 2s).server->id != id);
    }

    /** Load pattern: a server evicts objects now and then. Guards against treating it as slow after a single long
     *  response: its other objects then moved to servers that did not hold them, whose long responses had the same
     *  effect. */
    void oneSlowResponseDoesNotMakeAServerSlow()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 8), start);
        const auto id = send(pool, query(1), start);
        pool.finished(id, DispatchResult::Succeeded, 400ms, 120ms, {}, start + 400ms);
        CPPUNIT_ASSERT(pool.choose(query(1), start + 400ms).server->id == id);
        // A server that stays slow is no longer chosen.
        for (int i = 0; i < 3; ++i) {
            pool.started(id, 1, start + 400ms);
            pool.finished(id, DispatchResult::Succeeded, 900ms, 120ms, {}, start + 1300ms);
        }
        CPPUNIT_ASSERT(pool.choose(query(1), start + 1300ms).server->id != id);
    }

    /** Load pattern: a region has a third of the demand but an eighth of the slots, like slavonija. */
    void smallRegionSpillsItsExcessLoad()
    {
        ServicePool pool(slavonija, ServicePoolOptions {}, 1);
        pool.setServers(serversIn(jadran, 8) + serversIn(slavonija, 2) + serversIn(zagorje, 6), start);
        pool.tick(start, false);
        CPPUNIT_ASSERT(pool.spillShare() > 0.5); // Before the first request, equal demand of the regions is assumed.
        pool.started(send(pool, query(1), start), 1, start);
        pool.setOfferedLoad({ { { jadran, 30 }, { slavonija, 30 }, { zagorje, 30 } }, {}, 0 });
        for (auto now = start; now < start + 20s; now += 20ms)
            pool.tick(now, false);
        // The offered load fills 90 of 128 slots; slavonija keeps the load that fills this share of its 16 slots.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1 - 90.0 / 128 * 16 / 30, pool.spillShare(), 0.02);
    }

    /** Load pattern: a fifth of all requests may run only in a region with a sixteenth of the slots. If that region
     * kept other requests as well, its servers would hold the objects of neither. */
    void requestsBoundToARegionTakeItsSlotsFirst()
    {
        const std::map<RegionId, double> offered { { jadran, 20 }, { slavonija, 20 }, { zagorje, 20 } };
        const auto spillShareOf = [&](const RegionId& region) {
            ServicePool pool(region, ServicePoolOptions {}, 1);
            pool.setServers(serversIn(jadran, 8) + serversIn(slavonija, 1) + serversIn(zagorje, 7), start);
            pool.started(send(pool, query(1), start), 1, start);
            pool.setOfferedLoad({ offered, { { slavonija, 0.2 } }, 0 });
            for (auto now = start; now < start + 20s; now += 20ms)
                pool.tick(now, false);
            return pool.spillShare();
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, spillShareOf(slavonija), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, spillShareOf(jadran), 0.01);
    }

    /** Load pattern: a region has to spill a third of its load, half of which are downloads. If it spilled by object
     * only, half of the spilled requests would carry large responses between the regions. */
    void smallResponsesAreSpilledFirst()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4) + serversIn(slavonija, 8), start);
        pool.started(send(pool, query(1), start), 1, start);
        pool.setOfferedLoad({ { { jadran, 32 }, { slavonija, 5 } }, {}, 0.5 });
        for (auto now = start; now < start + 20s; now += 20ms)
            pool.tick(now, false);
        CPPUNIT_ASSERT(pool.spillShare() > 0.3 && pool.spillShare() < 0.5);
        int small = 0;
        int large = 0;
        for (std::uint64_t object = 0; object < 1'000; ++object) {
            auto it = query(object);
            small += pool.choose(it, start + 20s).isSpill ? 1 : 0;
            it.hasLargeResponse = true;
            large += pool.choose(it, start + 20s).isSpill ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, large);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * pool.spillShare(), small / 1'000.0, 0.05);
    }

    /** Load pattern: all regions are equally loaded. Requests that change their region would only become cold. */
    void equallyLoadedRegionsDoNotSpill()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 4) + serversIn(slavonija, 4) + serversIn(zagorje, 4), start);
        send(pool, query(1), start);
        pool.setOfferedLoad({ { { jadran, 60 }, { slavonija, 60 }, { zagorje, 60 } }, {}, 0 });
        for (auto now = start; now < start + 10s; now += 20ms)
            pool.tick(now, true);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, pool.spillShare(), 1e-9);
    }

    /** Load pattern: a region rejects requests although its offered load would fit, because its few servers are slow
     *  or cold, while other regions have free slots. The rejected requests were retried in the region when traffic
     *  ended, which counted as a shift (quiet-1 of plesnicaj, seed 865597153820). */
    void regionShortOfSlotsSpillsMore()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2) + serversIn(slavonija, 6) + serversIn(zagorje, 6), start);
        for (std::uint64_t i = 0; i < 13; ++i)
            pool.started(BackendServerId(i % 2 ? "jadran0" : "jadran1"), i, start);
        pool.setOfferedLoad({ { { jadran, 9 }, { slavonija, 15 }, { zagorje, 15 } }, {}, 0 });
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

    /** Load pattern: the demand of a region rises suddenly. At most a share of 0.15 of its requests may change their
     *  region within 2 s. */
    void spillShareChangesWithinTheMaximumShift()
    {
        auto pool = makePool();
        pool.setServers(serversIn(jadran, 2) + serversIn(slavonija, 6) + serversIn(zagorje, 6), start);
        pool.setOfferedLoad({ { { jadran, 5 }, { slavonija, 5 }, { zagorje, 5 } }, {}, 0 });
        pool.tick(start, false);
        send(pool, query(1), start);
        std::vector<double> shares;
        for (auto now = start; now < start + 20s; now += 20ms) {
            const bool isPeak = now >= start + 4s && now < start + 12s;
            pool.setOfferedLoad({ { { jadran, isPeak ? 80 : 5 }, { slavonija, 5 }, { zagorje, 5 } }, {}, 0 });
            pool.tick(now, isPeak);
            shares.push_back(pool.spillShare());
            if (shares.size() > 100)
                CPPUNIT_ASSERT(std::abs(shares.back() - shares[shares.size() - 101]) <= 0.15);
        }
        CPPUNIT_ASSERT(*std::max_element(shares.begin(), shares.end()) > 0.4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicePoolTest);
