// Event loop and the models of callers, instances and servers. Arrivals and service times are drawn before the run, so
// that all policies meet the same requests for one seed.

#include "ServiceSimulation.h"

#include "InstancePolicies.h"
#include "base/Assert.h"

#include <algorithm>
#include <numeric>

namespace peridot {

namespace {

    constexpr double overloadedQueue = 0.5; // Waiting requests per slot.
    constexpr Duration reportLag = std::chrono::seconds(2);
    constexpr Duration coldTime = std::chrono::seconds(5);
    constexpr double coldSlowness = 3;

    Duration quantileOf(const std::vector<Duration>& sorted, double quantile)
    {
        if (sorted.empty())
            return Duration { 0 };
        const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)];
    }

    Duration scaled(Duration duration, double factor)
    {
        return Duration { static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor) };
    }

}

struct ServiceSimulation::Request {
    QueuedRequest queued;
    std::size_t instance = 0;
    Duration service { 0 };
    TimePoint sent;
    bool wasDispatched = false;
    std::vector<BackendServerId> shedBy;
};

struct ServiceSimulation::Server {
    BackendServerInfo info;
    std::size_t index = 0;
    std::uint32_t running = 0;
    std::uint32_t announced = 0; // Sent and not answered; the central queue counts these.
    std::deque<std::shared_ptr<Request>> waiting;
    ReportMode mode = ReportMode::Honest;
    double slowness = 1;
    std::optional<TimePoint> coldSince;
    std::uint64_t sent = 0;
    TimePoint noted;
    double overloadedSeconds = 0;
    std::optional<TimePoint> overloadedSince;
    std::deque<std::pair<TimePoint, LoadReport>> history; // Of true loads, for reports that lag.
    std::optional<LoadReport> frozen;
};

struct ServiceSimulation::Instance {
    Instance(std::uint64_t seed)
        : random(seed)
        , queue({})
        , retries({})
    {
    }

    std::mt19937_64 random;
    std::unique_ptr<InstancePolicy> policy;
    RequestQueue queue;
    RetryBudget retries;
    std::map<RequestId, std::shared_ptr<Request>> waiting;
    std::set<BackendServerId> leaving;
};

Duration SimulationResult::wait(double quantile) const { return quantileOf(waits, quantile); }

Duration SimulationResult::queueWait(const WorkspaceId& id, double quantile) const
{
    const auto it = queueWaits.find(id);
    return it == queueWaits.end() ? Duration { 0 } : quantileOf(it->second, quantile);
}

ServiceSimulation::ServiceSimulation(SimulationOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (std::size_t i = 0; i < m_options.serverCount; ++i)
        addServer(false);
    std::vector<InstanceId> ids;
    const auto count = m_options.policy == PolicyKind::CentralQueue ? 1 : m_options.instanceCount;
    for (std::size_t i = 0; i < count; ++i)
        ids.emplace_back("instance" + std::to_string(i));
    for (std::size_t i = 0; i < count; ++i) {
        auto instance = std::make_unique<Instance>(m_options.seed * 1000 + i);
        instance->policy = makePolicy(m_options.policy, ids, i, instance->random, [this](const BackendServerId& id) {
            const auto it = std::find_if(
                m_servers.begin(), m_servers.end(), [&](const auto& server) { return server->info.id == id; });
            return (*it)->announced < (*it)->info.slots;
        });
        m_instances.push_back(std::move(instance));
    }
    publishList();
}

ServiceSimulation::~ServiceSimulation() = default;

void ServiceSimulation::at(Duration sinceStart, std::function<void()> action)
{
    schedule(m_start + sinceStart, std::move(action));
}

void ServiceSimulation::schedule(TimePoint time, std::function<void()> action)
{
    m_events.push({ time, ++m_sequence, std::move(action) });
}

void ServiceSimulation::addServer(bool isCold)
{
    auto server = std::make_unique<Server>();
    server->index = m_servers.size();
    server->info = { BackendServerId("b" + std::to_string(server->index)), "", m_options.slots, 360, false };
    server->mode = m_options.reportModes[server->index % m_options.reportModes.size()];
    if (isCold)
        server->coldSince = m_now;
    server->noted = m_now;
    m_servers.push_back(std::move(server));
}

void ServiceSimulation::publishList()
{
    std::vector<BackendServerInfo> list;
    list.reserve(m_servers.size());
    for (const auto& server : m_servers)
        list.push_back(server->info);
    for (auto& instance : m_instances) {
        instance->policy->setServers(m_now, list);
        for (const auto& info : list) {
            if (info.isLeaving)
                instance->leaving.insert(info.id);
        }
    }
}

