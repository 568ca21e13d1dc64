// Settings of the callers: which workspaces send what, how fast and how patiently.

#pragma once

#include "base/Ids.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

/** One kind of request in a workspace's mix. */
struct RequestKind {
    std::string service;
    std::string method;
    std::string path; // Without the service; starts with '/'.
    double weight = 1;
    bool isIdempotent = false;
    bool hasIdempotencyKey = false; // Sends Idempotency-Key, the same for all attempts.
    std::uint32_t requestBytes = 0;
    std::uint32_t responseBytes = 0; // 0 leaves it to the service.
};

struct CallerSettings {
    std::string workspace;
    std::string key; // Empty for open routes.
    double ratePerSecond = 0; // As bought; the reference for refusals.
    double burst = 0;
    double multiple = 1; // Open loop: sends at this multiple of the rate.
    std::uint32_t closedLoopCallers = 0; // Closed loop with this many callers if not 0.
    Duration thinkTime { 0 }; // Closed loop only.
    std::uint32_t attempts = 1; // Sends a failed or refused request again at once, as careless scripts do.
    std::vector<std::string> clientAddresses; // For look-ups; each request takes one at random. Empty: the own one.
    std::vector<RequestKind> mix;
};

struct LoadSettings {
    DeploymentId deployment;
    std::vector<std::string> entryAddresses; // Where look-ups start.
    std::vector<std::string> controlAddresses; // Of the backend server processes, for the audit; empty for none.
    Duration duration = std::chrono::seconds { 10 };
    Duration requestTimeout = std::chrono::seconds { 5 };
    std::uint32_t openRequests = 2000; // Per workspace; beyond them an open loop skips and counts the request.
    std::uint64_t randomSeed = 1;
    std::vector<CallerSettings> callers;
};

Result<LoadSettings> readLoadSettings(const std::string& path);
Result<LoadSettings> parseLoadSettings(const nlohmann::json&, const std::string& source);

}
