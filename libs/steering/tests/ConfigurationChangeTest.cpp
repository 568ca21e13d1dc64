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
using namespace peridot::steering_fixtures;
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
    CPPUNIT_TEST(requestWhoseHomesMoveAwayIsRejected);
    CPPUNIT_TEST(homesOfTheArrivalKeepBinding);
    CPPUNIT_TEST(homesOfTheKeyBindOnOpenRoutes);
    CPPUNIT_TEST(queuedRequestOfAWithdrawnKeyIsNotSent);
    CPPUNIT_TEST(queuedRequestOfARemovedRouteIsNotSent);
    CPPUNIT_TEST(requestThatMayHaveRunIsNotRepeatedAsUnsafe);
    CPPUNIT_TEST(requestThatMayHaveRunIsNotRepeatedBecauseItBecomesSafe);
    CPPUNIT_TEST(requestWhoseConnectionIsBeingOpenedIsDecidedAnew);
    CPPUNIT_TEST(sendsObeyBothConfigurationsWhileTheseChange);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A request that had waited in the queue was sent by the home regions of its arrival, although a newer
     *  configuration had moved them (HOME on lithoplan-edge-grown). */
    void queuedRequestFollowsTheHomesOfItsRoute()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran, zagorje }, {}));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, { zagorje }, {})));
        expectOnlySendTo(zagorje, freeServer(steering));
    }

    /** As above, for home regions of the workspace. */
    void queuedRequestFollowsTheHomesOfItsWorkspace()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, {}, {}));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, {}, { zagorje })));
        expectOnlySendTo(zagorje, freeServer(steering));
    }

    /** A request whose first server failed must be sent again by the home regions in force, not by those of its
     *  arrival. */
    void repeatedRequestFollowsTheHomesInForce()
    {
        TrafficSteering steering(options(), 1, m_log);
        steering.setRoutes(*RouteTable::create(dataWithHomes(1, { jadran, zagorje }, {})));
        steering.setServers(serversInAllRegions(2), start);
        expectOnlySendTo(jadran, steering.begin(1, request("/lookup/x"), start));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, { zagorje }, {})));
        expectOnlySendTo(zagorje, steering.finished(1, report(DispatchResult::Broken), start + 50ms));
    }

    /** A request whose connection to the server was still being opened, which takes up to a second, was sent by the
     * home regions of before once it was open. */
    void requestWhoseConnectionIsBeingOpenedIsDecidedAnew()
    {
        TrafficSteering steering(options(), 1, m_log);
        steering.setRoutes(*RouteTable::create(dataWithHomes(1, { jadran, zagorje }, {})));
        steering.setServers(serversInAllRegions(2), start);
        CPPUNIT_ASSERT(all<WithdrawSend>(steering.tick(start)).empty());
        expectOnlySendTo(jadran, steering.begin(1, request("/lookup/x"), start));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, { zagorje }, {})));
        const auto withdrawn = all<WithdrawSend>(steering.tick(start + 20ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, withdrawn.size());
        CPPUNIT_ASSERT_EQUAL(RequestHandle { 1 }, withdrawn.front().request);
        CPPUNIT_ASSERT(all<WithdrawSend>(steering.tick(start + 40ms)).empty());
        expectOnlySendTo(zagorje, steering.finished(1, report(DispatchResult::Withdrawn), start + 40ms));
        steering.setEvacuated({ FailureDomainId("zagorje-a") });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<WithdrawSend>(steering.tick(start + 60ms)).size());
    }

    /** No region is a home by both configurations. Waiting would not help, so the caller is to come back. */
    void requestWhoseHomesMoveAwayIsRejected()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran }, {}));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, { zagorje }, {})));
        expectRejectionWithoutSend(freeServer(steering));
    }

    /** The caller sent the request when only jadran was its home; that the home is given up later must not send it
     *  abroad. */
    void homesOfTheArrivalKeepBinding()
    {
        TrafficSteering steering(options(), 1, m_log);
        steering.setRoutes(*RouteTable::create(dataWithHomes(1, { jadran }, {})));
        steering.setServers(serversInAllRegions(1), start);
        expectOnlySendTo(jadran, steering.begin(1, request("/lookup/x"), start));
        steering.setRoutes(*RouteTable::create(dataWithHomes(2, {}, {})));
        const auto actions = steering.finished(1, report(DispatchResult::Broken), start + 50ms);
        CPPUNIT_ASSERT(all<SendToServer>(actions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<RejectRequest>(actions).size());
    }

    /** An open route needs no key. If the caller sends one, the home regions of its workspace bind all the same. */
    void homesOfTheKeyBindOnOpenRoutes()
    {
        TrafficSteering steering(options(), 1, m_log);
        auto configuration = dataWithHomes(1, {}, { zagorje });
        configuration.routes[0].isOpen = true;
        steering.setRoutes(*RouteTable::create(configuration));
        steering.setServers(serversInAllRegions(1), start);
        const auto actions = steering.begin(1, request("/lookup/x"), start);
        expectOnlySendTo(zagorje, actions);
        CPPUNIT_ASSERT(all<SendToServer>(actions).front().workspace.isEmpty());
    }

    /** A key that is withdrawn while its request waits permits no send any more. */
    void queuedRequestOfAWithdrawnKeyIsNotSent()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran }, {}));
        auto changed = data(2);
        changed.keys = { { "other", WorkspaceId("kavana") } };
        steering.setRoutes(*RouteTable::create(changed));
        expectRejectionWithoutSend(freeServer(steering));
    }

    void queuedRequestOfARemovedRouteIsNotSent()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, dataWithHomes(1, { jadran }, {}));
        auto changed = data(2);
        changed.routes.erase(changed.routes.begin());
        steering.setRoutes(*RouteTable::create(changed));
        expectRejectionWithoutSend(freeServer(steering));
    }

    /** A repeat waits in the queue when its route becomes unsafe. Sending it would break the invariant that a request
     *  that is not idempotent runs once. */
    void requestThatMayHaveRunIsNotRepeatedAsUnsafe()
    {
        TrafficSteering steering(options(), 1, m_log);
        queueThirdRequest(steering, data(1));
        // The first request may have run and waits again, behind the third one.
        steering.finished(1, report(DispatchResult::Broken), start + 10ms);
        auto changed = data(2);
        changed.routes[0].isIdempotent = false;
        steering.setRoutes(*RouteTable::create(changed));
        for (auto now = start + 20ms; now < start + 3s; now += 20ms) {
            for (const auto& send : all<SendToServer>(steering.tick(now)))
                CPPUNIT_ASSERT(send.request != 1);
        }
    }

    void requestThatMayHaveRunIsNotRepeatedBecauseItBecomesSafe()
    {
        TrafficSteering steering(options(), 1, m_log);
        auto configuration = data(1);
        configuration.routes[0].isIdempotent = false;
        steering.setRoutes(*RouteTable::create(configuration));
        steering.setServers(serversInAllRegions(2), start);
        expectOnlySendTo(jadran, steering.begin(1, request("/lookup/x"), start));
        steering.setRoutes(*RouteTable::create(data(2)));
        const auto actions = steering.finished(1, report(DispatchResult::Broken), start + 50ms);
        const auto* reject = only<RejectRequest>(actions);
        CPPUNIT_ASSERT(reject && reject->reason == RejectReason::ServerFailed);
    }

    /** Load pattern: many routes and workspaces with home regions that change several times per second, in an overload
     *  with failing servers; routes come, go and change their kind. No send may leave the home regions of the arrival
     *  or those in force, no request runs more often than both allow, and each ends exactly once. */
    void sendsObeyBothConfigurationsWhileTheseChange()
    {
        for (unsigned seed = 1; seed <= 20; ++seed)
            runWithChangingConfiguration(seed);
    }

