// The list of backend servers. It is kept during outages of the store that holds the servers' entries.

#pragma once

#include "base/Time.h"
#include "steering/ListedServer.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridot {

struct ServerRegistryOptions {
    // Entries expire during an outage of the store, because the servers' heartbeats do not arrive. After an
    // outage of at least this duration, a missing entry is kept for `reregistrationTime`, within which running
    // servers register again.
    Duration minimumOutage = std::chrono::milliseconds { 3'000 };
    Duration reregistrationTime = std::chrono::milliseconds { 2'000 };
    // If a smaller share of the entries is missing, their servers have left, and the entries are removed at once.
    double minimumExpiredShare = 0.3;
};

/** Not thread-safe. */
class ServerRegistry {
public:
    explicit ServerRegistry(ServerRegistryOptions options)
        : m_options(options)
    {
    }

    /** Replaces the list by one that was read whole. */
    void replace(const std::vector<ListedServer>&, TimePoint now);
    /** Adds a server or replaces its entry. */
    void put(ListedServer);
    /** Handles an entry that no longer exists. */
    void remove(const BackendServerId&, TimePoint now);
    /** Handles an entry that does not describe a usable server. */
    void refuse(const BackendServerId&, TimePoint now);
    /** Decides whether the missing entries expired in an outage or their servers left, and drops those of servers
     *  that left. Call it after a series of calls of remove(). */
    void resolveMissing();
    /** The connection to the store was lost. */
    void contactLost(TimePoint now);
    /** The connection to the store works again. */
    void contactRegained(TimePoint now);
    /** Drops missing entries that were not registered again in time. Returns whether the list changed. */
    bool expire(TimePoint now);

    std::vector<ListedServer> servers() const;
    /** Whether put() of this server would change nothing but, slightly, the time until which it is cold. */
    bool isCurrent(const ListedServer&, TimePoint now) const;
    /** Whether the newest entry of the server was refused, so that refusing it again changes nothing. */
    bool isRefused(const BackendServerId& id) const { return m_refused.contains(id); }

private:
    struct Entry {
        ListedServer server;
        // Time at which the entry is dropped; set only if it was found missing after an outage.
        std::optional<TimePoint> removeAt;
    };

    bool keepsMissing(TimePoint now) const noexcept { return m_keepMissingUntil && now < *m_keepMissingUntil; }

    const ServerRegistryOptions m_options;
    std::map<BackendServerId, Entry> m_entries;
    std::set<BackendServerId> m_refused; // Entries that exist and were refused.
    std::optional<TimePoint> m_contactLostAt;
    std::optional<TimePoint> m_keepMissingUntil; // Set after each outage.
};

}
