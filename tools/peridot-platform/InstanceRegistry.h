// The platform's list of instances as callers see it: behind reality by a lag, or frozen.

#pragma once

#include "base/Time.h"
#include "store/MemoryStore.h"

#include <deque>
#include <optional>

namespace peridot {

/** Not thread-safe. */
class InstanceRegistry {
public:
    InstanceRegistry(const std::vector<PlatformInstance>&, TimePoint now);

    void put(PlatformInstance, TimePoint now);
    bool remove(const std::string& name, TimePoint now);
    bool setState(const std::string& name, PlatformInstanceState, TimePoint now);

    /** The list as it stood @p lag ago. */
    InstanceList listed(Duration lag, TimePoint now);
    /** The list without lag. */
    InstanceList current() const { return m_store.instances(); }

    /** While frozen, listed() returns what it returned at the moment of freezing. */
    void freeze(Duration lag, TimePoint now);
    void thaw() noexcept { m_frozen.reset(); }
    bool isFrozen() const noexcept { return m_frozen.has_value(); }

private:
    struct Snapshot {
        TimePoint since;
        InstanceList list;
    };

    void record(TimePoint now);

    MemoryStore m_store;
    std::deque<Snapshot> m_history; // Oldest first, never empty.
    std::optional<InstanceList> m_frozen;
};

}
