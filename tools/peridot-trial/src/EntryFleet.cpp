#include "EntryFleet.h"

#include "CallerKeys.h"

#include "base/Assert.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace peridot::trial {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds { 10 };
    constexpr Duration drainPollInterval = std::chrono::milliseconds { 50 };
    // The longest timeout of a request, the time to live of look-ups and the time to give everything back fit in here.
    constexpr Duration longestDrain = std::chrono::seconds { 60 };

    template <typename... Visitors> struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

    bool isFinalAnswerTo(const Action& action, const RequestId& id)
    {
        if (const auto* refuse = std::get_if<RefuseRequest>(&action))
            return refuse->request == id;
        const auto* replay = std::get_if<ReplayResponse>(&action);
        return replay && replay->request == id;
    }

}

RequestId requestId(RequestIndex index) { return RequestId { 'r' + std::to_string(index) }; }

RequestIndex requestIndex(const RequestId& id)
{
    const std::string& text = id.value();
    RequestIndex index = 0;
    const auto [end, ec] = std::from_chars(text.data() + 1, text.data() + text.size(), index);
    if (text.size() < 2 || ec != std::errc {})
        throw std::out_of_range("not a request id of this run: " + text);
    return index;
}

EntryFleet::EntryFleet(const Deployment& deployment, EventLoop& loop, Network& network, Platform& platform,
    BackendFarm& farm, Judge& judge, Mutator& mutator, InstanceFactory factory,
    std::vector<ClientBlockRegions> clientBlocks, std::uint64_t seed)
    : m_deployment(deployment)
    , m_loop(loop)
    , m_network(network)
    , m_platform(platform)
    , m_farm(farm)
    , m_judge(judge)
    , m_mutator(mutator)
    , m_factory(std::move(factory))
    , m_clientBlocks(std::move(clientBlocks))
    , m_seed(seed)
    , m_random(seed, "fleet")
{
    for (std::size_t region = 0; region < deployment.regions.size(); ++region) {
        for (int n = 0; n < deployment.instances[region]; ++n) {
            Process it;
            it.index = m_processes.size();
            it.name = fmt::format("entry-{}-{}", deployment.regions[region], n + 1);
            it.domain = region * domainsPerRegion + static_cast<std::size_t>(n) % domainsPerRegion;
            it.callerAddress = fmt::format("10.1.{}.{}:8443", region, n + 1);
            it.peerAddress = fmt::format("10.1.{}.{}:7400", region, n + 1);
            m_byName[it.name] = it.index;
            m_byPeerAddress[it.peerAddress] = it.index;
            m_processes.push_back(std::move(it));
        }
    }
}

void EntryFleet::start()
{
    for (Process& it : m_processes) {
        PlatformInstance entry;
        entry.kind = PlatformInstanceKind::Entry;
        entry.name = it.name;
        const MemberInfo info = memberInfo(it);
        entry.region = info.region;
        entry.failureDomain = info.failureDomain;
        entry.address = it.callerAddress;
        entry.peerAddress = it.peerAddress;
        m_platform.listNow(entry);
    }
    for (std::size_t n = 0; n < m_processes.size(); ++n) {
        restart(n);
        m_loop.after(m_random.between(Duration { 0 }, tickInterval), [this, n] { tick(n); });
    }
}

std::optional<std::size_t> EntryFleet::find(const InstanceId& id) const
{
    const auto it = m_byName.find(id.value());
    return it == m_byName.end() ? std::nullopt : std::optional { it->second };
}

TimePoint EntryFleet::localNow(const Process& it) const
{
    const auto elapsed = static_cast<double>((m_loop.now() - it.virtualBase).count()) * it.clockRate;
    return TimePoint { it.localBase + Duration { static_cast<Duration::rep>(elapsed) } };
}

MemberInfo EntryFleet::memberInfo(const Process& it) const
{
    MemberInfo info;
    info.id = InstanceId { it.name };
    info.incarnation = it.incarnation;
    info.region = RegionId { m_deployment.regions[it.region()] };
    info.failureDomain
        = FailureDomainId { fmt::format("{}-{}", m_deployment.regions[it.region()], it.domain % domainsPerRegion + 1) };
    info.callerAddress = it.callerAddress;
    info.peerAddress = it.peerAddress;
    return info;
}

