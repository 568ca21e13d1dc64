#include "membership/Evidence.h"

#include <algorithm>

namespace peridot {

namespace {

    // Statements for versions that are not in force yet; more than some are pending only if fetching fails.
    constexpr std::size_t entryLimit = 16;

}

void Evidence::confirmed(ConfigurationVersion version, TimePoint readStart)
{
    add({ version, readStart, EvidenceKind::Confirmed });
}

void Evidence::storeUnavailable(ConfigurationVersion version, TimePoint asOf)
{
    add({ version, asOf, EvidenceKind::StoreUnavailable });
}

void Evidence::learn(const EvidenceStatement& statement, TimePoint requestSent)
{
    if (statement.kind != EvidenceKind::None && statement.age >= Duration { 0 })
        add({ statement.version, requestSent - withDrift(statement.age), statement.kind });
}

void Evidence::add(Entry entry)
{
    m_highest = std::max(m_highest, entry.version);
    const auto covers = [](const Entry& a, const Entry& b) { return a.version <= b.version && a.time >= b.time; };
    if (std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry& other) { return covers(other, entry); }))
        return;
    std::erase_if(m_entries, [&](const Entry& other) { return covers(entry, other); });
    const auto position = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const Entry& other) { return other.version > entry.version; });
    m_entries.insert(position, entry);
    if (m_entries.size() > entryLimit)
        m_entries.erase(m_entries.begin());
}

void Evidence::adopted(ConfigurationVersion version) noexcept
{
    m_inForce = std::max(m_inForce, version);
    m_highest = std::max(m_highest, version);
    // The newest statement up to the version in force makes the older ones useless.
    while (m_entries.size() > 1 && m_entries[1].version <= m_inForce)
        m_entries.erase(m_entries.begin());
}

void Evidence::reachabilityWitnessed(TimePoint sent) noexcept
{
    m_witnessed = std::max(m_witnessed.value_or(sent), sent);
}

std::optional<TimePoint> Evidence::time() const noexcept
{
    std::optional<TimePoint> result;
    for (const auto& entry : m_entries) {
        if (entry.version <= m_inForce && m_inForce > 0)
            result = entry.time;
    }
    return result;
}

bool Evidence::isFresh(TimePoint now) const noexcept
{
    const auto newest = time();
    return newest && now - *newest <= s_freshFor;
}

EvidenceKind Evidence::kind(TimePoint now) const noexcept
{
    auto result = EvidenceKind::None;
    for (const auto& entry : m_entries) {
        if (entry.version <= m_inForce && now - entry.time <= s_freshFor)
            result = entry.kind;
    }
    return result;
}

EvidenceStatement Evidence::statement(TimePoint now) const noexcept
{
    if (m_entries.empty())
        return {};
    const auto& newest = m_entries.back();
    return { newest.kind, newest.version, std::max(now - newest.time, Duration { 0 }) };
}

bool Evidence::mayWrite(TimePoint now) const noexcept { return m_witnessed && now - *m_witnessed <= s_writeWindow; }

}
