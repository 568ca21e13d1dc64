// Decides how one entry instance handles callers' requests, without I/O: route, key, quota, queueing, choice of server,
// retries and the final answer.

#pragma once

#include "base/EnumNames.h"
#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "steering/CrashRegistry.h"
#include "steering/CrashSuspicions.h"
#include "steering/KnowledgeGuard.h"
#include "steering/LateAttemptDetector.h"
#include "steering/ListedServer.h"
#include "steering/OutflowLimit.h"
#include "steering/QuotaGate.h"
#include "steering/RouteTable.h"
#include "steering/ServerLimit.h"
#include "steering/ServerReach.h"
#include "steering/ServerStatement.h"
#include "steering/ServicePool.h"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

using RequestHandle = std::uint64_t;

struct CallerRequest {
    std::string id; // Chosen by the caller; differs between its attempts.
    std::string host;
    std::string path; // May include a query.
    std::string key; // API key; empty if the caller sent none.
    std::string object; // Affinity key of the object that the request concerns; empty if there is none.
    std::optional<Duration> remainingTime; // Time that the caller waits for the final answer, if it stated one.
    // Hash of the caller, the method, the path and the body. A repeat of the request has the same one, at any instance.
    std::uint64_t content = 0;
    // Time since the request arrived at the instance that passed it on, because that one reaches no server. The request
    // is not passed on again. Empty if the caller sent it here.
    std::optional<Duration> passedAfter {};
};

enum class RejectReason {
    Starting, // The instance has not received a configuration yet.
    Unconfirmed, // What the instance knows has expired, for example in a pause of the process.
    Leaving, // The instance stops before the request can be answered.
    UnknownRoute,
    UnknownKey,
    ConfigurationChanged, // A configuration that came into force while the request waited does not allow it to run.
    RateExceeded,
    Overloaded, // The request is not expected to be served in time.
    ShiftLimited, // The request may run in other regions only, and their share of the requests may not grow faster.
    Expired, // The deadline or timeout passed while the request was not running at a server.
    NoServer, // No server may take the request.
    Paused, // All servers that may take the request want nothing from this instance for longer than it can wait.
    Detached, // This instance reaches no server, and none takes the request to which it could be passed.
    EndsServers, // Several servers have ended while they ran this request.
    NotExecuted, // Servers refused the request before running it.
    ServerFailed, // The request may have run.
    TimedOut, // The request may have run or may still be running.
};

template <>
inline constexpr EnumNameTable<RejectReason, 17> enumNames<RejectReason> { {
    { RejectReason::Starting, "starting" },
    { RejectReason::Unconfirmed, "unconfirmed" },
    { RejectReason::Leaving, "leaving" },
    { RejectReason::UnknownRoute, "unknown_route" },
    { RejectReason::UnknownKey, "unknown_key" },
    { RejectReason::ConfigurationChanged, "configuration_changed" },
    { RejectReason::RateExceeded, "rate_exceeded" },
    { RejectReason::Overloaded, "overloaded" },
    { RejectReason::ShiftLimited, "shift_limited" },
    { RejectReason::Expired, "expired" },
    { RejectReason::NoServer, "no_server" },
    { RejectReason::Paused, "paused" },
    { RejectReason::Detached, "detached" },
    { RejectReason::EndsServers, "ends_servers" },
    { RejectReason::NotExecuted, "not_executed" },
    { RejectReason::ServerFailed, "server_failed" },
    { RejectReason::TimedOut, "timed_out" },
} };

/** Of RejectReason::Leaving; short, because another instance can take the request at once. */
constexpr Duration leavingRetryAfter = std::chrono::milliseconds { 20 };

/** Whether the reason lies with the instance that rejects the request, so that another one may serve it. */
constexpr bool isInstanceUnable(RejectReason reason) noexcept
{
    return reason == RejectReason::Starting || reason == RejectReason::Unconfirmed || reason == RejectReason::Leaving
        || reason == RejectReason::Detached;
}

/** Instructs the caller of TrafficSteering to send the request to this server once. */
struct SendToServer {
    RequestHandle request = 0;
    BackendServerId server;
    std::int64_t incarnation = 0; // As in ListedServer.
    std::string address;
    WorkspaceId workspace; // Empty on open routes.
    Duration remainingTime { 0 }; // Time that the caller still waits for the final answer.
    bool isIdempotent = false;
};

