#include "membership/Membership.h"

#include <algorithm>

namespace peridot {

namespace {

    // Long enough for the caller's next tick, shorter than the reader's poll interval.
    constexpr Duration selfReadWindow = std::chrono::milliseconds { 100 };

    template <typename... Functions> struct Overloaded : Functions... {
        using Functions::operator()...;
    };
    template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

}

Membership::Membership(MembershipSettings settings, MemberInfo self, std::uint64_t randomSeed, EventLog& log)
    : m_member(settings, std::move(self), m_view, m_evidence, m_contact, randomSeed, log)
    , m_relay(settings, m_member.self(), m_view, m_evidence, log)
    , m_random(randomSeed + 1)
{
    m_view.put(m_member.self());
}

std::vector<MembershipSend> Membership::tick(TimePoint now)
{
    std::vector<MembershipSend> sends;
    noticePause(now);
    scheduleSelfRead(now);
    addSends(m_member.tick(!m_relay.isActive(), now), now, sends);
    for (auto& send : m_relay.tick(m_member.silentRelays(), now))
        sends.push_back({ std::move(send.to), std::move(send.address), std::move(send.message) });
    return sends;
}

void Membership::noticePause(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > s_longestTick) {
        m_member.resumed();
        m_relay.resumed(now);
    }
    m_lastTick = now;
}

void Membership::scheduleSelfRead(TimePoint now)
{
    const auto time = m_evidence.time();
    if ((time && now - *time < s_selfReadAge) || now < m_nextSelfRead)
        return;
    std::uniform_int_distribution<Duration::rep> interval(s_selfReadLowest.count(), s_selfReadHighest.count());
    m_nextSelfRead = now + Duration { interval(m_random) };
    m_selfReadUntil = now + selfReadWindow;
}

void Membership::addSends(std::vector<MemberAgent::Send> heartbeats, TimePoint now, std::vector<MembershipSend>& sends)
{
    for (auto& send : heartbeats) {
        if (send.to == self().id)
            m_member.receive(send.to, m_relay.receive(send.message, now), !m_relay.isActive(), now);
        else
            sends.push_back({ std::move(send.to), std::move(send.address), std::move(send.message) });
    }
}

std::vector<MembershipSend> Membership::receive(
    const InstanceId& from, const std::string& address, const MembershipMessage& message, TimePoint now)
{
    std::vector<MembershipSend> sends;
    noticePause(now);
    std::visit(Overloaded {
                   [&](const Heartbeat& value) {
                       sends.push_back({ from, address, m_relay.receive(value, now) });
                   },
                   [&](const DigestPull& value) {
                       sends.push_back({ from, address, m_relay.receive(value, address, now) });
                   },
                   [&](const HeartbeatReply& value) {
                       m_relay.answered(from, now);
                       m_member.receive(from, value, !m_relay.isActive(), now);
                   },
                   [&](const Digest& value) { m_relay.receive(value, now); },
               },
        message);
    m_member.heard(m_relay.highest());
    m_relay.heard(m_member.highest());
    return sends;
}

void Membership::applyPlatformList(const std::vector<PlatformInstance>& instances, TimePoint now)
{
    m_view.applyPlatformList(instances, isRelay() ? std::optional(self().failureDomain) : std::nullopt, now);
}

void Membership::headRead(ConfigurationVersion version, TimePoint readStart, TimePoint now)
{
    m_evidence.confirmed(version, readStart);
    m_contact.succeeded(now);
    heard(StorePosition { version });
}

void Membership::adopted(const StorePosition& position)
{
    m_evidence.adopted(position.version);
    m_member.setVersionInForce(position.version);
    heard(position);
}

void Membership::heard(const StorePosition& position)
{
    if (position > m_member.highest())
        m_member.hurry(); // The relays are to know it, above all if this instance has written it.
    m_member.heard(position);
    m_relay.heard(position);
}

StorePosition Membership::highest() const noexcept
{
    return std::max({ m_member.highest(), m_relay.highest(), StorePosition { m_evidence.version() } });
}

std::vector<InstanceId> Membership::readers() const
{
    std::vector<const MemberInfo*> readers;
    const auto hasFasterLink = [](const auto* a, const auto* b) { return a->linkMegabits > b->linkMegabits; };
    for (const auto& [id, domain] : m_view.domains()) {
        if (domain.region != self().region || domain.version.isSilent)
            continue;
        const auto silent = id == self().failureDomain ? m_member.silentRelays() : SilentRelays {};
        const MemberInfo* best = nullptr;
        for (const auto& member : rankMembers(m_view, id)) {
            const auto& info = domain.members.at(member);
            if (!silent.contains(member)
                && (!best || (info.state != InstanceState::Leaving && hasFasterLink(&info, best))))
                best = &info;
        }
        if (best)
            readers.push_back(best);
    }
    std::stable_sort(readers.begin(), readers.end(), hasFasterLink);
    std::vector<InstanceId> ids;
    ids.reserve(readers.size());
    for (const auto* reader : readers)
        ids.push_back(reader->id);
    return ids;
}

std::vector<InstanceId> Membership::configurationPeers() const
{
    std::vector<InstanceId> peers;
    const auto add = [&](const FailureDomainId& domain) {
        for (auto& id : relaysOf(m_view, domain, m_member.silentRelays())) {
            if (id != self().id)
                peers.push_back(std::move(id));
        }
    };
    add(self().failureDomain);
    if (!isRelay())
        return peers;
    for (const auto& [id, domain] : m_view.domains()) {
        if (id != self().failureDomain && !domain.version.isSilent)
            add(id);
    }
    return peers;
}

}
