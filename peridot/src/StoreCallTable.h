// Which part of the node waits for which store call.

#pragma once

#include "base/Time.h"
#include "peridot/Actions.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace peridot {

enum class StoreCaller {
    ConfigurationReader,
    ConfigurationWriter,
    LedgerLease,
    ShareTable,
    InstanceList,
    LapsedRegions,
    Claims,
};

/** Thread-safe. */
class StoreCallTable {
public:
    struct Entry {
        StoreCaller caller = StoreCaller::InstanceList;
        std::uint64_t localId = 0; // The caller's own id of the call, if it has one.
        TimePoint start {};
    };

    StoreCall add(StoreCaller caller, std::uint64_t localId, StoreRequest request, Duration timeout, TimePoint now)
    {
        std::lock_guard lock(m_mutex);
        const auto id = m_nextId++;
        m_entries.emplace(id, Entry { caller, localId, now });
        return { id, std::move(request), timeout };
    }

    std::optional<Entry> take(std::uint64_t id)
    {
        std::lock_guard lock(m_mutex);
        auto node = m_entries.extract(id);
        if (node.empty())
            return std::nullopt;
        return node.mapped();
    }

private:
    std::mutex m_mutex;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, Entry> m_entries;
};

}
