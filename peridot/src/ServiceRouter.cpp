// Requests wait in the queue until a backend server of the own region is free; if the region is full they go to another
// region against units of its ledger.

#include "ServiceRouter.h"

#include "base/Assert.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration initialMeanDuration = std::chrono::milliseconds { 30 };
    constexpr double smoothing = 0.05;
    constexpr Duration probeInterval = std::chrono::seconds { 1 };
    constexpr double requestCost = 1;

    BackendOutcome toBackendOutcome(DispatchOutcomeKind kind) noexcept
    {
        switch (kind) {
        case DispatchOutcomeKind::Completed:
            return BackendOutcome::Succeeded;
        case DispatchOutcomeKind::Shed:
            return BackendOutcome::Shed;
        case DispatchOutcomeKind::Cancelled:
        case DispatchOutcomeKind::TimedOut:
            return BackendOutcome::Cancelled;
        case DispatchOutcomeKind::NotSent:
        case DispatchOutcomeKind::Failed:
            return BackendOutcome::Failed;
        }
        return BackendOutcome::Failed;
    }

    RefusalCode refusalCode(QueueRefusalReason reason) noexcept
    {
        switch (reason) {
        case QueueRefusalReason::TargetUnreachable:
            return RefusalCode::TargetUnreachable;
        case QueueRefusalReason::DeadlineUnreachable:
            return RefusalCode::DeadlineUnreachable;
        case QueueRefusalReason::QueueFull:
        case QueueRefusalReason::Displaced:
        case QueueRefusalReason::Expired:
            return RefusalCode::Overloaded;
        }
        return RefusalCode::Overloaded;
    }

}

ServiceRouter::ServiceRouter(ServiceId service, const NodeSettings& settings, BudgetHolders& budgets,
    DecisionHistory& history, std::uint64_t seed, Recheck recheck)
    : m_service(std::move(service))
    , m_region(settings.self.region)
    , m_self(settings.self.id)
    , m_settings(settings)
    , m_budgets(budgets)
    , m_history(history)
    , m_recheck(std::move(recheck))
    , m_random(seed)
    , m_meanDuration(static_cast<double>(initialMeanDuration.count()))
{
}

ServiceRouter::RegionState& ServiceRouter::regionState(const RegionId& region)
{
    auto [it, isNew] = m_regions.try_emplace(region);
    if (isNew)
        it->second.pool = std::make_unique<BackendPool>(m_service, m_self, BackendPoolOptions {}, m_random);
    return it->second;
}

void ServiceRouter::setServers(const std::vector<RegionServers>& regions, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::set<RegionId> present;
    for (const auto& region : regions)
        present.insert(region.region);
    for (auto& [region, state] : m_regions) {
        if (!present.contains(region)) {
            state.listed.clear();
            applyServers(state, now);
        }
    }
    std::set<BackendServerId> listed;
    for (const auto& [region, servers, entryInstances] : regions) {
        auto& state = regionState(region);
        state.listed = servers;
        state.pool->setEntryInstances(entryInstances);
        applyServers(state, now);
        for (const auto& server : servers)
            listed.insert(server.id);
    }
    std::erase_if(m_nextProbe, [&](const auto& it) { return !listed.contains(it.first); });
    std::erase_if(m_drainingByProbe, [&](const auto& it) { return !listed.contains(it); });
}

void ServiceRouter::applyServers(RegionState& state, TimePoint now)
{
    auto servers = state.listed;
    for (auto& server : servers)
        server.isLeaving = server.isLeaving || m_drainingByProbe.contains(server.id);
    state.pool->setServers(now, servers);
}

void ServiceRouter::setRegions(const std::vector<SpillRegion>& regions)
{
    std::lock_guard lock(m_mutex);
    m_spillRegions = regions;
}

QueuedRequest ServiceRouter::makeQueued(const Record& record) const
{
    const auto& request = record.request;
    QueuedRequest queued;
    queued.id = request.head.id;
    queued.workspace = request.workspace;
    queued.classId = request.trafficClass.id;
    queued.importance = static_cast<int>(request.trafficClass.importance);
    queued.target = request.trafficClass.targetLatency;
    queued.deadline = request.deadline;
    queued.expectedDuration = Duration { static_cast<Duration::rep>(m_meanDuration) };
    queued.cost = requestCost;
    queued.arrived = request.arrived;
    return queued;
}

