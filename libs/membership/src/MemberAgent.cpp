#include "membership/MemberAgent.h"

#include <algorithm>

namespace peridot {

namespace {

    // Answers that are later than this teach nothing: evidence lapses after 4 s.
    constexpr Duration longestOpen = std::chrono::seconds { 5 };
    constexpr Duration shortestInterval = std::chrono::milliseconds { 150 };
    // Evidence that is about to lapse is asked for more often, until it is clear that there is none.
    constexpr Duration hurryAge = std::chrono::milliseconds { 2900 };
    constexpr Duration hurryEnd = std::chrono::seconds { 5 };

}

MemberAgent::MemberAgent(const MembershipSettings& settings, MemberInfo self, LiveView& view, Evidence& evidence,
    const StoreContact& contact, std::uint64_t randomSeed, EventLog& log)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_view(view)
    , m_evidence(evidence)
    , m_contact(contact)
    , m_log(log)
    , m_random(randomSeed)
{
}

std::vector<MemberAgent::Send> MemberAgent::tick(bool wantsView, TimePoint now)
{
    std::vector<Send> sends;
    updateSilence(now);
    if (now < m_next && m_contact.isReachable(now) == m_saidReachable)
        return sends;
    // A jitter of 10% keeps members that started together from sending at the same moments for ever.
    std::uniform_int_distribution<Duration::rep> interval(
        m_settings.heartbeatInterval.count() * 9 / 10, m_settings.heartbeatInterval.count() * 11 / 10);
    m_next = now + Duration { interval(m_random) };
    if (const auto time = m_evidence.time(); time && now - *time > hurryAge && now - *time < hurryEnd)
        m_next = now + shortestInterval;
    m_saidReachable = m_contact.isReachable(now);
    const auto silent = silentRelays();
    m_current = relaysOf(m_view, m_self.failureDomain, silent);
    if (m_current.empty())
        m_current = { m_self.id };
    for (std::size_t i = 0; i < m_current.size(); ++i)
        addSend(m_current[i], wantsView && i == 0, now, sends);
    introduce(now, sends);
    for (const auto& [id, since] : silent) {
        if (auto& relay = m_relays[id]; now >= relay.nextRetry) {
            relay.nextRetry = now + m_settings.relayRetry;
            addSend(id, false, now, sends);
        }
    }
    return sends;
}

void MemberAgent::introduce(TimePoint now, std::vector<Send>& sends)
{
    if (!m_introduced && m_view.hasPlatformList())
        m_introduced = now;
    if (!m_introduced || now - *m_introduced > m_settings.introduction)
        return;
    const auto ranked = rankMembers(m_view, m_self.failureDomain);
    for (std::size_t i = 0; i < std::min(ranked.size(), m_settings.introductionMembers); ++i) {
        if (std::find(m_current.begin(), m_current.end(), ranked[i]) == m_current.end() && ranked[i] != m_self.id)
            addSend(ranked[i], false, now, sends);
    }
}

void MemberAgent::addSend(const InstanceId& id, bool wantsView, TimePoint now, std::vector<Send>& sends)
{
    const auto* domain = m_view.findDomain(m_self.failureDomain);
    std::string address = m_self.peerAddress;
    if (id != m_self.id) {
        if (!domain || !domain->members.contains(id))
            return;
        address = domain->members.at(id).peerAddress;
    }
    sends.push_back({ id, std::move(address), makeHeartbeat(m_relays[id], wantsView, now) });
}

Heartbeat MemberAgent::makeHeartbeat(Relay& relay, bool wantsView, TimePoint now)
{
    Heartbeat message;
    message.sender = m_self;
    message.sequence = ++m_sequence;
    message.replyToken = relay.token;
    message.configurationVersion = m_inForce;
    message.highest = m_highest;
    message.store = m_contact.attestation(now);
    message.evidence = m_evidence.statement(now);
    message.wantsView = wantsView;
    if (wantsView) {
        message.viewHash = m_view.hash();
        if (relay.namesKnown)
            message.known = m_view.known();
    }
    message.loads = m_loads;
    message.demands = m_demands;
    message.serverReports = m_serverReports;
    for (auto& report : message.serverReports)
        report.age += now - m_reportsSetAt;
    relay.open.emplace(message.sequence, Sent { now, message.store.isReachable });
    if (!relay.unansweredSince)
        relay.unansweredSince = now;
    return message;
}

void MemberAgent::updateSilence(TimePoint now)
{
    const auto* domain = m_view.findDomain(m_self.failureDomain);
    std::erase_if(m_relays, [&](const auto& item) {
        return item.first != m_self.id && (!domain || !domain->members.contains(item.first));
    });
    for (auto& [id, relay] : m_relays) {
        std::erase_if(relay.open, [&](const auto& item) { return now - item.second.time > longestOpen; });
        if (relay.silentSince || !relay.unansweredSince || now - *relay.unansweredSince < m_settings.relaySilence)
            continue;
        relay.silentSince = now;
        relay.nextRetry = now + m_settings.relayRetry;
        m_next = now;
        m_log.write(LogLevel::Warning, LogLine("relay_silent").add("relay", id).add("self", m_self.id));
    }
}

void MemberAgent::resumed() noexcept
{
    for (auto& [id, relay] : m_relays) {
        relay.unansweredSince.reset();
        relay.silentSince.reset();
    }
    m_next = TimePoint {};
}

void MemberAgent::receive(const InstanceId& id, const HeartbeatReply& reply, bool takesView, TimePoint now)
{
    const auto it = m_relays.find(id);
    if (it == m_relays.end())
        return;
    auto& relay = it->second;
    const auto open = relay.open.find(reply.sequence);
    if (open == relay.open.end())
        return; // A repeated or very late reply.
    const auto sent = open->second;
    relay.open.erase(open);
    m_evidence.learn(reply.evidence, sent.time);
    heard(reply.highest);
    relay.witnessed = std::max(relay.witnessed, reply.witnessedVersion);
    if (sent.saidReachable && reply.isReachabilityWitnessed)
        m_evidence.reachabilityWitnessed(sent.time);
    if (reply.sequence < relay.answered)
        return;
    relay.answered = reply.sequence;
    // The relay can use this member's statements once they echo a token.
    if (relay.token == 0)
        m_next = std::min(m_next, now + shortestInterval);
    relay.token = reply.token;
    relay.lastAnswer = now;
    relay.silentSince.reset();
    const auto later = relay.open.upper_bound(reply.sequence);
    relay.unansweredSince = later == relay.open.end() ? std::nullopt : std::optional(later->second.time);
    m_lowest = reply.lowestVersion;
    if (takesView && !m_current.empty() && id == m_current.front())
        takeView(relay, reply, now);
}

void MemberAgent::takeView(Relay& relay, const HeartbeatReply& reply, TimePoint now)
{
    for (auto summary : reply.domains) {
        if (!summary.loads.empty() || !summary.demands.empty() || !summary.serverReports.empty()) {
            m_view.setRegionLoads(summary.region, std::move(summary.loads), std::move(summary.demands),
                std::move(summary.serverReports), now - summary.age);
        }
        summary.loads.clear();
        summary.demands.clear();
        summary.serverReports.clear();
        m_view.apply(summary, now);
    }
    relay.namesKnown = m_view.hash() != reply.viewHash;
}

SilentRelays MemberAgent::silentRelays() const
{
    SilentRelays result;
    for (const auto& [id, relay] : m_relays) {
        if (relay.silentSince)
            result.emplace(id, relay.lastAnswer.value_or(*relay.silentSince - m_settings.relaySilence));
    }
    return result;
}

bool MemberAgent::isKnownToPeers(ConfigurationVersion version, TimePoint now) const
{
    bool isKnown = false;
    for (const auto& id : m_current) {
        const auto it = m_relays.find(id);
        if (it == m_relays.end() || it->second.silentSince)
            continue;
        if (it->second.witnessed < version || !it->second.lastAnswer
            || now - *it->second.lastAnswer > Evidence::s_attestationLimit)
            return false;
        isKnown = true;
    }
    return isKnown;
}

}
