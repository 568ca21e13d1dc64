#include "BaselineInstance.h"

#include "CallerKeys.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace peridot::trial {

namespace {

    constexpr Duration listInterval = std::chrono::seconds { 1 };
    constexpr Duration storeTimeout = std::chrono::seconds { 2 };
    constexpr int longestConflicts = 20;

}

BaselinePolicy baselinePolicy(Policy policy)
{
    BaselinePolicy result;
    switch (policy) {
    case Policy::LocalCounters:
        result.admission = BaselineAdmission::LocalCounters;
        break;
    case Policy::RoundRobin:
        result.choice = BaselineChoice::RoundRobin;
        break;
    case Policy::LeastConnections:
        result.choice = BaselineChoice::LeastReported;
        break;
    case Policy::NearestOnly:
        result.usesOtherRegions = false;
        break;
    case Policy::StoreWrite:
        result.admission = BaselineAdmission::StoreWrite;
        break;
    case Policy::Node:
    case Policy::StaticSplit:
        break;
    }
    return result;
}

BaselineInstance::BaselineInstance(
    BaselinePolicy policy, const BaselineKnowledge& knowledge, const NodeSettings& settings)
    : m_policy(policy)
    , m_knowledge(knowledge)
    , m_settings(settings)
{
}

Actions BaselineInstance::tick(TimePoint now)
{
    if (m_nextList && now < *m_nextList)
        return {};
    m_nextList = now + listInterval;
    Actions actions;
    m_listCall = ++m_lastCall;
    actions.emplace_back(StoreCall { m_listCall, ListInstances {}, storeTimeout });
    if (m_policy.choice == BaselineChoice::LeastReported) {
        for (const auto& [name, server] : m_servers)
            actions.emplace_back(ProbeBackendServer { BackendServerId { name }, server.listed.address });
    }
    return actions;
}

void BaselineInstance::listed(const InstanceList& list)
{
    m_entries.clear();
    std::map<std::string, Server> servers;
    for (const PlatformInstance& it : list.instances) {
        if (it.state != PlatformInstanceState::Live)
            continue;
        if (it.kind == PlatformInstanceKind::Entry) {
            m_entries.push_back(it);
            continue;
        }
        Server& server = servers[it.name];
        if (const auto known = m_servers.find(it.name); known != m_servers.end())
            server = known->second;
        server.listed = it;
    }
    m_servers = std::move(servers);
}

Actions BaselineInstance::storeCompleted(std::uint64_t id, const StoreResult& result, TimePoint now)
{
    if (id == m_listCall) {
        if (result)
            listed(std::get<InstanceList>(*result));
        return {};
    }
    const auto claim = m_claims.find(id);
    if (claim == m_claims.end())
        return {};
    const RequestId request = claim->second;
    m_claims.erase(claim);
    return m_open.count(request) > 0 ? claimed(request, result, now) : Actions {};
}

Actions BaselineInstance::probeCompleted(const BackendServerId& id, const ProbeResult& result, TimePoint)
{
    if (const auto it = m_servers.find(id.value()); it != m_servers.end() && result.isReachable)
        it->second.reported = result.inFlight;
    return {};
}

LookupResult BaselineInstance::lookup(const LookupQuery& query, TimePoint)
{
    const std::string& home = m_knowledge.deployment.regions[m_knowledge.homeRegion(query.clientAddress)];
    std::vector<PlatformInstance> entries = m_entries;
    if (!m_policy.usesOtherRegions)
        std::erase_if(entries, [&](const PlatformInstance& it) { return it.region.value() != home; });
    std::stable_partition(
        entries.begin(), entries.end(), [&](const PlatformInstance& it) { return it.region.value() == home; });
    const auto local = std::count_if(
        entries.begin(), entries.end(), [&](const PlatformInstance& it) { return it.region.value() == home; });
    if (local > 1)
        std::rotate(entries.begin(),
            entries.begin() + static_cast<std::ptrdiff_t>(m_turn++ % static_cast<std::size_t>(local)),
            entries.begin() + local);
    if (entries.empty())
        return Refusal { 503, "no_instance", "no instance is listed", RunState::NotRun, std::chrono::seconds { 1 } };
    LookupResponse response;
    response.timeToLive = m_settings.lookupTimeToLive;
    for (const PlatformInstance& it : entries)
        response.instances.push_back({ InstanceId { it.name }, it.region, it.failureDomain, it.address });
    return response;
}