/** Instructs the caller of TrafficSteering to pass the request to another instance once, as if the caller had sent it
 *  there, and to report the result as for a send: Shed if the instance is unable to serve it (isInstanceUnable()),
 *  Succeeded with any other response. */
struct PassToInstance {
    RequestHandle request = 0;
    InstanceId instance;
    std::string address;
    Duration remainingTime { 0 }; // As the caller stated it, whatever the timeout of the route is.
    Duration waited { 0 }; // As in CallerRequest::passedAfter.
    bool isIdempotent = false;
};

/** Instructs the caller of TrafficSteering to open a connection to the server, without a request, and call probed(). */
struct ProbeServer {
    std::uint64_t round = 0;
    std::string address;
    bool isUrgent = false; // An accepted connection is enough; it does not have to last.
};

/** Instructs the caller of TrafficSteering to open a connection to a server that may have ended, and call checked(). */
struct CheckServer {
    std::uint64_t round = 0;
    std::string address;
};

/** Instructs the caller of TrafficSteering to close the connection of the running send without a SendReport. */
struct CancelSend {
    RequestHandle request = 0;
};

/** Instructs the caller of TrafficSteering to close the connection of the running send and to report it as Withdrawn,
 * if no byte of the request was sent yet. Otherwise nothing changes. */
struct WithdrawSend {
    RequestHandle request = 0;
};

/** Instructs the caller of TrafficSteering to forward the response of the send that has just finished. */
struct DeliverResponse {
    RequestHandle request = 0;
};

struct RejectRequest {
    RequestHandle request = 0;
    RejectReason reason = RejectReason::Overloaded;
    Duration retryAfter { 0 }; // 0 if no Retry-After is stated.
};

using SteeringAction = std::variant<SendToServer, PassToInstance, ProbeServer, CheckServer, CancelSend, WithdrawSend,
    DeliverResponse, RejectRequest>;
using SteeringActions = std::vector<SteeringAction>;

struct SendReport {
    DispatchResult result = DispatchResult::Succeeded;
    ServerStatement statement {};
    std::optional<Duration> connectTime; // Set if a connection was opened for the send.
    std::string detail; // For the log.
    std::size_t responseBytes = 0; // Size of the response's body.
};

/** Bounds that apply to all instances together. They may change while requests run. */
struct SteeringBounds {
    // In each retry window a service may get retries up to this share of its requests plus a fixed number (retrySlack).
    double retryShare = 0.16; // Below the platform's 0.2, because instances count independently.
    double retrySlack = 0;
    // In any second a cold server may get its rate times the overage plus the slack.
    double coldOverage = 1.5;
    double coldSlack = 5;
    LimitBound limit {};
    // Share of a region's requests that may change their region from one 2 s window to the next.
    double maximumShiftShare = 0.15;
};

struct SteeringOptions {
    RegionId region;
    ServicePoolOptions pool;
    SteeringBounds bounds {};
    KnowledgeGuardOptions knowledge {};
    ServerReachOptions reach {};
    CrashRegistryOptions crashes {};
    CrashSuspicionsOptions suspicions {};
    Duration retryWindow = std::chrono::seconds { 10 };
    // A request that will miss its target latency is queued only if its expected end lies within this share of its
    // remaining time.
    double lateWaitShare = 0.4;
    // Share of the target latency by which a queued request may be expected to exceed it.
    double targetOvershootShare = 0;
    Duration minimumRetryAfter = std::chrono::milliseconds { 100 };
    Duration maximumRetryAfter = std::chrono::seconds { 2 };
    std::size_t queueLimit = 256; // Per service.
    InstanceId instance {}; // The entry instance itself.
};

/** Counts durations per interval: up to each bound, and beyond the last one. */
struct LatencyHistogram {
    // The bounds cover the users' target latencies, 150 ms to 1.2 s, and their deadlines, up to 8 s.
    static constexpr std::array<Duration, 12> s_bounds { std::chrono::milliseconds { 25 },
        std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 100 }, std::chrono::milliseconds { 150 },
        std::chrono::milliseconds { 250 }, std::chrono::milliseconds { 400 }, std::chrono::milliseconds { 600 },
        std::chrono::milliseconds { 1'000 }, std::chrono::milliseconds { 1'500 }, std::chrono::milliseconds { 2'500 },
        std::chrono::milliseconds { 4'000 }, std::chrono::milliseconds { 8'000 } };

