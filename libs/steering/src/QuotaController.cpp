#include "steering/QuotaController.h"

#include <algorithm>

namespace peridot {

namespace {

    constexpr double negligible = 0.01; // Requests per second; a smaller demand is forgotten.
    // A workspace with a burst of a few units is not refused for two requests that arrive together.
    constexpr double smallestBurstPart = 0.25; // Of the slack.
    constexpr double longestStepSeconds = 1; // A paused process does not fill the bucket for the time of its pause.
    constexpr double deepestDebtSeconds = 3; // Of the rate, so that a workspace is not locked out for long.
    constexpr Duration shortestRetry = std::chrono::milliseconds { 500 };
    constexpr Duration longestRetry = std::chrono::seconds { 5 };

    double valueOf(const std::map<WorkspaceId, double>& values, const WorkspaceId& id)
    {
        const auto it = values.find(id);
        return it == values.end() ? 0.0 : it->second;
    }

}

const std::map<WorkspaceId, double>& QuotaController::measure(QuotaGate& gate, TimePoint now)
{
    const auto counts = gate.takeDemand();
    const auto passed = toSeconds(now - m_measured);
    if (m_measured != TimePoint {} && passed > 0) {
        for (const auto& [id, count] : counts)
            m_demands.try_emplace(id, 0);
        for (auto& [id, rate] : m_demands) {
            const auto it = counts.find(id);
            const auto current = it == counts.end() ? 0.0 : static_cast<double>(it->second) / passed;
            rate += m_options.smoothing * (current - rate);
        }
        for (const auto& [id, rate] : m_demands)
            m_usual.try_emplace(id, 0);
        for (auto& [id, usual] : m_usual)
            usual += m_options.usualSmoothing * (valueOf(m_demands, id) - usual);
        std::erase_if(m_demands, [](const auto& it) { return it.second < negligible; });
        std::erase_if(m_usual, [](const auto& it) { return it.second < negligible; });
    }
    m_measured = now;
    m_history.push_back({ now, m_usual });
    while (m_history.size() > 1 && now - m_history[1].time >= m_options.propagationDelay)
        m_history.pop_front();
    return m_demands;
}

/** Returns the requests per second that the bucket covers. */
double QuotaController::updateLevel(
    const WorkspaceQuota& quota, State& state, double total, double passedSeconds, TimePoint now) const
{
    auto& probabilities = state.probabilities;
    while (probabilities.size() > 1 && now - probabilities[1].since >= m_options.propagationDelay)
        probabilities.pop_front();
    const auto admitted = total * (probabilities.empty() ? 1 : probabilities.front().value);
    const auto rate = quota.ratePerSecond;
    state.level = std::clamp(state.level + (rate - admitted) * passedSeconds, -deepestDebtSeconds * rate,
        std::max(quota.burst, smallestBurstPart * m_options.slack));
    const auto correctionTime = state.level > 0 ? m_options.burstTime : m_options.debtTime;
    return std::max(0.0, rate + state.level / toSeconds(correctionTime));
}

double QuotaController::allowance(
    const WorkspaceQuota& quota, double usual, double total, std::size_t instances, TimePoint now) const
{
    const auto rate = quota.ratePerSecond;
    const auto count = static_cast<double>(std::max<std::size_t>(instances, 1));
    if (total > rate)
        usual *= rate / total;
    // Nothing is known of the others until their demands have arrived.
    const bool isNew = now - m_started < 2 * m_options.propagationDelay;
    const auto caution = isNew ? 0.5 : 1.0;
    const auto window = toSeconds(m_options.window);
    const auto bound = (rate * window + quota.burst) * (1 + m_options.overage) + m_options.slack;
    const auto spare = (bound - std::min(total, rate) * window) / count;
    const auto part = caution * m_options.surgeFactor * toSeconds(QuotaGate::s_window);
    const auto least = std::clamp(caution * m_options.spareFactor * spare, caution * m_options.smallestAllowance,
        m_options.largestSpareAllowance);
    return std::max(part * rate / count, least) + part * usual;
}

void QuotaController::apply(QuotaGate& gate, const std::vector<WorkspaceQuota>& quotas,
    const std::map<WorkspaceId, double>& totals, std::size_t instances, TimePoint now)
{
    if (m_history.empty())
        return;
    if (m_started == TimePoint {})
        m_started = m_applied = now;
    const auto passed = std::min(toSeconds(now - m_applied), longestStepSeconds);
    m_applied = now;
    std::map<WorkspaceId, State> states;
    for (const auto& quota : quotas) {
        if (quota.ratePerSecond <= 0)
            continue;
        auto node = m_states.extract(quota.id);
        auto& state = states.emplace(quota.id, node.empty() ? State {} : std::move(node.mapped())).first->second;
        const auto total = valueOf(totals, quota.id);
        const auto covered = updateLevel(quota, state, total, passed, now);
        QuotaAdmission admission;
        if (total > covered)
            admission.probability = covered / total;
        admission.allowance = allowance(quota, valueOf(m_history.front().usual, quota.id), total, instances, now);
        admission.retryAfter = admission.probability > 0
            ? std::clamp(fromSeconds(1 / admission.probability), shortestRetry, longestRetry)
            : longestRetry;
        state.probabilities.push_back({ now, admission.probability });
        gate.setAdmission(quota.id, admission);
    }
    m_states = std::move(states);
}

}
