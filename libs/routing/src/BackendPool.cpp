// Selection of a server and the rules that concern all servers of the pool: the cap on ejections, the instance's share
// of the slots and the figures that servers are compared with.

#include "routing/BackendPool.h"

#include "BackendServerState.h"
#include "ConnectionSubset.h"
#include "RendezvousHash.h"
#include "base/Assert.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace peridot {

namespace {

    // One choice in this many ignores the loads, so that a server with a wrong report is still observed.
    constexpr std::uint64_t explorationInterval = 32;

    // Remains of old reports and sheds must not decide between servers that are equally loaded.
    constexpr double smallestDifference = 0.01;

    constexpr double latencyGain = 0.05; // Weight of a new latency in the mean of the pool.
    constexpr double baselineRise = 1.0005; // Per request; a lasting slowdown becomes the baseline in some 1,000.

    // Sheds by most servers mean that the service is overloaded, not that a server is bad.
    constexpr double poolSheddingShare = 0.3;

    double randomUnit(BackendPool::RandomEngine& random)
    {
        return static_cast<double>(random() >> 11) / static_cast<double>(1ULL << 53);
    }

}

BackendPool::BackendPool(ServiceId service, InstanceId self, BackendPoolOptions options, RandomEngine& random)
    : m_service(std::move(service))
    , m_self(std::move(self))
    , m_options(options)
    , m_random(random)
    , m_instances { m_self }
{
}

BackendPool::~BackendPool() = default;

void BackendPool::setServers(TimePoint now, const std::vector<BackendServerInfo>& list)
{
    std::set<BackendServerId> listed;
    for (const auto& info : list) {
        PERIDOT_ASSERT(info.slots > 0, "a backend server has slots");
        listed.insert(info.id);
        m_departed.erase(info.id);
        auto& server = m_servers[info.id];
        if (server) {
            const bool isBack = !server->isStaying() && !info.isLeaving;
            server->setInfo(info);
            if (isBack)
                server->beginSlowStart(now);
            continue;
        }
        // Twice the fair share, as not all instances are busy with this server at the same time.
        server = std::make_unique<BackendServerState>(info, 2.0 * info.slots / static_cast<double>(m_instances.size()));
        server->setTurn(m_turn + randomUnit(m_random) / info.slots);
        if (m_hasList)
            server->beginSlowStart(now);
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const bool isListed = listed.count(it->first);
        if (!isListed)
            it->second->setLeaving();
        if (!isListed && it->second->inFlight())
            m_departed.insert(it->first);
        it = !isListed && !it->second->inFlight() ? m_servers.erase(it) : std::next(it);
    }
    m_hasList = true;
    restoreExcessEjections(now);
    updateConnectionLimits();
}

void BackendPool::setEntryInstances(const std::vector<InstanceId>& instances)
{
    std::set<InstanceId> unique(instances.begin(), instances.end());
    unique.insert(m_self);
    m_instances.assign(unique.begin(), unique.end());
    updateConnectionLimits();
}

void BackendPool::updateConnectionLimits()
{
    ConnectionSubsetInputs inputs;
    inputs.connectionsWanted = m_options.connectionsWanted;
    inputs.instances.reserve(m_instances.size());
    for (const auto& instance : m_instances)
        inputs.instances.push_back(hashOf(instance.value()));
    std::vector<BackendServerState*> staying;
    for (const auto& [id, server] : m_servers) {
        server->setConnectionLimit(0);
        if (!server->isStaying())
            continue;
        staying.push_back(server.get());
        inputs.servers.push_back(hashOf(id.value()));
        inputs.maximumConnections.push_back(
            static_cast<std::uint32_t>(server->info().maximumConnections * (1 - m_options.connectionReserve)));
    }
    const auto self = std::lower_bound(m_instances.begin(), m_instances.end(), m_self) - m_instances.begin();
    const auto limits = connectionLimits(inputs, static_cast<std::size_t>(self));
    for (std::size_t i = 0; i < staying.size(); ++i)
        staying[i]->setConnectionLimit(limits[i]);
}

