// One version of the operators' configuration in the form used to handle requests: routes, services, workspaces and
// keys.

#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridot {

struct ServiceShare {
    ServiceId service;
    double weight = 1; // Relative to the other shares of the route; not negative.
};

struct Route {
    std::string name;
    std::string host; // Lower case, without port.
    std::string pathPrefix; // Begins and ends with '/'.
    std::vector<ServiceShare> services; // Not empty. A route with more than one service is split by weight.
    bool isIdempotent = false;
    bool isOpen = false; // Served without a key.
    bool isSticky = false; // Requests for the same object are faster at a server that has handled it recently.
    unsigned maximumAttempts = 1; // Maximum number of servers on which one request may run.
    int rank = 0; // 0 is the most urgent.
    Duration timeout { 0 }; // Maximum time from the arrival of a request to its final answer.
    Duration targetLatency { 0 };
    std::vector<RegionId> homeRegions; // Empty: any region may serve it.
};

struct WorkspaceQuota {
    WorkspaceId id;
    std::optional<int> rank; // Replaces the rank of the route.
    double ratePerSecond = 0; // 0: no limit.
    double burst = 0;
    std::vector<RegionId> homeRegions; // Empty: any region may serve it.
};

struct ServiceDescription {
    ServiceId id;
    std::string healthPath;
    std::uint32_t maximumConnections = 1; // Connections to one server from all entry instances together.
    Duration coldTime { 0 }; // Time after its start during which a server is cold, if it starts while there is traffic.
    double coldRequestsPerSecond = 0; // Maximum rate to one cold server from all entry instances together.
};

struct CallerLimits {
    std::size_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 67'108'864;
    Duration headerTimeout = std::chrono::seconds { 3 };
    Duration idleTimeout = std::chrono::seconds { 15 };

    bool operator==(const CallerLimits&) const = default;
};

struct RouteTableData {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDescription> services;
    std::vector<WorkspaceQuota> workspaces;
    std::map<std::string, WorkspaceId> keys;
    CallerLimits limits;
};

/** Immutable after create(). */
class RouteTable {
public:
    /** Fails with InvalidArgument if a route names an unknown service, or a key an unknown workspace. */
    static Result<std::shared_ptr<const RouteTable>> create(RouteTableData);

    std::uint64_t version() const noexcept { return m_data.version; }
    const RouteTableData& data() const noexcept { return m_data; }
    /** Returns the route of @p host with the longest path prefix that matches @p path, or null. A query in @p path is
     *  ignored. */
    const Route* find(std::string_view host, std::string_view path) const;
    /** Regions that are a home of any route of the host. Empty if none of them has homes. */
    std::set<RegionId> homeRegionsOfHost(std::string_view host) const;
    /** Returns null for an unknown key. */
    const WorkspaceQuota* workspaceOfKey(const std::string& key) const;
    const ServiceDescription* service(const ServiceId&) const;

private:
    explicit RouteTable(RouteTableData data)
        : m_data(std::move(data))
    {
    }

    RouteTableData m_data;
    // Indices into m_data, which does not change after create().
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; // Longest prefix first.
    std::map<std::string, std::set<RegionId>> m_homesByHost;
    std::map<WorkspaceId, std::size_t> m_workspaces;
    std::map<ServiceId, std::size_t> m_services;
};

}
