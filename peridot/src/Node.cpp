// Joins the control plane and the request path.

#include "peridot/Node.h"

#include "ControlPlane.h"
#include "OperatorEndpoint.h"
#include "RequestAdmission.h"
#include "Statistics.h"
#include "base/Assert.h"
#include "routing/BlockMap.h"

#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

namespace peridot {

namespace {

    // From the start of leaving until no instance lists this one any more: heartbeat, relay, digest and member take at
    // most one interval of 500 ms each.
    constexpr Duration leaveNoticeTime = std::chrono::seconds { 2 };
    // A planned stop doesn't wait longer for a store that takes no handover; the next ledger then waits for the lease.
    constexpr Duration longestHandover = std::chrono::seconds { 5 };
    // Clients without a block of their own share a seed with their neighbours.
    constexpr unsigned neighbourPrefixV4 = 24;
    constexpr unsigned neighbourPrefixV6 = 48;

    std::uint64_t hashOf(const std::string& text) noexcept { return XXH3_64bits(text.data(), text.size()); }

    std::vector<SiteId> sitesOf(const std::vector<RegionId>& regions)
    {
        std::vector<SiteId> sites;
        sites.reserve(regions.size());
        for (const auto& region : regions)
            sites.emplace_back(region.value());
        return sites;
    }

    NodeSettings checked(NodeSettings settings)
    {
        const auto& regions = settings.regions;
        if (std::find(regions.begin(), regions.end(), settings.self.region) == regions.end())
            throw std::invalid_argument("the region of the instance is not among the regions of the deployment");
        return settings;
    }

    BlockDelta blocksOf(const NodeSettings& settings)
    {
        BlockDelta delta;
        for (const auto& [text, regions] : settings.clientBlocks) {
            auto block = ClientBlock::parse(text);
            if (!block)
                throw std::invalid_argument(block.error().describe());
            BlockChange change { *block, {} };
            for (const auto& region : regions) {
                auto it = std::find(settings.regions.begin(), settings.regions.end(), region);
                if (it == settings.regions.end())
                    throw std::invalid_argument("client block " + text + " names unknown region " + region.value());
                change.sites.push_back(static_cast<SiteIndex>(it - settings.regions.begin()));
            }
            delta.changes.push_back(std::move(change));
        }
        return delta;
    }

}

class Node::Implementation {
public:
    Implementation(NodeSettings settings, EventLog& log)
        : m_settings(checked(std::move(settings)))
        , m_history(log)
        , m_budgets(m_settings.self.id, m_settings.self.incarnation, m_settings.regions, log)
        , m_blocks(sitesOf(m_settings.regions))
        , m_control(m_settings, m_budgets, m_history, m_calls, log)
        , m_operator(m_settings, m_control, m_history, m_statistics)
        , m_admission(m_settings, m_budgets, m_history, m_calls)
        , m_log(log)
    {
        if (auto applied = m_blocks.apply(blocksOf(m_settings)); !applied)
            throw std::invalid_argument(applied.error().describe());
    }

    Actions tick(TimePoint now)
    {
        Actions actions;
        {
            std::lock_guard lock(m_controlMutex);
            m_control.setRequestsPerLookup(m_statistics.requestsPerLookup());
            actions = m_control.tick(now);
        }
        const auto view = m_control.view().load();
        take(m_admission.tick(*view, now), now, actions);
        for (const auto& [service, router] : view->routers)
            take(router->tick(now), now, actions);
        return actions;
    }

    Actions receive(const Envelope& envelope, TimePoint now)
    {
        Actions actions;
        if (envelope.deployment != m_settings.deployment)
            return actions;
        const bool isGrant = std::holds_alternative<BudgetGrant>(envelope.message);
        {
            std::lock_guard lock(m_controlMutex);
            actions = m_control.receive(envelope, now);
        }
        if (isGrant)
            take(m_admission.tick(*m_control.view().load(), now), now, actions);
        return actions;
    }

    Actions storeCompleted(std::uint64_t id, const StoreResult& result, TimePoint now)
    {
        Actions actions;
        const auto call = m_calls.take(id);
        if (!call)
            return actions;
        if (call->caller == StoreCaller::Claims) {
            take(m_admission.claimCompleted(call->localId, result, *m_control.view().load(), now), now, actions);
            return actions;
        }
        std::lock_guard lock(m_controlMutex);
        return m_control.storeCompleted(*call, result, now);
    }

