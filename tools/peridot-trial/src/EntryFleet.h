// The processes of the entry instances: their clocks, pauses, deaths and restarts, and the actions that they ask for.

#pragma once

#include "BackendFarm.h"
#include "Deployment.h"
#include "EventLoop.h"
#include "Judge.h"
#include "Mutator.h"
#include "Network.h"
#include "Platform.h"
#include "SteeringInstance.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridot::trial {

/** What a caller sends, besides the head that the instance sees. */
struct CallerRequest {
    RequestHead head;
    SentRequest sent;
    std::uint64_t responseBytes = 0;
};

class EntryFleet {
public:
    using InstanceFactory = std::function<std::unique_ptr<SteeringInstance>(const NodeSettings&)>;
    using AnswerHandler = std::function<void(RequestIndex, const Answer&)>;
    using LookupHandler = std::function<void(const LookupResult&)>;
    using OperatorHandler = std::function<void(const AnswerOperator&)>;
    using BrokenHandler = std::function<void()>;

    struct Process {
        std::string name;
        std::size_t index = 0;
        std::size_t domain = 0;
        std::string callerAddress;
        std::string peerAddress;
        std::uint64_t incarnation = 0;
        bool isUp = false;
        bool isPaused = false;
        bool isLeaving = false;
        int isolations = 0; // Cuts between this instance and everything but its callers and backend servers.
        VirtualTime leftAt { 0 };
        VirtualTime disturbedAt { 0 }; // Last time at which something kept it from the store or from its peers.
        std::size_t region() const noexcept { return Network::regionOf(domain); }

        struct JobState {
            BackendFarm::JobId id = 0;
            SeenDispatch seen;
            bool isOver = false; // At the backend server.
        };
        struct OpenRequest {
            CallerRequest what;
            std::shared_ptr<JobState> job; // Set while dispatched.
            AnswerHandler handler;
        };
        struct OperatorCall {
            OperatorHandler handler;
            BrokenHandler broken;
        };

        std::unique_ptr<SteeringInstance> instance;
        std::map<RequestIndex, OpenRequest> open;
        std::map<std::string, OperatorCall> operatorCalls; // By request id.
        std::vector<std::function<void()>> held; // Deliveries during a pause.
        Duration localBase { 0 }; // Local clock at virtualBase.
        VirtualTime virtualBase { 0 };
        double clockRate = 1;
    };

    EntryFleet(const Deployment&, EventLoop&, Network&, Platform&, BackendFarm&, Judge&, Mutator&, InstanceFactory,
        std::vector<ClientBlockRegions>, std::uint64_t seed);

    void start();
    std::size_t size() const noexcept { return m_processes.size(); }
    const Process& process(std::size_t n) const { return m_processes[n]; }
    std::optional<std::size_t> find(const InstanceId&) const;
    bool isAccepting(std::size_t n) const { return m_processes[n].isUp; }

    // Callers and operators, at the time their bytes reach the instance. @p broken runs if the connection breaks.
    void lookup(std::size_t n, const LookupQuery&, LookupHandler, const BrokenHandler& broken);
    RequestIndex begin(std::size_t n, CallerRequest, AnswerHandler);
    void callerLeaves(std::size_t n, RequestIndex);
    void operate(std::size_t n, const OperatorRequest&, OperatorHandler, const BrokenHandler& broken);

    // Faults.
    void kill(std::size_t n);
    void restart(std::size_t n);
    void pause(std::size_t n, Duration length);
    void setClockRate(std::size_t n, double rate);
    void isolate(std::size_t n) { ++m_processes[n].isolations; }
    void rejoin(std::size_t n) { --m_processes[n].isolations; }
    /** Planned stop: leaves, waits until it has drained, ends, and starts again after @p downTime. */
    void stopPlanned(std::size_t n, Duration downTime);
    /** Replaces an instance without telling the judge, for Mutation::RevertConfiguration. */
    void replaceSecretly(std::size_t n);

    /** Status of an instance that runs; empty otherwise. */
    std::string status(std::size_t n) const;

    /** Shows the judge what can be seen of each instance; call it every 100 ms. */
    void sample();

private:
    TimePoint localNow(const Process&) const;
    NodeSettings settings(const Process&) const;
    MemberInfo memberInfo(const Process&) const;
    void list(const Process&, PlatformInstanceState);
    void tick(std::size_t n);
    /** Runs @p event at the process now, or after its pause; drops it if that incarnation has ended. */
    void deliver(std::size_t n, std::uint64_t incarnation, std::function<void()> event);
    /** Runs a call of the instance and performs the actions that it returns. */
    void run(std::size_t n, const std::function<Actions(SteeringInstance&, TimePoint)>& call);
    void perform(std::size_t n, Action&);

    void send(Process&, SendMessage&);
    void callStore(Process&, const StoreCall&);
    void dispatch(Process&, const DispatchRequest&);
    void startJob(Process&, RequestIndex, std::size_t server, const DispatchRequest&);
    void jobEnded(std::size_t n, std::uint64_t incarnation, RequestIndex, const std::shared_ptr<Process::JobState>&,
        const DispatchOutcome&);
    void finished(std::size_t n, RequestIndex, const std::shared_ptr<Process::JobState>&, const DispatchOutcome&);
    void probe(Process&, const ProbeBackendServer&);
    void answer(Process&, RequestIndex, const Answer&);
    void answerOperator(Process&, const AnswerOperator&);
    void endJob(const std::shared_ptr<Process::JobState>&);
    void end(std::size_t n, bool isPlanned);
    void unlistIfDown(std::size_t n, std::uint64_t incarnation);
    void waitUntilDrained(std::size_t n, std::uint64_t incarnation, Duration downTime);
    bool isDisturbed(const Process&) const;

    const Deployment& m_deployment;
    EventLoop& m_loop;
    Network& m_network;
    Platform& m_platform;
    BackendFarm& m_farm;
    Judge& m_judge;
    Mutator& m_mutator;
    InstanceFactory m_factory;
    std::vector<ClientBlockRegions> m_clientBlocks;
    std::uint64_t m_seed;
    Random m_random;
    std::vector<Process> m_processes;
    std::map<std::string, std::size_t> m_byName;
    std::map<std::string, std::size_t> m_byPeerAddress;
};

RequestId requestId(RequestIndex);
RequestIndex requestIndex(const RequestId&);

}
