// Wires membership, configuration and budgets together and publishes what the request path needs.

#include "ControlPlane.h"

#include "base/Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration listInterval = std::chrono::milliseconds { 500 };
    constexpr Duration listTimeout = std::chrono::seconds { 2 };
    constexpr Duration loadInterval = std::chrono::milliseconds { 250 };
    // A new version is in force here within one heartbeat as a rule; flipping the state for it would send two view
    // changes to all members with each change of the configuration.
    constexpr Duration unreadyDelay = std::chrono::seconds { 1 };

    std::uint64_t seedOf(const NodeSettings& settings) noexcept
    {
        return settings.randomSeed ^ settings.self.incarnation;
    }

    struct OperatorOutcome {
        std::uint16_t status = 200;
        nlohmann::json body;
    };

    struct ChangeResultVisitor {
        OperatorOutcome operator()(const ChangeAccepted& accepted) const
        {
            return { 200, { { "version", accepted.version } } };
        }

        OperatorOutcome operator()(const ChangeConflict& conflict) const
        {
            return { 409,
                { { "code", "conflict" }, { "field", conflict.field }, { "version", conflict.version },
                    { "operator", conflict.changeId.substr(0, conflict.changeId.find(':')) },
                    { "change", conflict.changeId },
                    { "message",
                        "field " + conflict.field + " was changed in version " + std::to_string(conflict.version) } } };
        }

        OperatorOutcome operator()(const ChangeInvalid& invalid) const
        {
            return { 400, { { "code", "invalid_change" }, { "message", invalid.reason } } };
        }

        OperatorOutcome operator()(const ChangeUnavailable& unavailable) const
        {
            return { 503, { { "code", "unavailable" }, { "applied", "no" }, { "message", unavailable.reason } } };
        }

        OperatorOutcome operator()(const ChangeUnknown& unknown) const
        {
            return { 503, { { "code", "outcome_unknown" }, { "applied", "unknown" }, { "message", unknown.reason } } };
        }
    };

}

bool ServingView::isEvidenceFresh(TimePoint now) const noexcept
{
    return evidenceTime && now - *evidenceTime <= Evidence::s_freshFor;
}

std::optional<Refusal> ServingView::recheck(const AdmittedRequest& request, TimePoint now) const
{
    if (request.key.isEmpty())
        return std::nullopt;
    if (!isEvidenceFresh(now))
        return makeRefusal(RefusalCode::NoContact, RunState::NotRun, std::chrono::seconds { 2 });
    if (configuration->data().withdrawnKeys.contains(request.key))
        return makeRefusal(RefusalCode::WithdrawnKey);
    return std::nullopt;
}

ControlPlane::ControlPlane(const NodeSettings& settings, BudgetHolders& budgets, DecisionHistory& history,
    StoreCallTable& calls, EventLog& log)
    : m_settings(settings)
    , m_budgets(budgets)
    , m_history(history)
    , m_calls(calls)
    , m_log(log)
    , m_membership(MembershipSettings {}, settings.self, seedOf(settings), log)
    , m_reader(ConfigurationReaderSettings {}, log)
    , m_writer(ConfigurationWriterSettings {},
          WritePermission { [this](TimePoint now) { return m_membership.evidence().mayWrite(now); },
              [this](
                  ConfigurationVersion version, TimePoint now) { return m_membership.isKnownToPeers(version, now); } },
          log)
    , m_ledger(settings, m_membership, calls, log)
    , m_published(std::make_shared<ServingView>())
{
}