NodeSettings EntryFleet::settings(const Process& it) const
{
    NodeSettings settings;
    settings.deployment = DeploymentId { m_deployment.name };
    settings.self = memberInfo(it);
    for (const std::string& region : m_deployment.regions)
        settings.regions.emplace_back(region);
    settings.clientDelay = m_deployment.clientDelay;
    settings.regionDelay = m_deployment.regionDelay;
    settings.linkMegabitsPerSecond = m_deployment.linkMegabitsPerSecond;
    settings.clientBlocks = m_clientBlocks;
    settings.randomSeed = m_seed * 1000 + it.incarnation;
    return settings;
}

void EntryFleet::list(const Process& it, PlatformInstanceState state)
{
    const MemberInfo info = memberInfo(it);
    PlatformInstance entry;
    entry.kind = PlatformInstanceKind::Entry;
    entry.name = it.name;
    entry.region = info.region;
    entry.failureDomain = info.failureDomain;
    entry.address = it.callerAddress;
    entry.peerAddress = it.peerAddress;
    entry.state = state;
    m_platform.list(entry);
}

void EntryFleet::tick(std::size_t n)
{
    m_loop.after(tickInterval, [this, n] { tick(n); });
    if (const Process& it = m_processes[n]; it.isUp && !it.isPaused)
        run(n, [](SteeringInstance& instance, TimePoint now) { return instance.tick(now); });
}

void EntryFleet::deliver(std::size_t n, std::uint64_t incarnation, std::function<void()> event)
{
    Process& it = m_processes[n];
    if (!it.isUp || it.incarnation != incarnation)
        return;
    if (it.isPaused)
        it.held.push_back(std::move(event));
    else
        event();
}

void EntryFleet::run(std::size_t n, const std::function<Actions(SteeringInstance&, TimePoint)>& call)
{
    Process& it = m_processes[n];
    Actions actions;
    try {
        actions = call(*it.instance, localNow(it));
    } catch (const InvariantViolation& violation) {
        m_judge.assertionFailed(n, violation.what(), m_loop.now());
        kill(n);
        m_loop.after(std::chrono::seconds { 1 }, [this, n] { restart(n); });
        return;
    }
    const std::uint64_t incarnation = it.incarnation;
    for (Action& action : actions) {
        if (!it.isUp || it.incarnation != incarnation)
            return;
        perform(n, action);
    }
}

void EntryFleet::perform(std::size_t n, Action& action)
{
    Process& it = m_processes[n];
    std::visit(Overloaded {
                   [&](SendMessage& message) { send(it, message); },
                   [&](const StoreCall& call) { callStore(it, call); },
                   [&](const DispatchRequest& request) { dispatch(it, request); },
                   [&](RefuseRequest& refuse) {
                       m_mutator.changeRefusal(refuse.refusal);
                       answer(it, requestIndex(refuse.request),
                           { AnswerKind::Refused, refuse.refusal.run, refuse.refusal.code, {} });
                   },
                   [&](ReplayResponse& replay) {
                       m_mutator.changeReplay(replay.response);
                       answer(it, requestIndex(replay.request),
                           { AnswerKind::Replayed, RunState::Unknown, {}, replay.response.body });
                   },
                   // Callers open a connection per request, so there is none to close.
                   [&](const CloseCallers&) {},
                   [&](const ProbeBackendServer& request) { probe(it, request); },
                   [&](const AnswerOperator& reply) { answerOperator(it, reply); },
               },
        action);
}

