#include "steering/ServerRegistry.h"

#include <algorithm>

namespace peridot {

namespace {

    // A few times the round trip to the store, and far less than the seconds for which a server stays cold when it
    // becomes cold again.
    constexpr Duration coldUntilTolerance = std::chrono::milliseconds { 300 };

}

void ServerRegistry::replace(const std::vector<ListedServer>& servers, TimePoint now)
{
    m_refused.clear();
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

void ServerRegistry::replaceByRestored(const std::vector<ListedServer>& servers, TimePoint now)
{
    m_refused.clear();
    m_keepMissingUntil = now + m_options.reregistrationTime;
    for (auto& [id, entry] : m_entries) {
        entry.isMissingInCopy = true;
        if (!entry.removeAt)
            entry.removeAt = m_keepMissingUntil;
    }
    for (const auto& server : servers) {
        const auto takeOverAt = now + m_options.restoredEntryTime;
        if (const auto it = m_entries.find(server.id); it != m_entries.end()) {
            auto known = std::move(it->second.server);
            it->second = Entry { std::move(known) };
            if (isCurrent(server, now))
                continue;
            it->second.restored = RestoredEntry { server, takeOverAt };
            // An instance that had not reached the store for a while may know less than the copy.
            auto& inForce = it->second.server;
            inForce.isLeaving = inForce.isLeaving || (server.isLeaving && server.incarnation == inForce.incarnation);
            continue;
        }
        Entry entry { server };
        if (const auto it = m_removals.find(server.id);
            it != m_removals.end() && it->second.incarnation == server.incarnation) {
            entry.restored = RestoredEntry { server, takeOverAt };
            entry.server.isLeaving = true;
        }
        m_entries.emplace(server.id, std::move(entry));
    }
}

void ServerRegistry::put(ListedServer server)
{
    const auto id = server.id;
    m_refused.erase(id);
    m_removals.erase(id);
    m_entries.insert_or_assign(id, Entry { std::move(server) });
}

void ServerRegistry::erase(std::map<BackendServerId, Entry>::iterator it, TimePoint now)
{
    m_removals.insert_or_assign(it->first, Removal { it->second.server.incarnation, now });
    m_entries.erase(it);
}

void ServerRegistry::refuse(const BackendServerId& id, TimePoint now)
{
    remove(id, now);
    m_refused.insert(id);
}

void ServerRegistry::remove(const BackendServerId& id, TimePoint now)
{
    m_refused.erase(id);
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    it->second.isMissingInCopy = false; // Its removal is known.
    if (!keepsMissing(now))
        erase(it, now);
    else if (!it->second.removeAt)
        it->second.removeAt = *m_keepMissingUntil;
}

/** Most entries expire together when no heartbeat reaches the store. If only a few are missing, their servers left
 *  during the outage. */
void ServerRegistry::resolveMissing()
{
    const auto isExpired = [](const Entry& entry) { return entry.removeAt && !entry.isMissingInCopy; };
    const auto missing
        = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& it) { return isExpired(it.second); });
    if (static_cast<double>(missing) >= m_options.minimumExpiredShare * static_cast<double>(m_entries.size()))
        return;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto current = it++;
        if (isExpired(current->second))
            erase(current, *current->second.removeAt);
    }
}

void ServerRegistry::contactLost(TimePoint now)
{
    if (!m_contactLostAt)
        m_contactLostAt = now;
}

void ServerRegistry::contactRegained(TimePoint now)
{
    if (m_contactLostAt && now - *m_contactLostAt >= m_options.minimumOutage)
        m_keepMissingUntil = now + m_options.reregistrationTime;
    m_contactLostAt.reset();
}

bool ServerRegistry::expire(TimePoint now)
{
    bool hasChanged = false;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto current = it++;
        auto& entry = current->second;
        if (entry.removeAt && *entry.removeAt <= now) {
            erase(current, now);
            hasChanged = true;
        } else if (entry.restored && entry.restored->takeOverAt <= now) {
            entry.server = std::move(entry.restored->server);
            entry.restored.reset();
            hasChanged = true;
        }
    }
    std::erase_if(m_removals, [&](const auto& it) { return now - it.second.time > m_options.removalMemory; });
    return hasChanged;
}

bool ServerRegistry::isCurrent(const ListedServer& server, TimePoint now) const
{
    const auto it = m_entries.find(server.id);
    // A restored entry that is written again says more than it did before, whatever it says.
    if (it == m_entries.end() || it->second.removeAt || it->second.restored)
        return false;
    auto current = it->second.server;
    // An entry states for how long the server stays cold, counted from the moment of reading. The resulting time varies
    // with the latency of the store.
    const bool isCold = server.coldUntil > now || current.coldUntil > now;
    if (isCold && std::chrono::abs(server.coldUntil - current.coldUntil) > coldUntilTolerance)
        return false;
    current.coldUntil = server.coldUntil;
    return current == server;
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