tl::expected<std::vector<BackendPool::Candidate>, NoBackendReason> BackendPool::candidates(
    TimePoint now, double cost, std::span<const BackendServerId> excluded)
{
    std::vector<Candidate> result;
    auto reason = NoBackendReason::NoServers;
    const auto meanLoad = meanForeignLoad(now);
    const bool isWithinShare = m_inFlight < std::max(1.0, std::ceil(fairShare(now) * (1 + m_options.overcommit)));
    for (const auto& [id, server] : m_servers) {
        if (!server->isStaying() || !server->connectionLimit())
            continue;
        // The reason names the last check that any server reached.
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
            reason = std::max(reason, NoBackendReason::AllExcluded);
            continue;
        }
        if (server->isEjected(now)) {
            reason = std::max(reason, NoBackendReason::AllEjected);
            continue;
        }
        reason = NoBackendReason::AllAtLimit;
        if (!server->hasRoom(now, m_options))
            continue;
        const auto slots = static_cast<double>(server->slots());
        const auto share = server->slowStartShare(now, m_options);
        const auto load = server->estimatedLoad(now, meanLoad, m_options);
        if (!isWithinShare && load + cost > slots * share * (1 + m_options.overcommit))
            continue;
        // Where reports are not trusted, latency tells the loaded servers.
        const auto slowness = (1 - server->trust()) * std::max(0.0, server->relativeLatency(m_latency) - 1);
        result.push_back(
            { server.get(), slots * share, (load + cost) / (slots * share) + server->shedShare(now) + slowness });
    }
    if (result.empty())
        return tl::unexpected(reason);
    return result;
}

const BackendPool::Candidate& BackendPool::nextInTurn(const std::vector<Candidate>& candidates) const
{
    return *std::min_element(candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) { return a.server->turn() < b.server->turn(); });
}

const BackendPool::Candidate& BackendPool::drawOther(const std::vector<Candidate>& candidates, const Candidate& other)
{
    double sum = 0;
    for (const auto& candidate : candidates)
        sum += &candidate == &other ? 0 : candidate.weight;
    auto position = randomUnit(m_random) * sum;
    const Candidate* last = nullptr;
    for (const auto& candidate : candidates) {
        if (&candidate == &other)
            continue;
        last = &candidate;
        position -= candidate.weight;
        if (position < 0)
            break;
    }
    return *last;
}

tl::expected<BackendChoice, NoBackendReason> BackendPool::choose(
    TimePoint now, double cost, std::span<const BackendServerId> excluded)
{
    const auto usable = candidates(now, cost, excluded);
    if (!usable)
        return tl::unexpected(usable.error());
    const auto* chosen = &nextInTurn(*usable);
    if (usable->size() > 1) {
        const auto* other = &drawOther(*usable, *chosen);
        if (other->score + smallestDifference < chosen->score && m_random() % explorationInterval)
            chosen = other;
    }
    // A turn that was missed is not made up for. The random part keeps instances from taking the same order.
    m_turn = std::max(m_turn, chosen->server->turn());
    chosen->server->setTurn(m_turn + (0.5 + randomUnit(m_random)) / chosen->weight);
    const auto& info = chosen->server->info();
    PERIDOT_ASSERT(!info.isLeaving, "a leaving backend server gets no new work");
    return BackendChoice { info.id, info.address, chosen->score };
}

void BackendPool::started(TimePoint now, const BackendServerId& id, double cost)
{
    auto& server = stateOf(id);
    PERIDOT_ASSERT(server.isStaying(), "a leaving backend server gets no new work");
    server.started(now, cost);
    ++m_inFlight;
    PERIDOT_ASSERT(server.inFlight() <= server.connectionLimit(), "an instance keeps its share of the connections");
}

void BackendPool::finished(
    TimePoint now, const BackendServerId& id, double cost, BackendOutcome outcome, Duration latency)
{
    auto& server = stateOf(id);
    const auto latencyPerCost = toSeconds(latency) / std::max(cost, 1e-3);
    if (outcome == BackendOutcome::Succeeded)
        observeLatency(latencyPerCost);
    const PoolFigures figures { m_latency, m_baseline, meanForeignLoad(now),
        static_cast<double>(server.slots()) / static_cast<double>(m_instances.size()) };
    server.finished(now, cost, outcome, latencyPerCost, figures);
    --m_inFlight;
    tryToEject(now, server);
    if (m_departed.count(id) && !server.inFlight()) {
        m_departed.erase(id);
        m_servers.erase(id);
    }
}