void EntryFleet::send(Process& from, SendMessage& message)
{
    const auto found = m_byPeerAddress.find(message.address);
    if (found == m_byPeerAddress.end())
        return;
    const std::size_t to = found->second;
    if (from.isolations > 0 || m_processes[to].isolations > 0)
        return;
    m_mutator.changeMessage(message.message);
    auto envelope = std::make_shared<Envelope>(Envelope { DeploymentId { m_deployment.name }, InstanceId { from.name },
        from.incarnation, from.peerAddress, std::move(message.message) });
    for (const Duration delay : m_network.deliveries(from.domain, m_processes[to].domain)) {
        m_loop.after(delay, [this, to, envelope] {
            deliver(to, m_processes[to].incarnation, [this, to, envelope] {
                run(to, [&](SteeringInstance& instance, TimePoint now) { return instance.receive(*envelope, now); });
            });
        });
    }
}

void EntryFleet::callStore(Process& it, const StoreCall& call)
{
    const std::size_t n = it.index;
    m_platform.call(it.domain, it.isolations > 0, call.request, call.timeout,
        [this, n, incarnation = it.incarnation, id = call.id](const StoreResult& result) {
            auto changed = std::make_shared<StoreResult>(result);
            m_mutator.changeStoreResult(*changed);
            deliver(n, incarnation, [this, n, id, changed] {
                run(n, [&](SteeringInstance& instance, TimePoint now) {
                    return instance.storeCompleted(id, *changed, now);
                });
            });
        });
}

void EntryFleet::dispatch(Process& it, const DispatchRequest& request)
{
    const RequestIndex index = requestIndex(request.request);
    auto server = m_farm.find(request.backendServer.value());
    if (!server || !m_judge.hasRequest(index))
        throw std::logic_error("dispatch of an unknown request or to an unknown backend server");
    if (m_mutator.is(Mutation::RouteAway)) {
        while (m_farm.servers()[*server].region() != 0)
            server = *server > 0 ? *server - 1 : m_farm.servers().size() - 1;
    }
    startJob(it, index, *server, request);
    const ClassShape& trafficClass = m_deployment.classes[m_judge.request(index).trafficClass];
    if (m_mutator.is(Mutation::DoubleDispatch) && !trafficClass.isIdempotent) {
        const std::size_t other = (*server + 1) % m_farm.servers().size();
        BackendJob copy;
        copy.request = index;
        m_farm.dispatch(other, it.domain, copy, nullptr);
    }
}

void EntryFleet::startJob(Process& it, RequestIndex index, std::size_t serverIndex, const DispatchRequest& request)
{
    const BackendFarm::Server& server = m_farm.servers()[serverIndex];
    const auto open = it.open.find(index);
    const SentRequest& sent = m_judge.request(index);
    auto job = std::make_shared<Process::JobState>();
    job->seen = { index, server.service, it.region(), server.region(), it.index, it.instance->configurationVersion(),
        open == it.open.end() ? 0 : open->second.what.head.bodyBytes };
    if (server.listedLeavingAt.count() >= 0 && m_loop.now() > server.listedLeavingAt)
        m_judge.dispatchedToLeaving(
            server.name, it.index, std::max(server.listedLeavingAt, it.disturbedAt), m_loop.now());
    m_judge.dispatched(job->seen, m_loop.now());

    BackendJob what;
    what.request = index;
    what.trafficClass = sent.trafficClass;
    what.homeRegion = sent.homeRegion;
    what.isFreshConnection = request.needsFreshConnection;
    what.responseBytes = open == it.open.end() ? 0 : open->second.what.responseBytes;
    const std::size_t n = it.index;
    const std::uint64_t incarnation = it.incarnation;
    job->id = m_farm.dispatch(
        serverIndex, it.domain, what, [this, n, incarnation, index, job](const DispatchOutcome& outcome) {
            jobEnded(n, incarnation, index, job, outcome);
        });
    if (request.timeout.count() > 0) {
        m_loop.after(request.timeout, [this, n, incarnation, index, job] {
            if (job->isOver)
                return;
            m_farm.cancel(job->id);
            DispatchOutcome outcome;
            outcome.kind = DispatchOutcomeKind::TimedOut;
            jobEnded(n, incarnation, index, job, outcome);
        });
    }
    if (open != it.open.end())
        open->second.job = std::move(job);
}

