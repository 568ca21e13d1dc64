// History of the list.

#include "InstanceRegistry.h"

#include <utility>

namespace peridot {

namespace {

    // Longest lag that the faults and the settings allow together, with some spare.
    constexpr Duration keptHistory = std::chrono::hours { 2 };

}

InstanceRegistry::InstanceRegistry(const std::vector<PlatformInstance>& instances, TimePoint now)
{
    for (const auto& instance : instances)
        m_store.putInstance(instance);
    m_history.push_back({ now, m_store.instances() });
}

void InstanceRegistry::put(PlatformInstance instance, TimePoint now)
{
    m_store.putInstance(std::move(instance));
    record(now);
}

bool InstanceRegistry::remove(const std::string& name, TimePoint now)
{
    const bool isFound = m_store.removeInstance(name);
    record(now);
    return isFound;
}

bool InstanceRegistry::setState(const std::string& name, PlatformInstanceState state, TimePoint now)
{
    const bool isFound = m_store.setInstanceState(name, state);
    record(now);
    return isFound;
}

void InstanceRegistry::record(TimePoint now)
{
    m_history.push_back({ now, m_store.instances() });
    while (m_history.size() > 1 && m_history[1].since + keptHistory < now)
        m_history.pop_front();
}

InstanceList InstanceRegistry::listed(Duration lag, TimePoint now)
{
    if (m_frozen)
        return *m_frozen;
    for (auto it = m_history.rbegin(); it != m_history.rend(); ++it) {
        if (it->since + lag <= now)
            return it->list;
    }
    return m_history.front().list; // The list at the start is known from the start.
}

void InstanceRegistry::freeze(Duration lag, TimePoint now)
{
    if (!m_frozen)
        m_frozen = listed(lag, now);
}

}
