// The decisions about callers' requests at one entry instance, without I/O: route, key, quota, queue, server,
// repetition and the final answer.

#pragma once

#include "base/EnumNames.h"
#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "steering/ListedServer.h"
#include "steering/OutflowLimit.h"
#include "steering/QuotaGate.h"
#include "steering/RouteTable.h"
#include "steering/ServicePool.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

using RequestHandle = std::uint64_t;

struct CallerRequest {
    std::string id; // Chosen by the caller; one for each of its attempts.
    std::string host;
    std::string path; // May hold a query.
    std::string key; // Empty if none was presented.
    std::string object; // The object that it concerns; empty if none is named.
    std::optional<Duration> remainingTime; // How long the caller waits.
};

enum class RejectReason {
    Starting, // No configuration is known yet.
    Leaving, // The instance stops before the request could be answered.
    UnknownRoute,
    UnknownKey,
    RateExceeded,
    Overloaded, // It would not be served in time.
    ShiftLimited, // It has to run in another region, whose share may not grow so fast.
    Expired, // Its time ran out before it was sent.
    NoServer,
    NotExecuted, // Servers turned it away before running it.
    ServerFailed, // It may have run.
    TimedOut, // It may have run, or still runs.
};

template <>
inline constexpr EnumNameTable<RejectReason, 12> enumNames<RejectReason> { {
    { RejectReason::Starting, "starting" },
    { RejectReason::Leaving, "leaving" },
    { RejectReason::UnknownRoute, "unknown_route" },
    { RejectReason::UnknownKey, "unknown_key" },
    { RejectReason::RateExceeded, "rate_exceeded" },
    { RejectReason::Overloaded, "overloaded" },
    { RejectReason::ShiftLimited, "shift_limited" },
    { RejectReason::Expired, "expired" },
    { RejectReason::NoServer, "no_server" },
    { RejectReason::NotExecuted, "not_executed" },
    { RejectReason::ServerFailed, "server_failed" },
    { RejectReason::TimedOut, "timed_out" },
} };

/** Send the request to this server, once. */
struct SendToServer {
    RequestHandle request = 0;
    BackendServerId server;
    std::string address;
    WorkspaceId workspace; // Empty on open routes.
    Duration remainingTime { 0 }; // What is left of the caller's time.
    bool isIdempotent = false;
};

/** Give up the running send: close its connection and report nothing. */
struct CancelSend {
    RequestHandle request = 0;
};

/** Pass on the response of the send that has just finished. */
struct DeliverResponse {
    RequestHandle request = 0;
};

struct RejectRequest {
    RequestHandle request = 0;
    RejectReason reason = RejectReason::Overloaded;
    Duration retryAfter { 0 }; // 0: none is stated.
};

using SteeringAction = std::variant<SendToServer, CancelSend, DeliverResponse, RejectRequest>;
using SteeringActions = std::vector<SteeringAction>;

struct SendReport {
    DispatchResult result = DispatchResult::Succeeded;
    std::optional<ServerLoad> load;
    std::optional<Duration> connectTime; // If a connection was opened for it.
    std::string detail; // For the log.
};

/** Bounds of all instances together. They may change while requests run. */
struct SteeringBounds {
    // Retries a service may get: this share of the requests, and a fixed number, in each window.
    double retryShare = 0.16; // Below the 0.2 of the platform, because instances count apart.
    double retrySlack = 0;
    // A cold server bears its rate times the overage and the slack more, in any second.
    double coldOverage = 1.5;
    double coldSlack = 5;
    double maximumShiftShare
        = 0.15; // Share of a region's requests that may change their region from one 2 s to the next.
};

struct SteeringOptions {
    RegionId region;
    ServicePoolOptions pool;
    SteeringBounds bounds {};
    Duration retryWindow = std::chrono::seconds { 10 };
    // A request that is to be answered after its target waits only if its expected end lies within this share of the
    // time it has left.
    double lateShare = 0.4;
    double targetSlack = 0; // Share of the target by which a queued request may be expected to miss it.
    Duration shortestRetryAfter = std::chrono::milliseconds { 100 };
    Duration longestRetryAfter = std::chrono::seconds { 2 };
    std::size_t queueLimit = 256; // Per service.
};

/** Counts of durations up to each bound, and of those beyond the last one. */
struct LatencyHistogram {
    // Around the target latencies of the users, 150 ms to 1.2 s, and their deadlines, up to 8 s.
    static constexpr std::array<Duration, 12> s_bounds { std::chrono::milliseconds { 25 },
        std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 100 }, std::chrono::milliseconds { 150 },
        std::chrono::milliseconds { 250 }, std::chrono::milliseconds { 400 }, std::chrono::milliseconds { 600 },
        std::chrono::milliseconds { 1'000 }, std::chrono::milliseconds { 1'500 }, std::chrono::milliseconds { 2'500 },
        std::chrono::milliseconds { 4'000 }, std::chrono::milliseconds { 8'000 } };

    std::array<std::uint64_t, s_bounds.size() + 1> counts {};
    double seconds = 0; // Sum of the durations.

    void add(Duration duration) noexcept;
};