void ServiceSimulation::announceLeaving(std::size_t server)
{
    m_servers[server]->info.isLeaving = true;
    publishList();
}

std::size_t ServiceSimulation::addColdServer()
{
    addServer(true);
    publishList();
    return m_servers.size() - 1;
}

void ServiceSimulation::setReportMode(std::size_t server, ReportMode mode) { m_servers[server]->mode = mode; }

void ServiceSimulation::setSlowness(std::size_t server, double factor) { m_servers[server]->slowness = factor; }

std::size_t ServiceSimulation::serverLoad(std::size_t server) const
{
    return m_servers[server]->running + m_servers[server]->waiting.size();
}

std::vector<std::uint64_t> ServiceSimulation::takeSent()
{
    std::vector<std::uint64_t> result;
    result.reserve(m_servers.size());
    for (auto& server : m_servers)
        result.push_back(std::exchange(server->sent, 0));
    return result;
}

const InstancePolicy& ServiceSimulation::policy(std::size_t instance) const { return *m_instances[instance]->policy; }

void ServiceSimulation::scheduleArrivals()
{
    const auto slots = static_cast<double>(m_options.serverCount * m_options.slots);
    std::exponential_distribution<double> gap(m_options.load * slots / toSeconds(m_options.meanService));
    std::gamma_distribution<double> service(2, toSeconds(m_options.meanService) / 2);
    std::vector<double> shares;
    shares.reserve(m_options.workspaces.size());
    for (const auto& workspace : m_options.workspaces)
        shares.push_back(workspace.share);
    std::discrete_distribution<std::size_t> workspace(shares.begin(), shares.end());
    double seconds = 0;
    for (std::uint64_t i = 0; (seconds += gap(m_random)) < toSeconds(m_options.duration); ++i) {
        auto request = std::make_shared<Request>();
        request->service = Duration { static_cast<std::int64_t>(service(m_random) * 1e6) + 1 };
        request->instance = m_random() % m_options.instanceCount % m_instances.size();
        request->queued.id = RequestId(std::to_string(i));
        request->queued.workspace = m_options.workspaces[workspace(m_random)].id;
        request->queued.target = m_options.target;
        request->queued.expectedDuration = m_options.meanService;
        request->queued.arrived = m_start + Duration { static_cast<std::int64_t>(seconds * 1e6) };
        schedule(request->queued.arrived, [this, request] { arrive(request); });
    }
}

SimulationResult ServiceSimulation::run()
{
    scheduleArrivals();
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        schedule(m_start + m_options.reportInterval * static_cast<int>(i) / static_cast<int>(m_instances.size()),
            [this, i] { reportLoads(i); });
    while (!m_events.empty()) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    double overloaded = 0;
    for (auto& server : m_servers) {
        noteLoad(*server);
        overloaded += server->overloadedSeconds;
    }
    m_result.overloadShare = overloaded / (toSeconds(m_options.duration) * static_cast<double>(m_servers.size()));
    std::sort(m_result.waits.begin(), m_result.waits.end());
    for (auto& [id, waits] : m_result.queueWaits)
        std::sort(waits.begin(), waits.end());
    return std::move(m_result);
}

void ServiceSimulation::arrive(const std::shared_ptr<Request>& request)
{
    auto& instance = *m_instances[request->instance];
    ++m_result.offered;
    instance.retries.requestStarted(m_now);
    const auto id = request->queued.id;
    if (!instance.queue.push(m_now, request->queued))
        ++m_result.refused;
    else
        instance.waiting.emplace(id, request);
    dispatch(request->instance);
}

void ServiceSimulation::dispatch(std::size_t index)
{
    auto& instance = *m_instances[index];
    while (const auto* front = instance.queue.front(m_now)) {
        const auto request = instance.waiting.at(front->id);
        const auto server = instance.policy->choose(m_now, request->shedBy);
        if (!server)
            break;
        instance.queue.pop(m_now);
        instance.waiting.erase(request->queued.id);
        if (!std::exchange(request->wasDispatched, true))
            m_result.queueWaits[request->queued.workspace].push_back(m_now - request->queued.arrived);
        if (instance.leaving.count(*server))
            ++m_result.sentToLeaving;
        send(index, request, std::stoul(server->value().substr(1)));
    }
    for (const auto& removed : instance.queue.removed(m_now)) {
        instance.waiting.erase(removed.request.id);
        ++m_result.refused;
    }
}