void BackendPool::observeLatency(double latencyPerCost) noexcept
{
    m_latency = m_latency > 0 ? m_latency + latencyGain * (latencyPerCost - m_latency) : latencyPerCost;
    m_baseline = m_baseline > 0 ? std::min(m_baseline * baselineRise, m_latency) : m_latency;
}

void BackendPool::report(TimePoint now, const BackendServerId& id, const LoadReport& report, Duration age)
{
    if (const auto it = m_servers.find(id); it != m_servers.end())
        it->second->report(now, report, age);
}

void BackendPool::probeFailed(TimePoint now, const BackendServerId& id)
{
    if (const auto it = m_servers.find(id); it != m_servers.end()) {
        it->second->probeFailed();
        tryToEject(now, *it->second);
    }
}

void BackendPool::probeSucceeded(TimePoint, const BackendServerId& id)
{
    if (const auto it = m_servers.find(id); it != m_servers.end())
        it->second->probeSucceeded();
}

BackendServerState& BackendPool::stateOf(const BackendServerId& id)
{
    const auto it = m_servers.find(id);
    PERIDOT_ASSERT(it != m_servers.end(), "requests run on known servers: " + id.value());
    return *it->second;
}

std::size_t BackendPool::stayingCount() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [](const auto& entry) { return entry.second->isStaying(); }));
}

std::size_t BackendPool::ejectedCount(TimePoint now) const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(),
        [now](const auto& entry) { return entry.second->isStaying() && entry.second->isEjected(now); }));
}

void BackendPool::tryToEject(TimePoint now, BackendServerState& server)
{
    if (!server.isStaying() || server.isEjected(now)
        || !server.shouldEject(m_options, meanShedShare(now) > poolSheddingShare))
        return;
    if (ejectedCount(now) + 1 > stayingCount() / 3)
        return;
    server.eject(now, m_options, randomUnit(m_random));
}

void BackendPool::restoreExcessEjections(TimePoint now)
{
    // Servers left, so that the ejected ones are now more than a third: those whose time is nearly over come back.
    while (ejectedCount(now) > stayingCount() / 3) {
        BackendServerState* next = nullptr;
        for (const auto& [id, server] : m_servers) {
            if (server->isStaying() && server->isEjected(now)
                && (!next || server->ejectedUntil() < next->ejectedUntil()))
                next = server.get();
        }
        next->restore(now);
    }
}

double BackendPool::fairShare(TimePoint now) const
{
    return static_cast<double>(usableSlots(now)) / static_cast<double>(m_instances.size());
}

double BackendPool::meanForeignLoad(TimePoint now) const
{
    double load = 0;
    double weights = 0;
    for (const auto& [id, server] : m_servers) {
        if (!server->isStaying())
            continue;
        const auto weight = server->reportWeight(now, m_options);
        load += weight * server->reportedForeignLoad() / server->slots();
        weights += weight;
    }
    return weights > 0 ? load / weights : 0;
}

double BackendPool::meanShedShare(TimePoint now) const
{
    double sum = 0;
    for (const auto& [id, server] : m_servers)
        sum += server->isStaying() ? server->shedShare(now) : 0;
    return sum / static_cast<double>(std::max<std::size_t>(1, stayingCount()));
}

std::uint32_t BackendPool::usableSlots(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, server] : m_servers)
        sum += server->isStaying() && !server->isEjected(now) ? server->slots() : 0;
    return sum;
}

std::vector<BackendPool::ServerView> BackendPool::servers(TimePoint now) const
{
    std::vector<ServerView> views;
    views.reserve(m_servers.size());
    const auto meanLoad = meanForeignLoad(now);
    for (const auto& [id, server] : m_servers) {
        views.push_back({ id, server->inFlight(), server->concurrencyLimit(), server->connectionLimit(),
            server->trust(), server->estimatedLoad(now, meanLoad, m_options), !server->isStaying(),
            server->isEjected(now), server->slowStartShare(now, m_options) });
    }
    return views;
}

}
