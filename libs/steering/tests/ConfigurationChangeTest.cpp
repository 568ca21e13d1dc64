// Requests that are open while the configuration changes: queued, or sent again after a failure.

#include "SteeringFixtures.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

using namespace peridot;
using namespace peridot::steeringFixtures;
using namespace std::chrono_literals;

namespace {

const RegionId slavonija("slavonija");

/** One server in each region, with one slot each and room for one waiting request. */
std::vector<ListedServer> serversInAllRegions(int perRegion)
{
    auto result = servers(perRegion * 3, 1);
    for (std::size_t i = 0; i < result.size(); ++i) {
        const std::array<RegionId, 3> regions { jadran, zagorje, slavonija };
        result[i].region = regions[i % regions.size()];
        result[i].failureDomain = FailureDomainId(result[i].region.value() + "-a");
    }
    return result;
}

RouteTableData dataWithHomes(std::uint64_t version, const std::vector<RegionId>& route, std::vector<RegionId> workspace)
{
    auto result = data(version);
    result.routes[0].homeRegions = route;
    result.workspaces[0].homeRegions = std::move(workspace);
    return result;
}

template <typename T> std::vector<T> all(const SteeringActions& actions)
{
    std::vector<T> result;
    for (const auto& action : actions) {
        if (const auto* it = std::get_if<T>(&action))
            result.push_back(*it);
    }
    return result;
}

SendReport report(DispatchResult result) { return { result, {}, {}, {} }; }

}

class ConfigurationChangeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationChangeTest);
    CPPUNIT_TEST(queuedRequestFollowsTheHomesOfItsRoute);
    CPPUNIT_TEST(queuedRequestFollowsTheHomesOfItsWorkspace);
    CPPUNIT_TEST(repeatedRequestFollowsTheHomesInForce);
    CPPUNIT_TEST(queuedRequestOfAWithdrawnKeyIsNotSent);
    CPPUNIT_TEST(queuedRequestOfARemovedRouteIsNotSent);
    CPPUNIT_TEST(sendsKeepToTheHomesInForceWhileTheseChange);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A request that had waited in the queue was sent by the home regions of its arrival, although a newer
     *  configuration had moved them (HOME on lithoplan-edge-grown). */
    void queuedRequestFollowsTheHomesOfItsRoute()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran }, {}));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, { zagorje }, {})));
        expectOnlySendTo(zagorje, steering.finished(1, report(DispatchResult::Succeeded), start + 20ms));
    }

    /** As above, for home regions of the workspace. */
    void queuedRequestFollowsTheHomesOfItsWorkspace()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, {}, { jadran }));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, {}, { zagorje })));
        expectOnlySendTo(zagorje, steering.finished(1, report(DispatchResult::Succeeded), start + 20ms));
    }

    /** A request whose first server failed must be sent again by the home regions in force, not by those of its
     *  arrival. */
    void repeatedRequestFollowsTheHomesInForce()
    {
        TrafficSteering steering(options(), 1, m_log);
        steering.setRoutes(*RouteTable::create(dataWithHomes(1, { jadran }, {})));
        steering.setServers(serversInAllRegions(2), start);
        expectOnlySendTo(jadran, steering.begin(1, request("/lookup/x"), start));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, { zagorje }, {})));
        expectOnlySendTo(zagorje, steering.finished(1, report(DispatchResult::Broken), start + 50ms));
    }

    /** A key that is withdrawn while its request waits permits no send any more. */
    void queuedRequestOfAWithdrawnKeyIsNotSent()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran }, {}));
        auto changed = data(2);
        changed.keys = { { "other", WorkspaceId("kavana") } };
        steering.setRoutes(*RouteTable::create(changed));
        expectRejectionWithoutSend(RejectReason::UnknownKey, steering);
    }

    void queuedRequestOfARemovedRouteIsNotSent()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran }, {}));
        auto changed = data(2);
        changed.routes.erase(changed.routes.begin());
        steering.setRoutes(*RouteTable::create(changed));
        expectRejectionWithoutSend(RejectReason::UnknownRoute, steering);
    }

    /** Load pattern: many routes and workspaces with home regions that change several times per second, in an overload
     *  with failing servers. No send may leave the home regions in force, and each request ends exactly once. */
    void sendsKeepToTheHomesInForceWhileTheseChange()
    {
        for (unsigned seed = 1; seed <= 20; ++seed)
            runWithChangingHomes(seed);
    }