void EntryFleet::jobEnded(std::size_t n, std::uint64_t incarnation, RequestIndex index,
    const std::shared_ptr<Process::JobState>& job, const DispatchOutcome& outcome)
{
    if (job->isOver)
        return;
    job->isOver = true;
    m_judge.undispatched(job->seen, outcome.responseBytes, m_loop.now());
    deliver(n, incarnation, [this, n, index, job, outcome] { finished(n, index, job, outcome); });
}

void EntryFleet::finished(std::size_t n, RequestIndex index, const std::shared_ptr<Process::JobState>& job,
    const DispatchOutcome& plainOutcome)
{
    Process& it = m_processes[n];
    const auto open = it.open.find(index);
    if (open == it.open.end() || open->second.job != job)
        return;
    open->second.job.reset();
    const SentRequest& sent = m_judge.request(index);
    DispatchOutcome outcome = plainOutcome;
    if (outcome.kind == DispatchOutcomeKind::Completed)
        outcome.response
            = { 200, "text/plain", m_deployment.workspaces[sent.workspace].id + '/' + sent.idempotencyKey };
    const RequestId id = requestId(index);
    bool isAnswered = false;
    run(n, [&](SteeringInstance& instance, TimePoint now) {
        Actions actions = instance.finished(id, outcome, now);
        isAnswered = std::any_of(
            actions.begin(), actions.end(), [&](const Action& action) { return isFinalAnswerTo(action, id); });
        return actions;
    });
    const auto still = it.open.find(index);
    if (still == it.open.end() || still->second.job || isAnswered)
        return;
    if (outcome.kind == DispatchOutcomeKind::Completed)
        answer(it, index, { AnswerKind::Completed, RunState::Unknown, {}, {} });
}

void EntryFleet::probe(Process& it, const ProbeBackendServer& request)
{
    const auto server = m_farm.find(request.backendServer.value());
    if (!server)
        return;
    const std::size_t n = it.index;
    m_farm.probe(*server, it.domain,
        [this, n, incarnation = it.incarnation, id = request.backendServer](const ProbeResult& plain) {
            ProbeResult result = plain;
            if (m_mutator.is(Mutation::HideLeaving))
                result.isDraining = false;
            deliver(n, incarnation, [this, n, id, result] {
                run(n, [&](SteeringInstance& instance, TimePoint now) {
                    return instance.probeCompleted(id, result, now);
                });
            });
        });
}

void EntryFleet::answer(Process& it, RequestIndex index, const Answer& answer)
{
    const auto open = it.open.find(index);
    const int copies = m_mutator.answerCopies();
    for (int n = 0; n < copies; ++n) {
        if (m_judge.hasRequest(index))
            m_judge.answered(index, answer, m_loop.now());
    }
    if (open == it.open.end())
        return; // An answer to a request that is over; the judge has counted it.
    const AnswerHandler handler = std::move(open->second.handler);
    it.open.erase(open);
    if (copies > 0)
        handler(index, answer);
}

void EntryFleet::answerOperator(Process& it, const AnswerOperator& reply)
{
    const auto found = it.operatorCalls.find(reply.id);
    if (found == it.operatorCalls.end())
        return;
    const OperatorHandler handler = std::move(found->second.handler);
    it.operatorCalls.erase(found);
    handler(reply);
}

void EntryFleet::lookup(std::size_t n, const LookupQuery& query, LookupHandler handler, const BrokenHandler& broken)
{
    const Process& it = m_processes[n];
    if (!it.isUp) {
        broken();
        return;
    }
    deliver(n, it.incarnation, [this, n, query, handler = std::move(handler)] {
        Process& process = m_processes[n];
        LookupResult result;
        run(n, [&](SteeringInstance& instance, TimePoint now) {
            result = instance.lookup(query, now);
            return Actions {};
        });
        if (auto* response = std::get_if<LookupResponse>(&result); response && m_mutator.is(Mutation::ShiftLookups)) {
            const Process& first = m_processes.front();
            const MemberInfo info = memberInfo(first);
            response->instances = { { info.id, info.region, info.failureDomain, first.callerAddress } };
        }
        if (process.isUp)
            handler(result);
    });
}

