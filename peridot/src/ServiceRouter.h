// Routes the admitted requests of one service: queue, region, backend server, retries.

#pragma once

#include "AdmittedRequest.h"
#include "BudgetHolders.h"
#include "DecisionHistory.h"
#include "Refusals.h"
#include "peridot/Node.h"
#include "routing/BackendPool.h"
#include "routing/RequestQueue.h"
#include "routing/RetryBudget.h"
#include "routing/SpillPolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace peridot {

/** The backend servers of this service in one region. */
struct RegionServers {
    RegionId region;
    std::vector<BackendServerInfo> servers;
    std::vector<InstanceId> entryInstances; // Those of the region; they share the servers' slots and connections.
};

/**
 * Thread-safe; one lock for all state of the service. Inside it only those of held units, of the decision history and
 * of the published view are taken, none of which takes another.
 *
 * Invariant: a request is known from enqueue() to its end, and is either queued or running, never both.
 */
class ServiceRouter {
public:
    /** Says why a request that waited must not be dispatched any more, if so. */
    using Recheck = std::function<std::optional<Refusal>(const AdmittedRequest&, TimePoint now)>;

    ServiceRouter(ServiceId, const NodeSettings&, BudgetHolders&, DecisionHistory&, std::uint64_t seed, Recheck);

    void setServers(const std::vector<RegionServers>&, TimePoint now);
    /** Load of the regions for this service, the own region included. */
    void setRegions(const std::vector<SpillRegion>&);

    RequestOutput enqueue(AdmittedRequest, TimePoint now);
    RequestOutput finished(const RequestId&, const DispatchOutcome&, TimePoint now);
    RequestOutput abandoned(const RequestId&, TimePoint now);
    /** Runs the queue's timers and asks for due probes. */
    RequestOutput tick(TimePoint now);
    void probeCompleted(const BackendServerId&, const ProbeResult&, TimePoint now);

    ServiceLoad load(TimePoint now) const;
    /** Mean time that a request takes at a backend server. */
    Duration meanDuration() const;
    bool isIdle() const;

private:
    struct Running {
        RegionId region;
        BackendServerId server;
    };

    struct Record {
        AdmittedRequest request;
        std::uint32_t attempt = 0;
        bool mayHaveRun = false; // An attempt ended without a statement that the request has not run.
        std::vector<BackendServerId> excluded; // Servers that refused it or could not be reached.
        std::optional<Running> running;
    };

    struct SpillTarget {
        RegionId region;
        BackendChoice choice;
    };

    struct RegionState {
        std::unique_ptr<BackendPool> pool;
        std::vector<BackendServerInfo> listed;
    };

    RegionState& regionState(const RegionId&);
    void applyServers(RegionState&, TimePoint now);
    QueuedRequest makeQueued(const Record&) const;
    void pump(TimePoint now, RequestOutput&);
    bool dispatchFront(TimePoint now, RequestOutput&);
    /** Finds a place in another region and spends the units that it needs. */
    std::optional<SpillTarget> trySpill(const Record&, NoBackendReason, TimePoint now);
    bool spendAll(const SpillDecision&, TimePoint now);
    void dispatch(Record&, const RegionId&, const BackendChoice&, TimePoint now, RequestOutput&);
    void retryOrEnd(Record&, const DispatchOutcome&, TimePoint now, RequestOutput&);
    /** A refusal that says that the request has not run is changed if an attempt may have run. */
    void refuse(Record&, Refusal, TimePoint now, RequestOutput&);
    void refuseRemoved(TimePoint now, RequestOutput&);
    void end(const RequestId&, decltype(EndedRequest::ending), RequestOutput&);
    void observe(const DispatchOutcome&, const Running&);
    RetryBudget& retryBudget(const ClassId&);
    void addDueProbes(TimePoint now, RequestOutput&);

    const ServiceId m_service;
    const RegionId m_region;
    const InstanceId m_self;
    const NodeSettings& m_settings;
    BudgetHolders& m_budgets;
    DecisionHistory& m_history;
    const Recheck m_recheck;

    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::map<RegionId, RegionState> m_regions;
    std::set<BackendServerId> m_drainingByProbe; // Servers that said themselves that they drain.
    std::vector<SpillRegion> m_spillRegions;
    SpillPolicy m_spill { SpillPolicyOptions {} };
    RequestQueue m_queue { RequestQueueOptions {} };
    std::map<ClassId, RetryBudget> m_retryBudgets;
    std::unordered_map<RequestId, Record> m_requests;
    std::map<BackendServerId, TimePoint> m_nextProbe;
    double m_meanDuration; // Microseconds at the backend server, smoothed.
    double m_meanResponseBytes = 0;
};

}
