// Estimates and rules for one backend server.

#include "BackendServerState.h"

#include "base/Assert.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

    constexpr double latencyGain = 0.15; // Weight of a new latency in the server's mean.
    constexpr double shedGain = 0.2; // Weight of a new outcome in the share of sheds.
    constexpr double shedFadeSeconds = 1.0;

    // Requests on their way when a report was made: it may or may not count them.
    constexpr Duration reportTolerance = std::chrono::milliseconds(20);

    // A report is contradicted by latency only beyond these ratios, since single latencies vary.
    constexpr double congestedLatency = 1.5;
    constexpr double ordinaryLatency = 1.15;

    constexpr double limitCutFactor = 0.7;
    constexpr Duration limitCutInterval = std::chrono::milliseconds(100);

}

BackendServerState::BackendServerState(const BackendServerInfo& info, double initialLimit)
    : m_info(info)
    , m_limit(std::clamp(initialLimit, 1.0, std::max(1.0, static_cast<double>(info.slots))))
{
}

bool BackendServerState::hasRoom(TimePoint now, const BackendPoolOptions& options) const
{
    const auto limit = std::max(1.0, std::floor(m_limit * slowStartShare(now, options)));
    return m_inFlight < m_connectionLimit && m_inFlight < limit;
}

void BackendServerState::started(TimePoint now, double cost)
{
    ++m_inFlight;
    m_inFlightCost += cost;
    record(now);
}

void BackendServerState::finished(
    TimePoint now, double cost, BackendOutcome outcome, double latencyPerCost, const PoolFigures& pool)
{
    PERIDOT_ASSERT(m_inFlight > 0, "a request finishes once on the server it was started on");
    adjustLimit(now, outcome, pool);
    --m_inFlight;
    m_inFlightCost = m_inFlight ? m_inFlightCost - cost : 0;
    record(now);
    if (outcome == BackendOutcome::Cancelled)
        return;
    m_shedShare = shedShare(now) * (1 - shedGain) + (outcome == BackendOutcome::Shed ? shedGain : 0);
    m_shedTime = now;
    m_failures = outcome == BackendOutcome::Failed ? m_failures + 1 : 0;
    m_sheds = outcome == BackendOutcome::Shed ? m_sheds + 1 : 0;
    if (outcome == BackendOutcome::Succeeded)
        m_latency = m_latency > 0 ? m_latency + latencyGain * (latencyPerCost - m_latency) : latencyPerCost;
    adjustTrust(outcome, pool, now);
}

void BackendServerState::adjustTrust(BackendOutcome outcome, const PoolFigures& pool, TimePoint now)
{
    if (!m_hasReport || outcome == BackendOutcome::Failed)
        return;
    const auto latency = relativeLatency(pool.latency);
    if (outcome == BackendOutcome::Shed) {
        // A server that refuses work is not half idle.
        if (m_reportedLoad < 0.75)
            m_trust *= 0.5;
        return;
    }
    const auto meanLoad = pool.meanForeignLoad;
    const bool isTooLow = latency > congestedLatency && m_reportedLoad < 0.5 * meanLoad;
    const bool isTooHigh = latency < ordinaryLatency && m_reportedLoad >= 0.9 && shedShare(now) < 0.01
        && (m_reportedLoad > 1.25 * meanLoad || (m_reportedLoad > 1.2 && m_latency < ordinaryLatency * pool.baseline));
    if (isTooLow || isTooHigh)
        m_trust *= 0.85;
    else
        m_trust += 0.01 * (1 - m_trust);
}

void BackendServerState::adjustLimit(TimePoint now, BackendOutcome outcome, const PoolFigures& pool)
{
    const auto largest = std::max(1.0, static_cast<double>(slots()));
    const bool isCongested = outcome == BackendOutcome::Shed
        || (outcome == BackendOutcome::Succeeded && m_latency > 2 * pool.baseline && pool.baseline > 0
            && m_inFlight > pool.fairShare);
    if (isCongested) {
        if (now - m_limitCut >= limitCutInterval) {
            m_limit = std::max(1.0, m_limit * limitCutFactor);
            m_limitCut = now;
        }
    } else if (outcome == BackendOutcome::Succeeded && m_inFlight + 1 > m_limit) {
        // Rises by about 1 for each round of requests that used the whole limit.
        m_limit = std::min(largest, m_limit + 1 / m_limit);
    }
}