RequestOutput ServiceRouter::enqueue(AdmittedRequest request, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    RequestOutput output;
    auto [it, isNew] = m_requests.try_emplace(request.head.id);
    PERIDOT_ASSERT(isNew, "a request is routed once");
    auto& record = it->second;
    record.request = std::move(request);
    if (const auto refusal = m_recheck(record.request, now)) {
        refuse(record, *refusal, now, output);
        return output;
    }
    retryBudget(record.request.trafficClass.id).requestStarted(now);
    if (auto pushed = m_queue.push(now, makeQueued(record)); !pushed) {
        const auto& [reason, retryAfter] = pushed.error();
        if (auto target = trySpill(record, NoBackendReason::AllAtLimit, now))
            dispatch(record, target->region, target->choice, now, output);
        else
            refuse(record, makeRefusal(refusalCode(reason), RunState::NotRun, retryAfter), now, output);
    }
    pump(now, output);
    return output;
}

void ServiceRouter::pump(TimePoint now, RequestOutput& output)
{
    refuseRemoved(now, output);
    while (dispatchFront(now, output)) { }
}

void ServiceRouter::refuseRemoved(TimePoint now, RequestOutput& output)
{
    for (const auto& [queued, refusal] : m_queue.removed(now)) {
        auto it = m_requests.find(queued.id);
        PERIDOT_ASSERT(it != m_requests.end() && !it->second.running, "a queued request is known and not running");
        refuse(it->second, makeRefusal(refusalCode(refusal.reason), RunState::NotRun, refusal.retryAfter), now, output);
    }
}

bool ServiceRouter::dispatchFront(TimePoint now, RequestOutput& output)
{
    const auto* front = m_queue.front(now);
    if (!front)
        return false;
    auto it = m_requests.find(front->id);
    PERIDOT_ASSERT(it != m_requests.end() && !it->second.running, "a queued request is known and not running");
    auto& record = it->second;
    if (const auto refusal = m_recheck(record.request, now)) {
        m_queue.pop(now);
        refuse(record, *refusal, now, output);
        return true;
    }
    auto choice = regionState(m_region).pool->choose(now, requestCost, record.excluded);
    if (choice) {
        m_queue.pop(now);
        dispatch(record, m_region, *choice, now, output);
        return true;
    }
    if (auto target = trySpill(record, choice.error(), now)) {
        m_queue.pop(now);
        dispatch(record, target->region, target->choice, now, output);
        return true;
    }
    if (choice.error() == NoBackendReason::AllAtLimit)
        return false;
    m_queue.pop(now);
    refuse(
        record, makeRefusal(RefusalCode::NoBackendServer, RunState::NotRun, std::chrono::seconds { 1 }), now, output);
    return true;
}

std::optional<ServiceRouter::SpillTarget> ServiceRouter::trySpill(
    const Record& record, NoBackendReason reason, TimePoint now)
{
    SpillRegion local { m_region, Duration { 0 }, 0, Duration { 0 }, false };
    std::vector<SpillRegion> others;
    for (const auto& region : m_spillRegions) {
        if (region.region != m_region)
            others.push_back(region);
        else if (reason == NoBackendReason::AllAtLimit)
            local = region;
    }
    const auto& request = record.request;
    const auto due = std::min(request.arrived + request.trafficClass.targetLatency, request.deadline);
    local.expectedWait = m_queue.expectedWait(now, request.workspace, due, requestCost);
    SpillRequest spill { m_service, due - now, Duration { static_cast<Duration::rep>(m_meanDuration) },
        request.head.bodyBytes, static_cast<std::uint64_t>(m_meanResponseBytes) };
    auto decisions = m_spill.choose(spill, local, others);
    if (!decisions)
        return std::nullopt;
    for (const auto& decision : *decisions) {
        auto choice = regionState(decision.region).pool->choose(now, requestCost, record.excluded);
        if (choice && spendAll(decision, now))
            return SpillTarget { decision.region, *choice };
    }
    return std::nullopt;
}

bool ServiceRouter::spendAll(const SpillDecision& decision, TimePoint now)
{
    // Units spent before one is refused are lost, which is safe; the scarce ones come first in `needs`.
    return std::all_of(decision.needs.begin(), decision.needs.end(), [&](const BudgetNeed& need) {
        auto* holder = m_budgets.find(need.grantedBy);
        return holder && holder->trySpend(need.key, need.units, now).isSpent;
    });
}