    Actions probeCompleted(const BackendServerId& id, const ProbeResult& result, TimePoint now)
    {
        const auto view = m_control.view().load();
        for (const auto& [service, router] : view->routers)
            router->probeCompleted(id, result, now);
        return {};
    }

    LookupResult lookup(const LookupQuery& query, TimePoint now)
    {
        m_statistics.lookedUp();
        const auto view = m_control.view().load();
        if (!view->configuration || !view->plan)
            return makeRefusal(RefusalCode::Starting, RunState::NotRun, std::chrono::seconds { 1 });
        if (!view->configuration->hasService(query.service))
            return makeRefusal(RefusalCode::UnknownService);
        const auto [home, seed] = locate(query);
        auto planned = view->plan->answer(home, query.service, seed);
        LogLine line("lookup");
        line.add("service", query.service).add("client", query.clientAddress);
        if (home)
            line.add("home", *home);
        if (planned.shift) {
            auto* holder = m_budgets.find(planned.shift->to);
            const BudgetKey key { BudgetKind::ShiftIn, planned.shift->from.value() };
            auto spent = holder ? holder->trySpend(key, 1, now) : SpendOutcome {};
            if (!spent.isSpent && !planned.stay.empty()) {
                planned.instances = std::move(planned.stay);
                planned.shift.reset();
                line.add("shift", "no_units");
            } else if (!spent.isSpent) {
                line.add("code", enumName(RefusalCode::ShiftInProgress)).add("to", planned.shift->to);
                m_log.write(LogLevel::Info, line);
                const auto retryAfter = std::clamp<Duration>(
                    spent.retryAfter, std::chrono::milliseconds { 200 }, std::chrono::seconds { 5 });
                return makeRefusal(RefusalCode::ShiftInProgress, RunState::NotRun, retryAfter);
            }
        }
        if (planned.instances.empty())
            return makeRefusal(RefusalCode::NoInstance, RunState::NotRun, std::chrono::seconds { 1 });
        LookupResponse response;
        response.version = view->configuration->version();
        response.timeToLive = m_settings.lookupTimeToLive;
        for (const auto& entry : planned.instances)
            response.instances.push_back({ entry.name, entry.region, entry.failureDomain, entry.address });
        line.add("first", response.instances.front().id).add("count", response.instances.size());
        line.add("reason", planned.shift ? "shift" : (home ? "home_region" : "no_block"));
        m_log.write(LogLevel::Info, line);
        return response;
    }

    Actions begin(const RequestHead& head, TimePoint now)
    {
        Actions actions;
        m_statistics.begun();
        take(m_admission.begin(head, *m_control.view().load(), now), now, actions);
        return actions;
    }

    Actions finished(const RequestId& id, const DispatchOutcome& outcome, TimePoint now)
    {
        Actions actions;
        const auto view = m_control.view().load();
        for (const auto& [service, router] : view->routers)
            take(router->finished(id, outcome, now), now, actions);
        return actions;
    }

    Actions abandoned(const RequestId& id, TimePoint now)
    {
        Actions actions;
        if (m_admission.abandoned(id, now))
            return actions;
        const auto view = m_control.view().load();
        for (const auto& [service, router] : view->routers)
            take(router->abandoned(id, now), now, actions);
        return actions;
    }

    Actions operate(const OperatorRequest& request, TimePoint now)
    {
        std::lock_guard lock(m_controlMutex);
        return m_operator.handle(request, now);
    }

    std::string status(TimePoint now) const
    {
        std::lock_guard lock(m_controlMutex);
        return m_operator.status(now);
    }

    Actions leave(TimePoint now)
    {
        std::lock_guard lock(m_controlMutex);
        if (!m_leftAt) {
            m_leftAt = now;
            m_control.leave(now);
        }
        return m_control.tick(now);
    }