    std::array<std::uint64_t, s_bounds.size() + 1> counts {};
    double seconds = 0; // Sum of all durations.

    void add(Duration duration) noexcept;
};

/** Load of one service's servers in the own region. */
struct LocalServiceLoad {
    ServiceId service;
    std::uint32_t slots = 0; // Of usable servers.
    double occupied = 0; // Requests of all instances at the servers.
    std::uint32_t queued = 0; // Requests that are queued at this instance.
    double offered = 0; // Slots that the requests of this instance's callers would fill if all were served.
};

struct SteeringCounters {
    std::uint64_t begun = 0;
    std::uint64_t sends = 0;
    std::uint64_t warmSends = 0;
    std::uint64_t spills = 0;
    std::uint64_t retries = 0;
    std::uint64_t passed = 0; // To other instances.
    std::uint64_t delivered = 0;
    std::uint64_t callerDisconnects = 0;
    std::map<RejectReason, std::uint64_t> rejected;
    std::map<DispatchResult, std::uint64_t> results;
    std::map<Duration, LatencyHistogram> latencies; // Latencies of delivered responses by the route's target latency.
};

/**
 * Decides on each request of the callers and returns the actions to perform. Not thread-safe.
 *
 * Invariants: a request is sent only as the configuration in force and that of its arrival allow. A request that is not
 * idempotent is sent again only if none of its sends may have run. A request is rejected with a reason that states "not
 * run" only if none of its sends may have run.
 */
class TrafficSteering {
public:
    /** Returns whether the response to a running request may have arrived although finished() was not called yet. */
    using ResponseCheck = std::function<bool(RequestHandle)>;

    TrafficSteering(SteeringOptions, std::uint64_t seed, EventLog&);
    ~TrafficSteering();
    TrafficSteering(const TrafficSteering&) = delete;
    TrafficSteering& operator=(const TrafficSteering&) = delete;

    /** Applies a newer version of the configuration. A version that is not newer is ignored,
     *  because a configuration never returns to an earlier version. */
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    void setServers(const std::vector<ListedServer>&, TimePoint now);
    void setEvacuated(const std::set<FailureDomainId>& domains);
    void setBounds(const SteeringBounds&);
    /** Sets the entry instances, this one included. Cold rates, retries and slots are shared among them. */
    void setInstances(std::vector<EntryInstance>);
    /** Loads of all services in the own region, for exchange with the other regions. */
    std::vector<LocalServiceLoad> localLoads(TimePoint now) const;
    /** Slots that the callers of each region would fill. */
    void setOfferedLoad(const ServiceId&, std::map<RegionId, double>);
    QuotaGate& quotas() noexcept { return m_quotas; }
    /** Requests that end servers. All instances exchange the reports. */
    CrashRegistry& crashes() noexcept { return m_crashes; }
    const CrashRegistry& crashes() const noexcept { return m_crashes; }
    /** What the other instances have to be told of the servers' statements to this one. */
    std::vector<ServerNotice> serverNotices(TimePoint now) const;
    /** Applies statements that servers made to other instances. */
    void learn(const std::vector<ServerNotice>&, TimePoint now);
    /** Whether this instance reaches no server. It then passes requests on to other instances. */
    bool isDetached() const noexcept { return m_reach.isDetached(); }
    /** A request was sent to the server at @p address, the connection ended without a response, and an attempt to open
     *  another one ended with @p outcome. The report counts once there is evidence that the server has ended. */
    SteeringActions sendLost(const CrashReport&, const std::string& address, ConnectOutcome outcome, TimePoint now);
    /** Reports of ended servers that wait for evidence. */
    std::size_t suspectedCrashes() const noexcept { return m_suspicions.size(); }
    /** Records that an attempt to confirm the routes, servers and evacuations, which began at @p start, has ended. */
    void knowledgeConfirmed(TimePoint start) noexcept { m_knowledge.confirmed(start); }
    /** Since when a newer state of the operators is known to exist that is not in force here. */
    void knowledgeBehindSince(std::optional<TimePoint> since) noexcept { m_knowledge.setBehindSince(since); }
    const KnowledgeGuard& knowledge() const noexcept { return m_knowledge; }

