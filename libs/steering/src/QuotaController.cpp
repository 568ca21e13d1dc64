#include "steering/QuotaController.h"

#include <algorithm>

namespace peridot {

namespace {

    constexpr double negligibleDemandPerSecond = 0.01; // Smaller demands are removed from the maps.
    // Minimum size of a bucket as a share of the slack. It keeps workspaces with a burst of a few units from being
    // refused when two requests arrive together.
    constexpr double minimumBurstShareOfSlack = 0.25;
    constexpr double maximumStepSeconds = 1; // Limits the refill of a bucket after a pause of the process.
    // Maximum deficit of a bucket in seconds of its rate. It limits the time for which a workspace is refused.
    constexpr double maximumDeficitSeconds = 3;
    constexpr Duration minimumRetryAfter = std::chrono::milliseconds { 500 };
    constexpr Duration maximumRetryAfter = std::chrono::seconds { 5 };

    double valueOf(const std::map<WorkspaceId, double>& values, const WorkspaceId& id)
    {
        const auto it = values.find(id);
        return it == values.end() ? 0.0 : it->second;
    }

}

const std::map<WorkspaceId, double>& QuotaController::measure(QuotaGate& gate, TimePoint now)
{
    const auto counts = gate.takeDemand();
    const auto passed = toSeconds(now - m_measuredAt);
    if (m_measuredAt != TimePoint {} && passed > 0) {
        for (const auto& [id, count] : counts)
            m_demands.try_emplace(id, 0);
        for (auto& [id, rate] : m_demands) {
            const auto it = counts.find(id);
            const auto current = it == counts.end() ? 0.0 : static_cast<double>(it->second) / passed;
            rate += m_options.demandSmoothing * (current - rate);
        }
        for (const auto& [id, rate] : m_demands)
            m_baselines.try_emplace(id, 0);
        for (auto& [id, baseline] : m_baselines)
            baseline += m_options.baselineSmoothing * (valueOf(m_demands, id) - baseline);
        std::erase_if(m_demands, [](const auto& it) { return it.second < negligibleDemandPerSecond; });
        std::erase_if(m_baselines, [](const auto& it) { return it.second < negligibleDemandPerSecond; });
    }
    m_measuredAt = now;
    m_history.push_back({ now, m_baselines });
    while (m_history.size() > 1 && now - m_history[1].time >= m_options.propagationDelay)
        m_history.pop_front();
    return m_demands;
}

/** Advances the level of the bucket and returns the number of requests per second that may be admitted. */
double QuotaController::updateLevel(
    const WorkspaceQuota& quota, BucketState& state, double total, double passedSeconds, TimePoint now) const
{
    auto& probabilities = state.probabilities;
    while (probabilities.size() > 1 && now - probabilities[1].since >= m_options.propagationDelay)
        probabilities.pop_front();
    const auto admitted = total * (probabilities.empty() ? 1 : probabilities.front().value);
    const auto rate = quota.ratePerSecond;
    state.level = std::clamp(state.level + (rate - admitted) * passedSeconds, -maximumDeficitSeconds * rate,
        std::max(quota.burst, minimumBurstShareOfSlack * m_options.slack));
    const auto correctionTime = state.level > 0 ? m_options.burstTime : m_options.deficitRecoveryTime;
    return std::max(0.0, rate + state.level / toSeconds(correctionTime));
}

double QuotaController::allowance(
    const WorkspaceQuota& quota, double baseline, double total, std::size_t instances, TimePoint now) const
{
    const auto rate = quota.ratePerSecond;
    const auto count = static_cast<double>(std::max<std::size_t>(instances, 1));
    if (total > rate)
        baseline *= rate / total;
    // After a start the demands of the other instances are unknown until they have arrived.
    const bool isStartingUp = now - m_startedAt < 2 * m_options.propagationDelay;
    const auto startupFactor = isStartingUp ? 0.5 : 1.0;
    const auto window = toSeconds(m_options.window);
    const auto bound = (rate * window + quota.burst) * (1 + m_options.overage) + m_options.slack;
    const auto spare = (bound - std::min(total, rate) * window) / count;
    const auto surgeWindowSeconds = startupFactor * m_options.surgeFactor * toSeconds(QuotaGate::s_window);
    const auto minimum = std::clamp(startupFactor * m_options.spareFactor * spare,
        startupFactor * m_options.minimumAllowance, m_options.maximumSpareAllowance);
    return std::max(surgeWindowSeconds * rate / count, minimum) + surgeWindowSeconds * baseline;
}

void QuotaController::apply(QuotaGate& gate, const std::vector<WorkspaceQuota>& quotas,
    const std::map<WorkspaceId, double>& totals, std::size_t instances, TimePoint now)
{
    if (m_history.empty())
        return;
    if (m_startedAt == TimePoint {})
        m_startedAt = m_appliedAt = now;
    const auto passed = std::min(toSeconds(now - m_appliedAt), maximumStepSeconds);
    m_appliedAt = now;
    std::map<WorkspaceId, BucketState> states;
    for (const auto& quota : quotas) {
        if (quota.ratePerSecond <= 0)
            continue;
        auto node = m_states.extract(quota.id);
        auto& state = states.emplace(quota.id, node.empty() ? BucketState {} : std::move(node.mapped())).first->second;
        const auto total = valueOf(totals, quota.id);
        const auto covered = updateLevel(quota, state, total, passed, now);
        QuotaAdmission admission;
        if (total > covered)
            admission.probability = covered / total;
        admission.allowance = allowance(quota, valueOf(m_history.front().baseline, quota.id), total, instances, now);
        admission.retryAfter = admission.probability > 0
            ? std::clamp(fromSeconds(1 / admission.probability), minimumRetryAfter, maximumRetryAfter)
            : maximumRetryAfter;
        state.probabilities.push_back({ now, admission.probability });
        gate.setAdmission(quota.id, admission);
    }
    m_states = std::move(states);
}

}
