#include "steering/QuotaGate.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr double lateShareSmoothing = 0.02;

}

void QuotaGate::Usage::advance(TimePoint now) noexcept
{
    const auto passed = now - windowStart;
    if (passed < s_window)
        return;
    previous = passed < 2 * s_window ? current : 0;
    current = 0;
    windowStart = passed < 2 * s_window ? windowStart + s_window : now;
}

double QuotaGate::Usage::inWindow(TimePoint now) const noexcept
{
    return current + previous * std::max(0.0, 1 - toSeconds(now - windowStart) / toSeconds(s_window));
}

void QuotaGate::configure(const std::vector<WorkspaceQuota>& quotas)
{
    std::map<WorkspaceId, Entry> entries;
    for (const auto& quota : quotas) {
        Entry entry;
        if (const auto it = m_entries.find(quota.id); it != m_entries.end())
            entry = it->second;
        entry.rate = quota.ratePerSecond;
        entries.emplace(quota.id, entry);
    }
    m_entries = std::move(entries);
}

void QuotaGate::setAdmission(const WorkspaceId& id, const QuotaAdmission& admission)
{
    if (const auto it = m_entries.find(id); it != m_entries.end())
        it->second.admission = admission;
}

/** Divides the probability of the workspace between late attempts and others, so that the mean stays the same. */
double QuotaGate::Entry::probability(bool isLateAttempt) const noexcept
{
    const auto others = 1 - lateShare;
    if (!isLateAttempt)
        return others > 0 ? std::min(1.0, admission.probability / others) : admission.probability;
    return lateShare > 0 ? std::max(0.0, admission.probability - others) / lateShare : admission.probability;
}

tl::expected<void, Duration> QuotaGate::tryAdmit(const WorkspaceId& id, TimePoint now, bool isLateAttempt)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return {};
    auto& entry = it->second;
    ++entry.demand;
    entry.lateShare += lateShareSmoothing * ((isLateAttempt ? 1 : 0) - entry.lateShare);
    if (entry.rate <= 0)
        return {};
    if (entry.admission.probability < 1
        && std::uniform_real_distribution<double>(0, 1)(m_random) >= entry.probability(isLateAttempt))
        return tl::make_unexpected(entry.admission.retryAfter);
    auto& usage = entry.usage;
    usage.advance(now);
    if (usage.inWindow(now) + 1 > entry.admission.allowance)
        return tl::make_unexpected(usage.windowStart + s_window - now);
    usage.current += 1;
    return {};
}

void QuotaGate::refund(const WorkspaceId& id)
{
    if (const auto it = m_entries.find(id); it != m_entries.end())
        it->second.usage.current = std::max(0.0, it->second.usage.current - 1);
}

std::map<WorkspaceId, std::uint64_t> QuotaGate::takeDemand()
{
    std::map<WorkspaceId, std::uint64_t> demand;
    for (auto& [id, entry] : m_entries) {
        if (entry.demand > 0)
            demand.emplace(id, std::exchange(entry.demand, 0));
    }
    return demand;
}

}