void BackendServerState::report(TimePoint now, const LoadReport& report, Duration age)
{
    const auto time = now - age;
    if (m_hasReport && time < m_reportTime)
        return;
    const auto total = static_cast<double>(report.inFlight) + report.queued;
    const auto own = lowestInFlightAround(time);
    // The server must at least know of the requests that this instance had there all the time.
    if (total < own)
        m_trust *= 0.5;
    m_hasReport = true;
    m_reportTime = time;
    m_reportedLoad = total / std::max(1U, slots());
    m_foreignLoad = std::max(0.0, total - own);
}

std::uint32_t BackendServerState::lowestInFlightAround(TimePoint time) const
{
    const auto begin = time - reportTolerance;
    const auto end = time + reportTolerance;
    auto lowest = m_inFlight;
    for (std::size_t i = 0; i < m_history.size(); ++i) {
        const auto& sample = m_history[(m_historyNext + m_history.size() - 1 - i) % m_history.size()];
        if (sample.time <= end)
            lowest = i && sample.time > begin ? std::min(lowest, sample.inFlight) : sample.inFlight;
        if (sample.time <= begin)
            break;
    }
    return lowest;
}

void BackendServerState::record(TimePoint now)
{
    m_history[m_historyNext] = { now, m_inFlight };
    m_historyNext = (m_historyNext + 1) % m_history.size();
}

double BackendServerState::reportWeight(TimePoint now, const BackendPoolOptions& options) const
{
    if (!m_hasReport)
        return 0;
    return m_trust * std::exp2(-toSeconds(now - m_reportTime) / toSeconds(options.reportHalfLife));
}

double BackendServerState::estimatedLoad(TimePoint now, double meanForeignLoad, const BackendPoolOptions& options) const
{
    const auto weight = reportWeight(now, options);
    return m_inFlightCost + weight * m_foreignLoad + (1 - weight) * meanForeignLoad * slots();
}

double BackendServerState::shedShare(TimePoint now) const
{
    return m_shedShare * std::exp(-toSeconds(now - m_shedTime) / shedFadeSeconds);
}

double BackendServerState::relativeLatency(double poolLatency) const noexcept
{
    return m_latency > 0 && poolLatency > 0 ? m_latency / poolLatency : 1;
}

double BackendServerState::slowStartShare(TimePoint now, const BackendPoolOptions& options) const
{
    if (!m_slowStartBegin || now >= *m_slowStartBegin + options.slowStart)
        return 1;
    const auto elapsed = toSeconds(now - *m_slowStartBegin) / toSeconds(options.slowStart);
    return options.slowStartFloor + (1 - options.slowStartFloor) * std::max(0.0, elapsed);
}

bool BackendServerState::shouldEject(const BackendPoolOptions& options, bool isPoolShedding) const noexcept
{
    return m_failures >= options.failuresToEject || m_probeFailures >= options.probeFailuresToEject
        || (m_sheds >= options.shedsToEject && !isPoolShedding);
}

void BackendServerState::eject(TimePoint now, const BackendPoolOptions& options, double jitter)
{
    const bool hasWorked = m_slowStartBegin && now > *m_slowStartBegin + options.slowStart;
    if (hasWorked)
        m_ejections = 0;
    const auto longest = toSeconds(options.longestEjection);
    const auto seconds = std::min(longest, std::ldexp(toSeconds(options.firstEjection), static_cast<int>(m_ejections)));
    m_ejections = std::min(m_ejections + 1, 30U);
    m_ejectedUntil = now + fromSeconds(seconds * (1 + 0.1 * jitter));
    m_slowStartBegin = m_ejectedUntil;
    m_failures = 0;
    m_sheds = 0;
    m_probeFailures = 0;
}

void BackendServerState::restore(TimePoint now) noexcept
{
    m_ejectedUntil = now;
    m_slowStartBegin = now;
}

}