Actions ControlPlane::tick(TimePoint now)
{
    Actions actions;
    send(m_membership.tick(now), actions);
    m_reader.heard(m_membership.highest().version);
    // Ranking the peers costs more than the rest of a tick, and they are needed only while a version is missing.
    const bool needsPeers = m_reader.highestHeard() > m_reader.version();
    const auto peers = needsPeers ? m_membership.configurationPeers() : std::vector<InstanceId> {};
    take(m_reader.tick(m_membership.pollsStore(now), peers, now), now, actions);
    take(m_writer.tick(now), now, actions);
    auto ledgerActions = m_ledger.tick(now);
    std::move(ledgerActions.begin(), ledgerActions.end(), std::back_inserter(actions));
    m_membership.setLedgerEpoch(m_ledger.epoch(now));
    sendDemands(now, actions);
    pollInstanceList(now, actions);
    updateOwnState(now);
    if (now >= m_nextLoadUpdate) {
        m_nextLoadUpdate = now + loadInterval;
        updateLoads(now);
    }
    if (m_areRoutersStale || m_membership.view().hash() != m_plannedViewHash)
        updateRouters(now);
    publish(now);
    return actions;
}

Actions ControlPlane::receive(const Envelope& envelope, TimePoint now)
{
    Actions actions;
    struct Visitor {
        ControlPlane& self;
        const Envelope& envelope;
        TimePoint now;
        Actions& actions;

        void membership(const MembershipMessage& message)
        {
            self.send(self.m_membership.receive(envelope.sender, envelope.senderAddress, message, now), actions);
        }
        void operator()(const Heartbeat& message) { membership(message); }
        void operator()(const HeartbeatReply& message) { membership(message); }
        void operator()(const DigestPull& message) { membership(message); }
        void operator()(const Digest& message) { membership(message); }
        void operator()(const BudgetDemand& message)
        {
            if (auto grant = self.m_ledger.answer(message, now))
                actions.emplace_back(SendMessage { envelope.sender, envelope.senderAddress, std::move(*grant) });
        }
        void operator()(const BudgetGrant& message)
        {
            self.noteLedger(envelope, message);
            if (auto* holder = self.m_budgets.find(message.region))
                holder->accept(message, now);
        }
        void operator()(const ConfigurationPull& message)
        {
            actions.emplace_back(
                SendMessage { envelope.sender, envelope.senderAddress, self.m_reader.answer(message) });
        }
        void operator()(const ConfigurationObject& message)
        {
            self.take(self.m_reader.receive(message, now), now, actions);
        }
        // Tables are followed by instances on the users' platform only.
        void operator()(const TablePull&) { }
        void operator()(const TableChanges&) { }
        void operator()(const ValuePull&) { }
        void operator()(const ValuePart&) { }
    };
    std::visit(Visitor { *this, envelope, now, actions }, envelope.message);
    publish(now);
    return actions;
}

Actions ControlPlane::storeCompleted(const StoreCallTable::Entry& call, const StoreResult& result, TimePoint now)
{
    Actions actions;
    if (result)
        m_membership.storeSucceeded(now);
    switch (call.caller) {
    case StoreCaller::ConfigurationReader:
        take(m_reader.storeCompleted(call.localId, result, now), now, actions);
        break;
    case StoreCaller::ConfigurationWriter:
        take(m_writer.storeCompleted(call.localId, result, now), now, actions);
        break;
    case StoreCaller::LedgerLease:
        actions = m_ledger.leaseCompleted(result, now);
        break;
    case StoreCaller::ShareTable:
        actions = m_ledger.sharesCompleted(result, now);
        break;
    case StoreCaller::LapsedRegions:
        actions = m_ledger.lapsedRegionsCompleted(result, call.start, now);
        break;
    case StoreCaller::InstanceList:
        m_isListCallOpen = false;
        if (const auto* list = result ? std::get_if<InstanceList>(&*result) : nullptr)
            takeInstanceList(*list, now);
        break;
    case StoreCaller::Claims:
        PERIDOT_ASSERT(false, "claims are completed by the request path");
    }
    publish(now);
    return actions;
}

void ControlPlane::send(std::vector<MembershipSend> messages, Actions& actions)
{
    for (auto& message : messages) {
        auto peerMessage = std::visit([](auto& body) { return PeerMessage(std::move(body)); }, message.message);
        actions.emplace_back(SendMessage { message.to, message.address, std::move(peerMessage) });
    }
}