/** Load of one service's servers in the own region. */
struct LocalServiceLoad {
    ServiceId service;
    std::uint32_t slots = 0;
    double occupied = 0; // Requests at the servers, from all instances.
    std::uint32_t queued = 0; // Requests that wait at this instance.
    double offered = 0; // Slots that this instance's callers would fill if all were served.
};

struct SteeringCounters {
    std::uint64_t begun = 0;
    std::uint64_t sends = 0;
    std::uint64_t warmSends = 0;
    std::uint64_t spills = 0;
    std::uint64_t retries = 0;
    std::uint64_t delivered = 0;
    std::uint64_t callerDisconnects = 0;
    std::map<RejectReason, std::uint64_t> rejected;
    std::map<DispatchResult, std::uint64_t> results;
    std::map<Duration, LatencyHistogram> latencies; // Of delivered responses, by the target latency of the route.
};

/**
 * Not thread-safe.
 *
 * Invariants: a request that is not idempotent is sent again only after a send that certainly did not run. A request is
 * rejected with a reason that promises "not run" only if no send of it may have run.
 */
class TrafficSteering {
public:
    TrafficSteering(SteeringOptions, std::uint64_t seed, EventLog&);
    ~TrafficSteering();
    TrafficSteering(const TrafficSteering&) = delete;
    TrafficSteering& operator=(const TrafficSteering&) = delete;

    /** Takes a newer version; an older one is ignored, because a configuration never goes back. */
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    void setServers(const std::vector<ListedServer>&, TimePoint now);
    void setEvacuated(const std::set<FailureDomainId>& domains);
    void setBounds(const SteeringBounds&);
    /** Number of live entry instances, this one included, and how many of them are in its region. Quotas, cold rates,
     *  retries and slots are shared among them. */
    void setInstances(std::size_t count, std::size_t inRegion);
    /** For the other regions. */
    std::vector<LocalServiceLoad> localLoads(TimePoint now) const;
    /** Slots that the callers of each region would fill. */
    void setOfferedLoad(const ServiceId&, std::map<RegionId, double>);
    QuotaGate& quotas() noexcept { return m_quotas; }

    /** Takes a request. Its decision is among the returned actions, or those of a later call. */
    SteeringActions begin(RequestHandle, const CallerRequest&, TimePoint now);
    SteeringActions finished(RequestHandle, const SendReport&, TimePoint now);
    /** The caller went away. A running send is cancelled. */
    SteeringActions callerDisconnected(RequestHandle, TimePoint now);
    /** Runs timers. Call it every 20 ms or so while requests are open. */
    SteeringActions tick(TimePoint now);

    const std::shared_ptr<const RouteTable>& routes() const noexcept { return m_routes; }
    std::size_t openRequests() const noexcept { return m_requests.size(); }
    const SteeringCounters& counters() const noexcept { return m_counters; }

private:
    struct Request;
    struct Service;
    struct WorkTimes;

    Service& service(const ServiceId&);
    /** Measured, or guessed for a route without a response yet. */
    WorkTimes workTimes(const Route&) const;
    PoolQuery query(const Request&) const;
    static bool isLate(const Request&, TimePoint now);
    void enqueue(Request&, TimePoint now, SteeringActions&);
    Duration expectedWait(const Request&, TimePoint now);
    /** Whether a request may stay in the queue if it waits that long. */
    bool mayWait(const Request&, Duration wait, TimePoint now) const;
    /** Whether the request may run in other regions only. */
    bool mustLeaveRegion(const PoolQuery& wanted) const { return !wanted.allows(m_options.region); }
    bool isHeldByOutflow(const PoolQuery& wanted, TimePoint now);
    /** For a request that is held by the bound on what leaves the region. */
    Duration expectedOutflowWait(const Request&, TimePoint now);
    void pump(Service&, TimePoint now, SteeringActions&);
    void send(Request&, const PoolQuery&, const PoolChoice&, TimePoint now, SteeringActions&);
    void retryOrEnd(Request&, const SendReport&, TimePoint now, SteeringActions&);
    void deliver(Request&, TimePoint now, SteeringActions&);
    void reject(Request&, RejectReason, Duration retryAfter, TimePoint now, SteeringActions&);
    void rejectUnknown(RequestHandle, const CallerRequest&, RejectReason, Duration retryAfter, SteeringActions&);
    void settleSend(Request&, const SendReport&, TimePoint now);
    void observeWork(Request&, Duration latency);
    void erase(Request&);
    Duration boundedRetryAfter(Duration wanted, const Request&, TimePoint now) const;
    /** Gives every service its part of what the instances share, and the evacuated domains. */
    void configureServices();
    void applyColdRate(ServicePool&, double perSecond) const;

    SteeringOptions m_options;
    EventLog& m_log;
    std::uint64_t m_seed;
    std::shared_ptr<const RouteTable> m_routes;
    std::size_t m_instances = 1;
    std::size_t m_localInstances = 1;
    QuotaGate m_quotas;
    OutflowLimit m_outflow;
    std::unique_ptr<class SplitSelector> m_split;
    std::map<ServiceId, std::unique_ptr<Service>> m_services;
    std::map<std::string, WorkTimes> m_workTimes; // By route name.
    std::map<RequestHandle, std::unique_ptr<Request>> m_requests;
    std::set<FailureDomainId> m_evacuated;
    SteeringCounters m_counters;
};

}
