// The list of backend servers, kept through outages of the store that holds their entries.

#pragma once

#include "base/Time.h"
#include "steering/ListedServer.h"

#include <map>
#include <optional>
#include <vector>

namespace peridot {

struct ServerRegistryOptions {
    // Entries lapse during an outage, because the servers' heartbeats do not arrive. After an outage of at least this
    // long, a missing entry counts as gone only after `returnTime`.
    Duration outage = std::chrono::milliseconds { 3'000 };
    Duration returnTime = std::chrono::milliseconds { 2'000 }; // Living servers are back by then.
    double lapseShare = 0.3; // Of the entries; fewer missing ones have left, they did not lapse.
};

/** Not thread-safe. */
class ServerRegistry {
public:
    explicit ServerRegistry(ServerRegistryOptions options)
        : m_options(options)
    {
    }

    /** The whole list was read. */
    void replace(const std::vector<ListedServer>&, TimePoint now);
    void put(ListedServer);
    /** The entry is gone, or no longer names a usable server. */
    void remove(const BackendServerId&, TimePoint now);
    /** Call it after a series of remove(): decides whether what is missing has lapsed or left. */
    void resolveMissing();
    void contactLost(TimePoint now);
    void contactRegained(TimePoint now);
    /** Drops entries that did not come back in time. Returns whether the list has changed. */
    bool expire(TimePoint now);

    std::vector<ListedServer> servers() const;
    /** Whether put() of this server would change nothing. */
    bool isCurrent(const ListedServer&, TimePoint now) const;

private:
    struct Entry {
        ListedServer server;
        std::optional<TimePoint> goneAt; // Missing since an outage; dropped at this time.
    };

    bool keepsMissing(TimePoint now) const noexcept { return m_keepMissingUntil && now < *m_keepMissingUntil; }

    const ServerRegistryOptions m_options;
    std::map<BackendServerId, Entry> m_entries;
    std::optional<TimePoint> m_lostAt;
    std::optional<TimePoint> m_keepMissingUntil;
};

}