private:
    struct ChangingConfiguration {
        static constexpr std::size_t s_routes = 6;
        static constexpr std::size_t s_workspaces = 4;
        RouteTableData data;
        std::map<std::string, Route> routes; // By path prefix.

        static std::string prefix(std::size_t i) { return "/lookup/" + std::to_string(i) + "/"; }
        static std::string key(std::size_t i) { return "key-" + std::to_string(i); }

        ChangingConfiguration(std::uint64_t version, std::mt19937& random)
            : data(steering_fixtures::data(version))
        {
            const auto homes = [&] {
                std::vector<RegionId> result;
                for (const auto& region : { jadran, zagorje, slavonija }) {
                    if (random() % 2 == 0)
                        result.push_back(region);
                }
                return result;
            };
            data.routes = { route("/lookup/", "salonik", random() % 2 == 0, 1) };
            data.routes.back().homeRegions = homes();
            for (std::size_t i = 0; i < s_routes; ++i) {
                // Requests of a removed route fall to the route "/lookup/".
                if (random() % 6 == 0)
                    continue;
                data.routes.push_back(route(prefix(i), "salonik", random() % 3 != 0, static_cast<int>(i % 3)));
                data.routes.back().homeRegions = homes();
                data.routes.back().maximumAttempts = 1 + random() % 3;
            }
            for (const auto& it : data.routes)
                routes[it.pathPrefix] = it;
            data.workspaces.clear();
            data.keys.clear();
            for (std::size_t i = 0; i < s_workspaces; ++i) {
                const auto some = i % 2 == 0 ? homes() : std::vector<RegionId> {};
                data.workspaces.push_back({ WorkspaceId(key(i)), std::nullopt, 0, 0, some });
                data.keys.emplace(key(i), data.workspaces.back().id);
            }
        }

        const Route& routeOf(std::size_t i) const
        {
            const auto it = routes.find(prefix(i));
            return it == routes.end() ? routes.at("/lookup/") : it->second;
        }

        bool allows(std::size_t route, std::size_t workspace, const RegionId& region) const
        {
            const auto isAmong = [&](const std::vector<RegionId>& homes) {
                return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
            };
            return isAmong(routeOf(route).homeRegions) && isAmong(data.workspaces[workspace].homeRegions);
        }
    };

    void runWithChangingConfiguration(unsigned seed)
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
        auto current = std::make_shared<const ChangingConfiguration>(1, random);
        steering.setRoutes(*RouteTable::create(current->data));
        struct Open {
            std::size_t route;
            std::size_t workspace;
            std::shared_ptr<const ChangingConfiguration> arrival;
            unsigned runs = 0; // Sends that may have run.
            bool isRunning = false;
        };
        std::map<RequestHandle, Open> open;
        unsigned sends = 0;
        unsigned sendsAfterAChange = 0;
        const auto collect = [&](const SteeringActions& actions) {
            for (const auto& send : all<SendToServer>(actions)) {
                auto& it = open.at(send.request);
                for (const auto& configuration : { it.arrival, current }) {
                    CPPUNIT_ASSERT(configuration->allows(it.route, it.workspace, regions.at(send.server)));
                    const auto& route = configuration->routeOf(it.route);
                    CPPUNIT_ASSERT(it.runs == 0 || (route.isIdempotent && it.runs < route.maximumAttempts));
                }
                it.isRunning = true;
                ++sends;
                sendsAfterAChange += it.arrival != current ? 1 : 0;
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
                current = std::make_shared<const ChangingConfiguration>(current->data.version + 1, random);
                steering.setRoutes(*RouteTable::create(current->data));
            }
            const auto route = random() % ChangingConfiguration::s_routes;
            const auto workspace = random() % ChangingConfiguration::s_workspaces;
            open.emplace(handle, Open { route, workspace, current });
            auto caller = request(ChangingConfiguration::prefix(route) + "x", random() % 20);
            caller.key = ChangingConfiguration::key(workspace);
            collect(steering.begin(handle, caller, now));
            std::vector<RequestHandle> running;
            for (const auto& [other, it] : open) {
                if (it.isRunning)
                    running.push_back(other);
            }
            if (!running.empty() && random() % 3 != 0) {
                const auto ended = running[random() % running.size()];
                constexpr std::array failures { DispatchResult::ServerError, DispatchResult::Shed,
                    DispatchResult::NotSent, DispatchResult::Broken };
                const auto result
                    = random() % 4 != 0 ? DispatchResult::Succeeded : failures[random() % failures.size()];
                auto& it = open.at(ended);
                it.isRunning = false;
                it.runs += result == DispatchResult::Shed || result == DispatchResult::NotSent ? 0 : 1;
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
    static SteeringActions freeServer(TrafficSteering& steering)
    {
        return steering.finished(1, report(DispatchResult::Succeeded), start + 20ms);
    }

    static void expectRejectionWithoutSend(const SteeringActions& actions)
    {
        CPPUNIT_ASSERT(all<SendToServer>(actions).empty());
        const auto rejections = all<RejectRequest>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, rejections.size());
        CPPUNIT_ASSERT_EQUAL(RequestHandle { 3 }, rejections.front().request);
        CPPUNIT_ASSERT(rejections.front().reason == RejectReason::ConfigurationChanged);
        CPPUNIT_ASSERT(rejections.front().retryAfter > 0ms);
    }

    NullEventLog m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationChangeTest);
