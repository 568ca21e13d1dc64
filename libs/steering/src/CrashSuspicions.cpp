#include "steering/CrashSuspicions.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace peridot {

void CrashSuspicions::add(const CrashReport& report, const std::string& address, TimePoint now)
{
    const auto isNew = m_reports.try_emplace(report, Suspicion { address, now }).second;
    if (!isNew)
        return;
    m_nextRound = now;
    if (m_reports.size() <= m_options.maximumReports)
        return;
    const auto oldest = std::min_element(m_reports.begin(), m_reports.end(),
        [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
    m_dropped.push_back({ oldest->first, CrashDropReason::TooMany });
    m_reports.erase(oldest);
}

void CrashSuspicions::completed(std::uint64_t content)
{
    std::erase_if(m_reports, [&](const auto& it) { return it.first.content == content; });
    std::erase_if(m_confirmed, [&](const auto& it) { return it.content == content; });
}

std::set<std::string> CrashSuspicions::addresses() const
{
    std::set<std::string> result;
    for (const auto& [report, suspicion] : m_reports)
        result.insert(suspicion.address);
    return result;
}

std::vector<std::string> CrashSuspicions::beginRound(std::uint64_t round, TimePoint now)
{
    m_round = round;
    m_accepting.clear();
    m_refusing.clear();
    if (!isRoundDue(now))
        return {};
    m_nextRound = now + m_options.checkInterval;
    const auto all = addresses();
    std::vector<std::string> result(all.upper_bound(m_lastChecked), all.end());
    result.insert(result.end(), all.begin(), all.upper_bound(m_lastChecked));
    result.resize(std::min(result.size(), m_options.checksPerRound));
    m_lastChecked = result.back();
    return result;
}

void CrashSuspicions::connectEnded(
    std::uint64_t round, const std::string& address, ConnectOutcome outcome, TimePoint now)
{
    if (round != m_round)
        return;
    if (outcome == ConnectOutcome::Connected) {
        m_accepting.insert(address);
        for (auto& [report, suspicion] : m_reports) {
            if (suspicion.address == address && !suspicion.acceptsSince)
                suspicion.acceptsSince = now;
        }
    } else if (outcome == ConnectOutcome::Refused) {
        m_refusing.insert(address);
    }
    compareOutcomes();
}

void CrashSuspicions::compareOutcomes()
{
    if (m_accepting.empty())
        return;
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        const auto& suspicion = it->second;
        const bool hasEnded = !suspicion.acceptsSince && m_refusing.contains(suspicion.address);
        it = hasEnded ? confirm(it) : std::next(it);
    }
}

void CrashSuspicions::listed(const std::vector<ListedServer>& servers)
{
    std::unordered_set<std::string_view> suspected;
    for (const auto& [report, suspicion] : m_reports) {
        suspected.insert(report.server.value());
        suspected.insert(suspicion.address);
    }
    // takeEntry() erases reports, and with them the strings in the set.
    std::vector<const ListedServer*> entries;
    for (const auto& server : servers) {
        if (suspected.contains(server.id.value()) || suspected.contains(server.address))
            entries.push_back(&server);
    }
    for (const auto* server : entries)
        takeEntry(*server);
}

void CrashSuspicions::takeEntry(const ListedServer& server)
{
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        const auto& [report, suspicion] = *it;
        const bool isThere = server.id == report.server || server.address == suspicion.address;
        // Neither a missing incarnation nor an older one, as of a store that has come back from a copy, says anything.
        const bool isLaterStart = isThere && report.incarnation != 0 && server.incarnation > report.incarnation;
        it = isLaterStart ? confirm(it) : std::next(it);
    }
}

CrashSuspicions::Reports::iterator CrashSuspicions::confirm(Reports::iterator it)
{
    m_confirmed.push_back(it->first);
    return m_reports.erase(it);
}

std::vector<CrashReport> CrashSuspicions::takeConfirmed() { return std::exchange(m_confirmed, {}); }

std::vector<CrashSuspicions::Dropped> CrashSuspicions::takeDropped(TimePoint now)
{
    std::erase_if(m_reports, [&](const auto& it) {
        const auto& [report, suspicion] = it;
        const bool lives = suspicion.acceptsSince && now - *suspicion.acceptsSince >= m_options.listingTime;
        const bool isOld = now - suspicion.since >= m_options.longestWait;
        if (lives || isOld)
            m_dropped.push_back({ report, lives ? CrashDropReason::ServerLives : CrashDropReason::NoEvidence });
        return lives || isOld;
    });
    return std::exchange(m_dropped, {});
}

}