void ControlPlane::take(ConfigurationReader::Output output, TimePoint now, Actions& actions)
{
    for (auto& call : output.calls) {
        actions.emplace_back(
            m_calls.add(StoreCaller::ConfigurationReader, call.id, std::move(call.request), call.timeout, now));
    }
    for (auto& pull : output.pulls) {
        if (const auto* member = m_membership.view().find(pull.to))
            actions.emplace_back(SendMessage { pull.to, member->peerAddress, pull.message });
    }
    if (output.isNewVersion)
        adoptConfiguration(now, actions);
    if (output.read)
        m_membership.headRead(output.read->version, output.read->start, now);
}

void ControlPlane::take(ConfigurationWriter::Output output, TimePoint now, Actions& actions)
{
    for (auto& call : output.calls) {
        actions.emplace_back(
            m_calls.add(StoreCaller::ConfigurationWriter, call.id, std::move(call.request), call.timeout, now));
    }
    for (const auto& outcome : output.outcomes) {
        auto [status, body] = std::visit(ChangeResultVisitor {}, outcome.result);
        m_log.write(LogLevel::Info,
            LogLine("operator_change").add("change", outcome.id).add("status", status).add("result", body.dump()));
        auto waiting = m_answerTo.extract(outcome.id);
        actions.emplace_back(AnswerOperator { waiting.empty() ? outcome.id : waiting.mapped(), status, body.dump() });
    }
    if (m_writer.highestVersion() > m_membership.highest().version)
        m_membership.heard(StorePosition { m_writer.highestVersion() });
    if (m_writer.newest() && m_reader.adopt(m_writer.newest()))
        adoptConfiguration(now, actions);
}

void ControlPlane::adoptConfiguration(TimePoint now, Actions& actions)
{
    auto configuration = m_reader.inForce();
    const auto previous = m_published.load()->configuration;
    PERIDOT_ASSERT(!previous || previous->version() < configuration->version(), "the configuration never goes back");
    m_log.write(LogLevel::Info,
        LogLine("configuration_in_force")
            .add("version", configuration->version())
            .add("change", configuration->changeId()));
    if (previous) {
        for (const auto& id : configuration->data().withdrawnKeys) {
            if (!previous->data().withdrawnKeys.contains(id))
                actions.emplace_back(CloseCallers { id });
        }
    }
    m_membership.adopted(StorePosition { configuration->version() });
    m_ledger.setConfiguration(*configuration, now);
    std::erase_if(m_routers, [&](const auto& it) { return !configuration->hasService(it.first); });
    for (const auto& service : configuration->data().services) {
        if (!m_routers.contains(service)) {
            m_routers[service] = std::make_shared<ServiceRouter>(service, m_settings, m_budgets, m_history,
                seedOf(m_settings) + m_routers.size(), [this](const AdmittedRequest& request, TimePoint at) {
                    return m_published.load()->recheck(request, at);
                });
        }
    }
    m_areRoutersStale = true;
    updateRouters(now);
    publish(now);
}

void ControlPlane::pollInstanceList(TimePoint now, Actions& actions)
{
    if (m_isListCallOpen || now < m_nextListPoll)
        return;
    m_isListCallOpen = true;
    m_nextListPoll = now + listInterval;
    actions.emplace_back(m_calls.add(StoreCaller::InstanceList, 0, ListInstances {}, listTimeout, now));
}

void ControlPlane::takeInstanceList(const InstanceList& list, TimePoint now)
{
    m_instances = list.instances;
    m_membership.applyPlatformList(m_instances, now);
    m_areRoutersStale = true;
}

std::vector<RegionServers> ControlPlane::serversOf(const ServiceId& service) const
{
    std::map<RegionId, RegionServers> regions;
    const auto& configuration = m_reader.inForce();
    for (const auto& instance : m_instances) {
        if (instance.kind != PlatformInstanceKind::BackendServer || instance.service != service)
            continue;
        auto& region = regions[instance.region];
        region.region = instance.region;
        const bool isDrained = configuration && configuration->isDrained(DrainKind::BackendServer, instance.name);
        region.servers.push_back({ BackendServerId(instance.name), instance.address, instance.slots,
            instance.maximumConnections, isDrained || instance.state == PlatformInstanceState::Leaving });
    }
    m_membership.view().forEachLive([&](const MemberInfo& member) {
        if (auto it = regions.find(member.region); it != regions.end() && member.state != InstanceState::Starting)
            it->second.entryInstances.push_back(member.id);
    });
    std::vector<RegionServers> result;
    result.reserve(regions.size());
    for (auto& [id, region] : regions)
        result.push_back(std::move(region));
    return result;
}

