// The backend servers: slots, queues, cold caches, load shedding, drains and deaths, and load reports that lag, lie or
// stop.

#pragma once

#include "Deployment.h"
#include "EventLoop.h"
#include "Judge.h"
#include "Network.h"
#include "Platform.h"
#include "Random.h"

#include "peridot/Node.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace peridot::trial {

enum class ReportMode {
    Lagging, // The normal case: up to half a second old.
    Lying, // Always healthy and idle.
    Silent, // Probes get no answer.
};

/** One dispatch as a backend server receives it. */
struct BackendJob {
    RequestIndex request = 0;
    std::size_t trafficClass = 0;
    std::size_t homeRegion = 0;
    bool isFreshConnection = false;
    bool isSteered = false;
    std::uint64_t requestBytes = 0;
    std::uint64_t responseBytes = 0;
};

class BackendFarm {
public:
    using Completion = std::function<void(const DispatchOutcome&)>;
    using JobId = std::uint64_t;

    struct Server {
        std::string name;
        std::string address;
        std::size_t service = 0;
        std::size_t domain = 0;
        int slots = 0;
        bool isUp = true;
        bool isLeaving = false;
        int deaths = 0;
        VirtualTime listedLeavingAt { -1 }; // Negative: not listed as leaving.
        ReportMode report = ReportMode::Lagging;
        double slowness = 1; // Factor on service times.
        bool shedsAll = false;
        std::vector<double> warmth; // By home region of the callers, 0 to 1.
        int running = 0;
        std::deque<JobId> queue;
        int reportedInFlight = 0; // The load as the last report has it.
        std::size_t region() const noexcept { return Network::regionOf(domain); }
    };

    BackendFarm(const Deployment&, EventLoop&, Network&, Platform&, Judge&, std::uint64_t seed);

    /** Lists all servers and starts their load reports. */
    void start();

    /** Runs a job; the completion is called once, unless the job is cancelled. @p fromDomain is the instance's. */
    JobId dispatch(std::size_t server, std::size_t fromDomain, const BackendJob&, Completion);
    /** The instance closed the connection. A job that has not started will not run. */
    void cancel(JobId);
    void probe(std::size_t server, std::size_t fromDomain, std::function<void(const ProbeResult&)>);

    std::optional<std::size_t> find(const std::string& name) const;
    const std::vector<Server>& servers() const noexcept { return m_servers; }
    Server& server(std::size_t n) { return m_servers[n]; }
    int liveSlots(std::size_t service, std::size_t region) const;
    int inFlight(std::size_t n) const { return m_servers[n].running + static_cast<int>(m_servers[n].queue.size()); }

    void kill(std::size_t);
    /** Starts with cold caches. */
    void revive(std::size_t);
    /** Planned: the list shows the server as leaving after its lag; it ends once the allowance is over and it is idle.
     */
    void leave(std::size_t);
    void setWarmth(std::size_t server, double warmth);

    PlatformInstance describe(std::size_t) const;

private:
    struct Job {
        BackendJob what;
        std::size_t server = 0;
        std::size_t fromDomain = 0;
        bool isRunning = false;
        bool isCancelled = false;
        Completion completion;
    };

    void arrive(JobId);
    void startQueued(Server&);
    void run(JobId);
    void finishRun(JobId, VirtualTime startedAt);
    void complete(JobId, const DispatchOutcome&);
    void stopWhenIdle(std::size_t);
    void slotsChanged(const Server&);
    Duration serviceTime(Server&, const Job&);
    void report();

    const Deployment& m_deployment;
    EventLoop& m_loop;
    Network& m_network;
    Platform& m_platform;
    Judge& m_judge;
    Random m_random;
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_byName;
    std::unordered_map<JobId, Job> m_jobs;
    JobId m_lastJob = 0;
};

}
