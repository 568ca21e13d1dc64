// The comparison, and the reading of the counts.

#include "RunAudit.h"

#include "HttpClients.h"

#include <nlohmann/json.hpp>

#include <future>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration fetchTimeout = std::chrono::seconds { 30 };

}

nlohmann::json AuditResult::toJson() const
{
    return { { "runs", runs }, { "ran_twice", ranTwice }, { "ran_although_refused", ranAlthoughRefused },
        { "completed_without_run", completedWithoutRun } };
}

void RunAudit::record(const std::string& echo, bool isIdempotent, Outcome outcome)
{
    std::lock_guard lock(m_mutex);
    auto& told = m_told[echo];
    told.isIdempotent = isIdempotent;
    told.isCompleted |= outcome == Outcome::Completed;
    told.mayHaveRun |= outcome != Outcome::RefusedInside && outcome != Outcome::RefusedAbove;
}

AuditResult RunAudit::compare(const std::map<std::string, std::uint64_t>& runs) const
{
    std::lock_guard lock(m_mutex);
    AuditResult result;
    for (const auto& [echo, told] : m_told) {
        const auto it = runs.find(echo);
        const auto count = it == runs.end() ? 0 : it->second;
        result.runs += count;
        if (count > 1 && !told.isIdempotent)
            result.ranTwice.push_back(echo);
        if (count > 0 && !told.mayHaveRun)
            result.ranAlthoughRefused.push_back(echo);
        if (count == 0 && told.isCompleted)
            result.completedWithoutRun.push_back(echo);
    }
    return result;
}

Result<std::map<std::string, std::uint64_t>> fetchRuns(const std::vector<std::string>& controlAddresses)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& address : controlAddresses) {
        auto answered = std::make_shared<std::promise<HttpOutcome>>();
        sendHttp(address, { "GET", "/control/runs?full=1", {}, "", true, fetchTimeout },
            [answered](const HttpOutcome& outcome) { answered->set_value(outcome); });
        const auto outcome = answered->get_future().get();
        const auto document = nlohmann::json::parse(outcome.body, nullptr, false);
        if (outcome.status != 200 || !document.is_object())
            return makeError(ErrorCode::Unavailable, "read the counted runs", address, outcome.error);
        const auto& byEcho = document.at("by_echo");
        if (byEcho.at("forgotten").get<std::uint64_t>() > 0)
            return makeError(ErrorCode::Unavailable, "read the counted runs", address,
                "the process has forgotten runs; raise its tracked_ids");
        for (const auto& [echo, count] : byEcho.at("counts").items())
            runs[echo] += count.get<std::uint64_t>();
    }
    return runs;
}

}