void ServiceRouter::dispatch(
    Record& record, const RegionId& region, const BackendChoice& choice, TimePoint now, RequestOutput& output)
{
    const auto& request = record.request;
    PERIDOT_ASSERT(!record.running, "a request runs at one backend server at a time");
    record.running = Running { region, choice.server };
    ++record.attempt;
    PERIDOT_ASSERT(record.attempt == 1 || request.trafficClass.isIdempotent || !record.excluded.empty(),
        "a non-idempotent request is sent again only after it was not run");
    regionState(region).pool->started(now, choice.server, requestCost);

    DispatchRequest dispatch;
    dispatch.request = request.head.id;
    dispatch.workspace = request.workspace;
    dispatch.backendServer = choice.server;
    dispatch.address = choice.address;
    dispatch.attempt = record.attempt;
    dispatch.timeout = std::max(request.deadline - now, Duration { 1 });
    dispatch.needsFreshConnection = !request.trafficClass.isIdempotent;
    output.actions.emplace_back(std::move(dispatch));

    LogLine line("route");
    line.add("request", request.head.id)
        .add("workspace", request.workspace)
        .add("service", m_service)
        .add("class", request.trafficClass.id)
        .add("region", region)
        .add("backend", choice.server)
        .add("attempt", record.attempt)
        .add("wait_ms", now - request.arrived)
        .add("load", choice.estimatedLoad)
        .add("queue", m_queue.length())
        .add("reason", region == m_region ? "local" : "spill");
    m_history.record(request.head.id, LogLevel::Info, line);
}

RequestOutput ServiceRouter::finished(const RequestId& id, const DispatchOutcome& outcome, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    RequestOutput output;
    auto it = m_requests.find(id);
    if (it == m_requests.end() || !it->second.running)
        return output;
    auto& record = it->second;
    const auto running = *std::exchange(record.running, std::nullopt);
    regionState(running.region)
        .pool->finished(now, running.server, requestCost, toBackendOutcome(outcome.kind), outcome.latency);
    observe(outcome, running);
    switch (outcome.kind) {
    case DispatchOutcomeKind::Completed:
        end(id, CompletedRequest { now - record.request.arrived, outcome.response }, output);
        break;
    case DispatchOutcomeKind::Cancelled:
        end(id, UnknownRequest {}, output);
        break;
    case DispatchOutcomeKind::Shed:
    case DispatchOutcomeKind::NotSent:
    case DispatchOutcomeKind::Failed:
    case DispatchOutcomeKind::TimedOut:
        if (outcome.hasResponseStarted) {
            end(id, UnknownRequest {}, output);
        } else {
            record.excluded.push_back(running.server);
            record.mayHaveRun
                |= outcome.kind == DispatchOutcomeKind::Failed || outcome.kind == DispatchOutcomeKind::TimedOut;
            retryOrEnd(record, outcome, now, output);
        }
        break;
    }
    pump(now, output);
    return output;
}

void ServiceRouter::observe(const DispatchOutcome& outcome, const Running& running)
{
    if (outcome.kind != DispatchOutcomeKind::Completed)
        return;
    auto latency = outcome.latency;
    if (running.region != m_region)
        latency = std::max(latency - 2 * m_settings.regionDelay, Duration { 1 });
    m_meanDuration += smoothing * (static_cast<double>(latency.count()) - m_meanDuration);
    m_meanResponseBytes += smoothing * (static_cast<double>(outcome.responseBytes) - m_meanResponseBytes);
}

void ServiceRouter::retryOrEnd(Record& record, const DispatchOutcome& outcome, TimePoint now, RequestOutput& output)
{
    const auto& request = record.request;
    const bool hasNotRun = outcome.kind == DispatchOutcomeKind::Shed || outcome.kind == DispatchOutcomeKind::NotSent;
    const bool mayRepeat
        = hasNotRun || (outcome.kind == DispatchOutcomeKind::Failed && request.trafficClass.isIdempotent);
    const bool hasTime = now + Duration { static_cast<Duration::rep>(m_meanDuration) } < request.deadline;
    if (mayRepeat && hasTime && retryBudget(request.trafficClass.id).tryRetry(now)) {
        m_queue.putBack(now, makeQueued(record));
        return;
    }
    const auto run = hasNotRun ? RunState::NotRun : RunState::Unknown;
    auto code = RefusalCode::BackendFailed;
    if (outcome.kind == DispatchOutcomeKind::Shed)
        code = RefusalCode::Overloaded;
    else if (outcome.kind == DispatchOutcomeKind::NotSent)
        code = RefusalCode::NoBackendServer;
    else if (outcome.kind == DispatchOutcomeKind::TimedOut)
        code = RefusalCode::BackendTimeout;
    refuse(record, makeRefusal(code, run, std::max(outcome.retryAfter, Duration { std::chrono::seconds { 1 } })), now,
        output);
}

