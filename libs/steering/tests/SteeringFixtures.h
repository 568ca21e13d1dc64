// Configuration, servers and requests for the tests of TrafficSteering.

#pragma once

#include "steering/TrafficSteering.h"

#include <cppunit/TestAssert.h>

#include <string>
#include <vector>

namespace peridot::steering_fixtures {

using namespace std::chrono_literals;

inline const TimePoint start { 1000s };
inline const RegionId jadran("jadran");
inline const RegionId zagorje("zagorje");

inline Route route(const std::string& prefix, const std::string& service, bool isIdempotent, int rank)
{
    Route route;
    route.name = prefix;
    route.host = "plesni.example";
    route.pathPrefix = prefix;
    route.services = { { ServiceId(service), 1 } };
    route.isIdempotent = isIdempotent;
    route.isSticky = true;
    route.maximumAttempts = 2;
    route.rank = rank;
    route.timeout = 1500ms;
    route.targetLatency = 400ms;
    return route;
}

inline RouteTableData data(std::uint64_t version = 1)
{
    RouteTableData data;
    data.version = version;
    data.services
        = { { ServiceId("salonik"), "/health", 360, 3s, 19 }, { ServiceId("stolic"), "/health", 360, 3s, 19 } };
    data.workspaces = { { WorkspaceId("kavana"), std::nullopt, 0, 0, {} } };
    data.keys = { { "secret", WorkspaceId("kavana") } };
    data.routes = { route("/lookup/", "salonik", true, 2), route("/book/", "salonik", false, 0) };
    return data;
}

inline std::vector<ListedServer> servers(int count, std::uint32_t slots)
{
    std::vector<ListedServer> servers;
    for (int i = 0; i < count; ++i) {
        ListedServer server;
        server.id = BackendServerId("i-" + std::to_string(i));
        server.service = ServiceId("salonik");
        server.address = "10.0.0.1:" + std::to_string(8000 + i);
        server.failureDomain = FailureDomainId("jadran-a");
        server.region = jadran;
        server.slots = slots;
        servers.push_back(server);
    }
    return servers;
}

inline CallerRequest request(const std::string& path, std::uint64_t object = 1)
{
    return { "r", "plesni.example", path, "secret", std::to_string(object), 2000ms };
}

inline SteeringOptions options()
{
    SteeringOptions options;
    options.region = jadran;
    options.bounds.retrySlack = 10;
    return options;
}

template <typename T> const T* only(const SteeringActions& actions)
{
    CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
    return std::get_if<T>(&actions[0]);
}

}
