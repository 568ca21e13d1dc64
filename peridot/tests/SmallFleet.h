// A few nodes over an in-memory store, with messages delivered one step later. For tests of how nodes act together.

#pragma once

#include "config/KeyHash.h"
#include "peridot/Node.h"
#include "store/MemoryStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridot {

class SmallFleet {
public:
    static constexpr Duration step = std::chrono::milliseconds { 5 };

    /** Starts @p instancesPerRegion instances in each of three regions; region "a" holds no special role. */
    explicit SmallFleet(int instancesPerRegion = 2, int serversPerRegion = 2)
    {
        for (const std::string region : { "a", "b", "c" }) {
            for (int i = 0; i < instancesPerRegion; ++i)
                addInstance(region, i);
            for (int i = 0; i < serversPerRegion; ++i)
                addServer(region, i);
        }
    }

    void bootstrap(const std::string& document)
    {
        operate(m_order.front(), "bootstrap", "POST", "/bootstrap", document);
    }

    AnswerOperator operate(const std::string& name, const std::string& id, const std::string& method,
        const std::string& path, const std::string& body = "")
    {
        perform(name, node(name).operate({ id, method, path, body }, now));
        for (int i = 0; i < 2000 && !answers.contains(id); ++i)
            runStep();
        return answers.contains(id) ? answers.at(id) : AnswerOperator { id, 0, "no answer" };
    }

    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end;)
            runStep();
    }

    /** Runs until @p condition holds; false if it doesn't within @p limit. */
    bool runUntil(const std::function<bool()>& condition, Duration limit)
    {
        for (const auto end = now + limit; now < end;) {
            if (condition())
                return true;
            runStep();
        }
        return condition();
    }

    void runStep()
    {
        now += step;
        auto events = std::move(m_events);
        m_events.clear();
        for (auto& event : events)
            event();
        for (const auto& name : m_order) {
            if (m_nodes.contains(name))
                perform(name, node(name).tick(now));
        }
    }

    RequestId request(const std::string& name, const std::string& method, const std::string& path,
        const std::string& key, const std::string& idempotencyKey = "")
    {
        RequestHead head;
        head.id = RequestId(name + "-" + std::to_string(++m_nextRequest));
        head.method = method;
        head.path = path;
        if (!key.empty())
            head.presentedKeys = { key };
        head.idempotencyKey = idempotencyKey;
        perform(name, node(name).begin(head, now));
        return head.id;
    }

    void finish(const std::string& name, const RequestId& id, DispatchOutcome outcome)
    {
        perform(name, node(name).finished(id, outcome, now));
    }

    Node& node(const std::string& name) { return *m_nodes.at(name); }
    void kill(const std::string& name) { m_nodes.erase(name); }
    const std::vector<std::string>& names() const { return m_order; }

    bool isReady() const
    {
        for (const auto& [name, node] : m_nodes) {
            if (node->state() != InstanceState::Ready)
                return false;
        }
        return true;
    }

    /** Cuts an instance off from its peers, or joins it again. */
    void setIsolated(const std::string& name, bool isIsolated)
    {
        if (isIsolated)
            m_isolated.insert(name);
        else
            m_isolated.erase(name);
    }

    TimePoint now { std::chrono::seconds { 100 } };
    MemoryStore store;
    std::set<std::string> withoutStore; // Instances that don't reach the store.
    bool completesAtOnce = true; // Dispatches complete in the next step.
    std::map<RequestId, std::vector<DispatchRequest>> dispatches;
    std::map<RequestId, Refusal> refusals;
    std::map<RequestId, RecordedResponse> replays;
    std::map<std::string, AnswerOperator> answers;
    std::vector<std::pair<std::string, KeyId>> closed;
    std::uint64_t messages = 0;
    std::uint64_t storeCalls = 0;

    static std::string key(const std::string& workspace) { return workspace + "-key.secret-of-" + workspace; }

    /** A configuration with service "booking" and two workspaces. */
    static std::string document(int rate = 100, int burst = 50)
    {
        auto workspaces = std::string();
        auto keys = std::string();
        for (const std::string id : { "small", "large" }) {
            const auto comma = workspaces.empty() ? "" : ",";
            workspaces += comma + std::string(R"({"id":")") + id + R"(","rate_per_second":)" + std::to_string(rate)
                + R"(,"burst":)" + std::to_string(burst) + "}";
            keys += comma + std::string(R"({"id":")") + id + R"(-key","hash":")" + toHex(hashKey(key(id)))
                + R"(","workspace":")" + id + R"("})";
        }
        return R"({"services":["booking"],"classes":[
            {"id":"search","service":"booking","methods":["GET"],"path_prefix":"/search","importance":1,
             "target_latency_ms":300,"idempotent":true},
            {"id":"book","service":"booking","methods":["POST"],"path_prefix":"/book","importance":5,
             "target_latency_ms":400,"idempotent":false},
            {"id":"news","service":"booking","methods":["GET"],"path_prefix":"/news","importance":0,
             "target_latency_ms":500,"idempotent":true,"open":true}],
            "workspaces":[)"
            + workspaces + R"(],"keys":[)" + keys + "]}";
    }