void ServiceSimulation::send(std::size_t index, const std::shared_ptr<Request>& request, std::size_t server)
{
    request->sent = m_now;
    ++m_servers[server]->sent;
    ++m_servers[server]->announced;
    m_instances[index]->policy->started(m_now, m_servers[server]->info.id);
    schedule(m_now + m_options.networkDelay, [this, request, server] { receive(request, server); });
}

void ServiceSimulation::receive(std::shared_ptr<Request> request, std::size_t index)
{
    auto& server = *m_servers[index];
    noteLoad(server);
    if (server.running >= server.info.slots
        && static_cast<double>(server.waiting.size()) >= m_options.serverQueue * server.info.slots) {
        ++m_result.sheds;
        schedule(
            m_now + m_options.networkDelay, [this, request, index] { complete(request, index, BackendOutcome::Shed); });
        return;
    }
    server.waiting.push_back(std::move(request));
    startNext(index);
}

void ServiceSimulation::startNext(std::size_t index)
{
    auto& server = *m_servers[index];
    while (server.running < server.info.slots && !server.waiting.empty()) {
        noteLoad(server);
        const auto request = server.waiting.front();
        server.waiting.pop_front();
        ++server.running;
        m_result.waits.push_back(m_now - request->queued.arrived);
        const bool isCold = server.coldSince && m_now < *server.coldSince + coldTime;
        const auto service = scaled(request->service, server.slowness * (isCold ? coldSlowness : 1));
        schedule(m_now + service, [this, request, index] {
            auto& finishing = *m_servers[index];
            noteLoad(finishing);
            --finishing.running;
            startNext(index);
            schedule(m_now + m_options.networkDelay,
                [this, request, index] { complete(request, index, BackendOutcome::Succeeded); });
        });
    }
}

void ServiceSimulation::complete(const std::shared_ptr<Request>& request, std::size_t index, BackendOutcome outcome)
{
    auto& instance = *m_instances[request->instance];
    --m_servers[index]->announced;
    const auto id = m_servers[index]->info.id;
    instance.policy->finished(m_now, id, outcome, m_now - request->sent);
    if (outcome == BackendOutcome::Succeeded) {
        ++m_result.served;
        m_result.servedBy.resize(m_servers.size());
        ++m_result.servedBy[index];
    } else if (instance.retries.tryRetry(m_now)) {
        request->shedBy.push_back(id);
        if (request->shedBy.size() >= m_servers.size())
            request->shedBy.clear();
        instance.queue.putBack(m_now, request->queued);
        instance.waiting.emplace(request->queued.id, request);
    } else {
        ++m_result.lost;
    }
    dispatch(request->instance);
}

void ServiceSimulation::reportLoads(std::size_t index)
{
    for (auto& server : m_servers) {
        const auto report = reportOf(*server);
        schedule(m_now + m_options.networkDelay, [this, index, report, id = server->info.id] {
            m_instances[index]->policy->report(m_now, id, report, m_options.networkDelay);
            dispatch(index);
        });
    }
    if (m_now < m_start + m_options.duration + m_options.target * 3)
        schedule(m_now + m_options.reportInterval, [this, index] { reportLoads(index); });
}

LoadReport ServiceSimulation::reportOf(Server& server) const
{
    const LoadReport truth { server.running, static_cast<std::uint32_t>(server.waiting.size()) };
    server.history.emplace_back(m_now, truth);
    while (server.history.size() > 1 && server.history[1].first <= m_now - reportLag)
        server.history.pop_front();
    switch (server.mode) {
    case ReportMode::Honest:
        return truth;
    case ReportMode::Lagging:
        return server.history.front().second;
    case ReportMode::SaysIdle:
        return {};
    case ReportMode::SaysFull:
        return { server.info.slots, server.info.slots / 2 };
    case ReportMode::Frozen:
        if (!server.frozen && m_now > m_start + std::chrono::seconds(1))
            server.frozen = truth;
        return server.frozen.value_or(truth);
    }
    return truth;
}

void ServiceSimulation::noteLoad(Server& server)
{
    const bool isOverloaded = static_cast<double>(server.waiting.size()) > overloadedQueue * server.info.slots;
    if (isOverloaded)
        server.overloadedSeconds += toSeconds(m_now - server.noted);
    server.noted = m_now;
    if (!isOverloaded)
        server.overloadedSince.reset();
    else if (!server.overloadedSince)
        server.overloadedSince = m_now;
    else
        m_result.longestOverload = std::max(m_result.longestOverload, m_now - *server.overloadedSince);
}

}