    /** Starts handling a request. The actions for it are returned by this call or by later ones. */
    SteeringActions begin(RequestHandle, const CallerRequest&, TimePoint now);
    /** Handles the result of a probe. */
    SteeringActions probed(const ProbeServer&, ConnectOutcome, TimePoint now);
    void checked(const CheckServer&, ConnectOutcome, TimePoint now);
    /** Handles the result of a send. Ignored if the request is not running at a server. */
    SteeringActions finished(RequestHandle, const SendReport&, TimePoint now);
    /** Ends a request whose caller has closed its connection. A running send is cancelled. */
    SteeringActions callerDisconnected(RequestHandle, TimePoint now);
    /** This instance answers nothing after @p end. A request that is not running is rejected, for another instance to
     *  serve, once it is not expected to be answered before; one that is running is answered at @p end. */
    void setEnd(TimePoint end) noexcept { m_end = end; }
    /** Ends requests past their deadline and sends queued ones. Call it about every 20 ms while requests are open.
     *  Spares a request that is running if @p mayHaveResponse returns true; endOverdue() has to follow then. */
    SteeringActions tick(TimePoint now, const ResponseCheck& mayHaveResponse = {});
    /** Ends requests past their deadline, as tick() does. */
    SteeringActions endOverdue(TimePoint now, const ResponseCheck& mayHaveResponse);

    const std::shared_ptr<const RouteTable>& routes() const noexcept { return m_routes; }
    std::size_t openRequests() const noexcept { return m_requests.size(); }
    StatedServers statedServers() const noexcept;
    const SteeringCounters& counters() const noexcept { return m_counters; }

private:
    struct Request;
    struct Service;
    struct WorkTimes;
    /** What a configuration says about a request. */
    struct Admission {
        std::shared_ptr<const RouteTable> routes; // Keeps the objects below alive.
        const Route* route = nullptr;
        const WorkspaceQuota* workspace = nullptr; // Null on open routes.
        const WorkspaceQuota* keyHolder = nullptr; // Its home regions bind on open routes as well. Null without a key.
    };

