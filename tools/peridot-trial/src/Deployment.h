// The two deployments of the design page as data: regions, instances, services, classes and workspaces.

#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridot::trial {

struct ServiceSize {
    std::string name;
    int servers = 0;
    int slots = 0; // Per server.
    Duration meanServiceTime { 0 }; // On a warm server.
};

struct ClassShape {
    std::string id;
    std::size_t service = 0; // Index into services.
    std::string method;
    std::string pathPrefix; // Behind the service, with a leading slash.
    int importance = 1; // Higher is more important.
    Duration target { 0 };
    bool isIdempotent = true;
    bool isOpen = false;
    double weight = 1; // Part of its service's requests.
};

struct WorkspaceShape {
    std::string id;
    double share = 0; // Of the deployment's demand.
};

struct Deployment {
    std::string name;
    std::vector<std::string> regions; // The store is in the first one.
    std::vector<int> instances; // Per region.
    Duration domainDelay { 0 };
    Duration regionDelay { 0 };
    Duration clientDelay { 0 };
    Duration connectionCost { 0 };
    Duration probeCost { 0 };
    std::uint64_t linkMegabitsPerSecond = 0;
    std::uint32_t maximumConnections = 0;
    std::vector<ServiceSize> services;
    std::vector<ClassShape> classes;
    std::vector<WorkspaceShape> workspaces;

    /** Requests per second that all slots together can run. */
    double capacity() const;
    double capacity(std::size_t service) const;
};

/** Domains are numbered over all regions: domain d lies in region d / 2. */
constexpr int domainsPerRegion = 2;

/**
 * Returns a deployment by name. @p slotScale scales slots per server (rounded up to at least one) and the link
 * capacity, so that fewer requests load the system as much as the full rate would.
 */
std::optional<Deployment> deploymentByName(const std::string& name, double slotScale);

}