private:
    struct ChangingHomes {
        static constexpr std::size_t s_routes = 6;
        static constexpr std::size_t s_workspaces = 4;
        RouteTableData data;

        static std::string prefix(std::size_t i) { return "/lookup/" + std::to_string(i) + "/"; }
        static std::string key(std::size_t i) { return "key-" + std::to_string(i); }

        ChangingHomes(std::uint64_t version, std::mt19937& random)
            : data(steeringFixtures::data(version))
        {
            const auto homes = [&] {
                std::vector<RegionId> result;
                for (const auto& region : { jadran, zagorje, slavonija }) {
                    if (random() % 2 == 0)
                        result.push_back(region);
                }
                return result;
            };
            data.routes.clear();
            for (std::size_t i = 0; i < s_routes; ++i) {
                data.routes.push_back(route(prefix(i), "salonik", i % 2 == 0, static_cast<int>(i % 3)));
                data.routes.back().homeRegions = homes();
            }
            data.workspaces.clear();
            data.keys.clear();
            for (std::size_t i = 0; i < s_workspaces; ++i) {
                const auto some = i % 2 == 0 ? homes() : std::vector<RegionId> {};
                data.workspaces.push_back({ WorkspaceId(key(i)), std::nullopt, 0, 0, some });
                data.keys.emplace(key(i), data.workspaces.back().id);
            }
        }

        bool allows(std::size_t route, std::size_t workspace, const RegionId& region) const
        {
            const auto isAmong = [&](const std::vector<RegionId>& homes) {
                return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
            };
            return isAmong(data.routes[route].homeRegions) && isAmong(data.workspaces[workspace].homeRegions);
        }
    };

    void runWithChangingHomes(unsigned seed)
    {
        std::mt19937 random(seed);
        auto anyOutflow = options();
        anyOutflow.bounds.maximumShiftShare = 1; // Most requests must leave the region.
        TrafficSteering steering(anyOutflow, seed, m_log);
        const auto listed = serversInAllRegions(4);
        steering.setServers(listed, start);
        std::map<BackendServerId, RegionId> regions;
        for (const auto& server : listed)
            regions[server.id] = server.region;
        std::uint64_t version = 1;
        ChangingHomes homes(version, random);
        steering.setRoutes(*RouteTable::create(homes.data));
        struct Open {
            std::size_t route;
            std::size_t workspace;
            bool isRunning = false;
        };
        std::map<RequestHandle, Open> open;
        unsigned sends = 0;
        unsigned sendsAfterAChange = 0;
        std::map<RequestHandle, std::uint64_t> versionAtArrival;
        const auto collect = [&](const SteeringActions& actions) {
            for (const auto& send : all<SendToServer>(actions)) {
                auto& it = open.at(send.request);
                CPPUNIT_ASSERT(homes.allows(it.route, it.workspace, regions.at(send.server)));
                it.isRunning = true;
                ++sends;
                sendsAfterAChange += versionAtArrival.at(send.request) != version ? 1 : 0;
            }
            for (const auto& cancel : all<CancelSend>(actions))
                open.at(cancel.request).isRunning = false;
            for (const auto& reject : all<RejectRequest>(actions))
                CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, open.erase(reject.request));
            for (const auto& deliver : all<DeliverResponse>(actions))
                CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, open.erase(deliver.request));
        };
        auto now = start;
        for (RequestHandle handle = 1; handle <= 1500; ++handle) {
            now += 8ms;
            if (handle % 30 == 0) {
                homes = ChangingHomes(++version, random);
                steering.setRoutes(*RouteTable::create(homes.data));
            }
            const auto route = random() % ChangingHomes::s_routes;
            const auto workspace = random() % ChangingHomes::s_workspaces;
            open.emplace(handle, Open { route, workspace });
            versionAtArrival[handle] = version;
            auto caller = request(ChangingHomes::prefix(route) + "x", random() % 20);
            caller.key = ChangingHomes::key(workspace);
            collect(steering.begin(handle, caller, now));
            std::vector<RequestHandle> running;
            for (const auto& [other, it] : open) {
                if (it.isRunning)
                    running.push_back(other);
            }
            if (!running.empty() && random() % 3 != 0) {
                const auto ended = running[random() % running.size()];
                open.at(ended).isRunning = false;
                constexpr std::array failures { DispatchResult::ServerError, DispatchResult::Shed,
                    DispatchResult::NotSent, DispatchResult::Broken };
                const auto result
                    = random() % 4 != 0 ? DispatchResult::Succeeded : failures[random() % failures.size()];
                collect(steering.finished(ended, report(result), now));
            }
            collect(steering.tick(now));
        }
        collect(steering.tick(now + 10s));
        CPPUNIT_ASSERT(open.empty());
        CPPUNIT_ASSERT(sends > 200);
        CPPUNIT_ASSERT(sendsAfterAChange > 10);
    }

    /** Fills the only server of jadran and the place to wait there, and lets a third request wait in the queue. */
    void queueThirdRequest(TrafficSteering& steering, const RouteTableData& configuration)
    {
        steering.setRoutes(*RouteTable::create(configuration));
        steering.setServers(serversInAllRegions(1), start);
        expectOnlySendTo(jadran, steering.begin(1, request("/lookup/x"), start));
        expectOnlySendTo(jadran, steering.begin(2, request("/lookup/x"), start));
        CPPUNIT_ASSERT(steering.begin(3, request("/lookup/x"), start).empty());
        CPPUNIT_ASSERT(steering.tick(start + 1ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, steering.openRequests());
    }

    void expectOnlySendTo(const RegionId& region, const SteeringActions& actions)
    {
        const auto sends = all<SendToServer>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sends.size());
        const auto listed = serversInAllRegions(2);
        const auto server
            = std::find_if(listed.begin(), listed.end(), [&](const auto& it) { return it.id == sends.front().server; });
        CPPUNIT_ASSERT(server != listed.end());
        CPPUNIT_ASSERT_EQUAL(region.value(), server->region.value());
    }

    /** Frees the server for which the third request waits. */
    void expectRejectionWithoutSend(RejectReason reason, TrafficSteering& steering)
    {
        const auto actions = steering.finished(1, report(DispatchResult::Succeeded), start + 20ms);
        CPPUNIT_ASSERT(all<SendToServer>(actions).empty());
        const auto rejections = all<RejectRequest>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, rejections.size());
        CPPUNIT_ASSERT_EQUAL(RequestHandle { 3 }, rejections.front().request);
        CPPUNIT_ASSERT(rejections.front().reason == reason);
    }

    NullEventLog m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationChangeTest);
