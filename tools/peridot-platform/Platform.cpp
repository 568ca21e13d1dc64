// Admission, execution and counting of store requests.

#include "Platform.h"

#include <algorithm>
#include <array>

namespace peridot {

namespace {

    bool isWrite(const StoreRequest& request) noexcept
    {
        return std::holds_alternative<TableCommit>(request) || std::holds_alternative<ObjectPut>(request);
    }

    // In the order of the alternatives of StoreRequest.
    constexpr std::array<const char*, std::variant_size_v<StoreRequest>> typeNames { "table_read", "table_scan",
        "table_commit", "object_put", "object_get", "list_instances" };

    const char* typeName(const StoreRequest& request) { return typeNames.at(request.index()); }

}

RateLimit::RateLimit(double perSecond, TimePoint now)
    : m_perSecond(perSecond)
    , m_tokens(perSecond)
    , m_refilled(now)
{
}

bool RateLimit::take(TimePoint now)
{
    if (now > m_refilled) {
        m_tokens = std::min(m_perSecond, m_tokens + toSeconds(now - m_refilled) * m_perSecond);
        m_refilled = now;
    }
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

Platform::Platform(const PlatformSettings& settings, TimePoint now)
    : m_listLag(settings.listLag)
    , m_instances(settings.instances, now)
    , m_writes(settings.writesPerSecond, now)
    , m_reads(settings.readsPerSecond, now)
    , m_random(settings.randomSeed)
{
    for (const auto* name : typeNames)
        m_counts[name] = {};
    m_store.apply(TableCommit { {}, settings.initialRows });
    for (const auto& object : settings.initialObjects)
        m_store.apply(object);
}

Admission Platform::admit(const StoreRequest& request, const std::string& caller, TimePoint now)
{
    auto& counts = m_counts[typeName(request)];
    if (m_faults.isHanging || m_faults.unreachableCallers.contains(caller)) {
        ++counts.hanging;
        return Admission::Hang;
    }
    if (m_faults.isDown) {
        ++counts.refusedDown;
        return Admission::RefuseDown;
    }
    if (!(isWrite(request) ? m_writes : m_reads).take(now)) {
        ++counts.refusedRate;
        return Admission::RefuseRate;
    }
    ++m_callers[caller.empty() ? "unnamed" : caller];
    return Admission::Run;
}

Execution Platform::execute(const StoreRequest& request, TimePoint now)
{
    auto& counts = m_counts[typeName(request)];
    ++counts.run;
    if (std::holds_alternative<ListInstances>(request))
        return { StoreValue { m_instances.listed(listLag(), now) }, false };

    Execution execution { m_store.apply(request), isLost(request) };
    if (execution.isAnswerLost)
        ++counts.lostAnswers;
    if (const auto* commit = std::get_if<TableCommit>(&request); commit && execution.result) {
        if (std::get<CommitResult>(*execution.result).isCommitted)
            m_committedRows += commit->writes.size();
        else
            ++m_refusedCommits;
    }
    return execution;
}

bool Platform::isLost(const StoreRequest& request)
{
    return isWrite(request) && m_faults.lostAnswerProbability > 0
        && std::bernoulli_distribution { m_faults.lostAnswerProbability }(m_random);
}

void Platform::setFaults(const PlatformFaults& faults, TimePoint now)
{
    // Freezes with the lag that has been in force so far.
    if (faults.isListFrozen)
        m_instances.freeze(listLag(), now);
    else
        m_instances.thaw();
    m_faults = faults;
}

nlohmann::json Platform::statistics() const
{
    nlohmann::json operations = nlohmann::json::object();
    for (const auto& [name, counts] : m_counts) {
        operations[name]
            = { { "run", counts.run }, { "refused_down", counts.refusedDown }, { "refused_rate", counts.refusedRate },
                  { "hanging", counts.hanging }, { "lost_answers", counts.lostAnswers } };
    }
    return { { "operations", std::move(operations) }, { "callers", m_callers }, { "committed_rows", m_committedRows },
        { "refused_commits", m_refusedCommits }, { "table_rows", m_store.table().size() } };
}

}
