// Chooses the backend server for each request of one service in one region, as seen by one instance.

#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace peridot {

/** A backend server as the platform's list states it. */
struct BackendServerInfo {
    BackendServerId id;
    std::string address;
    std::uint32_t slots = 1; // Requests it runs at the same time.
    std::uint32_t maximumConnections = 1; // From all entry instances together.
    bool isLeaving = false;

    bool operator==(const BackendServerInfo&) const = default;
};

/** What a backend server says about itself. It may lag or be wrong. */
struct LoadReport {
    std::uint32_t inFlight = 0; // Running, from all instances.
    std::uint32_t queued = 0; // Accepted but waiting for a slot.
};

enum class BackendOutcome {
    Succeeded,
    Failed, // Connection failure, broken response or server error.
    Shed, // The server refused before running the request.
    Cancelled, // Ended by the caller or by its deadline; says nothing about the server's health.
};

template <>
inline constexpr EnumNameTable<BackendOutcome, 4> enumNames<BackendOutcome> { {
    { BackendOutcome::Succeeded, "succeeded" },
    { BackendOutcome::Failed, "failed" },
    { BackendOutcome::Shed, "shed" },
    { BackendOutcome::Cancelled, "cancelled" },
} };

enum class NoBackendReason {
    NoServers, // The platform lists none that stays.
    AllExcluded, // Each usable server is in the caller's list of excluded ones.
    AllEjected,
    AllAtLimit, // Each usable server is at its concurrency or connection limit.
};

template <>
inline constexpr EnumNameTable<NoBackendReason, 4> enumNames<NoBackendReason> { {
    { NoBackendReason::NoServers, "no_servers" },
    { NoBackendReason::AllExcluded, "all_excluded" },
    { NoBackendReason::AllEjected, "all_ejected" },
    { NoBackendReason::AllAtLimit, "all_at_limit" },
} };

struct BackendChoice {
    BackendServerId server;
    std::string address;
    double estimatedLoad = 0; // Of the server, per slot, before this request; for the log.
};

struct BackendPoolOptions {
    Duration reportHalfLife = std::chrono::milliseconds(250); // Age at which a report has half its weight.
    Duration slowStart = std::chrono::seconds(10); // Time in which a cold server reaches its full share.
    double slowStartFloor = 0.1; // Share of a cold server at its start.
    unsigned failuresToEject = 5; // Consecutive.
    unsigned shedsToEject = 10; // Consecutive.
    unsigned probeFailuresToEject = 3; // Consecutive.
    Duration firstEjection = std::chrono::seconds(1);
    Duration longestEjection = std::chrono::seconds(60);
    // Queue per slot that is accepted at servers: it keeps slots busy while reports are old, and stays below the queue
    // at which servers shed.
    double overcommit = 0.5;
    std::uint32_t connectionsWanted = 4; // To each server of the subset, if the servers' limits allow it.
    double connectionReserve = 0.1; // Share of a server's connections left to instances not in the view yet.
};

class BackendServerState;

/** Not thread-safe. `choose` picks; each `started` is followed by exactly one `finished`. */
class BackendPool {
public:
    using RandomEngine = std::mt19937_64;

    /** @p random must outlive the pool. */
    BackendPool(ServiceId, InstanceId self, BackendPoolOptions, RandomEngine& random);
    ~BackendPool();
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    /** Replaces the list. Servers of the first list are taken as warm, later ones start slowly. A server that leaves or
     *  is missing gets no new work from this call on; its running requests are still to be finished. */
    void setServers(TimePoint now, const std::vector<BackendServerInfo>&);

    /** Names the entry instances that use these servers; this instance is added if missing. They share connections and
     *  slots. */
    void setEntryInstances(const std::vector<InstanceId>&);

    /** Picks a server for a request. @p cost is the expected work relative to an average request of the service.
     *  Up to its fair share of the region's slots an instance always gets a server; beyond it only one that is
     * estimated to have a free slot. After AllAtLimit, ask again after the next finished() or report(). */
    tl::expected<BackendChoice, NoBackendReason> choose(
        TimePoint now, double cost, std::span<const BackendServerId> excluded = {});

    /** The request is given to the server. Call it in the same step as choose(). */
    void started(TimePoint now, const BackendServerId&, double cost);
    /** The request left the server. @p latency counts from started(). */
    void finished(TimePoint now, const BackendServerId&, double cost, BackendOutcome, Duration latency);

    /** Takes a load report that was true @p age ago. */
    void report(TimePoint now, const BackendServerId&, const LoadReport&, Duration age);
    void probeFailed(TimePoint now, const BackendServerId&);
    void probeSucceeded(TimePoint now, const BackendServerId&);

    /** State of one server, for metrics and tests. */
    struct ServerView {
        BackendServerId id;
        std::uint32_t inFlight = 0; // Of this instance.
        double concurrencyLimit = 0; // Of this instance.
        std::uint32_t connectionLimit = 0; // Of this instance; 0 if the server is not in this instance's subset.
        double reportTrust = 1; // 0 to 1.
        double estimatedLoad = 0; // From all instances.
        bool isLeaving = false;
        bool isEjected = false;
        double slowStartShare = 1;
    };
    std::vector<ServerView> servers(TimePoint now) const;
    std::uint32_t inFlight() const noexcept { return m_inFlight; }
    /** Slots of the usable servers of the region: listed, not leaving and not ejected. */
    std::uint32_t usableSlots(TimePoint now) const;

private:
    using Servers = std::map<BackendServerId, std::unique_ptr<BackendServerState>>;
    struct Candidate {
        BackendServerState* server = nullptr;
        double weight = 0; // Slots, reduced during slow start.
        double score = 0; // Estimated load per slot; the lower one of two candidates wins.
    };

    BackendServerState& stateOf(const BackendServerId&);
    std::size_t stayingCount() const noexcept;
    std::size_t ejectedCount(TimePoint now) const noexcept;
    void tryToEject(TimePoint now, BackendServerState&);
    void restoreExcessEjections(TimePoint now);
    void updateConnectionLimits();
    /** Slots that belong to this instance if all instances use the same share. */
    double fairShare(TimePoint now) const;
    /** Load per slot from other instances, averaged over the reports by their weight. */
    double meanForeignLoad(TimePoint now) const;
    double meanShedShare(TimePoint now) const;
    tl::expected<std::vector<Candidate>, NoBackendReason> candidates(
        TimePoint now, double cost, std::span<const BackendServerId> excluded);
    /** The server that was left alone for the longest time, by weight. */
    const Candidate& nextInTurn(const std::vector<Candidate>&) const;
    /** A random one by weight. */
    const Candidate& drawOther(const std::vector<Candidate>&, const Candidate& other);
    void observeLatency(double latencyPerCost) noexcept;

    ServiceId m_service;
    InstanceId m_self;
    BackendPoolOptions m_options;
    RandomEngine& m_random;
    std::vector<InstanceId> m_instances; // Sorted; holds m_self.
    Servers m_servers; // With departed ones until their work has ended.
    std::set<BackendServerId> m_departed; // No longer listed, but with running requests.
    std::uint32_t m_inFlight = 0;
    bool m_hasList = false;
    double m_turn = 0; // The latest turn that was taken; a server's next turn comes 1/weight later on average.

    // Seconds per unit of cost; 0 before the first success.
    double m_latency = 0; // Recent mean over all servers.
    double m_baseline = 0; // Of an uncongested pool: falls with m_latency at once, rises slowly.
};

}