std::optional<std::string> BaselineInstance::workspaceOf(const RequestHead& head) const
{
    if (head.presentedKeys.empty())
        return std::nullopt;
    for (const std::string& key : head.presentedKeys) {
        if (key != head.presentedKeys.front())
            return std::nullopt;
    }
    const std::string& key = head.presentedKeys.front();
    const auto it = m_knowledge.accepted.keys.find(key.substr(0, key.find('.')));
    if (it == m_knowledge.accepted.keys.end() || presentedKey(it->first) != key)
        return std::nullopt;
    return it->second;
}

std::optional<std::size_t> BaselineInstance::classOf(const RequestHead& head) const
{
    const Deployment& deployment = m_knowledge.deployment;
    for (std::size_t n = 0; n < deployment.classes.size(); ++n) {
        const ClassShape& it = deployment.classes[n];
        const std::string prefix = '/' + deployment.services[it.service].name + it.pathPrefix;
        if (it.method == head.method && head.path.compare(0, prefix.size(), prefix) == 0)
            return n;
    }
    return std::nullopt;
}

Actions BaselineInstance::refuse(const RequestId& id, std::string code, RunState run)
{
    m_open.erase(id);
    Refusal refusal;
    refusal.code = std::move(code);
    refusal.run = run;
    return { RefuseRequest { id, refusal } };
}

bool BaselineInstance::takeLocally(const std::string& workspace)
{
    const AcceptedConfiguration::Limit& limit = m_knowledge.accepted.workspaces.at(workspace);
    const double parts
        = m_policy.admission == BaselineAdmission::StaticSplit ? static_cast<double>(m_knowledge.instances) : 1.0;
    Bucket& bucket = m_buckets[workspace];
    const VirtualTime now = m_knowledge.now();
    // A restarted instance can't know what it has spent, so its bucket starts empty.
    if (bucket.isNew)
        bucket = { 0, now, false };
    const double elapsed = toSeconds(now - bucket.time);
    bucket.level = std::min(limit.burst / parts, bucket.level + limit.rate / parts * elapsed);
    bucket.time = now;
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    return true;
}

Actions BaselineInstance::begin(const RequestHead& head, TimePoint now)
{
    const auto trafficClass = classOf(head);
    if (!trafficClass)
        return refuse(head.id, "unknown_route", RunState::NotRun);
    OpenRequest request;
    request.trafficClass = *trafficClass;
    request.deadline = now + head.timeout;
    const bool isOpen = m_knowledge.deployment.classes[*trafficClass].isOpen;
    if (!isOpen) {
        const auto workspace = workspaceOf(head);
        if (!workspace)
            return refuse(head.id, "unknown_key", RunState::NotRun);
        request.workspace = *workspace;
    }
    m_open[head.id] = request;
    if (isOpen)
        return dispatch(head.id, now);
    if (m_policy.admission == BaselineAdmission::StoreWrite)
        return claimInStore(head.id);
    if (!takeLocally(request.workspace))
        return refuse(head.id, "rate_exceeded", RunState::NotRun);
    return dispatch(head.id, now);
}

Actions BaselineInstance::claimInStore(const RequestId& id)
{
    const std::string& workspace = m_open.at(id).workspace;
    const AcceptedConfiguration::Limit& limit = m_knowledge.accepted.workspaces.at(workspace);
    const VirtualTime now = m_knowledge.now();
    const TableRow& row = m_rows[workspace];
    double level = limit.burst;
    if (long long since = 0; std::sscanf(row.value.c_str(), "%lf %lld", &level, &since) == 2) // NOLINT: own format
        level = std::min(limit.burst, level + limit.rate * std::max(0.0, toSeconds(now - VirtualTime { since })));
    if (level < 1)
        return refuse(id, "rate_exceeded", RunState::NotRun);
    const std::string key = "bucket/" + workspace;
    const std::uint64_t call = ++m_lastCall;
    m_claims.emplace(call, id);
    return { StoreCall { call,
        TableCommit { { { key, row.version } }, { { key, fmt::format("{} {}", level - 1, now.count()) } } },
        storeTimeout } };
}

