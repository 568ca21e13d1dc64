// Calls the node's decisions and carries out its actions: the only place of the daemon that talks to Node.

#pragma once

#include "ActiveRequest.h"

#include "base/EventLog.h"
#include "base/SteadyTime.h"
#include "peridot/Node.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

namespace peridot {

/** How actions leave the process. All functions must be thread-safe and must not block. */
struct ActionPorts {
    std::function<void(const SendMessage&)> sendMessage;
    std::function<void(const StoreCall&)> callStore;
    std::function<void(const ProbeBackendServer&)> probe;
};

class NodeDriver {
public:
    using OperatorAnswer = std::function<void(const AnswerOperator&)>;

    NodeDriver(NodeSettings, EventLog&);
    ~NodeDriver();
    NodeDriver(const NodeDriver&) = delete;
    NodeDriver& operator=(const NodeDriver&) = delete;

    /** Sets the ports; call it before start(). */
    void connect(ActionPorts ports) { m_ports = std::move(ports); }
    /** Starts the control thread. */
    void start();
    /** Ends the control thread. */
    void stop();

    void receive(const Envelope&);
    void storeCompleted(std::uint64_t id, const StoreResult&);
    void probeCompleted(const BackendServerId&, const ProbeResult&);

    LookupResult lookup(const LookupQuery&);

    /** Takes a request; it stays registered until finished(), refuse() or replay(). */
    void begin(const RequestHead&, std::shared_ptr<ActiveRequest>);
    /** Reports the outcome of a dispatch. After a failure the node dispatches again or refuses, possibly later. */
    void finished(const RequestId&, const DispatchOutcome&);
    /** The caller went away before a dispatch. */
    void abandoned(const RequestId&);
    std::size_t openRequests() const noexcept { return m_openRequests.load(); }

    /** Calls @p answer once, with status 503 if the node does not decide in time. */
    void operate(OperatorRequest, OperatorAnswer answer);

    void leave();
    /** True once the node has drained and no request is open. */
    bool hasDrained() const;
    InstanceState state() const { return m_node.state(); }
    ConfigurationVersion configurationVersion() const { return m_node.configurationVersion(); }

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<RequestId, std::shared_ptr<ActiveRequest>> requests;
    };
    struct OpenOperation {
        OperatorAnswer answer;
        TimePoint deadline;
    };
    struct Deadline {
        RequestId request;
        bool isLast = false; // The node had its time to refuse.
    };

    template <typename Call> auto guarded(const Call&) const -> decltype(std::declval<Call>()());
    void perform(const Actions&);
    void perform(const Action&);
    void handle(const DispatchRequest&);
    void handle(const RefuseRequest&);
    void handle(const ReplayResponse&);
    void handle(const CloseCallers&);
    void handle(const AnswerOperator&);
    void runControlThread();
    void expireRequests(TimePoint now);
    void expireOperations(TimePoint now);
    Shard& shardOf(const RequestId&) const;
    std::shared_ptr<ActiveRequest> find(const RequestId&) const;
    std::shared_ptr<ActiveRequest> take(const RequestId&);

    EventLog& m_log;
    Node m_node;
    ActionPorts m_ports;
    mutable std::array<Shard, 16> m_shards;
    std::atomic<std::size_t> m_openRequests { 0 };

    std::mutex m_deadlineMutex;
    std::multimap<TimePoint, Deadline> m_deadlines;

    std::mutex m_operationMutex;
    std::multimap<std::string, OpenOperation> m_operations; // By change id; a tool may repeat a change.

    std::mutex m_stopMutex;
    std::condition_variable m_stopRequested;
    bool m_isStopping = false;
    std::thread m_controlThread;
};

}
