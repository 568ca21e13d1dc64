#include "BackendFarm.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridot::trial {

namespace {

    constexpr int queuedPerSlot = 2; // A server sheds beyond this.
    constexpr double coldFactor = 3; // Service time with a cold cache, relative to a warm one.
    constexpr double warmingPerRequest = 0.03;
    constexpr Duration reportInterval = std::chrono::milliseconds { 500 };
    constexpr Duration connectTimeout = std::chrono::seconds { 1 };
    constexpr Duration leavingTime = std::chrono::seconds { 10 };

    DispatchOutcome outcomeOf(DispatchOutcomeKind kind)
    {
        DispatchOutcome outcome;
        outcome.kind = kind;
        return outcome;
    }

}

BackendFarm::BackendFarm(const Deployment& deployment, EventLoop& loop, Network& network, Platform& platform,
    Judge& judge, std::uint64_t seed)
    : m_deployment(deployment)
    , m_loop(loop)
    , m_network(network)
    , m_platform(platform)
    , m_judge(judge)
    , m_random(seed, "backends")
{
    const std::size_t domains = network.domainCount();
    for (std::size_t service = 0; service < deployment.services.size(); ++service) {
        const ServiceSize& size = deployment.services[service];
        for (int n = 0; n < size.servers; ++n) {
            Server it;
            it.name = fmt::format("{}-{}", size.name, n);
            it.address = fmt::format("10.9.{}.{}:8080", service, n + 1);
            it.service = service;
            it.domain = (static_cast<std::size_t>(n) * domainsPerRegion) % domains
                + (static_cast<std::size_t>(n) / deployment.regions.size()) % domainsPerRegion;
            it.slots = size.slots;
            it.warmth.assign(deployment.regions.size(), 0.0);
            it.warmth[it.region()] = 1;
            m_byName[it.name] = m_servers.size();
            m_servers.push_back(std::move(it));
        }
    }
}

void BackendFarm::start()
{
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        m_platform.listNow(describe(n));
        slotsChanged(m_servers[n]);
    }
    report();
}

PlatformInstance BackendFarm::describe(std::size_t n) const
{
    const Server& it = m_servers[n];
    PlatformInstance entry;
    entry.kind = PlatformInstanceKind::BackendServer;
    entry.name = it.name;
    entry.region = RegionId { m_deployment.regions[it.region()] };
    entry.failureDomain
        = FailureDomainId { fmt::format("{}-{}", m_deployment.regions[it.region()], it.domain % domainsPerRegion + 1) };
    entry.service = ServiceId { m_deployment.services[it.service].name };
    entry.address = it.address;
    entry.slots = static_cast<std::uint32_t>(it.slots);
    entry.maximumConnections = m_deployment.maximumConnections;
    entry.state = it.isLeaving ? PlatformInstanceState::Leaving : PlatformInstanceState::Live;
    return entry;
}

std::optional<std::size_t> BackendFarm::find(const std::string& name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? std::nullopt : std::optional { it->second };
}

int BackendFarm::liveSlots(std::size_t service, std::size_t region) const
{
    int slots = 0;
    for (const Server& it : m_servers) {
        if (it.service == service && it.region() == region && it.isUp && !it.isLeaving)
            slots += it.slots;
    }
    return slots;
}

void BackendFarm::slotsChanged(const Server& it)
{
    m_judge.slotsChanged(it.service, it.region(), liveSlots(it.service, it.region()), m_loop.now());
}

BackendFarm::JobId BackendFarm::dispatch(
    std::size_t server, std::size_t fromDomain, const BackendJob& what, Completion completion)
{
    const JobId id = ++m_lastJob;
    m_jobs.emplace(id, Job { what, server, fromDomain, false, false, std::move(completion) });
    const Server& it = m_servers[server];
    if (!m_network.isConnected(Network::regionOf(fromDomain), it.region())) {
        m_loop.after(connectTimeout, [this, id] { complete(id, outcomeOf(DispatchOutcomeKind::NotSent)); });
        return id;
    }
    Duration delay = m_network.delay(fromDomain, it.domain);
    if (what.isFreshConnection)
        delay += m_deployment.connectionCost + m_network.delay(fromDomain, it.domain) * 2;
    m_loop.after(delay, [this, id] { arrive(id); });
    return id;
}

void BackendFarm::arrive(JobId id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    Job& job = found->second;
    Server& it = m_servers[job.server];
    const Duration back = m_network.delay(it.domain, job.fromDomain);
    if (!it.isUp) {
        m_loop.after(back, [this, id] { complete(id, outcomeOf(DispatchOutcomeKind::NotSent)); });
        return;
    }
    if (it.running < it.slots && !it.shedsAll) {
        run(id);
        return;
    }
    if (!it.shedsAll && static_cast<int>(it.queue.size()) < it.slots * queuedPerSlot) {
        it.queue.push_back(id);
        return;
    }
    m_loop.after(back, [this, id] {
        DispatchOutcome outcome = outcomeOf(DispatchOutcomeKind::Shed);
        outcome.retryAfter = std::chrono::milliseconds { 100 };
        complete(id, outcome);
    });
}

Duration BackendFarm::serviceTime(Server& it, const Job& job)
{
    double& warmth = it.warmth[job.what.homeRegion];
    const double cold = 1 + (coldFactor - 1) * (1 - warmth);
    warmth += (1 - warmth) * warmingPerRequest;
    const double mean = static_cast<double>(m_deployment.services[it.service].meanServiceTime.count());
    return Duration { static_cast<Duration::rep>(mean * m_random.uniform(0.5, 1.5) * cold * it.slowness) };
}