RequestOutput ServiceRouter::abandoned(const RequestId& id, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    RequestOutput output;
    auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.running)
        return output;
    m_queue.cancel(now, id);
    if (it->second.mayHaveRun)
        end(id, UnknownRequest {}, output);
    else
        end(id, NotRunRequest {}, output);
    pump(now, output);
    return output;
}

RequestOutput ServiceRouter::tick(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    RequestOutput output;
    pump(now, output);
    addDueProbes(now, output);
    return output;
}

void ServiceRouter::addDueProbes(TimePoint now, RequestOutput& output)
{
    for (const auto& server : regionState(m_region).listed) {
        auto [it, isNew] = m_nextProbe.try_emplace(server.id, now);
        if (isNew) {
            // Spread over the interval, so that instances that start together don't probe together.
            it->second = now + Duration { static_cast<Duration::rep>(m_random() % probeInterval.count()) };
            continue;
        }
        if (now < it->second)
            continue;
        it->second = now + probeInterval;
        output.actions.emplace_back(ProbeBackendServer { server.id, server.address });
    }
}

void ServiceRouter::probeCompleted(const BackendServerId& id, const ProbeResult& result, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto& state = regionState(m_region);
    if (std::none_of(state.listed.begin(), state.listed.end(), [&](const auto& it) { return it.id == id; }))
        return;
    if (!result.isReachable || !result.isHealthy) {
        state.pool->probeFailed(now, id);
        return;
    }
    state.pool->probeSucceeded(now, id);
    const auto queued = result.inFlight > result.slots ? result.inFlight - result.slots : 0;
    state.pool->report(now, id, LoadReport { result.inFlight - queued, queued }, Duration { 0 });
    const bool hasChanged = result.isDraining ? m_drainingByProbe.insert(id).second : m_drainingByProbe.erase(id) > 0;
    if (hasChanged)
        applyServers(state, now);
}

void ServiceRouter::refuse(Record& record, Refusal refusal, TimePoint now, RequestOutput& output)
{
    const auto& request = record.request;
    if (record.mayHaveRun)
        refusal.run = RunState::Unknown;
    LogLine line("refuse");
    line.add("request", request.head.id)
        .add("workspace", request.workspace)
        .add("service", m_service)
        .add("class", request.trafficClass.id)
        .add("code", refusal.code)
        .add("run", enumName(refusal.run))
        .add("attempts", record.attempt)
        .add("age_ms", now - request.arrived)
        .add("retry_after_ms", refusal.retryAfter);
    m_history.record(request.head.id, LogLevel::Info, line);
    output.actions.emplace_back(RefuseRequest { request.head.id, refusal });
    if (refusal.run == RunState::NotRun)
        end(request.head.id, NotRunRequest {}, output);
    else
        end(request.head.id, UnknownRequest {}, output);
}

void ServiceRouter::end(const RequestId& id, decltype(EndedRequest::ending) ending, RequestOutput& output)
{
    auto node = m_requests.extract(id);
    PERIDOT_ASSERT(!node.empty() && !node.mapped().running, "only a known request that doesn't run ends");
    output.ended.push_back({ std::move(node.mapped().request), std::move(ending) });
}

RetryBudget& ServiceRouter::retryBudget(const ClassId& id)
{
    return m_retryBudgets.try_emplace(id, RetryBudgetOptions {}).first->second;
}

ServiceLoad ServiceRouter::load(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_regions.find(m_region);
    if (it == m_regions.end())
        return { m_service, 0, 0, static_cast<std::uint32_t>(m_queue.length()) };
    return { m_service, it->second.pool->usableSlots(now), it->second.pool->inFlight(),
        static_cast<std::uint32_t>(m_queue.length()) };
}

Duration ServiceRouter::meanDuration() const
{
    std::lock_guard lock(m_mutex);
    return Duration { static_cast<Duration::rep>(m_meanDuration) };
}

bool ServiceRouter::isIdle() const
{
    std::lock_guard lock(m_mutex);
    return m_requests.empty();
}

}
