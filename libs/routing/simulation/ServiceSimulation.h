// Virtual-time simulation of one service: callers, entry instances with their queues, and backend servers with slots,
// short queues, load shedding, cold starts and load reports that may lag or lie. Used by tests and measurements.

#pragma once

#include "routing/BackendPool.h"
#include "routing/RequestQueue.h"
#include "routing/RetryBudget.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridot {

enum class PolicyKind {
    BackendPool,
    RoundRobin,
    LeastReported, // Fewest connections by the last report.
    Random,
    CentralQueue, // One queue for all slots; a bound that instances without common knowledge do not reach.
};

template <>
inline constexpr EnumNameTable<PolicyKind, 5> enumNames<PolicyKind> { {
    { PolicyKind::BackendPool, "backend_pool" },
    { PolicyKind::RoundRobin, "round_robin" },
    { PolicyKind::LeastReported, "least_reported" },
    { PolicyKind::Random, "random" },
    { PolicyKind::CentralQueue, "central_queue" },
} };

enum class ReportMode {
    Honest,
    Lagging, // States the load of two seconds ago as the present one.
    SaysIdle,
    SaysFull,
    Frozen, // Repeats the first report after the first second.
};

template <>
inline constexpr EnumNameTable<ReportMode, 5> enumNames<ReportMode> { {
    { ReportMode::Honest, "honest" },
    { ReportMode::Lagging, "lagging" },
    { ReportMode::SaysIdle, "says_idle" },
    { ReportMode::SaysFull, "says_full" },
    { ReportMode::Frozen, "frozen" },
} };

struct WorkspaceTraffic {
    WorkspaceId id;
    double share = 1; // Of the requests, relative to the other workspaces.
};

struct SimulationOptions {
    PolicyKind policy = PolicyKind::BackendPool;
    std::size_t serverCount = 16;
    std::uint32_t slots = 8;
    std::size_t instanceCount = 11;
    double load = 0.8; // Offered work per slot.
    Duration duration = std::chrono::seconds(20);
    Duration meanService = std::chrono::milliseconds(40);
    Duration networkDelay = std::chrono::microseconds(500); // One-way, instance to server.
    Duration reportInterval = std::chrono::milliseconds(500);
    Duration target = std::chrono::seconds(1);
    double serverQueue = 1; // Requests that a server holds beyond its slots, per slot; it sheds above that.
    std::vector<ReportMode> reportModes = { ReportMode::Honest }; // By server, repeated.
    std::vector<WorkspaceTraffic> workspaces = { { WorkspaceId("w"), 1 } };
    std::uint64_t seed = 1;
};

struct SimulationResult {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t sheds = 0; // Refusals by servers.
    std::uint64_t lost = 0; // Shed and not retried.
    std::uint64_t refused = 0; // By the queues: early, displaced or expired.
    std::uint64_t sentToLeaving = 0; // Chosen after the instance knew that the server leaves.
    double overloadShare = 0; // Share of server time with more than half the slots' number of requests waiting.
    Duration longestOverload { 0 }; // Longest time that one server stayed in that state.
    std::vector<Duration> waits; // From arrival to the start at a server, sorted.
    std::map<WorkspaceId, std::vector<Duration>> queueWaits; // From arrival to the first dispatch, sorted.
    std::vector<std::uint64_t> servedBy; // By server.

    Duration wait(double quantile) const;
    Duration queueWait(const WorkspaceId&, double quantile) const;
};

class InstancePolicy;

class ServiceSimulation {
public:
    explicit ServiceSimulation(SimulationOptions);
    ~ServiceSimulation();

    /** Runs an action at a time after the start; register actions before run(). */
    void at(Duration sinceStart, std::function<void()>);
    SimulationResult run();

    // For actions.
    void announceLeaving(std::size_t server);
    /** Adds a server that is three times slower until it has worked for five seconds; returns its number. */
    std::size_t addColdServer();
    void setReportMode(std::size_t server, ReportMode);
    /** Multiplies the service times of requests that start from now on. */
    void setSlowness(std::size_t server, double factor);
    std::size_t serverLoad(std::size_t server) const; // Running and waiting.
    /** Work sent since the last call, by server. */
    std::vector<std::uint64_t> takeSent();
    const InstancePolicy& policy(std::size_t instance) const;

private:
    struct Request;
    struct Server;
    struct Instance;
    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator>(const Event& other) const noexcept
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    void schedule(TimePoint, std::function<void()>);
    void scheduleArrivals();
    void addServer(bool isCold);
    void publishList();
    void arrive(const std::shared_ptr<Request>&);
    void dispatch(std::size_t instance);
    void send(std::size_t instance, const std::shared_ptr<Request>&, std::size_t server);
    void receive(std::shared_ptr<Request>, std::size_t server);
    void startNext(std::size_t server);
    void complete(const std::shared_ptr<Request>&, std::size_t server, BackendOutcome);
    void reportLoads(std::size_t instance);
    LoadReport reportOf(Server&) const;
    void noteLoad(Server&);

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    TimePoint m_start = m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Instance>> m_instances;
    SimulationResult m_result;
};

/** How an instance picks a server. */
class InstancePolicy {
public:
    virtual ~InstancePolicy() = default;
    virtual void setServers(TimePoint, const std::vector<BackendServerInfo>&) = 0;
    virtual std::optional<BackendServerId> choose(TimePoint, std::span<const BackendServerId> excluded) = 0;
    virtual void started(TimePoint, const BackendServerId&) { }
    virtual void finished(TimePoint, const BackendServerId&, BackendOutcome, Duration) { }
    virtual void report(TimePoint, const BackendServerId&, const LoadReport&, Duration) { }
    /** The pool behind the policy; null for baselines. */
    virtual const BackendPool* pool() const { return nullptr; }
};

}