void BackendFarm::run(JobId id)
{
    Job& job = m_jobs.at(id);
    Server& it = m_servers[job.server];
    job.isRunning = true;
    ++it.running;
    m_judge.ran(job.what.request, m_loop.now());
    const VirtualTime startedAt = m_loop.now();
    m_loop.after(serviceTime(it, job), [this, id, startedAt] { finishRun(id, startedAt); });
}

void BackendFarm::finishRun(JobId id, VirtualTime startedAt)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.isRunning)
        return; // The server died.
    const Job job = found->second;
    Server& it = m_servers[job.server];
    --it.running;
    found->second.isRunning = false;
    if (job.isCancelled)
        m_jobs.erase(found);
    startQueued(it);
    if (job.isCancelled)
        return;
    DispatchOutcome outcome;
    outcome.latency = m_loop.now() - startedAt;
    outcome.responseBytes = job.what.responseBytes;
    if (!m_network.isConnected(Network::regionOf(job.fromDomain), it.region()))
        outcome.kind = DispatchOutcomeKind::Failed;
    m_loop.after(m_network.delay(it.domain, job.fromDomain), [this, id, outcome] { complete(id, outcome); });
}

void BackendFarm::startQueued(Server& it)
{
    while (it.running < it.slots && !it.queue.empty()) {
        const JobId next = it.queue.front();
        it.queue.pop_front();
        if (m_jobs.count(next) > 0)
            run(next);
    }
}

void BackendFarm::complete(JobId id, const DispatchOutcome& outcome)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    const Completion completion = std::move(found->second.completion);
    m_jobs.erase(found);
    if (completion)
        completion(outcome);
}

void BackendFarm::cancel(JobId id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    found->second.completion = nullptr;
    if (found->second.isRunning)
        found->second.isCancelled = true; // The server accepts the cancellation, but the slot stays taken to the end.
    else
        m_jobs.erase(found);
}

void BackendFarm::probe(std::size_t server, std::size_t fromDomain, std::function<void(const ProbeResult&)> completion)
{
    const Server& it = m_servers[server];
    const bool isSilent = !it.isUp || it.report == ReportMode::Silent
        || !m_network.isConnected(Network::regionOf(fromDomain), it.region());
    if (isSilent) {
        m_loop.after(connectTimeout, [completion = std::move(completion)] { completion(ProbeResult {}); });
        return;
    }
    ProbeResult result;
    result.isReachable = true;
    result.isHealthy = true;
    result.slots = static_cast<std::uint32_t>(it.slots);
    if (it.report == ReportMode::Lagging) {
        result.isDraining = it.isLeaving;
        result.inFlight = static_cast<std::uint32_t>(it.reportedInFlight);
    }
    const Duration delay = m_network.delay(fromDomain, it.domain) * 2 + m_deployment.probeCost;
    m_loop.after(delay, [completion = std::move(completion), result] { completion(result); });
}

void BackendFarm::report()
{
    for (std::size_t n = 0; n < m_servers.size(); ++n)
        m_servers[n].reportedInFlight = inFlight(n);
    m_loop.after(reportInterval, [this] { report(); });
}

void BackendFarm::kill(std::size_t n)
{
    Server& it = m_servers[n];
    if (!it.isUp)
        return;
    it.isUp = false;
    it.running = 0;
    it.queue.clear();
    slotsChanged(it);
    ++it.deaths;
    m_loop.after(deathDetection, [this, n, deaths = it.deaths] {
        if (const Server& server = m_servers[n]; !server.isUp && server.deaths == deaths)
            m_platform.unlist(server.name);
    });
    std::vector<JobId> broken;
    for (const auto& [id, job] : m_jobs) {
        if (job.server == n)
            broken.push_back(id);
    }
    std::sort(broken.begin(), broken.end());
    for (const JobId id : broken) {
        Job& job = m_jobs.at(id);
        if (!job.completion) {
            m_jobs.erase(id);
            continue;
        }
        job.isRunning = false;
        m_loop.after(m_network.delay(it.domain, job.fromDomain),
            [this, id] { complete(id, outcomeOf(DispatchOutcomeKind::Failed)); });
    }
}

void BackendFarm::revive(std::size_t n)
{
    Server& it = m_servers[n];
    if (it.isUp && !it.isLeaving)
        return;
    it.isUp = true;
    it.isLeaving = false;
    it.listedLeavingAt = VirtualTime { -1 };
    it.report = ReportMode::Lagging;
    it.slowness = 1;
    it.shedsAll = false;
    std::fill(it.warmth.begin(), it.warmth.end(), 0.0);
    slotsChanged(it);
    m_platform.list(describe(n));
}

void BackendFarm::leave(std::size_t n)
{
    Server& it = m_servers[n];
    if (!it.isUp || it.isLeaving)
        return;
    it.isLeaving = true;
    slotsChanged(it);
    it.listedLeavingAt = m_platform.list(describe(n));
    m_loop.at(it.listedLeavingAt + leavingTime, [this, n] { stopWhenIdle(n); });
}

void BackendFarm::stopWhenIdle(std::size_t n)
{
    Server& it = m_servers[n];
    if (!it.isLeaving || !it.isUp)
        return;
    if (inFlight(n) > 0) {
        m_loop.after(std::chrono::milliseconds { 100 }, [this, n] { stopWhenIdle(n); });
        return;
    }
    it.isUp = false;
    m_platform.unlist(it.name);
}

void BackendFarm::setWarmth(std::size_t server, double warmth)
{
    std::fill(m_servers[server].warmth.begin(), m_servers[server].warmth.end(), warmth);
}

}
