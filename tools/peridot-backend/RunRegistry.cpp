// Bounded counting by request id and by echo.

#include "RunRegistry.h"

#include <nlohmann/json.hpp>

namespace peridot {

RunRegistry::RunRegistry(std::size_t trackedIds)
    : m_trackedIds(trackedIds)
{
}

void RunRegistry::record(const RunStart& start)
{
    std::lock_guard lock(m_mutex);
    ++m_total;
    if (start.requestId.empty())
        ++m_withoutId;
    else
        add(m_byRequestId, start.requestId, start);
    if (!start.echo.empty())
        add(m_byEcho, start.echo, start);
}

void RunRegistry::add(Index& index, const std::string& id, const RunStart& start) const
{
    auto [it, isNew] = index.runs.try_emplace(id);
    auto& runs = it->second;
    ++runs.count;
    runs.servers.push_back(start.server);
    if (!isNew)
        return;
    runs.method = start.method;
    runs.path = start.path;
    index.order.push_back(id);
    if (index.order.size() > m_trackedIds) {
        index.runs.erase(index.order.front());
        index.order.pop_front();
        ++index.forgotten;
    }
}

nlohmann::json RunRegistry::report(bool isFull, const std::string& method) const
{
    std::lock_guard lock(m_mutex);
    return { { "runs", m_total }, { "without_id", m_withoutId },
        { "by_request_id", report(m_byRequestId, isFull, method) }, { "by_echo", report(m_byEcho, isFull, method) } };
}

nlohmann::json RunRegistry::report(const Index& index, bool isFull, const std::string& method)
{
    nlohmann::json duplicates = nlohmann::json::array();
    nlohmann::json ids = nlohmann::json::object();
    std::uint64_t count = 0;
    for (const auto& id : index.order) {
        const auto& runs = index.runs.at(id);
        if (!method.empty() && runs.method != method)
            continue;
        ++count;
        if (runs.count > 1)
            duplicates.push_back({ { "id", id }, { "runs", runs.count }, { "method", runs.method },
                { "path", runs.path }, { "servers", runs.servers } });
        if (isFull)
            ids[id] = runs.count;
    }
    nlohmann::json object { { "ids", count }, { "forgotten", index.forgotten },
        { "duplicates", std::move(duplicates) } };
    if (isFull)
        object["counts"] = std::move(ids);
    return object;
}

void RunRegistry::clear()
{
    std::lock_guard lock(m_mutex);
    m_total = 0;
    m_withoutId = 0;
    m_byRequestId = {};
    m_byEcho = {};
}

}