RequestIndex EntryFleet::begin(std::size_t n, CallerRequest request, AnswerHandler handler)
{
    Process& it = m_processes[n];
    request.sent.instance = n;
    request.sent.incarnation = it.incarnation;
    const RequestIndex index = m_judge.sent(request.sent);
    request.head.id = requestId(index);
    const bool hasInvalidKey = request.sent.keyUse != KeyUse::Valid;
    if (m_mutator.is(Mutation::ForgeKey) && hasInvalidKey)
        request.head.presentedKeys = { presentedKey(m_judge.accepted().keys.begin()->first) };
    const RequestHead head = request.head;
    it.open.emplace(index, Process::OpenRequest { std::move(request), nullptr, std::move(handler) });
    deliver(n, it.incarnation, [this, n, index, head] {
        if (m_processes[n].open.count(index) == 0)
            return;
        m_judge.begun(index, m_loop.now());
        run(n, [&](SteeringInstance& instance, TimePoint now) { return instance.begin(head, now); });
    });
    return index;
}

void EntryFleet::endJob(const std::shared_ptr<Process::JobState>& job)
{
    if (!job || job->isOver)
        return;
    job->isOver = true;
    m_farm.cancel(job->id);
    m_judge.undispatched(job->seen, 0, m_loop.now());
}

void EntryFleet::callerLeaves(std::size_t n, RequestIndex index)
{
    Process& it = m_processes[n];
    if (it.open.count(index) == 0)
        return;
    m_judge.callerLeft(index);
    deliver(n, it.incarnation, [this, n, index] {
        Process& process = m_processes[n];
        const auto open = process.open.find(index);
        if (open == process.open.end())
            return;
        const auto job = open->second.job;
        process.open.erase(open);
        const RequestId id = requestId(index);
        if (!job) {
            run(n, [&](SteeringInstance& instance, TimePoint now) { return instance.abandoned(id, now); });
            return;
        }
        endJob(job);
        run(n, [&](SteeringInstance& instance, TimePoint now) {
            DispatchOutcome outcome;
            outcome.kind = DispatchOutcomeKind::Cancelled;
            return instance.finished(id, outcome, now);
        });
    });
}

void EntryFleet::operate(
    std::size_t n, const OperatorRequest& request, OperatorHandler handler, const BrokenHandler& broken)
{
    Process& it = m_processes[n];
    if (!it.isUp) {
        broken();
        return;
    }
    if (m_mutator.is(Mutation::ForgeChange) && request.method != "GET") {
        handler({ request.id, 200, "{}" });
        return;
    }
    it.operatorCalls[request.id] = { std::move(handler), broken };
    deliver(n, it.incarnation, [this, n, request] {
        run(n, [&](SteeringInstance& instance, TimePoint now) { return instance.operate(request, now); });
    });
}

void EntryFleet::end(std::size_t n, bool isPlanned)
{
    Process& it = m_processes[n];
    if (!it.isUp)
        return;
    // The deadlines of its requests may have passed during the pause.
    if (it.isPaused)
        m_judge.resumed(n, m_loop.now());
    it.isUp = false;
    it.isPaused = false;
    it.isLeaving = false;
    it.held.clear();
    std::vector<RequestIndex> open;
    for (auto& [index, request] : it.open) {
        open.push_back(index);
        endJob(request.job);
    }
    m_judge.stopped(n, isPlanned, open, m_loop.now());
    unlistIfDown(n, it.incarnation);
    const auto requests = std::exchange(it.open, {});
    const auto operatorCalls = std::exchange(it.operatorCalls, {});
    it.instance.reset();
    for (const auto& [index, request] : requests) {
        const Answer broken { AnswerKind::Broken, RunState::Unknown, {}, {} };
        m_judge.answered(index, broken, m_loop.now());
        request.handler(index, broken);
    }
    for (const auto& [id, call] : operatorCalls)
        call.broken();
}

void EntryFleet::unlistIfDown(std::size_t n, std::uint64_t incarnation)
{
    m_loop.after(deathDetection, [this, n, incarnation] {
        const Process& it = m_processes[n];
        if (!it.isUp && it.incarnation == incarnation)
            m_platform.unlist(it.name);
    });
}

