// Counting and the JSON form of it.

#include "Statistics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

    // Before that many lookups the ratio of requests to lookups says little.
    constexpr std::uint64_t fewestLookups = 50;

    nlohmann::json milliseconds(std::optional<Duration> duration)
    {
        if (!duration)
            return nullptr;
        return static_cast<double>(duration->count()) / 1000.0;
    }

}

void Statistics::count(Counts& counts, const EndedRequest& request, TimePoint now)
{
    if (const auto* completed = std::get_if<CompletedRequest>(&request.ending)) {
        ++counts.completed;
        counts.latency.add(completed->latency, now);
    } else if (std::holds_alternative<NotRunRequest>(request.ending)) {
        ++counts.notRun;
    } else {
        ++counts.unknown;
    }
}

void Statistics::ended(const std::vector<EndedRequest>& requests, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (const auto& request : requests) {
        count(m_classes[request.request.trafficClass.id], request, now);
        if (!request.request.workspace.isEmpty())
            count(m_workspaces[request.request.workspace], request, now);
    }
}

void Statistics::refused(const std::string& code)
{
    std::lock_guard lock(m_mutex);
    ++m_refusals[code];
}

void Statistics::lookedUp()
{
    std::lock_guard lock(m_mutex);
    ++m_lookups;
}

void Statistics::begun()
{
    std::lock_guard lock(m_mutex);
    ++m_requests;
}

double Statistics::requestsPerLookup() const
{
    std::lock_guard lock(m_mutex);
    if (m_lookups < fewestLookups || m_requests == 0)
        return 1;
    return static_cast<double>(m_requests) / static_cast<double>(m_lookups);
}

nlohmann::json Statistics::describe(const Configuration& configuration, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto classes = nlohmann::json::array();
    for (const auto& [id, trafficClass] : configuration.data().classes) {
        auto& counts = m_classes[id];
        const auto p99 = counts.latency.p99(now);
        classes.push_back({ { "class", id.value() }, { "service", trafficClass.service.value() },
            { "target_latency_ms", milliseconds(trafficClass.targetLatency) }, { "p99_ms", milliseconds(p99) },
            { "is_target_met", p99 ? nlohmann::json(*p99 <= trafficClass.targetLatency) : nlohmann::json(nullptr) },
            { "completed", counts.completed }, { "not_run", counts.notRun }, { "unknown", counts.unknown } });
    }
    std::vector<std::pair<double, nlohmann::json>> workspaces;
    for (const auto& [id, workspace] : configuration.data().workspaces) {
        auto& counts = m_workspaces[id];
        const auto p99 = counts.latency.p99(now);
        workspaces.emplace_back(p99 ? static_cast<double>(p99->count()) : 0.0,
            nlohmann::json { { "workspace", id.value() }, { "rate_per_second", workspace.ratePerSecond },
                { "burst", workspace.burst }, { "p99_ms", milliseconds(p99) }, { "completed", counts.completed },
                { "not_run", counts.notRun }, { "unknown", counts.unknown } });
    }
    std::stable_sort(
        workspaces.begin(), workspaces.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    auto sorted = nlohmann::json::array();
    for (auto& [p99, workspace] : workspaces)
        sorted.push_back(std::move(workspace));
    return { { "classes", std::move(classes) }, { "workspaces", std::move(sorted) }, { "refusals", m_refusals },
        { "lookups", m_lookups }, { "requests", m_requests } };
}

}