void ControlPlane::updateRouters(TimePoint now)
{
    m_areRoutersStale = false;
    m_plannedViewHash = m_membership.view().hash();
    updateLedgers();
    for (const auto& [service, router] : m_routers)
        router->setServers(serversOf(service), now);
    m_plan = LookupPlanner().build(lookupInputs(now));
}

ControlPlane::RegionLoad ControlPlane::regionLoad(const RegionId& region, const ServiceId& service) const
{
    RegionLoad load;
    for (const auto& instance : m_instances) {
        if (instance.kind == PlatformInstanceKind::BackendServer && instance.service == service
            && instance.region == region && instance.state == PlatformInstanceState::Live)
            load.slots += instance.slots;
    }
    for (const auto& reported : m_membership.view().loads(region)) {
        if (reported.service == service) {
            load.inFlight = reported.inFlight;
            load.queued = reported.queued;
        }
    }
    return load;
}

void ControlPlane::updateLoads(TimePoint now)
{
    const auto configuration = m_reader.inForce();
    std::vector<ServiceLoad> own;
    std::vector<RegionCapacity> capacity;
    for (const auto& [service, router] : m_routers) {
        own.push_back(router->load(now));
        const auto mean = router->meanDuration();
        std::vector<SpillRegion> regions;
        for (const auto& region : m_settings.regions) {
            const auto load = regionLoad(region, service);
            SpillRegion state;
            state.region = region;
            state.delay = region == m_settings.self.region ? Duration { 0 } : m_settings.regionDelay;
            state.headroom = load.headroom();
            state.isDrained = configuration->isDrained(DrainKind::Region, region.value());
            if (load.slots > 0) {
                const auto wait = load.queued / load.slots * static_cast<double>(mean.count());
                state.expectedWait = Duration { static_cast<Duration::rep>(wait) };
            }
            if (region == m_settings.self.region)
                capacity.push_back({ service, load.headroom() * load.slots, load.slots, toSeconds(mean) });
            regions.push_back(std::move(state));
        }
        router->setRegions(regions);
    }
    m_membership.setLoads(std::move(own));
    m_ledger.setCapacity(std::move(capacity), m_requestsPerLookup);
    m_plan = LookupPlanner().build(lookupInputs(now));
}

LookupInputs ControlPlane::lookupInputs(TimePoint) const
{
    LookupInputs inputs;
    inputs.localRegion = m_settings.self.region;
    m_membership.view().forEachLive([&](const MemberInfo& member) { inputs.instances.push_back(member); });
    if (const auto configuration = m_reader.inForce()) {
        for (const auto& drain : configuration->data().drains) {
            if (drain.kind == DrainKind::Region)
                inputs.drainedRegions.insert(RegionId(drain.name));
            else if (drain.kind == DrainKind::Instance)
                inputs.drainedInstances.insert(InstanceId(drain.name));
        }
    }
    for (const auto& region : m_settings.regions) {
        for (const auto& [service, router] : m_routers)
            inputs.headroom[{ region, service }] = regionLoad(region, service).headroom();
        for (const auto& other : m_settings.regions) {
            if (other != region)
                inputs.delays[{ region, other }] = m_settings.regionDelay;
        }
    }
    return inputs;
}

const MemberInfo* ControlPlane::findLedger(const RegionId& region) const
{
    auto it = m_ledgers.find(region);
    return it == m_ledgers.end() ? nullptr : &it->second;
}