    Service& service(const ServiceId&);
    /** Measured work times, or initial estimates for a route without a response yet. */
    WorkTimes workTimes(const Route&) const;
    PoolQuery query(const Request&) const;
    /** Finds the route and the workspace by the configuration in force. Fails with UnknownRoute or UnknownKey. */
    tl::expected<Admission, RejectReason> admit(
        const std::string& host, const std::string& path, const std::string& key) const;
    /** Applies the configuration in force to a request that is not running and was admitted by an earlier one. The
     *  service and the deadlines of its arrival stay. What either configuration forbids is forbidden: home regions of
     *  both bind, and the request may run again only if both allow it. Returns a reason if the request is not to be
     *  sent any more. */
    std::optional<RejectReason> followConfiguration(Request&) const;
    /** Returns a reason if the request, which is not running, must not be sent: the configuration in force does not
     *  admit it, it ends servers, or it would not be answered before this instance ends. */
    std::optional<RejectReason> reasonNotToSend(Request&, TimePoint now) const;
    /** Region to which the home regions of the route or the workspace bind the request; null if there are several. */
    static const RegionId* homeRegion(const Request&);
    static bool isLate(const Request&, TimePoint now);
    /** Whether this instance is expected to end before the response to a request that is sent after @p wait. */
    bool endsBeforeResponse(const Request&, Duration wait, TimePoint now) const;
    /** Counts the request in its workspace's quota, or rejects it. Returns whether it was counted. */
    bool countInQuota(Request&, TimePoint now, SteeringActions&);
    /** While this instance is detached, passes a request that has not run to another instance. Returns whether it did.
     */
    bool tryPass(Request&, TimePoint now, SteeringActions&);
    /** Chooses the instance to pass the request to; null if there is none. */
    const EntryInstance* choosePeer(const Request&, TimePoint now);
    void passFinished(Request&, const SendReport&, TimePoint now, SteeringActions&);
    void beginProbes(bool isUrgent, TimePoint now, SteeringActions&);
    /** Follows a change of ServerReach. */
    void followReach(TimePoint now, SteeringActions&);
    void observeCrash(const CrashReport&, TimePoint now);
    void observeConfirmedCrashes(TimePoint now);
    void dropSuspicions(TimePoint now);
    void enqueue(Request&, TimePoint now, SteeringActions&);
    Duration expectedWait(const Request&, TimePoint now);
    /** Whether a request may stay in the queue if its expected wait is @p wait. */
    bool mayWait(const Request&, Duration wait, TimePoint now) const;
    /** Whether the request may run in other regions only. */
    bool mustLeaveRegion(const PoolQuery& wanted) const { return !wanted.allows(m_options.region); }
    /** Whether the request must leave the region and the outflow limit currently has no room. */
    bool isBlockedByOutflow(const PoolQuery& wanted, TimePoint now);
    /** Expected wait of a request that is blocked by the outflow limit. */
    Duration expectedOutflowWait(const Request&, TimePoint now);
    void dispatchQueue(Service&, TimePoint now, SteeringActions&);
    void send(Request&, const PoolQuery&, const PoolChoice&, TimePoint now, SteeringActions&);
    void retryOrEnd(Request&, const SendReport&, TimePoint now, SteeringActions&);
    void deliver(Request&, TimePoint now, SteeringActions&);
    void reject(Request&, RejectReason, Duration retryAfter, TimePoint now, SteeringActions&);
    /** Rejects a request without a configuration, a matching route or a valid key. */
    void rejectUnrouted(RequestHandle, const CallerRequest&, RejectReason, Duration retryAfter, SteeringActions&);
    void logChange(const BackendServerId&, const StatementChange&, const ServerStatement&, bool isFromPeer) const;
    void observeReach(const BackendServerId&, const Request&, const SendReport&, TimePoint now);
    /** Returns whether the server has stated that it takes no more requests, or none for a while. */
    bool recordSendResult(Request&, const SendReport&, TimePoint now);
    /** Withdraws the sends whose connections are still being opened, to this server or, with an empty id, to all. */
    void withdrawSends(const BackendServerId&, SteeringActions&) const;
    void updateWorkTimes(Request&, Duration latency, std::size_t responseBytes);
    /** Whether the route's responses have been large so far. */
    bool hasLargeResponses(const Route&) const;
    void endOverdue(TimePoint now, const ResponseCheck& mayHaveResponse, SteeringActions&);
    void erase(Request&);
    Duration boundedRetryAfter(Duration wanted, const Request&, TimePoint now) const;
    /** Applies the bounds, this instance's share of them and the evacuated domains to every service. */
    void configureServices();
    void applyColdRate(ServicePool&, double perSecond) const;

    SteeringOptions m_options;
    EventLog& m_log;
    std::uint64_t m_seed;
    std::vector<EntryInstance> m_instances; // Empty before the first call of setInstances().
    std::map<InstanceId, TimePoint> m_unableUntil; // Instances that could not take a request that was passed to them.
    std::size_t m_localInstances = 1; // Live ones in the own region.
    std::shared_ptr<const RateDivision> m_division; // Among m_instances.
    std::optional<TimePoint> m_end; // See setEnd().
    KnowledgeGuard m_knowledge;
    std::shared_ptr<const RouteTable> m_routes;
    LateAttemptDetector m_lateAttempts;
    QuotaGate m_quotas;
    CrashRegistry m_crashes;
    CrashSuspicions m_suspicions;
    ServerReach m_reach;
    bool m_wasDetached = false; // As followReach() last saw it.
    std::mt19937_64 m_random; // Selects instances and servers to probe.
    OutflowLimit m_outflow;
    std::unique_ptr<class SplitSelector> m_split;
    std::map<ServiceId, std::unique_ptr<Service>> m_services;
    std::map<std::string, WorkTimes> m_workTimes; // By route name.
    std::map<RequestHandle, std::unique_ptr<Request>> m_requests;
    std::set<FailureDomainId> m_evacuated;
    // The operator has changed what binds sends. Those whose connections are still being opened are decided anew.
    bool m_withdrawsSends = false;
    SteeringCounters m_counters;
};

}
