// Settings of the backend servers' stand-in. One process serves any number of backend servers.

#pragma once

#include "base/Ids.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot {

/** How the servers of one service behave. */
struct ServiceBehaviour {
    // Service times are log-normal with this median and this 99th percentile.
    Duration medianServiceTime = std::chrono::milliseconds { 20 };
    Duration p99ServiceTime = std::chrono::milliseconds { 80 };
    std::uint32_t responseBytes = 1024; // Unless the request's query parameter `bytes` says otherwise.
    double coldFactor = 4; // Multiplies the service time of the first run after a cold start.
    std::uint32_t warmRuns = 200; // Runs until the factor has fallen to 1, linearly.
    double queuePerSlot = 1; // Waiting requests per slot. Further ones are shed.
};

struct BackendServerSettings {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::string service;
    std::string listen; // host:port
    std::uint32_t slots = 0;
    std::uint32_t maximumConnections = 0;
};

struct BackendSettings {
    DeploymentId deployment;
    std::string controlListen; // host:port
    std::uint32_t threads = 2;
    std::uint64_t randomSeed = 1;
    std::uint32_t trackedIds = 1000000; // Request ids kept for counting; the oldest are dropped beyond.
    std::vector<std::string> callerKeySecrets; // Texts that must never arrive.
    std::map<std::string, ServiceBehaviour> services;
    std::vector<BackendServerSettings> servers;
};

Result<BackendSettings> readBackendSettings(const std::string& path);
Result<BackendSettings> parseBackendSettings(const nlohmann::json&, const std::string& source);

}