Actions BaselineInstance::claimed(const RequestId& id, const StoreResult& result, TimePoint now)
{
    if (!result)
        return refuse(id, "store_unavailable", RunState::NotRun);
    const auto& commit = std::get<CommitResult>(*result);
    OpenRequest& request = m_open.at(id);
    if (!commit.current.empty())
        m_rows[request.workspace] = commit.current.front();
    if (commit.isCommitted)
        return dispatch(id, now);
    if (++request.conflicts > longestConflicts)
        return refuse(id, "store_conflict", RunState::NotRun);
    return claimInStore(id);
}

BaselineInstance::Server* BaselineInstance::chooseFrom(const std::vector<Server*>& servers)
{
    if (servers.empty())
        return nullptr;
    if (m_policy.choice == BaselineChoice::RoundRobin)
        return servers[m_turn++ % servers.size()];
    const bool byReport = m_policy.choice == BaselineChoice::LeastReported;
    // The search starts at another server each time, so that ties don't all fall on the first one.
    Server* best = nullptr;
    const std::size_t first = m_turn++;
    for (std::size_t n = 0; n < servers.size(); ++n) {
        Server* it = servers[(first + n) % servers.size()];
        if (!best || (byReport ? it->reported < best->reported : it->inFlight < best->inFlight))
            best = it;
    }
    return best;
}

BaselineInstance::Server* BaselineInstance::choose(const std::string& service)
{
    std::vector<Server*> local;
    std::vector<Server*> others;
    std::uint32_t localInFlight = 0;
    std::uint32_t localSlots = 0;
    for (auto& [name, it] : m_servers) {
        if (it.listed.service.value() != service)
            continue;
        const bool isLocal = it.listed.region == m_settings.self.region;
        (isLocal ? local : others).push_back(&it);
        if (isLocal) {
            localInFlight += it.inFlight;
            localSlots += it.listed.slots;
        }
    }
    // An instance knows only its own requests, so it takes its part of the region's slots as the limit.
    const std::size_t instancesPerRegion = m_knowledge.instances / m_knowledge.deployment.regions.size();
    const bool isFull = localInFlight * instancesPerRegion >= localSlots;
    if (m_policy.usesOtherRegions && !others.empty() && (local.empty() || isFull))
        return chooseFrom(others);
    return chooseFrom(local);
}

Actions BaselineInstance::dispatch(const RequestId& id, TimePoint now)
{
    OpenRequest& request = m_open.at(id);
    const ClassShape& shape = m_knowledge.deployment.classes[request.trafficClass];
    Server* server = choose(m_knowledge.deployment.services[shape.service].name);
    if (!server)
        return refuse(id, "no_backend", RunState::NotRun);
    if (now >= request.deadline)
        return refuse(id, "timeout", RunState::NotRun);
    ++request.attempts;
    ++server->inFlight;
    request.server = server->listed.name;
    return { DispatchRequest { id, {}, BackendServerId { server->listed.name }, server->listed.address,
        request.attempts, request.deadline - now, !shape.isIdempotent } };
}

Actions BaselineInstance::finished(const RequestId& id, const DispatchOutcome& outcome, TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return {};
    OpenRequest& request = found->second;
    if (const auto it = m_servers.find(request.server); it != m_servers.end() && it->second.inFlight > 0)
        --it->second.inFlight;
    const bool hasNotRun = outcome.kind == DispatchOutcomeKind::Shed || outcome.kind == DispatchOutcomeKind::NotSent;
    if (hasNotRun && request.attempts < 2)
        return dispatch(id, now);
    if (hasNotRun)
        return refuse(id, "overloaded", RunState::NotRun);
    if (outcome.kind == DispatchOutcomeKind::Failed || outcome.kind == DispatchOutcomeKind::TimedOut)
        return refuse(id, "backend_failed", RunState::Unknown);
    m_open.erase(found);
    return {};
}

Actions BaselineInstance::abandoned(const RequestId& id, TimePoint)
{
    m_open.erase(id);
    return {};
}

Actions BaselineInstance::operate(const OperatorRequest& request, TimePoint)
{
    return { AnswerOperator { request.id, 501, "{}" } };
}

Actions BaselineInstance::leave(TimePoint now)
{
    m_leftAt = now;
    return {};
}

bool BaselineInstance::hasDrained(TimePoint now) const
{
    return m_leftAt && m_open.empty() && now - *m_leftAt > 2 * m_settings.lookupTimeToLive;
}

}
