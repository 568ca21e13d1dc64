#include "steering/ServerRegistry.h"

#include <algorithm>
#include <set>

namespace peridot {

namespace {

    // A few times the way to the store; a server that became cold again stays so for seconds.
    constexpr Duration coldTolerance = std::chrono::milliseconds { 300 };

}

void ServerRegistry::replace(const std::vector<ListedServer>& servers, TimePoint now)
{
    std::set<BackendServerId> present;
    for (const auto& server : servers) {
        present.insert(server.id);
        put(server);
    }
    std::vector<BackendServerId> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
    resolveMissing();
}

void ServerRegistry::put(ListedServer server)
{
    const auto id = server.id;
    m_entries.insert_or_assign(id, Entry { std::move(server), std::nullopt });
}

void ServerRegistry::remove(const BackendServerId& id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    if (!keepsMissing(now))
        m_entries.erase(it);
    else if (!it->second.goneAt)
        it->second.goneAt = *m_keepMissingUntil;
}

/** Entries lapse together when no heartbeat reached the store; a few that are missing have left meanwhile. */
void ServerRegistry::resolveMissing()
{
    const auto missing = std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto& it) { return it.second.goneAt.has_value(); });
    if (static_cast<double>(missing) < m_options.lapseShare * static_cast<double>(m_entries.size()))
        std::erase_if(m_entries, [](const auto& it) { return it.second.goneAt.has_value(); });
}

void ServerRegistry::contactLost(TimePoint now)
{
    if (!m_lostAt)
        m_lostAt = now;
}

void ServerRegistry::contactRegained(TimePoint now)
{
    if (m_lostAt && now - *m_lostAt >= m_options.outage)
        m_keepMissingUntil = now + m_options.returnTime;
    m_lostAt.reset();
}

bool ServerRegistry::expire(TimePoint now)
{
    return std::erase_if(m_entries, [&](const auto& it) { return it.second.goneAt && *it.second.goneAt <= now; }) > 0;
}

bool ServerRegistry::isCurrent(const ListedServer& server, TimePoint now) const
{
    const auto it = m_entries.find(server.id);
    if (it == m_entries.end() || it->second.goneAt)
        return false;
    auto known = it->second.server;
    // Entries state how long a server stays cold from the moment of reading, which varies with the way to the store.
    const bool isCold = server.coldUntil > now || known.coldUntil > now;
    if (isCold && std::chrono::abs(server.coldUntil - known.coldUntil) > coldTolerance)
        return false;
    known.coldUntil = server.coldUntil;
    return known == server;
}

std::vector<ListedServer> ServerRegistry::servers() const
{
    std::vector<ListedServer> servers;
    servers.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries)
        servers.push_back(entry.server);
    return servers;
}

}
