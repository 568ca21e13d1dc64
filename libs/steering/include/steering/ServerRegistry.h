// The list of backend servers. It is kept during outages of the store that holds the servers' entries, and outlasts a
// return of the store from an older copy.

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
    // After a return of the store from an older copy, what was known before it holds for this long unless the server
    // writes its entry again: as long as knowledge that nothing confirms is acted on.
    Duration restoredEntryTime = std::chrono::seconds { 8 };
    // Longer than such a copy is old.
    Duration removalMemory = std::chrono::seconds { 60 };
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
    /** As replace(), with a list from a store that has come back from an older copy. What this instance knows is newer:
     *  known entries stay in force and removed servers get no requests, until the servers write their entries again or
     *  restoredEntryTime has passed. Entries that the copy lacks are kept for reregistrationTime. */
    void replaceByRestored(const std::vector<ListedServer>&, TimePoint now);
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
    /** Drops missing entries that were not registered again in time, and takes over restored ones that were not
     *  written again. Returns whether the list changed. */
    bool expire(TimePoint now);

    std::vector<ListedServer> servers() const;
    /** Whether put() of this server would change nothing but, slightly, the time until which it is cold. */
    bool isCurrent(const ListedServer&, TimePoint now) const;
    /** Whether the newest entry of the server was refused, so that refusing it again changes nothing. */
    bool isRefused(const BackendServerId& id) const { return m_refused.contains(id); }

private:
    /** What a restored store says of a server of which this instance knows something newer. */
    struct RestoredEntry {
        ListedServer server;
        TimePoint takeOverAt;
    };

    struct Entry {
        ListedServer server;
        // Time at which the entry is dropped; set only if it was found missing after an outage or a restore.
        std::optional<TimePoint> removeAt {};
        std::optional<RestoredEntry> restored {};
        bool isMissingInCopy = false; // It is kept until removeAt, however few are missing.
    };

    struct Removal {
        std::int64_t incarnation = 0; // Of the server.
        TimePoint time;
    };

    void erase(std::map<BackendServerId, Entry>::iterator, TimePoint now);
    bool keepsMissing(TimePoint now) const noexcept { return m_keepMissingUntil && now < *m_keepMissingUntil; }

    const ServerRegistryOptions m_options;
    std::map<BackendServerId, Entry> m_entries;
    std::set<BackendServerId> m_refused; // Entries that exist and were refused.
    std::map<BackendServerId, Removal> m_removals; // Of the last removalMemory.
    std::optional<TimePoint> m_contactLostAt;
    std::optional<TimePoint> m_keepMissingUntil; // Set after each outage.
};

}
