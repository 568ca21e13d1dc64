#include "membership/RelayAgent.h"

#include <algorithm>

namespace peridot {

namespace {

    // A digest that answers later than this teaches nothing.
    constexpr Duration longestOpen = std::chrono::seconds { 5 };
    // Longer than any message is late, so that a removed member is not revived by an old heartbeat.
    constexpr Duration memberMemory = std::chrono::seconds { 60 };
    // A removed member that was cut off is met again within this time.
    constexpr Duration probeInterval = std::chrono::seconds { 2 };
    constexpr Duration probeFor = std::chrono::minutes { 70 };
    constexpr Duration shortestPullInterval = std::chrono::milliseconds { 100 };
    // Longer than a round trip between regions. A relay that has not answered for this time, while another one of its
    // domain pulls, has probably been replaced.
    constexpr Duration takeoverSilence = std::chrono::milliseconds { 400 };
    // In an outage of the store, one lost or late attestation must not let the evidence of all lapse. An ordinary one
    // is 0.5 to 1.5 s old: heartbeat interval of the echoed token, plus that of the fellow relay's pull.
    constexpr Duration refreshAge = std::chrono::milliseconds { 1300 };
    constexpr Duration refreshInterval = std::chrono::milliseconds { 150 };
    // Stands for "no statement".
    constexpr Duration noAge = std::chrono::hours { 1 };

}

RelayAgent::RelayAgent(
    const MembershipSettings& settings, const MemberInfo& self, LiveView& view, Evidence& evidence, EventLog& log)
    : m_settings(settings)
    , m_self(self)
    , m_view(view)
    , m_evidence(evidence)
    , m_log(log)
{
}

std::vector<RelayAgent::Send> RelayAgent::tick(const SilentRelays& silent, TimePoint now)
{
    std::vector<Send> sends;
    if (!m_started)
        m_started = now;
    activate(silent, now);
    std::erase_if(m_open, [&](const auto& item) { return now - item.second.sent > longestOpen; });
    std::erase_if(m_members, [&](const auto& item) { return now - item.second.lastHeard > memberMemory; });
    if (!m_activeSince)
        return sends;
    removeSilentMembers(silent, now);
    markSilentDomains(now);
    updateReachability(now);
    concludeStoreState(now);
    // Others learn of a changed list by this relay's pull and then pull it at once.
    if (m_view.known(m_self.failureDomain).version != m_toldVersion)
        hurry(now);
    if (now >= m_nextPulls) {
        m_lastPulls = now;
        m_nextPulls = now + (isOwnDomainReachable() ? m_settings.steadyDigestInterval : m_settings.digestInterval);
        m_toldVersion = m_view.known(m_self.failureDomain).version;
        updateOwnReport(now);
        pullAll(silent, now, sends);
        probeLost(now, sends);
    } else {
        refreshAttestations(now);
        repeatUnanswered(now);
        pullChanged(now, sends);
    }
    m_changed.clear();
    return sends;
}

void RelayAgent::activate(const SilentRelays& silent, TimePoint now)
{
    const auto relays = relaysOf(m_view, m_self.failureDomain, silent);
    const auto it = std::find(relays.begin(), relays.end(), m_self.id);
    const bool isRelay = it != relays.end();
    if (isRelay)
        m_rank = static_cast<std::size_t>(it - relays.begin());
    if (isRelay == isActive())
        return;
    m_log.write(LogLevel::Info,
        LogLine("relay_role").add("self", m_self.id).add("domain", m_self.failureDomain).add("active", isRelay));
    m_peers.clear();
    m_isStoreUnavailable = false;
    m_nextPulls = now;
    if (isRelay)
        m_activeSince = now;
    else
        m_activeSince.reset();
}

void RelayAgent::answered(const InstanceId& id, TimePoint now)
{
    if (const auto it = m_members.find(id); it != m_members.end())
        it->second.lastHeard = now;
}

void RelayAgent::resumed(TimePoint now) { m_resumed = now; }

void RelayAgent::removeSilentMembers(const SilentRelays& silent, TimePoint now)
{
    const auto* own = m_view.findDomain(m_self.failureDomain);
    std::vector<InstanceId> gone;
    for (const auto& [id, info] : own->members) {
        if (id == m_self.id)
            continue;
        auto [it, isNew] = m_members.try_emplace(id);
        if (isNew)
            it->second.lastHeard = silent.contains(id) ? TimePoint {} : now; // Seen in a list only.
        auto heard = std::max({ *m_activeSince, m_resumed, it->second.lastHeard });
        // A relay that does not answer has been silent for longer than this instance has been in its place.
        if (const auto relay = silent.find(id); relay != silent.end())
            heard = std::max({ relay->second, m_resumed, it->second.lastHeard });
        if (now - heard > m_settings.memberSilence)
            gone.push_back(id);
    }
    for (const auto& id : gone) {
        m_lost[id] = Lost { own->members.at(id), now, now + probeInterval };
        m_view.remove(m_self.failureDomain, id, now);
        m_log.write(LogLevel::Info, LogLine("member_removed").add("member", id).add("relay", m_self.id));
    }
}

void RelayAgent::markSilentDomains(TimePoint now)
{
    std::vector<FailureDomainId> silent;
    for (const auto& [id, domain] : m_view.domains()) {
        if (id == m_self.failureDomain || domain.version.isSilent)
            continue;
        auto heard = std::max(*m_activeSince, m_resumed);
        if (const auto& lastAnswer = m_peers[id].lastAnswer)
            heard = std::max(heard, *lastAnswer);
        if (now - heard > m_settings.memberSilence)
            silent.push_back(id);
    }
    for (const auto& id : silent) {
        m_view.setSilent(id, true, now);
        m_log.write(LogLevel::Warning, LogLine("domain_silent").add("domain", id).add("relay", m_self.id));
    }
}

void RelayAgent::updateOwnReport(TimePoint now)
{
    const auto& id = m_self.failureDomain;
    std::optional<ConfigurationVersion> lowest;
    std::map<ServiceId, ServiceLoad> sums;
    std::map<WorkspaceId, double> demandSums;
    std::map<BackendServerId, ServerReport> newestReports;
    for (const auto& [member, info] : m_view.findDomain(id)->members) {
        const auto it = m_members.find(member);
        const auto version = it == m_members.end() ? 0 : it->second.version;
        lowest = std::min(lowest.value_or(version), version);
        if (it == m_members.end())
            continue;
        for (const auto& load : it->second.loads) {
            auto& sum = sums[load.service];
            sum.service = load.service;
            sum.slots += load.slots;
            sum.inFlight += load.inFlight;
            sum.queued += load.queued;
            sum.offered += load.offered;
        }
        for (const auto& demand : it->second.demands)
            demandSums[demand.workspace] += demand.requestsPerSecond;
        for (auto report : it->second.serverReports) {
            report.age += now - it->second.lastHeard;
            const auto [known, isNew] = newestReports.try_emplace(report.server, report);
            if (!isNew && report.age < known->second.age)
                known->second = report;
        }
    }
    std::vector<ServerReport> serverReports;
    serverReports.reserve(newestReports.size());
    for (auto& [server, report] : newestReports)
        serverReports.push_back(std::move(report));
    std::vector<WorkspaceDemand> demands;
    demands.reserve(demandSums.size());
    for (const auto& [workspace, sum] : demandSums)
        demands.push_back({ workspace, sum });
    std::vector<ServiceLoad> loads;
    loads.reserve(sums.size());
    for (auto& [service, sum] : sums)
        loads.push_back(std::move(sum));
    m_view.setReport(id, lowest.value_or(0), std::move(loads), now, std::move(demands), std::move(serverReports));
}

void RelayAgent::pullAll(const SilentRelays& silent, TimePoint now, std::vector<Send>& sends)
{
    for (const auto& [id, domain] : m_view.domains()) {
        auto& peer = m_peers[id];
        const auto target = chooseTarget(id, peer, silent, now);
        if (target != peer.target) {
            peer.target = target;
            peer.unansweredSince.reset();
        }
        const auto it = domain.members.find(target);
        if (it == domain.members.end())
            continue;
        if (!peer.unansweredSince)
            peer.unansweredSince = now;
        pull(id, it->second, false, now, sends);
    }
}

void RelayAgent::pullChanged(TimePoint now, std::vector<Send>& sends)
{
    for (const auto& id : m_changed) {
        const auto peer = m_peers.find(id);
        const auto* domain = m_view.findDomain(id);
        if (peer == m_peers.end() || !domain)
            continue;
        if (const auto it = domain->members.find(peer->second.target); it != domain->members.end())
            pull(id, it->second, false, now, sends);
    }
}

void RelayAgent::refreshAttestations(TimePoint now)
{
    if (isOwnDomainReachable())
        return;
    for (const auto& [id, peer] : m_peers) {
        if (now - peer.lastPull >= refreshInterval && (!peer.attestation || now - peer.attestation->asOf >= refreshAge))
            m_changed.insert(id);
    }
}

void RelayAgent::repeatUnanswered(TimePoint now)
{
    for (const auto& [id, peer] : m_peers) {
        if (!peer.unansweredSince)
            continue;
        if (now - peer.lastPull >= m_settings.digestRetry)
            m_changed.insert(id);
        if (now - *peer.unansweredSince >= m_settings.relaySilence)
            hurry(now); // Another target is chosen with the next pulls.
    }
}

void RelayAgent::probeLost(TimePoint now, std::vector<Send>& sends)
{
    std::erase_if(m_lost, [&](const auto& item) { return now - item.second.since > probeFor; });
    for (auto& [id, lost] : m_lost) {
        if (now < lost.nextProbe)
            continue;
        lost.nextProbe = now + probeInterval;
        pull(m_self.failureDomain, lost.info, true, now, sends);
    }
}

InstanceId RelayAgent::chooseTarget(
    const FailureDomainId& id, Peer& peer, const SilentRelays& silent, TimePoint now) const
{
    const bool isOwn = id == m_self.failureDomain;
    if (!isOwn && peer.unansweredSince && now - *peer.unansweredSince >= m_settings.relaySilence)
        peer.passedOver[peer.target] = now;
    std::erase_if(peer.passedOver, [&](const auto& item) { return now - item.second > longestOpen; });
    if (!isOwn && !peer.passedOver.empty() && !peer.passedOver.contains(peer.target)
        && m_view.findDomain(id)->members.contains(peer.target))
        return peer.target; // Chosen after others had failed; the ranks hold again once those are forgotten.
    auto relays = relaysOf(m_view, id, isOwn ? silent : peer.passedOver);
    if (relays.empty() && !isOwn) {
        peer.passedOver.clear();
        relays = relaysOf(m_view, id);
    }
    if (isOwn)
        std::erase(relays, m_self.id);
    return relays.empty() ? InstanceId {} : relays[std::min(isOwn ? 0 : m_rank, relays.size() - 1)];
}

void RelayAgent::pull(
    const FailureDomainId& id, const MemberInfo& target, bool isProbe, TimePoint now, std::vector<Send>& sends)
{
    DigestPull message;
    message.sender = m_self.id;
    message.region = m_self.region;
    message.failureDomain = m_self.failureDomain;
    message.sequence = m_nextSequence++;
    message.highest = m_highest;
    message.isStoreReachable = isOwnDomainReachable();
    if (id != m_self.failureDomain)
        message.known.push_back(m_view.known(id));
    message.known.push_back(m_view.known(m_self.failureDomain));
    if (id == m_self.failureDomain && !isProbe) {
        // The fellow relay may pull from another relay of that domain and would hear of the change later.
        for (const auto& changed : m_tellFellow)
            message.known.push_back(m_view.known(changed));
        m_tellFellow.clear();
    }
    m_peers[id].lastPull = now;
    m_open.emplace(
        message.sequence, OpenPull { id, now, m_highest.version, message.isStoreReachable, target.id, isProbe });
    sends.push_back({ target.id, target.peerAddress, std::move(message) });
}

HeartbeatReply RelayAgent::receive(const Heartbeat& message, TimePoint now)
{
    if (!m_started)
        m_started = now;
    if (message.sender.failureDomain == m_self.failureDomain)
        recordHeartbeat(message, now);
    if (m_view.domains().size() == 1) {
        // No other domain could hold a version or see a writer that this relay does not.
        m_witnessedVersion = m_highest.version;
        if (isOwnDomainReachable())
            m_reachabilityWitnessed = now;
    }
    HeartbeatReply reply;
    reply.sequence = message.sequence;
    reply.token = static_cast<std::uint64_t>(now.time_since_epoch().count());
    reply.evidence = m_evidence.statement(now);
    reply.highest = m_highest;
    reply.witnessedVersion = m_witnessedVersion;
    reply.lowestVersion = m_view.lowestVersion();
    reply.isReachabilityWitnessed
        = m_reachabilityWitnessed && now - *m_reachabilityWitnessed < Evidence::s_attestationLimit;
    reply.viewHash = m_view.hash();
    if (message.wantsView)
        reply.domains = viewFor(message, now);
    return reply;
}

void RelayAgent::recordHeartbeat(const Heartbeat& message, TimePoint now)
{
    auto& member = m_members[message.sender.id];
    if (member.incarnation == message.sender.incarnation && message.sequence <= member.sequence)
        return; // Repeated or overtaken.
    member.incarnation = message.sender.incarnation;
    member.sequence = message.sequence;
    member.lastHeard = now;
    member.isReachable = message.store.isReachable;
    member.version = message.configurationVersion;
    member.loads = message.loads;
    member.demands = message.demands;
    member.serverReports = message.serverReports;
    member.asOf.reset();
    const TimePoint tokenTime { Duration { static_cast<Duration::rep>(message.replyToken) } };
    if (message.replyToken != 0 && tokenTime >= *m_started && tokenTime <= now) {
        member.asOf = tokenTime;
        if (message.evidence.kind == EvidenceKind::Confirmed)
            m_evidence.learn(message.evidence, tokenTime);
    }
    if (message.highest > m_highest) {
        m_highest = message.highest;
        hurry(now); // A writer may be waiting until other domains know its version.
    }
    if (m_activeSince) {
        m_view.put(message.sender);
        m_lost.erase(message.sender.id);
    }
    updateReachability(now);
}

std::vector<DomainSummary> RelayAgent::viewFor(const Heartbeat& message, TimePoint now)
{
    std::map<FailureDomainId, DomainSummary> summaries;
    if (!message.known.empty()) {
        std::map<FailureDomainId, KnownView> known;
        // A list that this relay has from the platform only must not replace what the member knows.
        for (const auto& [id, domain] : m_view.domains()) {
            if (domain.isConfirmed || id == m_self.failureDomain)
                known[id] = { id, {} };
        }
        for (const auto& item : message.known) {
            if (const auto it = known.find(item.failureDomain); it != known.end())
                it->second = item;
        }
        for (const auto& [id, item] : known) {
            if (m_view.known(id).version != item.version)
                summaries.emplace(id, m_view.changesSince(item));
        }
    } else if (auto changes = m_view.changesSince(message.viewHash)) {
        for (auto& summary : *changes)
            summaries.emplace(summary.failureDomain, std::move(summary));
    }
    if (m_members[message.sender.id].viewReplies++ % m_settings.loadsEvery == 0)
        addRegionLoads(summaries, now);
    std::vector<DomainSummary> result;
    result.reserve(summaries.size());
    for (auto& [id, summary] : summaries)
        result.push_back(std::move(summary));
    return result;
}

void RelayAgent::addRegionLoads(std::map<FailureDomainId, DomainSummary>& summaries, TimePoint now) const
{
    std::set<RegionId> told;
    for (const auto& [id, domain] : m_view.domains()) {
        if (domain.version.isSilent || !domain.reportTime || !told.insert(domain.region).second)
            continue;
        auto report = m_view.report(id, now);
        auto& summary = summaries.try_emplace(id, report).first->second;
        summary.loads = m_view.loads(domain.region);
        summary.demands = m_view.demands(domain.region);
        summary.serverReports = m_view.serverReports(domain.region, now - report.age);
        summary.age = report.age;
    }
}

Digest RelayAgent::receive(const DigestPull& message, const std::string& address, TimePoint now)
{
    heard(message.highest);
    const bool isFellow = message.failureDomain == m_self.failureDomain;
    if (message.isStoreReachable && !isFellow)
        m_heardReachable[message.sender] = now;
    else
        m_heardReachable.erase(message.sender);
    if (!isFellow && !m_view.findDomain(message.failureDomain)) {
        MemberInfo info;
        info.id = message.sender;
        info.region = message.region;
        info.failureDomain = message.failureDomain;
        info.peerAddress = address;
        m_view.put(info);
    }
    if (isFellow)
        meetFellow(message, address, now);
    for (const auto& item : message.known) {
        if (item.failureDomain != m_self.failureDomain && m_view.findDomain(item.failureDomain)
            && item.version.contentHash != m_view.known(item.failureDomain).version.contentHash)
            m_changed.insert(item.failureDomain);
    }
    if (!isFellow)
        followTakeover(message, now);
    const auto known = message.known.empty() ? m_view.known(m_self.failureDomain) : message.known.front();
    auto summary = m_view.changesSince(KnownView { m_self.failureDomain, known.version });
    const auto report = m_view.report(m_self.failureDomain, now);
    summary.region = m_self.region;
    summary.lowestVersion = report.lowestVersion;
    summary.loads = report.loads;
    summary.demands = report.demands;
    summary.serverReports = report.serverReports;
    summary.age = report.age;
    const auto attestation = isFellow ? ownAttestation() : domainAttestation();
    summary.store = attestation ? StoreAttestation { attestation->isReachable, now - attestation->asOf }
                                : StoreAttestation { false, noAge };
    Digest digest;
    digest.sequence = message.sequence;
    digest.evidence = m_evidence.statement(now);
    digest.highest = m_highest;
    digest.isPeerReachable = isPeerReachable(now);
    digest.domains.push_back(std::move(summary));
    return digest;
}

void RelayAgent::followTakeover(const DigestPull& message, TimePoint now)
{
    const auto it = m_peers.find(message.failureDomain);
    if (it == m_peers.end())
        return;
    auto& peer = it->second;
    if (peer.target == message.sender || !peer.unansweredSince || now - *peer.unansweredSince < takeoverSilence)
        return;
    peer.passedOver[peer.target] = now;
    peer.target = message.sender;
    peer.unansweredSince.reset();
    m_changed.insert(message.failureDomain);
}

void RelayAgent::meetFellow(const DigestPull& message, const std::string& address, TimePoint now)
{
    const auto* own = m_view.findDomain(m_self.failureDomain);
    if (!m_activeSince || own->members.contains(message.sender))
        return;
    MemberInfo info;
    info.id = message.sender;
    info.region = m_self.region;
    info.failureDomain = m_self.failureDomain;
    info.peerAddress = address;
    meet(info, now);
}

void RelayAgent::meet(const MemberInfo& info, TimePoint now)
{
    m_members[info.id] = Member {};
    m_members[info.id].lastHeard = now;
    m_view.put(info);
}

void RelayAgent::meetMembersOf(const DomainSummary& summary, TimePoint now)
{
    const auto* own = m_view.findDomain(m_self.failureDomain);
    for (const auto& info : summary.members) {
        // What this relay has removed, its fellow has not removed yet or will be met again by the probes.
        if (!own->members.contains(info.id) && !m_lost.contains(info.id))
            meet(info, now);
    }
}

void RelayAgent::receive(const Digest& message, TimePoint now)
{
    const auto open = m_open.find(message.sequence);
    if (open == m_open.end())
        return;
    const auto pull = open->second;
    m_open.erase(open);
    m_evidence.learn(message.evidence, pull.sent);
    heard(message.highest);
    const bool isFellow = pull.domain == m_self.failureDomain;
    if (isFellow)
        answered(pull.target, now);
    if (const auto lost = m_lost.find(pull.target); lost != m_lost.end() && m_activeSince) {
        meet(lost->second.info, now);
        m_lost.erase(lost);
    }
    if (pull.isProbe)
        return;
    if (!isFellow) {
        m_witnessedVersion = std::max(m_witnessedVersion, pull.highest);
        if (pull.saidReachable)
            m_reachabilityWitnessed = std::max(m_reachabilityWitnessed.value_or(pull.sent), pull.sent);
    }
    auto& peer = m_peers[pull.domain];
    peer.lastAnswer = now;
    peer.unansweredSince.reset();
    if (message.sequence < peer.answered || !m_activeSince)
        return;
    peer.answered = message.sequence;
    for (const auto& summary : message.domains) {
        if (summary.failureDomain != pull.domain)
            continue;
        peer.attestation = Attestation { summary.store.isReachable || message.isPeerReachable,
            pull.sent - withDrift(summary.store.age) };
        if (isFellow) {
            meetMembersOf(summary, now);
            continue;
        }
        const auto before = m_view.known(pull.domain).version;
        m_view.apply(summary, now);
        if (m_view.known(pull.domain).version.contentHash != before.contentHash) {
            m_tellFellow.insert(pull.domain);
            m_changed.insert(m_self.failureDomain);
        }
    }
}

bool RelayAgent::isOwnDomainReachable() const
{
    const auto* own = m_view.findDomain(m_self.failureDomain);
    return own && std::any_of(own->members.begin(), own->members.end(), [&](const auto& item) {
        const auto it = m_members.find(item.first);
        return it != m_members.end() && it->second.isReachable;
    });
}

void RelayAgent::updateReachability(TimePoint now)
{
    // Other domains wait for this news: the end of reachability starts storeUnavailable, its return ends it.
    if (const bool isReachable = isOwnDomainReachable(); isReachable != m_wasReachable) {
        m_wasReachable = isReachable;
        hurry(now);
    }
}

void RelayAgent::hurry(TimePoint now) noexcept
{
    m_nextPulls = std::min(m_nextPulls, std::max(now, m_lastPulls + shortestPullInterval));
}

bool RelayAgent::isPeerReachable(TimePoint now) const
{
    return std::any_of(m_heardReachable.begin(), m_heardReachable.end(),
        [&](const auto& item) { return now - item.second < Evidence::s_attestationLimit; });
}

std::optional<RelayAgent::Attestation> RelayAgent::ownAttestation() const
{
    if (!m_activeSince)
        return std::nullopt;
    const auto* own = m_view.findDomain(m_self.failureDomain);
    std::optional<Attestation> result;
    for (const auto& [id, info] : own->members) {
        const auto it = m_members.find(id);
        if (it == m_members.end() || !it->second.asOf)
            return std::nullopt;
        if (!result)
            result = Attestation { false, *it->second.asOf };
        result->isReachable = result->isReachable || it->second.isReachable;
        result->asOf = std::min(result->asOf, *it->second.asOf);
    }
    return result;
}

std::optional<RelayAgent::Attestation> RelayAgent::domainAttestation() const
{
    auto result = ownAttestation();
    const auto fellow = m_peers.find(m_self.failureDomain);
    if (!result || fellow == m_peers.end() || fellow->second.target.isEmpty())
        return result;
    // The fellow relay may know members that this one cannot hear.
    const auto& other = fellow->second.attestation;
    if (!other)
        return std::nullopt;
    return Attestation { result->isReachable || other->isReachable, std::min(result->asOf, other->asOf) };
}

std::optional<TimePoint> RelayAgent::storeUnavailableAsOf(TimePoint now) const
{
    if (!m_activeSince || !m_view.hasPlatformList() || isPeerReachable(now))
        return std::nullopt;
    std::optional<TimePoint> oldest;
    const auto include = [&](const std::optional<Attestation>& attestation) {
        if (!attestation || attestation->isReachable || now - attestation->asOf >= Evidence::s_attestationLimit)
            return false;
        oldest = std::min(oldest.value_or(attestation->asOf), attestation->asOf);
        return true;
    };
    for (const auto& [id, domain] : m_view.domains()) {
        const auto peer = m_peers.find(id);
        if (id == m_self.failureDomain ? !include(domainAttestation())
                                       : peer == m_peers.end() || !include(peer->second.attestation))
            return std::nullopt;
    }
    return oldest;
}

void RelayAgent::concludeStoreState(TimePoint now)
{
    const auto asOf = storeUnavailableAsOf(now);
    if (asOf)
        m_evidence.storeUnavailable(m_highest.version, *asOf);
    if (asOf.has_value() == m_isStoreUnavailable)
        return;
    m_isStoreUnavailable = asOf.has_value();
    m_log.write(
        LogLevel::Warning, LogLine("store_unavailable").add("relay", m_self.id).add("concluded", m_isStoreUnavailable));
}

}