    bool hasDrained(TimePoint now) const
    {
        std::lock_guard lock(m_controlMutex);
        if (!m_leftAt || now - *m_leftAt < m_settings.lookupTimeToLive + leaveNoticeTime)
            return false;
        if (!m_control.hasDrained()
            && now - *m_leftAt < m_settings.lookupTimeToLive + leaveNoticeTime + longestHandover)
            return false;
        const auto view = m_control.view().load();
        return m_admission.isIdle() && std::all_of(view->routers.begin(), view->routers.end(), [](const auto& it) {
            return it.second->isIdle();
        });
    }

    InstanceState state() const { return m_control.view().load()->state; }

    ConfigurationVersion configurationVersion() const
    {
        const auto view = m_control.view().load();
        return view->configuration ? view->configuration->version() : 0;
    }

private:
    /** Adds what a step on requests asks for, and settles the claims of requests that it ended. */
    void take(RequestOutput output, TimePoint now, Actions& actions)
    {
        for (const auto& action : output.actions) {
            if (const auto* refusal = std::get_if<RefuseRequest>(&action))
                m_statistics.refused(refusal->refusal.code);
        }
        std::move(output.actions.begin(), output.actions.end(), std::back_inserter(actions));
        if (output.ended.empty())
            return;
        m_statistics.ended(output.ended, now);
        auto claimCalls = m_admission.ended(output.ended, now);
        std::move(claimCalls.begin(), claimCalls.end(), std::back_inserter(actions));
    }

    /** The client's home region by its block, and the seed that keeps a small client on few instances. */
    std::pair<std::optional<RegionId>, std::uint64_t> locate(const LookupQuery& query) const
    {
        const auto address = ClientAddress::parse(query.clientAddress);
        if (!address)
            return { std::nullopt, hashOf(query.clientAddress) };
        const auto neighbours
            = ClientBlock::containing(*address, address->isV6() ? neighbourPrefixV6 : neighbourPrefixV4);
        const auto seed = hashOf(query.service.value() + " " + neighbours.text());
        const auto snapshot = m_blocks.snapshot();
        const auto sites = snapshot->find(*address);
        if (sites.empty())
            return { std::nullopt, seed };
        return { RegionId(snapshot->site(sites.front()).value()), seed };
    }

    const NodeSettings m_settings;
    DecisionHistory m_history;
    Statistics m_statistics;
    BudgetHolders m_budgets;
    StoreCallTable m_calls;
    BlockMap m_blocks;
    mutable std::mutex m_controlMutex; // Guards m_control, m_operator and m_leftAt.
    mutable ControlPlane m_control;
    OperatorEndpoint m_operator;
    RequestAdmission m_admission;
    std::optional<TimePoint> m_leftAt;
    EventLog& m_log;
};

Node::Node(NodeSettings settings, EventLog& log)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), log))
{
}

Node::~Node() = default;

Actions Node::tick(TimePoint now) { return m_implementation->tick(now); }

Actions Node::receive(const Envelope& envelope, TimePoint now) { return m_implementation->receive(envelope, now); }

Actions Node::storeCompleted(std::uint64_t id, const StoreResult& result, TimePoint now)
{
    return m_implementation->storeCompleted(id, result, now);
}

Actions Node::probeCompleted(const BackendServerId& id, const ProbeResult& result, TimePoint now)
{
    return m_implementation->probeCompleted(id, result, now);
}

LookupResult Node::lookup(const LookupQuery& query, TimePoint now) { return m_implementation->lookup(query, now); }

Actions Node::begin(const RequestHead& head, TimePoint now) { return m_implementation->begin(head, now); }

Actions Node::finished(const RequestId& id, const DispatchOutcome& outcome, TimePoint now)
{
    return m_implementation->finished(id, outcome, now);
}

Actions Node::abandoned(const RequestId& id, TimePoint now) { return m_implementation->abandoned(id, now); }

Actions Node::operate(const OperatorRequest& request, TimePoint now) { return m_implementation->operate(request, now); }

std::string Node::status(TimePoint now) const { return m_implementation->status(now); }

Actions Node::leave(TimePoint now) { return m_implementation->leave(now); }

bool Node::hasDrained(TimePoint now) const { return m_implementation->hasDrained(now); }

InstanceState Node::state() const { return m_implementation->state(); }

ConfigurationVersion Node::configurationVersion() const { return m_implementation->configurationVersion(); }

}