void ControlPlane::noteLedger(const Envelope& envelope, const BudgetGrant& grant)
{
    auto& holder = m_ledgers[grant.region];
    if (grant.epoch <= holder.ledgerEpoch)
        return;
    holder = {};
    holder.id = envelope.sender;
    holder.region = grant.region;
    holder.peerAddress = envelope.senderAddress;
    holder.ledgerEpoch = grant.epoch;
}

void ControlPlane::updateLedgers()
{
    // A holder that the view doesn't know yet is kept: it has announced itself.
    std::erase_if(m_ledgers, [&](const auto& it) { return !m_membership.view().find(it.second.id); });
    m_membership.view().forEachLive([&](const MemberInfo& member) {
        if (member.ledgerEpoch == 0)
            return;
        auto& holder = m_ledgers[member.region];
        if (member.ledgerEpoch > holder.ledgerEpoch)
            holder = member;
    });
}

std::string ControlPlane::ledgerHolder(const RegionId& region) const
{
    const auto* holder = findLedger(region);
    return holder ? holder->id.value() : std::string();
}

void ControlPlane::sendDemands(TimePoint now, Actions& actions)
{
    for (const auto& [region, holder] : m_budgets.all()) {
        if (!holder->isDemandDue(now))
            continue;
        if (auto demand = holder->nextDemand(now))
            sendDemand(region, *demand, now, actions);
    }
}

void ControlPlane::sendDemand(const RegionId& region, const BudgetDemand& demand, TimePoint now, Actions& actions)
{
    if (region == m_settings.self.region) {
        if (auto grant = m_ledger.answer(demand, now)) {
            m_budgets.find(region)->accept(*grant, now);
            return;
        }
    }
    if (const auto* ledger = findLedger(region); ledger && ledger->id != m_settings.self.id)
        actions.emplace_back(SendMessage { ledger->id, ledger->peerAddress, demand });
}

void ControlPlane::updateOwnState(TimePoint now)
{
    if (m_isLeaving)
        return;
    const auto configuration = m_reader.inForce();
    const bool isReady
        = configuration && m_membership.evidence().isFresh(now) && configuration->version() >= m_reader.highestHeard();
    auto state = InstanceState::Ready;
    if (isReady) {
        m_unreadySince.reset();
    } else {
        if (!m_unreadySince)
            m_unreadySince = now;
        if (m_state == InstanceState::Starting || now - *m_unreadySince > unreadyDelay)
            state = InstanceState::Starting;
    }
    if (state == m_state)
        return;
    m_state = state;
    m_membership.setState(state);
    m_log.write(LogLevel::Info,
        LogLine("instance_state")
            .add("state", enumName(state))
            .add("version", m_reader.version())
            .add("evidence", enumName(m_membership.evidence().kind(now))));
}

void ControlPlane::publish(TimePoint)
{
    const auto previous = m_published.load();
    auto view = std::make_shared<ServingView>();
    view->configuration = m_reader.inForce();
    view->plan = m_plan;
    view->evidenceTime = m_membership.evidence().time();
    view->state = m_state;
    if (previous->configuration == view->configuration && previous->plan == view->plan
        && previous->evidenceTime == view->evidenceTime && previous->state == view->state)
        return;
    view->routers = m_routers;
    m_published.store(std::move(view));
}

Actions ControlPlane::submit(const std::string& answerTo, ChangeRequest request, TimePoint now)
{
    Actions actions;
    m_answerTo[request.id] = answerTo;
    take(m_writer.submit(std::move(request), now), now, actions);
    return actions;
}

Actions ControlPlane::bootstrap(const std::string& id, const std::string& document, TimePoint now)
{
    Actions actions;
    take(m_writer.bootstrap(id, document, now), now, actions);
    return actions;
}

void ControlPlane::leave(TimePoint now)
{
    m_isLeaving = true;
    m_state = InstanceState::Leaving;
    m_membership.setState(InstanceState::Leaving);
    m_ledger.leave(now);
    m_log.write(LogLevel::Info, LogLine("instance_state").add("state", enumName(m_state)));
    publish(now);
}

}
