// Admission to slots and queue, service times and load reports.

#include "BackendServer.h"

#include "base/Assert.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    // 99th percentile of the standard normal distribution.
    constexpr double normalP99 = 2.3263;

}

BackendServer::BackendServer(
    const BackendServerSettings& settings, const ServiceBehaviour& behaviour, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_behaviour(behaviour)
    , m_longestQueue(static_cast<std::size_t>(behaviour.queuePerSlot * settings.slots))
    , m_random(randomSeed)
{
    m_history.push_back({ TimePoint::min(), truth() });
}

Arrival BackendServer::arrive(JobId job, TimePoint now)
{
    auto arrival = Arrival::Shed;
    if (m_running.size() < m_settings.slots) {
        m_running.push_back(job);
        arrival = Arrival::Run;
    } else if (m_waiting.size() < m_longestQueue) {
        m_waiting.push_back(job);
        arrival = Arrival::Wait;
    }
    record(now);
    return arrival;
}

Duration BackendServer::drawServiceTime()
{
    const auto median = static_cast<double>(m_behaviour.medianServiceTime.count());
    const auto p99 = static_cast<double>(m_behaviour.p99ServiceTime.count());
    double time = median;
    if (median > 0 && p99 > median)
        time = std::lognormal_distribution { std::log(median), std::log(p99 / median) / normalP99 }(m_random);
    double coldFactor = 1;
    if (m_runs < m_behaviour.warmRuns) {
        const auto remaining = 1 - static_cast<double>(m_runs) / static_cast<double>(m_behaviour.warmRuns);
        coldFactor += (m_behaviour.coldFactor - 1) * remaining;
    }
    ++m_runs;
    return Duration { static_cast<Duration::rep>(time * coldFactor * m_control.slowFactor) };
}

std::optional<JobId> BackendServer::leave(JobId job, TimePoint now)
{
    std::optional<JobId> next;
    if (std::erase(m_waiting, job) == 0) {
        PERIDOT_ASSERT(std::erase(m_running, job) == 1, "a job left a backend server that it had not entered");
        if (!m_waiting.empty()) {
            next = m_waiting.front();
            m_waiting.pop_front();
            m_running.push_back(*next);
        }
    }
    record(now);
    return next;
}

void BackendServer::setControl(const ServerControl& control, TimePoint now)
{
    // Freezes what is reported under the lag that has been in force so far.
    if (!control.isReportFrozen)
        m_frozen.reset();
    else if (!m_frozen)
        m_frozen = lagged(now);
    m_control = control;
    record(now);
}

bool BackendServer::draw(double probability)
{
    return probability > 0 && std::bernoulli_distribution { probability }(m_random);
}

LoadReport BackendServer::report(TimePoint now)
{
    if (m_control.falseReport)
        return *m_control.falseReport;
    return m_frozen ? *m_frozen : lagged(now);
}

LoadReport BackendServer::truth() const noexcept
{
    const auto inFlight = m_running.size() + m_waiting.size();
    return { true, m_control.isDraining, static_cast<std::uint32_t>(inFlight), m_settings.slots };
}

LoadReport BackendServer::lagged(TimePoint now)
{
    for (auto it = m_history.rbegin(); it != m_history.rend(); ++it) {
        if (it->since <= now - m_control.reportLag)
            return it->report;
    }
    return m_history.front().report;
}

void BackendServer::record(TimePoint now)
{
    m_history.push_back({ now, truth() });
    while (m_history.size() > 1 && m_history[1].since <= now - m_control.reportLag)
        m_history.pop_front();
}

}