private:
    void addInstance(const std::string& region, int number)
    {
        const auto name = region + std::to_string(number + 1);
        NodeSettings settings;
        settings.deployment = DeploymentId("test");
        settings.self
            = { InstanceId(name), 1, RegionId(region), FailureDomainId(region + "-" + std::to_string(number % 2)),
                  "caller:" + name, "peer:" + name, InstanceState::Starting, 0 };
        settings.regions = { RegionId("a"), RegionId("b"), RegionId("c") };
        settings.regionDelay = std::chrono::milliseconds { 5 };
        settings.clientBlocks = { { "10.1.0.0/16", { RegionId("a") } }, { "10.2.0.0/16", { RegionId("b") } },
            { "10.3.0.0/16", { RegionId("c") } } };
        settings.randomSeed = 7 + m_order.size();
        PlatformInstance instance;
        instance.kind = PlatformInstanceKind::Entry;
        instance.name = name;
        instance.region = settings.self.region;
        instance.failureDomain = settings.self.failureDomain;
        instance.address = settings.self.callerAddress;
        instance.peerAddress = settings.self.peerAddress;
        store.putInstance(instance);
        m_nodes[name] = std::make_unique<Node>(settings, m_log);
        m_order.push_back(name);
    }

    void addServer(const std::string& region, int number)
    {
        PlatformInstance server;
        server.kind = PlatformInstanceKind::BackendServer;
        server.name = "server-" + region + std::to_string(number + 1);
        server.region = RegionId(region);
        server.failureDomain = FailureDomainId(region + "-" + std::to_string(number % 2));
        server.service = ServiceId("booking");
        server.address = "backend:" + server.name;
        server.slots = 8;
        server.maximumConnections = 360;
        store.putInstance(server);
    }

    void perform(const std::string& name, Actions actions)
    {
        for (auto& action : actions)
            std::visit([&](auto& it) { performOne(name, it); }, action);
    }

    void performOne(const std::string& name, SendMessage& action)
    {
        ++messages;
        if (m_isolated.contains(name) || m_isolated.contains(action.to.value()))
            return;
        Envelope envelope { DeploymentId("test"), InstanceId(name), 1, "peer:" + name, std::move(action.message) };
        m_events.emplace_back([this, to = action.to.value(), envelope = std::move(envelope)] {
            if (m_nodes.contains(to))
                perform(to, node(to).receive(envelope, now));
        });
    }

    void performOne(const std::string& name, StoreCall& call)
    {
        ++storeCalls;
        StoreResult result = makeError(ErrorCode::Unavailable, "call", "store", "unreachable");
        if (!withoutStore.contains(name))
            result = store.apply(call.request);
        m_events.emplace_back([this, name, id = call.id, result = std::move(result)] {
            if (m_nodes.contains(name))
                perform(name, node(name).storeCompleted(id, result, now));
        });
    }

    void performOne(const std::string& name, DispatchRequest& action)
    {
        dispatches[action.request].push_back(action);
        if (!completesAtOnce)
            return;
        m_events.emplace_back([this, name, id = action.request] {
            DispatchOutcome outcome;
            outcome.latency = step;
            outcome.response = { 200, "text/plain", "done " + id.value() };
            if (m_nodes.contains(name))
                finish(name, id, outcome);
        });
    }

    void performOne(const std::string&, RefuseRequest& action) { refusals[action.request] = action.refusal; }
    void performOne(const std::string&, ReplayResponse& action) { replays[action.request] = action.response; }
    void performOne(const std::string& name, CloseCallers& action) { closed.emplace_back(name, action.key); }
    void performOne(const std::string&, AnswerOperator& action) { answers[action.id] = action; }

    void performOne(const std::string& name, ProbeBackendServer& action)
    {
        m_events.emplace_back([this, name, id = action.backendServer] {
            if (m_nodes.contains(name))
                perform(name, node(name).probeCompleted(id, { true, true, false, 0, 8 }, now));
        });
    }

    NullEventLog m_log;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::vector<std::string> m_order;
    std::set<std::string> m_isolated;
    std::deque<std::function<void()>> m_events; // Of the next step.
    std::uint64_t m_nextRequest = 0;
};

}
