// The whole platform in memory: table, object store and list of instances. The platform's stand-in serves it over
// HTTP; the randomised trial adds delays and faults in virtual time.

#pragma once

#include "store/MemoryTable.h"

#include <map>

namespace peridot {

/** Holds no time and no lag: every request takes effect at once. Not thread-safe. */
class MemoryStore {
public:
    StoreResult apply(const StoreRequest&);

    /** Adds an instance to the list or replaces the one of that name. */
    void putInstance(PlatformInstance);
    /** Returns false if there is no instance of that name. */
    bool removeInstance(const std::string& name);
    bool setInstanceState(const std::string& name, PlatformInstanceState);

    /** The list in order of names. */
    InstanceList instances() const;
    const MemoryTable& table() const noexcept { return m_table; }

private:
    MemoryTable m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, PlatformInstance> m_instances;
};

}
