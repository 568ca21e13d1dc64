// A few nodes over an in-memory store, with messages delivered one step later. For tests of how nodes act together.

#pragma once

#include "config/KeyHash.h"
#include "peridot/Node.h"
#include "store/MemoryStore.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridot {

struct PlannedService {
    std::string name;
    int servers = 0; // In all regions together; they are dealt out to the regions and failure domains in turn.
    std::uint32_t slots = 0;
};

struct FleetPlan {
    std::string deployment = "test";
    std::vector<std::string> regions = { "a", "b", "c" };
    int instances = 6;
    std::vector<PlannedService> services = { { "booking", 6, 8 } };
    Duration regionDelay = std::chrono::milliseconds { 55 };
};

/** Keeps the lines of chosen events. */
class RecordingEventLog final : public EventLog {
public:
    bool isEnabled(LogLevel level) const noexcept override { return level != LogLevel::Debug; }
    void write(LogLevel level, const LogLine& line) override
    {
        if (isEnabled(level))
            lines.push_back(line.text());
    }

    std::vector<std::string> lines;
};

class SmallFleet {
public:
    static constexpr Duration s_step = std::chrono::milliseconds { 5 };

    explicit SmallFleet(FleetPlan plan = {})
        : m_plan(std::move(plan))
    {
        for (int i = 0; i < m_plan.instances; ++i)
            addInstance(i);
        for (const auto& service : m_plan.services) {
            for (int i = 0; i < service.servers; ++i)
                addServer(service, i);
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
        now += s_step;
        // Events of one time keep the order in which they were added.
        while (!m_events.empty() && m_events.begin()->first <= now) {
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
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

    void finish(const std::string& name, const RequestId& id, const DispatchOutcome& outcome)
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
    RecordingEventLog log;
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
            workspaces += fmt::format(R"({}{{"id":"{}","rate_per_second":{},"burst":{}}})", comma, id, rate, burst);
            keys += fmt::format(
                R"({}{{"id":"{}-key","hash":"{}","workspace":"{}"}})", comma, id, toHex(hashKey(key(id))), id);
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
    /** An instance is named after its region and a number. */
    static std::string regionOf(const std::string& name)
    {
        return name.substr(0, name.find_last_not_of("0123456789") + 1);
    }

    /** Region and failure domain of the n-th instance or server. */
    std::pair<RegionId, FailureDomainId> place(int number) const
    {
        const auto regionCount = static_cast<int>(m_plan.regions.size());
        const auto& region = m_plan.regions[static_cast<std::size_t>(number % regionCount)];
        return { RegionId(region), FailureDomainId(region + "-" + std::to_string(number / regionCount % 2 + 1)) };
    }

    void addInstance(int number)
    {
        const auto [region, failureDomain] = place(number);
        const auto regionCount = static_cast<int>(m_plan.regions.size());
        const auto name = region.value() + std::to_string(number / regionCount + 1);
        NodeSettings settings;
        settings.deployment = DeploymentId(m_plan.deployment);
        settings.self = { InstanceId(name), 1, region, failureDomain, "caller:" + name, "peer:" + name,
            InstanceState::Starting, 0 };
        settings.regionDelay = m_plan.regionDelay;
        for (std::size_t i = 0; i < m_plan.regions.size(); ++i) {
            settings.regions.emplace_back(m_plan.regions[i]);
            settings.clientBlocks.push_back({ fmt::format("10.{}.0.0/16", i + 1), { RegionId(m_plan.regions[i]) } });
        }
        settings.randomSeed = 7 + m_order.size();
        PlatformInstance instance;
        instance.kind = PlatformInstanceKind::Entry;
        instance.name = name;
        instance.region = region;
        instance.failureDomain = failureDomain;
        instance.address = settings.self.callerAddress;
        instance.peerAddress = settings.self.peerAddress;
        store.putInstance(instance);
        m_nodes[name] = std::make_unique<Node>(settings, log);
        m_order.push_back(name);
    }

    void addServer(const PlannedService& service, int number)
    {
        const auto [region, failureDomain] = place(number);
        PlatformInstance server;
        server.kind = PlatformInstanceKind::BackendServer;
        server.name = service.name + "-" + region.value()
            + std::to_string(number / static_cast<int>(m_plan.regions.size()) + 1);
        server.region = region;
        server.failureDomain = failureDomain;
        server.service = ServiceId(service.name);
        server.address = "backend:" + server.name;
        server.slots = service.slots;
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
        Envelope envelope { DeploymentId(m_plan.deployment), InstanceId(name), 1, "peer:" + name,
            std::move(action.message) };
        const auto delay
            = regionOf(name) == regionOf(action.to.value()) ? s_step : std::max(s_step, m_plan.regionDelay);
        m_events.emplace(now + delay, [this, to = action.to.value(), envelope = std::move(envelope)] {
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
        m_events.emplace(now + s_step, [this, name, id = call.id, result = std::move(result)] {
            if (m_nodes.contains(name))
                perform(name, node(name).storeCompleted(id, result, now));
        });
    }

    void performOne(const std::string& name, DispatchRequest& action)
    {
        dispatches[action.request].push_back(action);
        if (!completesAtOnce)
            return;
        m_events.emplace(now + s_step, [this, name, id = action.request] {
            DispatchOutcome outcome;
            outcome.latency = s_step;
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
        m_events.emplace(now + s_step, [this, name, id = action.backendServer] {
            if (m_nodes.contains(name))
                perform(name, node(name).probeCompleted(id, { true, true, false, 0, 8 }, now));
        });
    }

    FleetPlan m_plan;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::vector<std::string> m_order;
    std::set<std::string> m_isolated;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::uint64_t m_nextRequest = 0;
};

}