void EntryFleet::kill(std::size_t n) { end(n, false); }

void EntryFleet::restart(std::size_t n)
{
    Process& it = m_processes[n];
    if (it.isUp)
        return;
    ++it.incarnation;
    it.isUp = true;
    it.isPaused = false;
    it.isLeaving = false;
    it.virtualBase = m_loop.now();
    it.localBase = m_random.between(std::chrono::seconds { 1 }, std::chrono::hours { 1000 });
    it.disturbedAt = m_loop.now();
    it.instance = m_factory(settings(it));
    list(it, PlatformInstanceState::Live);
}

void EntryFleet::replaceSecretly(std::size_t n)
{
    Process& it = m_processes[n];
    if (it.isUp)
        it.instance = m_factory(settings(it));
}

void EntryFleet::pause(std::size_t n, Duration length)
{
    Process& it = m_processes[n];
    if (!it.isUp || it.isPaused)
        return;
    it.isPaused = true;
    m_loop.after(length, [this, n, incarnation = it.incarnation] {
        Process& process = m_processes[n];
        if (!process.isUp || process.incarnation != incarnation)
            return;
        process.isPaused = false;
        process.disturbedAt = m_loop.now();
        m_judge.resumed(n, m_loop.now());
        for (const auto& event : std::exchange(process.held, {}))
            deliver(n, incarnation, event);
    });
}

void EntryFleet::setClockRate(std::size_t n, double rate)
{
    Process& it = m_processes[n];
    it.localBase = localNow(it).time_since_epoch();
    it.virtualBase = m_loop.now();
    it.clockRate = rate;
}

void EntryFleet::stopPlanned(std::size_t n, Duration downTime)
{
    Process& it = m_processes[n];
    if (!it.isUp || it.isPaused || it.isLeaving)
        return;
    it.isLeaving = true;
    it.leftAt = m_loop.now();
    list(it, PlatformInstanceState::Leaving);
    run(n, [](SteeringInstance& instance, TimePoint now) { return instance.leave(now); });
    if (!it.isUp)
        return;
    const std::uint64_t incarnation = it.incarnation;
    if (m_mutator.is(Mutation::CutStop)) {
        end(n, true);
        m_loop.after(downTime, [this, n] { restart(n); });
        return;
    }
    waitUntilDrained(n, incarnation, downTime);
}

void EntryFleet::waitUntilDrained(std::size_t n, std::uint64_t incarnation, Duration downTime)
{
    Process& it = m_processes[n];
    if (!it.isUp || it.incarnation != incarnation)
        return;
    const Duration took = m_loop.now() - it.leftAt;
    const bool hasDrained = !it.isPaused && it.instance->hasDrained(localNow(it));
    if (hasDrained) {
        m_judge.drained(n, took, m_loop.now());
        end(n, true);
    } else if (took > longestDrain) {
        m_judge.drainFailed(n, took, m_loop.now());
        end(n, false);
    } else {
        m_loop.after(
            drainPollInterval, [this, n, incarnation, downTime] { waitUntilDrained(n, incarnation, downTime); });
        return;
    }
    m_loop.after(downTime, [this, n] { restart(n); });
}

bool EntryFleet::isDisturbed(const Process& it) const
{
    return it.isPaused || it.isolations > 0 || !m_platform.isReachable(it.region()) || m_platform.isImpaired()
        || m_network.isImpaired();
}

std::string EntryFleet::status(std::size_t n) const
{
    const Process& it = m_processes[n];
    return it.isUp && !it.isPaused ? it.instance->status(localNow(it)) : std::string {};
}

void EntryFleet::sample()
{
    for (Process& it : m_processes) {
        if (!it.isUp)
            continue;
        if (isDisturbed(it))
            it.disturbedAt = m_loop.now();
        if (it.isPaused)
            continue;
        const std::uint64_t version = it.instance->configurationVersion();
        m_judge.versionSeen(it.index, it.incarnation, version, m_loop.now());
        if (m_loop.now() - it.disturbedAt > configurationAllowance)
            m_judge.undisturbedInstance(it.index, version, m_loop.now());
    }
}

}
