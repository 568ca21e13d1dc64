// The decisions of one entry instance, without I/O: lookups, admission, routing, budgets, membership and configuration.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "membership/Messages.h"
#include "peridot/Actions.h"
#include "store/StoreTypes.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

/** Clients of a block belong to the first region of the list that serves. */
struct ClientBlockRegions {
    std::string block; // Such as "10.1.0.0/16".
    std::vector<RegionId> regions;
};

struct NodeSettings {
    DeploymentId deployment;
    MemberInfo self;
    std::vector<RegionId> regions;
    Duration lookupTimeToLive = std::chrono::seconds { 5 };
    Duration clientDelay = std::chrono::milliseconds { 8 }; // One way, to callers of the own region.
    Duration regionDelay = std::chrono::milliseconds { 55 }; // One way, between regions.
    std::uint64_t linkMegabitsPerSecond = 4000;
    std::vector<ClientBlockRegions> clientBlocks;
    std::uint64_t randomSeed = 0;
};

struct RequestHead {
    RequestId id;
    std::string method;
    std::string path; // Without the query; the service is its first segment.
    std::string clientAddress;
    std::vector<std::string> presentedKeys; // All keys found in headers and query.
    std::string idempotencyKey;
    std::uint64_t bodyBytes = 0;
    Duration timeout = std::chrono::seconds { 30 };
};

enum class DispatchOutcomeKind {
    Completed, // A whole response arrived.
    Shed, // The server refused before running the request.
    NotSent, // No byte of the request left.
    Failed, // Broken after bytes may have left.
    TimedOut,
    Cancelled, // The caller went away.
};

template <>
inline constexpr EnumNameTable<DispatchOutcomeKind, 6> enumNames<DispatchOutcomeKind> { {
    { DispatchOutcomeKind::Completed, "completed" },
    { DispatchOutcomeKind::Shed, "shed" },
    { DispatchOutcomeKind::NotSent, "not_sent" },
    { DispatchOutcomeKind::Failed, "failed" },
    { DispatchOutcomeKind::TimedOut, "timed_out" },
    { DispatchOutcomeKind::Cancelled, "cancelled" },
} };

struct DispatchOutcome {
    DispatchOutcomeKind kind = DispatchOutcomeKind::Completed;
    Duration latency { 0 };
    Duration retryAfter { 0 }; // As a shedding server states it.
    std::uint64_t responseBytes = 0;
    bool hasResponseStarted = false; // Part of the response has reached the caller, so nothing else can be answered.
    RecordedResponse response; // For an idempotency claim; the body is kept only if it is small.
};

/** A backend server's answer to a probe, or its absence. */
struct ProbeResult {
    bool isReachable = false;
    bool isHealthy = false;
    bool isDraining = false;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
};

struct LookupQuery {
    ServiceId service;
    std::string clientAddress;
};

struct ListedInstance {
    InstanceId id;
    RegionId region;
    FailureDomainId failureDomain;
    std::string address;
};

struct LookupResponse {
    ConfigurationVersion version = 0;
    Duration timeToLive { 0 };
    std::vector<ListedInstance> instances; // Best first.
};

using LookupResult = std::variant<LookupResponse, Refusal>;

/**
 * One entry instance. Thread-safe: control state, each service's queue and backend servers, and each shard of held
 * budget units have their own locks.
 */
class Node {
public:
    /** @p incarnation must differ at each start of the process. */
    Node(NodeSettings, EventLog&);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /** Runs timers. Call it every 10 ms. */
    Actions tick(TimePoint now);
    Actions receive(const Envelope&, TimePoint now);
    Actions storeCompleted(std::uint64_t id, const StoreResult&, TimePoint now);
    Actions probeCompleted(const BackendServerId&, const ProbeResult&, TimePoint now);

    LookupResult lookup(const LookupQuery&, TimePoint now);

    /** Takes a request. Its decision is among the returned actions, or those of a later call. */
    Actions begin(const RequestHead&, TimePoint now);
    /** Reports what became of a dispatch. The request is over unless an action dispatches it again. */
    Actions finished(const RequestId&, const DispatchOutcome&, TimePoint now);
    /** The caller went away before its request was dispatched. */
    Actions abandoned(const RequestId&, TimePoint now);

    /** Handles a request of the operator endpoint. Its answer is among the returned actions, or those of a later call.
     */
    Actions operate(const OperatorRequest&, TimePoint now);

    /** What operators see of this instance: JSON, see docs/api.md. */
    std::string status(TimePoint now) const;

    /** Starts a graceful shutdown. */
    Actions leave(TimePoint now);
    /** True once the time to live of lookup answers is over, nothing runs and everything held was given back. */
    bool hasDrained(TimePoint now) const;

    InstanceState state() const;
    ConfigurationVersion configurationVersion() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
