#include "steering/CrashRegistry.h"

#include <algorithm>
#include <utility>

namespace peridot {

CrashRegistry::CrashRegistry(CrashRegistryOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

bool CrashRegistry::Entry::hasOtherReport(const CrashReport& report) const
{
    return std::any_of(reports.begin(), reports.end(),
        [&](const auto& it) { return it.first.server == report.server && it.first != report; });
}

std::size_t CrashRegistry::Entry::ends() const
{
    std::size_t count = 0;
    std::vector<LostSend> sends;
    for (const auto& [report, end] : reports) {
        // Without an incarnation it may be of an end that another report names.
        if (report.incarnation == 0 && hasOtherReport(report))
            continue;
        if (report.send)
            sends.push_back(*report.send);
        else
            ++count;
    }
    std::sort(sends.begin(), sends.end(), [](const auto& a, const auto& b) { return a.lostAt < b.lostAt; });
    std::optional<std::chrono::milliseconds> lastLoss;
    for (const auto& send : sends) {
        if (lastLoss && send.sentAt < *lastLoss)
            continue;
        lastLoss = send.lostAt;
        ++count;
    }
    return count;
}

bool CrashRegistry::insert(const CrashReport& report, TimePoint now)
{
    std::uniform_int_distribution<Duration::rep> retention(
        m_options.minimumRetention.count(), m_options.maximumRetention.count());
    auto& entry = m_entries[report.content];
    entry.newest = std::max(entry.newest, now);
    const auto isNew = entry.reports.try_emplace(report, now + Duration { retention(m_random) }).second;
    limitSize();
    return isNew;
}

void CrashRegistry::limitSize()
{
    while (m_entries.size() > m_options.maximumRequests) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& a, const auto& b) { return a.second.newest < b.second.newest; }));
    }
}

void CrashRegistry::observe(const CrashReport& report, TimePoint now)
{
    if (insert(report, now))
        m_changes.added.push_back(report);
}

void CrashRegistry::completed(std::uint64_t content)
{
    const auto it = m_entries.find(content);
    if (it == m_entries.end())
        return;
    for (const auto& [report, end] : it->second.reports) {
        // A report that the other instances have not received needs no removal there.
        if (std::erase(m_changes.added, report) == 0)
            m_changes.removed.push_back(report);
    }
    m_entries.erase(it);
}

void CrashRegistry::add(const CrashReport& report, TimePoint now) { insert(report, now); }

void CrashRegistry::remove(const CrashReport& report)
{
    const auto it = m_entries.find(report.content);
    if (it == m_entries.end())
        return;
    it->second.reports.erase(report);
    if (it->second.reports.empty())
        m_entries.erase(it);
}

bool CrashRegistry::isIsolated(std::uint64_t content) const
{
    const auto it = m_entries.find(content);
    return it != m_entries.end() && it->second.ends() >= m_options.isolationThreshold;
}

std::size_t CrashRegistry::isolatedRequests() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& it) { return it.second.ends() >= m_options.isolationThreshold; }));
}

CrashReportChanges CrashRegistry::takeChanges(TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        std::erase_if(it->second.reports, [&](const auto& report) {
            if (report.second > now)
                return false;
            m_changes.removed.push_back(report.first);
            return true;
        });
        it = it->second.reports.empty() ? m_entries.erase(it) : std::next(it);
    }
    return std::exchange(m_changes, {});
}

}
