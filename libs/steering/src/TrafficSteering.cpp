#include "steering/TrafficSteering.h"

#include "base/Assert.h"
#include "routing/RetryBudget.h"
#include "steering/RateEstimate.h"
#include "steering/SplitSelector.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace peridot {

namespace {

    constexpr double workSmoothing = 0.08; // Weight of the newest response in the expected work times.
    // Work times of a route before its first responses, as shares of its target latency. They leave time for queueing:
    // if they were as long as the target, requests on a new route would be rejected whenever other requests are queued,
    // and the route would never be measured.
    constexpr double initialColdWorkShare = 0.6;
    constexpr double initialWarmWorkShare = 0.3;
    // A larger response exceeds the initial congestion window of TCP, so it takes further round trips between regions.
    constexpr double largeResponseBytes = 14'600;
    // A pass over the queue stops choosing servers after this many requests for which no server has a free slot.
    constexpr std::size_t maximumWaitingPerPass = 24;
    constexpr unsigned maximumPasses = 3; // Instances that are tried for one request.
    // For this long after an instance could not take a request, others are preferred. Its heartbeats tell by then.
    constexpr Duration unableMemory = std::chrono::seconds { 1 };
    constexpr unsigned maximumSends = 4; // Sends of one request, including those that servers refuse.
    // Before this instance ends, requests on routes whose work is expected to take longer are sent all the same unless
    // a response has taken as long: the expectation may rest on none yet.
    constexpr Duration maximumEndReserve = std::chrono::milliseconds { 2'500 };
    constexpr Duration startingRetryAfter = std::chrono::milliseconds { 300 };
    constexpr Duration noServerRetryAfter = std::chrono::milliseconds { 500 };
    // Callers respect a Retry-After of at most the time they have left divided by this number.
    constexpr int retryAfterDivisor = 3;
    // Time over which the send rates are averaged; a few times the work time of one request.
    constexpr Duration rateTimeConstant = std::chrono::milliseconds { 700 };
    constexpr Duration offeredTimeConstant = std::chrono::milliseconds { 1'500 };
    constexpr double initialQueueRatePerSecond = 20; // Initial value, replaced as sends are measured.
    constexpr double initialLateRatePerSecond = 5;
    constexpr double minimumRatePerSecond = 0.5;
    // Share of a cold server's rate that is used. It is below 1 because instances count their sends independently.
    constexpr double coldRateShare = 0.8;
    // Share of the possible senders, because instances may differ about who lives and send at the same time.
    constexpr double coldSenderShare = 0.6;

    template <typename T> std::size_t countHomed(const std::vector<T>& items)
    {
        return static_cast<std::size_t>(
            std::count_if(items.begin(), items.end(), [](const T& it) { return !it.homeRegions.empty(); }));
    }

    std::string joinRegions(const std::vector<RegionId>* regions)
    {
        std::string text;
        if (!regions)
            return text;
        for (const auto& region : *regions)
            text += (text.empty() ? "" : ",") + region.value();
        return text;
    }

}

void LatencyHistogram::add(Duration duration) noexcept
{
    const auto it = std::lower_bound(s_bounds.begin(), s_bounds.end(), duration);
    ++counts[static_cast<std::size_t>(it - s_bounds.begin())];
    seconds += toSeconds(duration);
}

/** Expected times of a route's requests at a server, in microseconds, without the network round trip. */
struct TrafficSteering::WorkTimes {
    double cold = 0;
    double warm = 0;
    double mean = 0; // Of all successful sends, warm and cold.
    double longest = 0; // Decaying maximum of the same; 0 before the first response.
    double responseBytes = 0; // Mean size of the bodies of successful responses.

    explicit WorkTimes(Duration target)
        : cold(static_cast<double>(target.count()) * initialColdWorkShare)
        , warm(static_cast<double>(target.count()) * initialWarmWorkShare)
        , mean(warm)
    {
    }
};

struct TrafficSteering::Request {
    RequestHandle handle = 0;
    std::string id;
    std::string host;
    std::string path;
    std::string key;
    std::uint64_t content = 0;
    Admission arrival; // By the configuration of the arrival.
    Admission current; // Follows the configuration in force while the request is not running.
    bool isIdempotent = false; // By both configurations.
    unsigned maximumAttempts = 1; // The smaller number of both configurations.
    Service* service = nullptr;
    std::optional<std::uint64_t> object;
    TimePoint arrived;
    TimePoint answerDeadline; // The earlier of the caller's deadline and the end of the route's timeout.
    TimePoint callerDeadline;
    TimePoint sentAt; // Time of the running send.
    Duration expectedWork { 0 }; // Expected work time of the running send.
    Duration expectedWarmWork { 0 };
    Duration predictedLatency { 0 }; // Expected time to the response, as of when the request was queued or sent.
    std::vector<BackendServerId> excluded; // Servers at which a send of this request has failed.
    bool isPassedOn = false; // Another instance passed it to this one.
    std::vector<InstanceId> passedTo; // Instances to which it was passed.
    bool isAtPeer = false; // At the last one of passedTo.
    std::optional<BackendServerId> runningAt; // Server of the running send.
    WarmReason warmReason = WarmReason::None; // Why the server of the running send may hold the object.
    bool isQueued = false;
    bool isLate = false; // Result of isLate() when the request was last queued or visited in the queue.
    bool isLateAttempt = false; // Result of LateAttemptDetector.
    std::optional<WorkspaceId> countedIn; // The workspace whose quota the request has used.
    unsigned sends = 0;
    unsigned runs = 0; // Sends that may have run.

    const Route& route() const { return *current.route; }
    const WorkspaceQuota* workspace() const { return current.workspace; }
    bool mayRunAgain() const { return runs == 0 || (isIdempotent && runs < maximumAttempts); }
    int rank() const { return workspace() && workspace()->rank ? *workspace()->rank : route().rank; }
    TimePoint targetTime() const { return arrived + route().targetLatency; }
    /** Latest time at which the request can start at a warm server and meet its target latency. Ordering by it also
     *  serves requests of routes with long target latencies in time. */
    TimePoint latestStart() const { return targetTime() - expectedWarmWork; }
};

struct TrafficSteering::Service {
    ServicePool pool;
    RetryBudget retries;
    std::vector<Request*> queue; // Ordered by the last dispatchQueue(); newer requests are at the end.
    // Sends from the queue per second while requests are queued.
    RateEstimate queueRate { rateTimeConstant, initialQueueRatePerSecond };
    RateEstimate sendRate { rateTimeConstant, initialQueueRatePerSecond }; // All sends per second.
    bool hasRejected = false; // A request was rejected since the last tick because no server would be free in time.
    RateEstimate offeredLoad { offeredTimeConstant, 0 }; // Work of arriving requests, in seconds per second.
    RateEstimate largeLoad { offeredTimeConstant, 0 }; // The part with large responses that may run in any region.
    std::map<RegionId, RateEstimate> boundLoads; // The part of offeredLoad that may run in one region only.
    // Sends of late requests per second while late requests are queued.
    RateEstimate lateRate { rateTimeConstant, initialLateRatePerSecond };

    Service(const SteeringOptions& options, std::uint64_t seed)
        : pool(options.region, options.pool, seed)
        , retries({ options.bounds.retryShare, options.bounds.retrySlack, options.retryWindow })
    {
    }
};

TrafficSteering::TrafficSteering(SteeringOptions options, std::uint64_t seed, EventLog& log)
    : m_options(std::move(options))
    , m_log(log)
    , m_seed(seed)
    , m_division(std::make_shared<RateDivision>(m_options.instance, m_instances))
    , m_knowledge(m_options.knowledge)
    , m_quotas(seed)
    , m_crashes(m_options.crashes, seed)
    , m_suspicions(m_options.suspicions)
    , m_reach(m_options.reach)
    , m_random(seed)
    , m_split(std::make_unique<SplitSelector>())
{
}

TrafficSteering::~TrafficSteering() = default;

TrafficSteering::Service& TrafficSteering::service(const ServiceId& id)
{
    auto& entry = m_services[id];
    if (!entry) {
        entry = std::make_unique<Service>(m_options, m_seed + XXH3_64bits(id.value().data(), id.value().size()));
        entry->pool.setRateDivision(m_division);
    }
    return *entry;
}

void TrafficSteering::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    if (m_routes && routes->version() <= m_routes->version())
        return;
    m_withdrawsSends = m_routes != nullptr;
    m_log.write(LogLevel::Info,
        LogLine("configuration_in_force")
            .add("version", routes->version())
            .add("previous", m_routes ? m_routes->version() : 0)
            .add("routes", routes->data().routes.size())
            .add("homed_routes", countHomed(routes->data().routes))
            .add("homed_workspaces", countHomed(routes->data().workspaces))
            .add("keys", routes->data().keys.size()));
    m_routes = std::move(routes);
    m_quotas.configure(m_routes->data().workspaces);
    configureServices();
}

void TrafficSteering::setServers(const std::vector<ListedServer>& servers, TimePoint now)
{
    std::map<ServiceId, std::vector<ListedServer>> byService;
    for (const auto& server : servers)
        byService[server.service].push_back(server);
    for (const auto& [id, listed] : byService)
        service(id);
    for (const auto& [id, entry] : m_services)
        entry->pool.setServers(byService[id], now);
    m_suspicions.listed(servers);
    observeConfirmedCrashes(now);
    configureServices();
}

void TrafficSteering::setEvacuated(const std::set<FailureDomainId>& domains)
{
    m_evacuated = domains;
    m_withdrawsSends = true;
    configureServices();
}

void TrafficSteering::setBounds(const SteeringBounds& bounds)
{
    m_options.bounds = bounds;
    configureServices();
}

void TrafficSteering::setInstances(std::vector<EntryInstance> instances)
{
    if (instances == m_instances)
        return;
    m_instances = std::move(instances);
    const auto local = std::count_if(m_instances.begin(), m_instances.end(),
        [this](const auto& it) { return it.isLive && it.region == m_options.region; });
    m_localInstances = std::max<std::size_t>(static_cast<std::size_t>(local), 1);
    const auto division = std::make_shared<const RateDivision>(m_options.instance, m_instances);
    for (const auto& [id, entry] : m_services)
        entry->pool.setRateDivision(division);
    m_division = division;
    configureServices();
}

std::vector<LocalServiceLoad> TrafficSteering::localLoads(TimePoint now) const
{
    std::vector<LocalServiceLoad> result;
    for (const auto& [id, entry] : m_services) {
        const auto slots = entry->pool.localSlots();
        result.push_back({ id, static_cast<std::uint32_t>(std::lround(slots)), entry->pool.localOccupancy(now) * slots,
            static_cast<std::uint32_t>(entry->queue.size()), entry->offeredLoad.perSecond() });
    }
    return result;
}

void TrafficSteering::setOfferedLoad(const ServiceId& id, std::map<RegionId, double> offered)
{
    const auto it = m_services.find(id);
    if (it == m_services.end())
        return;
    auto& service = *it->second;
    OfferedLoad load { std::move(offered), {}, 0 };
    if (const auto all = service.offeredLoad.perSecond(); all > 0) {
        auto free = all;
        for (const auto& [region, bound] : service.boundLoads) {
            load.boundShares[region] = bound.perSecond() / all;
            free -= bound.perSecond();
        }
        load.largeShare = free > 0 ? std::min(1.0, service.largeLoad.perSecond() / free) : 0;
    }
    service.pool.setOfferedLoad(std::move(load));
}

void TrafficSteering::configureServices()
{
    m_outflow.setMaximumShiftShare(m_options.bounds.maximumShiftShare);
    for (const auto& [id, entry] : m_services) {
        const auto* description = m_routes ? m_routes->service(id) : nullptr;
        if (description)
            applyColdRate(entry->pool, description->coldRequestsPerSecond);
        entry->pool.setEvacuated(m_evacuated);
        entry->pool.setMaximumShiftShare(m_options.bounds.maximumShiftShare);
        entry->pool.setLimitBound(m_options.bounds.limit);
        entry->retries.setLimits(m_options.bounds.retryShare,
            m_options.bounds.retrySlack / static_cast<double>(std::max<std::size_t>(m_instances.size(), 1)));
    }
}

/** Each instance that sends to a cold server may have one request ready in addition to its part of the rate, so that
 * the room that the limit leaves beyond the rate bounds their number. */
void TrafficSteering::applyColdRate(ServicePool& pool, double perSecond) const
{
    const auto rate = perSecond * coldRateShare;
    const auto& bounds = m_options.bounds;
    const auto senders = std::max(1.0, (perSecond * bounds.coldOverage + bounds.coldSlack - rate) * coldSenderShare);
    pool.setColdRate(rate, senders);
}

SteeringActions TrafficSteering::begin(RequestHandle handle, const CallerRequest& caller, TimePoint now)
{
    SteeringActions actions;
    ++m_counters.begun;
    m_knowledge.eventBegins(now);
    if (m_routes && !m_knowledge.isCurrent(now)) {
        rejectUnrouted(handle, caller, RejectReason::Unconfirmed, m_options.minimumRetryAfter, actions);
        return actions;
    }
    if (!m_routes) {
        rejectUnrouted(handle, caller, RejectReason::Starting, startingRetryAfter, actions);
        return actions;
    }
    const auto admission = admit(caller.host, caller.path, caller.key);
    if (!admission) {
        rejectUnrouted(handle, caller, admission.error(), {}, actions);
        return actions;
    }
    const auto* route = admission->route;
    const auto* workspace = admission->workspace;
    auto request = std::make_unique<Request>();
    auto& it = *request;
    it.handle = handle;
    it.id = caller.id;
    it.host = caller.host;
    it.path = caller.path;
    it.key = caller.key;
    it.content = caller.content;
    it.isPassedOn = caller.passedAfter.has_value();
    it.arrival = it.current = *admission;
    it.isIdempotent = route->isIdempotent;
    it.maximumAttempts = route->maximumAttempts;
    const auto waited = caller.passedAfter.value_or(Duration { 0 });
    it.arrived = now - waited;
    it.callerDeadline = caller.remainingTime ? now + *caller.remainingTime : it.arrived + route->timeout;
    it.answerDeadline = std::min(it.arrived + route->timeout, it.callerDeadline);
    if (route->isSticky && !caller.object.empty())
        it.object = XXH3_64bits(caller.object.data(), caller.object.size());
    const auto [entry, isNew] = m_requests.emplace(handle, std::move(request));
    PERIDOT_ASSERT(isNew, "a request handle is used once");
    it.isLateAttempt = caller.remainingTime
        && m_lateAttempts.isLate(route->name, workspace ? workspace->id : WorkspaceId {},
            *caller.remainingTime + waited, route->targetLatency);
    it.service = &service(m_split->select(*route));
    if (tryPass(it, now, actions) || !countInQuota(it, now, actions))
        return actions;
    it.service->retries.requestStarted(now);
    const auto work = workTimes(*route).mean / 1e6;
    it.service->offeredLoad.count(work);
    if (const auto* home = homeRegion(it)) {
        it.service->boundLoads.try_emplace(*home, RateEstimate { offeredTimeConstant, 0 }).first->second.count(work);
    } else if (hasLargeResponses(*route)) {
        it.service->largeLoad.count(work);
    }
    enqueue(it, now, actions);
    return actions;
}

tl::expected<TrafficSteering::Admission, RejectReason> TrafficSteering::admit(
    const std::string& host, const std::string& path, const std::string& key) const
{
    const auto* route = m_routes->find(host, path);
    if (!route)
        return tl::make_unexpected(RejectReason::UnknownRoute);
    const auto* keyHolder = m_routes->workspaceOfKey(key);
    if (route->isOpen || m_routes->data().workspaces.empty())
        return Admission { m_routes, route, nullptr, keyHolder };
    if (!keyHolder)
        return tl::make_unexpected(RejectReason::UnknownKey);
    return Admission { m_routes, route, keyHolder, keyHolder };
}

std::optional<RejectReason> TrafficSteering::followConfiguration(Request& request) const
{
    if (request.current.routes == m_routes)
        return std::nullopt;
    auto admission = admit(request.host, request.path, request.key);
    if (!admission)
        return RejectReason::ConfigurationChanged;
    request.current = std::move(*admission);
    request.isIdempotent = request.isIdempotent && request.route().isIdempotent;
    request.maximumAttempts = std::min(request.maximumAttempts, request.route().maximumAttempts);
    if (!request.mayRunAgain() || !query(request).allowsAnyRegion())
        return RejectReason::ConfigurationChanged;
    return std::nullopt;
}

std::optional<RejectReason> TrafficSteering::reasonNotToSend(Request& request, TimePoint now) const
{
    if (const auto reason = followConfiguration(request))
        return reason;
    if (m_crashes.isIsolated(request.content))
        return RejectReason::EndsServers;
    if (endsBeforeResponse(request, Duration { 0 }, now))
        return RejectReason::Leaving;
    return std::nullopt;
}

bool TrafficSteering::countInQuota(Request& request, TimePoint now, SteeringActions& actions)
{
    const auto* workspace = request.workspace();
    if (!workspace || request.countedIn)
        return true;
    if (auto taken = m_quotas.tryAdmit(workspace->id, now, request.isLateAttempt); !taken) {
        reject(request, RejectReason::RateExceeded, taken.error(), now, actions);
        return false;
    }
    request.countedIn = workspace->id;
    return true;
}

bool TrafficSteering::tryPass(Request& request, TimePoint now, SteeringActions& actions)
{
    if (!m_reach.isDetached() || request.isPassedOn || request.runs > 0 || request.passedTo.size() >= maximumPasses)
        return false;
    const auto* peer = choosePeer(request, now);
    if (!peer)
        return false;
    // The other instance counts the request in the quota.
    if (request.countedIn)
        m_quotas.refund(*std::exchange(request.countedIn, std::nullopt));
    ++m_counters.passed;
    request.passedTo.push_back(peer->id);
    request.isAtPeer = true;
    actions.emplace_back(PassToInstance { request.handle, peer->id, peer->callerAddress,
        std::max(request.callerDeadline - now, Duration { 1'000 }), now - request.arrived, request.isIdempotent });
    if (m_log.isEnabled(LogLevel::Info)) {
        m_log.write(LogLevel::Info,
            LogLine("pass")
                .add("request", request.id)
                .add("route", request.route().name)
                .add("instance", peer->id)
                .add("region", peer->region)
                .add("wait_ms", now - request.arrived));
    }
    return true;
}

/** Prefers the own region, unless more of its instances are unable than are left to take their requests. */
const EntryInstance* TrafficSteering::choosePeer(const Request& request, TimePoint now)
{
    const auto wanted = query(request);
    std::erase_if(m_unableUntil, [now](const auto& it) { return it.second <= now; });
    std::vector<const EntryInstance*> all;
    std::vector<const EntryInstance*> local;
    std::vector<const EntryInstance*> unable; // Not long ago.
    std::size_t localUnable = 1; // This instance.
    for (const auto& it : m_instances) {
        const bool isLocal = it.region == m_options.region;
        if (it.id == m_options.instance)
            continue;
        const bool wasUnable = m_unableUntil.contains(it.id);
        localUnable += isLocal && (it.isDetached || wasUnable) ? 1 : 0;
        const bool isTried
            = std::find(request.passedTo.begin(), request.passedTo.end(), it.id) != request.passedTo.end();
        if (!it.isLive || it.isDetached || it.callerAddress.empty() || isTried || !wanted.allows(it.region))
            continue;
        if (wasUnable) {
            unable.push_back(&it);
            continue;
        }
        all.push_back(&it);
        if (isLocal)
            local.push_back(&it);
    }
    const auto& candidates = local.size() >= localUnable ? local : all.empty() ? unable : all;
    return candidates.empty() ? nullptr : candidates[m_random() % candidates.size()];
}

void TrafficSteering::passFinished(Request& request, const SendReport& report, TimePoint now, SteeringActions& actions)
{
    request.isAtPeer = false;
    if (report.result == DispatchResult::Succeeded) {
        deliver(request, now, actions);
        return;
    }
    m_log.write(LogLevel::Info,
        LogLine("pass_failed")
            .add("request", request.id)
            .add("instance", request.passedTo.back())
            .add("result", enumName(report.result))
            .add("detail", report.detail));
    const bool isUnable = report.result == DispatchResult::NotSent || report.result == DispatchResult::Shed;
    if (isUnable || report.result == DispatchResult::Withdrawn) {
        if (isUnable)
            m_unableUntil[request.passedTo.back()] = now + unableMemory;
        if (tryPass(request, now, actions))
            return;
        if (countInQuota(request, now, actions))
            enqueue(request, now, actions);
        return;
    }
    // The other instance may have sent it to as many servers as the route allows.
    request.runs = std::max(request.runs, request.maximumAttempts);
    reject(request, RejectReason::ServerFailed, {}, now, actions);
}

void TrafficSteering::beginProbes(bool isUrgent, TimePoint now, SteeringActions& actions)
{
    std::vector<const ListedServer*> servers;
    for (const auto& [id, entry] : m_services)
        entry->pool.addUsableServers(servers);
    std::shuffle(servers.begin(), servers.end(), m_random);
    // Servers of different failure domains first, because those of one domain may fail together.
    std::set<FailureDomainId> domains;
    std::stable_partition(servers.begin(), servers.end(),
        [&](const ListedServer* it) { return domains.insert(it->failureDomain).second; });
    std::stable_partition(servers.begin(), servers.end(),
        [suspected = m_suspicions.addresses()](const ListedServer* it) { return !suspected.contains(it->address); });
    servers.resize(std::min(servers.size(), ServerReach::s_probesPerRound));
    if (servers.empty() && m_suspicions.isEmpty())
        return;
    const auto round = m_reach.beginRound(servers.size(), now);
    for (const auto* server : servers)
        actions.emplace_back(ProbeServer { round, server->address, isUrgent });
    for (auto& address : m_suspicions.beginRound(round, now))
        actions.emplace_back(CheckServer { round, std::move(address) });
}

SteeringActions TrafficSteering::probed(const ProbeServer& probe, ConnectOutcome outcome, TimePoint now)
{
    SteeringActions actions;
    m_knowledge.eventBegins(now);
    m_reach.probed(probe.round, outcome == ConnectOutcome::Connected, now);
    m_suspicions.connectEnded(probe.round, probe.address, outcome, now);
    observeConfirmedCrashes(now);
    followReach(now, actions);
    return actions;
}

void TrafficSteering::checked(const CheckServer& check, ConnectOutcome outcome, TimePoint now)
{
    m_suspicions.connectEnded(check.round, check.address, outcome, now);
    observeConfirmedCrashes(now);
}

void TrafficSteering::followReach(TimePoint now, SteeringActions& actions)
{
    if (std::exchange(m_wasDetached, m_reach.isDetached()) == m_reach.isDetached())
        return;
    m_log.write(LogLevel::Warning,
        LogLine(m_reach.isDetached() ? "detached" : "attached").add("open_requests", m_requests.size()));
    if (!m_reach.isDetached()) {
        for (const auto& [id, entry] : m_services)
            entry->pool.forgetFailures();
        return;
    }
    for (const auto& [id, entry] : m_services) {
        for (auto* request : std::exchange(entry->queue, {})) {
            request->isQueued = false;
            enqueue(*request, now, actions);
        }
    }
    withdrawSends({}, actions);
}

SteeringActions TrafficSteering::sendLost(
    const CrashReport& report, const std::string& address, ConnectOutcome outcome, TimePoint now)
{
    SteeringActions actions;
    // A process that has ended leaves an address that refuses; one that ends now may still accept a connection.
    if (outcome != ConnectOutcome::Refused && outcome != ConnectOutcome::Broken)
        return actions;
    m_suspicions.add(report, address, now);
    // The server may have started again already.
    for (const auto& [id, entry] : m_services) {
        if (const auto* server = entry->pool.find(report.server))
            m_suspicions.listed({ *server });
    }
    observeConfirmedCrashes(now);
    // Where connections are accepted and then broken, one has to last to show that a server is reached.
    if (!m_suspicions.isEmpty() && !m_reach.isProbing())
        beginProbes(outcome == ConnectOutcome::Refused && !m_reach.isDetached(), now, actions);
    return actions;
}

void TrafficSteering::observeConfirmedCrashes(TimePoint now)
{
    for (const auto& report : m_suspicions.takeConfirmed())
        observeCrash(report, now);
}

void TrafficSteering::dropSuspicions(TimePoint now)
{
    for (const auto& [report, reason] : m_suspicions.takeDropped(now)) {
        m_log.write(LogLevel::Info,
            LogLine("crash_report_dropped")
                .add("server", report.server)
                .add("incarnation", report.incarnation)
                .add("content", fmt::format("{:016x}", report.content))
                .add("reason", enumName(reason)));
    }
}

void TrafficSteering::observeCrash(const CrashReport& report, TimePoint now)
{
    m_crashes.observe(report, now);
    m_log.write(LogLevel::Warning,
        LogLine("server_ended")
            .add("server", report.server)
            .add("incarnation", report.incarnation)
            .add("content", fmt::format("{:016x}", report.content))
            .add("isolated", m_crashes.isIsolated(report.content)));
}

std::vector<ServerNotice> TrafficSteering::serverNotices(TimePoint now) const
{
    std::vector<ServerNotice> notices;
    for (const auto& [id, entry] : m_services) {
        for (auto& notice : entry->pool.notices(now))
            notices.push_back(std::move(notice));
    }
    return notices;
}

void TrafficSteering::learn(const std::vector<ServerNotice>& notices, TimePoint now)
{
    for (const auto& notice : notices) {
        ServerStatement statement;
        statement.requestLimit = notice.requestsPerSecond;
        for (const auto& [id, entry] : m_services)
            logChange(notice.server, entry->pool.learn(notice, now), statement, true);
    }
}

void TrafficSteering::logChange(const BackendServerId& server, const StatementChange& change,
    const ServerStatement& statement, bool isFromPeer) const
{
    const auto write
        = [&](LogLine line) { m_log.write(LogLevel::Info, line.add("server", server).add("from_peer", isFromPeer)); };
    if (change.limit)
        write(LogLine("server_limit").add("per_second", *statement.requestLimit));
    if (change.leaving)
        write(LogLine("server_leaving"));
    if (change.pause)
        write(LogLine("server_paused").add("pause_ms", *statement.pause));
    if (change.unreadable)
        m_log.write(LogLevel::Warning, LogLine("server_statement_unreadable").add("server", server));
}

StatedServers TrafficSteering::statedServers() const noexcept
{
    StatedServers sum;
    for (const auto& [id, entry] : m_services) {
        const auto counts = entry->pool.statedServers();
        sum.limited += counts.limited;
        sum.leaving += counts.leaving;
        sum.paused += counts.paused;
    }
    return sum;
}

void TrafficSteering::withdrawSends(const BackendServerId& server, SteeringActions& actions) const
{
    for (const auto& [handle, request] : m_requests) {
        if (request->runningAt && (server.isEmpty() || *request->runningAt == server))
            actions.emplace_back(WithdrawSend { handle });
    }
}

const RegionId* TrafficSteering::homeRegion(const Request& request)
{
    const auto& routeHomes = request.route().homeRegions;
    if (routeHomes.size() == 1)
        return &routeHomes.front();
    const auto* workspace = request.current.keyHolder;
    return workspace && workspace->homeRegions.size() == 1 ? &workspace->homeRegions.front() : nullptr;
}

TrafficSteering::WorkTimes TrafficSteering::workTimes(const Route& route) const
{
    const auto it = m_workTimes.find(route.name);
    return it == m_workTimes.end() ? WorkTimes(route.targetLatency) : it->second;
}

bool TrafficSteering::hasLargeResponses(const Route& route) const
{
    const auto it = m_workTimes.find(route.name);
    return it != m_workTimes.end() && it->second.responseBytes > largeResponseBytes;
}

PoolQuery TrafficSteering::query(const Request& request) const
{
    PoolQuery query;
    query.object = request.object;
    const auto homesOf = [](const WorkspaceQuota* workspace) { return workspace ? &workspace->homeRegions : nullptr; };
    query.homeRegions = { &request.current.route->homeRegions, homesOf(request.current.keyHolder),
        &request.arrival.route->homeRegions, homesOf(request.arrival.keyHolder) };
    query.excluded = request.excluded;
    query.hasLargeResponse = hasLargeResponses(request.route());
    const auto times = workTimes(request.route());
    query.warmWork = Duration { static_cast<Duration::rep>(times.warm) };
    query.coldWork = request.object ? Duration { static_cast<Duration::rep>(times.cold) } : query.warmWork;
    return query;
}

bool TrafficSteering::endsBeforeResponse(const Request& request, Duration wait, TimePoint now) const
{
    if (!m_end)
        return false;
    const auto times = workTimes(request.route());
    const Duration expected { static_cast<Duration::rep>(times.cold) };
    const Duration measured { static_cast<Duration::rep>(times.longest) };
    return now + wait + std::max(std::min(expected, maximumEndReserve), measured) > *m_end;
}

bool TrafficSteering::isLate(const Request& request, TimePoint now) { return now > request.latestStart(); }

void TrafficSteering::enqueue(Request& request, TimePoint now, SteeringActions& actions)
{
    auto& service = *request.service;
    if (!m_knowledge.isCurrent(now)) {
        reject(request, RejectReason::Unconfirmed, m_options.minimumRetryAfter, now, actions);
        return;
    }
    if (const auto reason = reasonNotToSend(request, now)) {
        reject(request, *reason, {}, now, actions);
        return;
    }
    if (tryPass(request, now, actions))
        return;
    // Open connections may live on, so that responses still come.
    if (m_reach.isDetached() && !m_reach.hasResponses(now)) {
        reject(request, RejectReason::Detached, noServerRetryAfter, now, actions);
        return;
    }
    const auto wanted = query(request);
    request.expectedWarmWork = wanted.warmWork;
    const auto choice = service.pool.choose(wanted, now);
    if (!choice.server) {
        reject(request, RejectReason::NoServer, noServerRetryAfter, now, actions);
        return;
    }
    request.predictedLatency = choice.expected;
    const bool isBlocked = isBlockedByOutflow(wanted, now);
    // Queued requests have claimed the servers that they wait for, so a free slot is available to this request.
    if (choice.hasFreeSlot && !isBlocked) {
        send(request, wanted, choice, now, actions);
        return;
    }
    request.isLate = isLate(request, now);
    const auto serverWait
        = choice.hasFreeSlot ? Duration { 0 } : std::max(choice.pausedFor, expectedWait(request, now));
    const auto wait = isBlocked ? std::max(serverWait, expectedOutflowWait(request, now)) : serverWait;
    request.predictedLatency = std::max(choice.expected, wait + request.expectedWarmWork);
    if (!mayWait(request, wait, now)) {
        service.hasRejected = service.hasRejected || !isBlocked;
        const auto reason = endsBeforeResponse(request, wait, now) ? RejectReason::Leaving
            : isBlocked                                            ? RejectReason::ShiftLimited
            : choice.pausedFor > Duration { 0 }                    ? RejectReason::Paused
                                                                   : RejectReason::Overloaded;
        reject(request, reason, wait, now, actions);
        return;
    }
    request.isQueued = true;
    service.queue.push_back(&request);
    dispatchQueue(service, now, actions);
}

/** Estimates the wait from the measured rate at which requests leave the queue. The rate reflects the load of the other
 *  instances. */
Duration TrafficSteering::expectedWait(const Request& request, TimePoint now)
{
    auto& service = *request.service;
    service.queueRate.advance(now, !service.queue.empty());
    const auto ahead = std::count_if(service.queue.begin(), service.queue.end(), [&](const Request* other) {
        return std::tuple(other->isLate, other->rank(), other->latestStart())
            <= std::tuple(request.isLate, request.rank(), request.latestStart());
    });
    service.sendRate.advance(now, true);
    // Without a queue the measured rate is only the demand, which may be lower than the capacity. Therefore the rate is
    // at least this instance's share of the region's slots divided by the work time.
    const auto work = std::max(toSeconds(request.expectedWarmWork), 1e-3);
    const auto fairRate = service.pool.localSlots() / work / static_cast<double>(m_localInstances);
    auto rate = std::max({ service.queueRate.perSecond(), service.sendRate.perSecond(), fairRate });
    if (request.isLate) {
        const auto late = std::count_if(
            service.queue.begin(), service.queue.end(), [](const Request* other) { return other->isLate; });
        service.lateRate.advance(now, late > 0);
        rate = std::min(rate, std::max(service.lateRate.perSecond(), minimumRatePerSecond));
        return fromSeconds(static_cast<double>(late + 1) / rate);
    }
    return fromSeconds(static_cast<double>(ahead + 1) / std::max(rate, minimumRatePerSecond));
}

bool TrafficSteering::mayWait(const Request& request, Duration wait, TimePoint now) const
{
    const auto end = now + wait + request.expectedWarmWork;
    if (request.service->queue.size() >= m_options.queueLimit || endsBeforeResponse(request, wait, now))
        return false;
    if (!request.isLate)
        return end <= request.targetTime()
            + fromSeconds(toSeconds(request.route().targetLatency) * m_options.targetOvershootShare);
    return end <= now + fromSeconds(toSeconds(request.answerDeadline - now) * m_options.lateWaitShare);
}

bool TrafficSteering::isBlockedByOutflow(const PoolQuery& wanted, TimePoint now)
{
    return mustLeaveRegion(wanted) && !m_outflow.hasRoom(now);
}

Duration TrafficSteering::expectedOutflowWait(const Request& request, TimePoint now)
{
    std::size_t ahead = 0;
    for (const auto& [id, entry] : m_services) {
        ahead += static_cast<std::size_t>(std::count_if(entry->queue.begin(), entry->queue.end(),
            [&](const Request* other) { return other != &request && mustLeaveRegion(query(*other)); }));
    }
    return m_outflow.expectedWait(ahead, now);
}

/** Sends queued requests for which a server has a free slot: on-time requests before late ones, then by rank, then by
 *  their latest start. */
void TrafficSteering::dispatchQueue(Service& service, TimePoint now, SteeringActions& actions)
{
    if (service.queue.empty() || !m_knowledge.isCurrent(now))
        return;
    std::vector<std::pair<Request*, RejectReason>> refused;
    for (auto* request : service.queue) {
        if (const auto reason = reasonNotToSend(*request, now))
            refused.emplace_back(request, *reason);
    }
    for (const auto& [request, reason] : refused)
        reject(*request, reason, m_options.minimumRetryAfter, now, actions);
    using Key = std::tuple<bool, int, TimePoint, RequestHandle>;
    std::vector<std::pair<Key, Request*>> order;
    order.reserve(service.queue.size());
    std::vector<Request*> newlyLate;
    bool hasLate = false;
    for (auto* request : service.queue) {
        if (!std::exchange(request->isLate, isLate(*request, now)) && request->isLate)
            newlyLate.push_back(request);
        hasLate = hasLate || request->isLate;
        order.emplace_back(Key { request->isLate, request->rank(), request->latestStart(), request->handle }, request);
    }
    std::sort(order.begin(), order.end());
    service.queueRate.advance(now, true);
    service.lateRate.advance(now, hasLate);
    service.pool.clearClaims();
    service.queue.clear();
    std::size_t waiting = 0;
    std::vector<std::pair<Request*, Duration>> paused; // Requests that can't wait so long for a server.
    for (auto& [key, request] : order) {
        if (waiting >= maximumWaitingPerPass) {
            service.queue.push_back(request);
            continue;
        }
        const auto wanted = query(*request);
        const auto choice = service.pool.choose(wanted, now);
        if (choice.hasFreeSlot && isBlockedByOutflow(wanted, now)) {
            service.queue.push_back(request); // It waits for the outflow limit and claims no server.
            continue;
        }
        if (choice.hasFreeSlot) {
            request->isQueued = false;
            service.queueRate.count();
            if (request->isLate)
                service.lateRate.count();
            send(*request, wanted, choice, now, actions);
            continue;
        }
        ++waiting;
        service.queue.push_back(request);
        if (choice.server)
            service.pool.claim(choice.server->id);
        if (choice.pausedFor > Duration { 0 } && !mayWait(*request, choice.pausedFor, now))
            paused.emplace_back(request, choice.pausedFor);
    }
    for (const auto& [request, pause] : paused) {
        std::erase(newlyLate, request);
        reject(*request, RejectReason::Paused, pause, now, actions);
    }
    // Rejects requests that have just become late and are not expected to be served soon.
    for (auto* request : newlyLate) {
        if (!request->isQueued)
            continue;
        const bool isBlocked = isBlockedByOutflow(query(*request), now);
        const auto wait = isBlocked ? expectedOutflowWait(*request, now) : expectedWait(*request, now);
        if (!mayWait(*request, wait, now))
            reject(*request, isBlocked ? RejectReason::ShiftLimited : RejectReason::Overloaded, wait, now, actions);
    }
}

void TrafficSteering::send(
    Request& request, const PoolQuery& wanted, const PoolChoice& choice, TimePoint now, SteeringActions& actions)
{
    PERIDOT_ASSERT(!request.runningAt, "a request runs at one server at a time");
    PERIDOT_ASSERT(request.runs == 0 || request.isIdempotent, "a request that is not idempotent may run once");
    ++m_counters.sends;
    m_counters.warmSends += choice.isWarm ? 1 : 0;
    m_counters.spills += choice.isSpill ? 1 : 0;
    ++request.sends;
    request.runningAt = choice.server->id;
    request.warmReason = choice.warmReason;
    request.expectedWork = choice.isWarm ? wanted.warmWork : wanted.coldWork;
    request.sentAt = now;
    request.service->sendRate.advance(now, true);
    request.service->sendRate.count();
    request.service->pool.started(choice.server->id, request.object, now);
    m_outflow.count(mustLeaveRegion(wanted), now);
    SendToServer action;
    action.request = request.handle;
    action.server = choice.server->id;
    action.incarnation = choice.server->incarnation;
    action.address = choice.server->address;
    if (request.workspace())
        action.workspace = request.workspace()->id;
    action.remainingTime = std::max(std::min(request.callerDeadline, request.answerDeadline) - now, Duration { 1'000 });
    action.isIdempotent = request.isIdempotent;
    actions.emplace_back(std::move(action));
    if (!m_log.isEnabled(LogLevel::Info))
        return;
    m_log.write(LogLevel::Info,
        LogLine("send")
            .add("request", request.id)
            .add("route", request.route().name)
            .add("workspace", request.workspace() ? request.workspace()->id : WorkspaceId {})
            .add("route_homes", joinRegions(wanted.homeRegions[0]))
            .add("workspace_homes", joinRegions(wanted.homeRegions[1]))
            .add("service", choice.server->service)
            .add("object", request.object.value_or(0))
            .add("server", choice.server->id)
            .add("region", choice.server->region)
            .add("send", request.sends)
            .add("wait_ms", now - request.arrived)
            .add("expected_ms", choice.expected)
            .add("occupancy", choice.occupancy)
            .add("choice", choice.orderIndex)
            .add("warm", choice.isWarm)
            .add("queue", request.service->queue.size())
            .add("version", request.current.routes->version()));
}

void TrafficSteering::observeReach(
    const BackendServerId& server, const Request& request, const SendReport& report, TimePoint now)
{
    switch (report.result) {
    case DispatchResult::Succeeded:
    case DispatchResult::ServerError:
    case DispatchResult::Shed:
    case DispatchResult::WrongServer:
        m_reach.responded(now);
        // A connection that broke may have been accepted by something on the way that does not reach the server.
        if (report.connectTime)
            m_reach.connected(request.sentAt + *report.connectTime);
        break;
    case DispatchResult::NotSent:
    case DispatchResult::Broken:
        m_reach.sendFailed(server, now);
        break;
    case DispatchResult::Cancelled:
    case DispatchResult::Withdrawn:
        break;
    }
}

bool TrafficSteering::recordSendResult(Request& request, const SendReport& report, TimePoint now)
{
    const auto server = *std::exchange(request.runningAt, std::nullopt);
    observeReach(server, request, report, now);
    auto& pool = request.service->pool;
    if (report.connectTime)
        pool.connected(server, *report.connectTime);
    ++m_counters.results[report.result];
    // Only at the object's first choice is a warm run likely enough that a long latency indicates a slow server.
    const bool isSurelyWarm = !request.object || request.warmReason == WarmReason::FirstChoice;
    const auto expected = isSurelyWarm ? request.expectedWork : query(request).coldWork;
    const auto change = pool.stated(server, report.statement, request.sentAt, now);
    logChange(server, change, report.statement, false);
    pool.finished(server, report.result, now - request.sentAt, expected, report.statement.load, now);
    if (report.result == DispatchResult::Succeeded) {
        const auto* info = pool.find(server);
        updateWorkTimes(request, now - request.sentAt - (info ? pool.roundTrip(info->region) : Duration { 0 }),
            report.responseBytes);
    }
    const bool hasNotRun = report.result == DispatchResult::Shed || report.result == DispatchResult::WrongServer
        || report.result == DispatchResult::NotSent || report.result == DispatchResult::Withdrawn;
    if (!hasNotRun)
        ++request.runs;
    if (report.result == DispatchResult::Succeeded || report.result == DispatchResult::ServerError) {
        m_suspicions.completed(request.content);
        m_crashes.completed(request.content);
    }
    if (report.result == DispatchResult::Withdrawn)
        --request.sends;
    else if (report.result != DispatchResult::Succeeded)
        request.excluded.push_back(server);
    return change.hasClosed();
}

void TrafficSteering::updateWorkTimes(Request& request, Duration latency, std::size_t responseBytes)
{
    auto& times = m_workTimes.try_emplace(request.route().name, request.route().targetLatency).first->second;
    // Cold work takes about three times as long as warm work, so their geometric mean separates them.
    const bool wasWarm = !request.object || static_cast<double>(latency.count()) < std::sqrt(times.warm * times.cold);
    if (request.object)
        request.service->pool.observeWarm(request.warmReason, wasWarm);
    auto& value = wasWarm ? times.warm : times.cold;
    value += workSmoothing * (static_cast<double>(std::max(latency, Duration { 1'000 }).count()) - value);
    times.warm = std::min(times.warm, times.cold);
    times.responseBytes += workSmoothing * (static_cast<double>(responseBytes) - times.responseBytes);
    times.longest = std::max(static_cast<double>(latency.count()),
        times.longest + workSmoothing * (static_cast<double>(latency.count()) - times.longest));
    times.mean += workSmoothing * (static_cast<double>(latency.count()) - times.mean);
}

SteeringActions TrafficSteering::finished(RequestHandle handle, const SendReport& report, TimePoint now)
{
    SteeringActions actions;
    m_knowledge.eventBegins(now);
    const auto it = m_requests.find(handle);
    if (it != m_requests.end() && it->second->isAtPeer) {
        passFinished(*it->second, report, now, actions);
        return actions;
    }
    if (it == m_requests.end() || !it->second->runningAt)
        return actions;
    auto& request = *it->second;
    auto& service = *request.service;
    if (report.result != DispatchResult::Succeeded && m_log.isEnabled(LogLevel::Info)) {
        m_log.write(LogLevel::Info,
            LogLine("send_failed")
                .add("request", request.id)
                .add("server", *request.runningAt)
                .add("result", enumName(report.result))
                .add("latency_ms", now - request.sentAt)
                .add("detail", report.detail));
    }
    const auto server = *request.runningAt;
    if (recordSendResult(request, report, now))
        withdrawSends(server, actions);
    followReach(now, actions);
    if (report.result == DispatchResult::Succeeded)
        deliver(request, now, actions);
    else
        retryOrEnd(request, report, now, actions);
    dispatchQueue(service, now, actions);
    return actions;
}

void TrafficSteering::retryOrEnd(Request& request, const SendReport& report, TimePoint now, SteeringActions& actions)
{
    const auto refusal = reasonNotToSend(request, now);
    const bool mayRunAgain = !refusal && request.mayRunAgain();
    const bool hasTime = now + request.expectedWork < request.answerDeadline;
    // The server has received nothing.
    const bool needsNoRetryBudget
        = report.result == DispatchResult::NotSent || report.result == DispatchResult::Withdrawn;
    if (mayRunAgain && hasTime && request.sends < maximumSends
        && (needsNoRetryBudget || request.service->retries.tryRetry(now))) {
        ++m_counters.retries;
        enqueue(request, now, actions);
        return;
    }
    if (report.result == DispatchResult::ServerError) {
        deliver(request, now, actions);
        return;
    }
    if (request.runs == 0)
        reject(request, refusal.value_or(RejectReason::NotExecuted), m_options.minimumRetryAfter, now, actions);
    else
        reject(request, RejectReason::ServerFailed, {}, now, actions);
}

void TrafficSteering::deliver(Request& request, TimePoint now, SteeringActions& actions)
{
    ++m_counters.delivered;
    m_counters.latencies[request.route().targetLatency].add(now - request.arrived);
    actions.emplace_back(DeliverResponse { request.handle });
    if (m_log.isEnabled(LogLevel::Info)) {
        m_log.write(LogLevel::Info,
            LogLine("deliver")
                .add("request", request.id)
                .add("total_ms", now - request.arrived)
                .add("target_ms", request.route().targetLatency)
                .add("sends", request.sends));
    }
    erase(request);
}

Duration TrafficSteering::boundedRetryAfter(Duration wanted, const Request& request, TimePoint now) const
{
    const auto longest = std::min(
        m_options.maximumRetryAfter, std::max(request.callerDeadline - now, Duration { 0 }) / retryAfterDivisor);
    return std::max(std::min(std::max(wanted, m_options.minimumRetryAfter), longest), Duration { 1'000 });
}

void TrafficSteering::reject(
    Request& request, RejectReason reason, Duration retryAfter, TimePoint now, SteeringActions& actions)
{
    const bool reportsNotRun = reason != RejectReason::ServerFailed && reason != RejectReason::TimedOut;
    // A request that may have run is never reported as not run, whatever prevented its retry.
    if (reportsNotRun && request.runs > 0)
        reason = RejectReason::ServerFailed;
    ++m_counters.rejected[reason];
    const bool hasRetryAfter = reportsNotRun && request.runs == 0;
    // Rejections by quota or pause state the exact time, and those of isolated requests the shortest isolation;
    // others state the expected wait, limited to the range that callers respect.
    const bool isExact = reason == RejectReason::RateExceeded || reason == RejectReason::Paused;
    const auto after = !hasRetryAfter         ? Duration { 0 }
        : isExact                             ? std::max(retryAfter, Duration { 1'000 })
        : reason == RejectReason::EndsServers ? m_options.crashes.minimumRetention
        : reason == RejectReason::Leaving     ? leavingRetryAfter
                                              : boundedRetryAfter(retryAfter, request, now);
    actions.emplace_back(RejectRequest { request.handle, reason, after });
    if (m_log.isEnabled(LogLevel::Info)) {
        m_log.write(LogLevel::Info,
            LogLine("reject")
                .add("request", request.id)
                .add("route", request.route().name)
                .add("workspace", request.workspace() ? request.workspace()->id : WorkspaceId {})
                .add("reason", enumName(reason))
                .add("after_ms", now - request.arrived)
                .add("predicted_ms", request.predictedLatency)
                .add("sends", request.sends)
                .add("runs", request.runs)
                .add("retry_after_ms", after)
                .add("version", request.current.routes->version()));
    }
    if (request.countedIn && request.sends == 0)
        m_quotas.refund(*request.countedIn);
    erase(request);
}

void TrafficSteering::rejectUnrouted(RequestHandle handle, const CallerRequest& caller, RejectReason reason,
    Duration retryAfter, SteeringActions& actions)
{
    ++m_counters.rejected[reason];
    actions.emplace_back(RejectRequest { handle, reason, retryAfter });
    m_log.write(LogLevel::Info,
        LogLine("reject")
            .add("request", caller.id)
            .add("host", caller.host)
            .add("path", caller.path)
            .add("reason", enumName(reason))
            .add("version", m_routes ? m_routes->version() : 0));
}

void TrafficSteering::erase(Request& request)
{
    if (request.isQueued)
        std::erase(request.service->queue, &request);
    const auto handle = request.handle;
    m_requests.erase(handle);
}

SteeringActions TrafficSteering::callerDisconnected(RequestHandle handle, TimePoint now)
{
    SteeringActions actions;
    m_knowledge.eventBegins(now);
    const auto it = m_requests.find(handle);
    if (it == m_requests.end())
        return actions;
    auto& request = *it->second;
    auto& service = *request.service;
    ++m_counters.callerDisconnects;
    if (m_log.isEnabled(LogLevel::Info)) {
        m_log.write(LogLevel::Info,
            LogLine("caller_gone")
                .add("request", request.id)
                .add("after_ms", now - request.arrived)
                .add("running", request.runningAt.has_value()));
    }
    if (request.runningAt) {
        actions.emplace_back(CancelSend { handle });
        recordSendResult(request, { DispatchResult::Cancelled, {}, {}, {} }, now);
    } else if (request.isAtPeer) {
        actions.emplace_back(CancelSend { handle });
    } else if (request.countedIn && request.sends == 0) {
        m_quotas.refund(*request.countedIn);
    }
    erase(request);
    dispatchQueue(service, now, actions);
    return actions;
}

SteeringActions TrafficSteering::tick(TimePoint now, const ResponseCheck& mayHaveResponse)
{
    SteeringActions actions;
    m_knowledge.eventBegins(now);
    std::set<BackendServerId> silent;
    for (const auto& [handle, request] : m_requests) {
        if (request->runningAt && now - request->sentAt >= m_reach.silence() && silent.size() < 2)
            silent.insert(*request->runningAt);
    }
    m_reach.observeSilence(silent.size(), now);
    const bool isCheckDue = m_suspicions.isRoundDue(now) || (!m_suspicions.isEmpty() && m_reach.isInDoubt());
    if (m_reach.isRoundDue(now) || (isCheckDue && !m_reach.isProbing()))
        beginProbes(false, now, actions);
    dropSuspicions(now);
    endOverdue(now, mayHaveResponse, actions);
    if (std::exchange(m_withdrawsSends, false))
        withdrawSends({}, actions);
    for (const auto& [id, service] : m_services) {
        service->offeredLoad.advance(now, true);
        service->largeLoad.advance(now, true);
        for (auto& [region, load] : service->boundLoads)
            load.advance(now, true);
        service->pool.tick(now, !service->queue.empty() || std::exchange(service->hasRejected, false));
        dispatchQueue(*service, now, actions);
    }
    return actions;
}

SteeringActions TrafficSteering::endOverdue(TimePoint now, const ResponseCheck& mayHaveResponse)
{
    SteeringActions actions;
    m_knowledge.eventBegins(now);
    endOverdue(now, mayHaveResponse, actions);
    for (const auto& [id, service] : m_services)
        dispatchQueue(*service, now, actions);
    return actions;
}

void TrafficSteering::endOverdue(TimePoint now, const ResponseCheck& mayHaveResponse, SteeringActions& actions)
{
    const bool isAtEnd = m_end && *m_end <= now;
    std::vector<Request*> ended;
    for (const auto& [handle, request] : m_requests) {
        if (!isAtEnd && request->answerDeadline > now)
            continue;
        const bool isSent = request->runningAt || request->isAtPeer;
        if (!isSent || !mayHaveResponse || !mayHaveResponse(handle))
            ended.push_back(request.get());
    }
    for (auto* request : ended) {
        if (request->isAtPeer) {
            actions.emplace_back(CancelSend { request->handle });
            request->isAtPeer = false;
            request->runs = std::max(request->runs, 1U);
            reject(*request, RejectReason::TimedOut, {}, now, actions);
        } else if (request->runningAt) {
            actions.emplace_back(CancelSend { request->handle });
            recordSendResult(*request, { DispatchResult::Cancelled, {}, {}, {} }, now);
            reject(*request, RejectReason::TimedOut, {}, now, actions);
        } else {
            reject(*request, isAtEnd ? RejectReason::Leaving : RejectReason::Expired, m_options.minimumRetryAfter, now,
                actions);
        }
    }
}

}
