#include "Judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace peridot::trial {

namespace {

    // A request is answered by its timeout; the margin covers one timer interval and the way to the backend server.
    constexpr Duration answerMargin = std::chrono::seconds { 1 };
    // Old records are dropped once nothing can happen to their requests any more.
    constexpr Duration recordLifetime = std::chrono::seconds { 120 };
    constexpr Duration leavingAllowance = std::chrono::seconds { 3 };

    // Wrongful refusals are at most 0.1%; the constant covers the statistics of short runs.
    constexpr double recoveryRefusalRatio = 0.001;
    constexpr std::uint64_t recoveryRefusalBase = 5;
    constexpr double steadyDemandRatio = 0.9;

    /** Refusals that the request itself is the reason of, or that faults long past may still cause. */
    bool isCallersOwnDoing(const std::string& code)
    {
        static const std::set<std::string> codes { "duplicate_request", "deadline_unreachable", "backend_timeout",
            "withdrawn_key" };
        return codes.count(code) > 0;
    }

    bool isRateRefusal(const std::string& code) { return code == "rate_exceeded"; }

}

Judge::Judge(const Deployment& deployment, Verdict& verdict, double shiftCap)
    : m_deployment(deployment)
    , m_verdict(verdict)
    , m_measures(deployment)
    , m_load(deployment, verdict)
    , m_shifts(deployment, verdict, shiftCap)
{
}

bool Judge::hasRequest(RequestIndex index) const noexcept
{
    return index >= m_firstIndex && index - m_firstIndex < m_records.size();
}

const Judge::Record& Judge::record(RequestIndex index) const
{
    if (!hasRequest(index))
        throw std::out_of_range(fmt::format("request {} is unknown or too old", index));
    return m_records[index - m_firstIndex];
}

std::string Judge::describe(RequestIndex index) const
{
    const SentRequest& it = record(index).sent;
    return fmt::format("request=r{} workspace={} class={} key={} idempotency_key={} instance={} sent_at_s={:.3f}",
        index, m_deployment.workspaces[it.workspace].id, m_deployment.classes[it.trafficClass].id, it.keyId,
        it.idempotencyKey, it.instance, toSeconds(it.sentAt));
}

RequestIndex Judge::sent(SentRequest request)
{
    ++m_counts.sent;
    Record it;
    it.deadline = request.sentAt + request.timeout;
    it.sent = std::move(request);
    if (it.sent.keyUse == KeyUse::Valid && !classOf(it).isOpen) {
        const auto rate = m_rates.find(m_deployment.workspaces[it.sent.workspace].id);
        it.isWithinRate = rate != m_rates.end() && rate->second.offer(it.sent.sentAt);
        it.isInRecovery = m_expectsRecovery && it.isWithinRate;
        if (m_expectsRecovery) {
            RecoveryCount& count = m_recovery[it.sent.workspace];
            ++count.offered;
            count.withinRate += it.isWithinRate ? 1 : 0;
            m_recoveryLast = it.sent.sentAt;
        }
    }
    m_records.push_back(std::move(it));
    return m_firstIndex + m_records.size() - 1;
}

void Judge::begun(RequestIndex index, VirtualTime now)
{
    Record& it = record(index);
    it.deadline = now + it.sent.timeout;
}

void Judge::checkRate(Record& it, RequestIndex index, VirtualTime now)
{
    if (classOf(it).isOpen || it.sent.keyUse != KeyUse::Valid || it.attempts > 1)
        return;
    ++m_counts.admitted;
    const auto rate = m_rates.find(m_deployment.workspaces[it.sent.workspace].id);
    const bool holds = rate != m_rates.end() && rate->second.admit(now);
    if (!m_verdict.check(Rule::Rate, holds, now, [&] { return describe(index); }))
        ++m_counts.overspent;
}

void Judge::checkKey(const Record& it, RequestIndex index, VirtualTime now)
{
    if (classOf(it).isOpen)
        return;
    m_verdict.check(Rule::Workspace, it.sent.keyUse == KeyUse::Valid, now,
        [&] { return "dispatched without a valid key: " + describe(index); });
    const auto withdrawn = m_withdrawnAt.find(it.sent.keyId);
    if (withdrawn == m_withdrawnAt.end())
        return;
    const Duration late = now - withdrawn->second;
    m_counts.keyWithdrawalMaximum = std::max(m_counts.keyWithdrawalMaximum, late);
    m_verdict.check(Rule::Withdrawal, late <= configurationAllowance, now,
        [&] { return fmt::format("late_s={:.3f} {}", toSeconds(late), describe(index)); });
}

void Judge::checkVersion(const SeenDispatch& seen, VirtualTime now)
{
    const auto newer = std::find_if(
        m_versions.begin(), m_versions.end(), [&](const auto& version) { return version.first > seen.version; });
    const Duration stale = newer == m_versions.end() ? Duration { 0 } : now - newer->second;
    m_counts.configurationInForceMaximum = std::max(m_counts.configurationInForceMaximum, stale);
    m_verdict.check(Rule::StaleConfiguration, stale <= configurationAllowance, now, [&] {
        return fmt::format(
            "keyed dispatch at version={} stale_s={:.3f} {}", seen.version, toSeconds(stale), describe(seen.request));
    });
}

void Judge::dispatched(const SeenDispatch& seen, VirtualTime now)
{
    Record& it = record(seen.request);
    ++it.attempts;
    ++m_counts.attempts;
    checkRate(it, seen.request, now);
    checkKey(it, seen.request, now);
    if (!classOf(it).isOpen)
        checkVersion(seen, now);
    m_verdict.check(Rule::FalseNotRun, it.notRunAt == VirtualTime { 0 }, now,
        [&] { return "dispatched after not_run: " + describe(seen.request); });
    m_load.began(seen.service, seen.instanceRegion, seen.backendRegion, it.sent.isSteered, seen.bytes, now);
}

void Judge::undispatched(const SeenDispatch& seen, std::uint64_t responseBytes, VirtualTime now)
{
    const bool isSteered = hasRequest(seen.request) && record(seen.request).sent.isSteered;
    m_load.ended(seen.service, seen.instanceRegion, seen.backendRegion, isSteered, responseBytes, now);
}

void Judge::ran(RequestIndex index, VirtualTime now)
{
    if (!hasRequest(index))
        return;
    Record& it = record(index);
    ++it.runs;
    if (!m_verdict.check(Rule::FalseNotRun, it.notRunAt == VirtualTime { 0 }, now,
            [&] { return "ran after not_run: " + describe(index); }))
        ++m_counts.falseNotRun;
    if (classOf(it).isIdempotent)
        return;
    std::uint32_t runs = it.runs;
    if (!it.sent.idempotencyKey.empty() && it.sent.keyUse == KeyUse::Valid)
        runs = std::max(runs,
            ++m_runsByIdempotencyKey[m_deployment.workspaces[it.sent.workspace].id + '/' + it.sent.idempotencyKey]);
    if (!m_verdict.check(
            Rule::DoubleRun, runs <= 1, now, [&] { return fmt::format("runs={} {}", runs, describe(index)); }))
        ++m_counts.doubleRuns;
}

void Judge::countRefusal(const Record& it, RequestIndex index, const Answer& answer, VirtualTime now)
{
    ++m_counts.refusals[answer.code];
    if (it.isInRecovery && !isCallersOwnDoing(answer.code))
        ++m_recovery[it.sent.workspace].refusals[answer.code];
    if (!isRateRefusal(answer.code)) {
        ++m_counts.otherRefusals;
        return;
    }
    ++m_counts.rateRefusals;
    if (it.isWithinRate)
        ++m_counts.wrongfulRefusals;
    if (m_expectsNoWrongfulRefusals)
        m_verdict.check(Rule::SteadyRefusal, !it.isWithinRate, now, [&] { return describe(index); });
}

void Judge::answered(RequestIndex index, const Answer& answer, VirtualTime now)
{
    Record& it = record(index);
    ++it.answers;
    m_verdict.check(Rule::FinalAnswer, it.answers == 1, now,
        [&] { return fmt::format("answers={} {}", it.answers, describe(index)); });
    const VirtualTime resumed = m_resumedAt[it.sent.instance];
    const VirtualTime latest = std::max(it.deadline, resumed) + answerMargin;
    m_verdict.check(Rule::FinalAnswer, it.hasLeft || now <= latest, now, [&] {
        return fmt::format("answered after its timeout of {} ms: {}", toMilliseconds(it.sent.timeout), describe(index));
    });
    switch (answer.kind) {
    case AnswerKind::Refused:
        countRefusal(it, index, answer, now);
        if (answer.run == RunState::NotRun) {
            it.notRunAt = now;
            if (!m_verdict.check(Rule::FalseNotRun, it.runs == 0, now,
                    [&] { return fmt::format("refused with {}: {}", answer.code, describe(index)); }))
                ++m_counts.falseNotRun;
        }
        break;
    case AnswerKind::Replayed:
        m_verdict.check(Rule::Replay,
            answer.replayed == m_deployment.workspaces[it.sent.workspace].id + '/' + it.sent.idempotencyKey, now,
            [&] { return fmt::format("replayed \"{}\" {}", answer.replayed, describe(index)); });
        break;
    case AnswerKind::Broken:
        ++m_counts.broken;
        break;
    case AnswerKind::Completed:
        m_verdict.check(
            Rule::FinalAnswer, it.runs > 0, now, [&] { return "completed without a run: " + describe(index); });
        break;
    }
}

void Judge::callerLeft(RequestIndex index)
{
    if (hasRequest(index))
        record(index).hasLeft = true;
}

void Judge::received(RequestIndex index, VirtualTime now)
{
    const Record& it = record(index);
    m_measures.completed(it.sent.workspace, it.sent.trafficClass, now - it.sent.startedAt);
}

void Judge::lookedUp(std::size_t homeRegion, std::optional<std::size_t> region, VirtualTime now)
{
    m_shifts.lookedUp(homeRegion, region, now);
}

void Judge::slotsChanged(std::size_t service, std::size_t region, int slots, VirtualTime now)
{
    m_load.slotsChanged(service, region, slots, now);
}

void Judge::configurationAccepted(const AcceptedConfiguration& configuration, VirtualTime now)
{
    m_verdict.check(Rule::RevertedConfiguration, configuration.version > m_accepted.version, now,
        [&] { return fmt::format("store went from version {} to {}", m_accepted.version, configuration.version); });
    for (const auto& [key, workspace] : m_accepted.keys) {
        if (configuration.keys.count(key) == 0)
            m_withdrawnAt.emplace(key, now);
    }
    for (const auto& [key, workspace] : configuration.keys)
        m_withdrawnAt.erase(key);
    for (const auto& [workspace, limit] : configuration.workspaces) {
        const auto [it, isNew] = m_rates.try_emplace(workspace, limit.rate, limit.burst);
        if (!isNew && m_accepted.workspaces[workspace] != limit)
            it->second.setLimit(limit.rate, limit.burst, now);
    }
    m_versions.emplace_back(configuration.version, now);
    m_accepted = configuration;
}

void Judge::dispatchedToLeaving(const std::string& server, std::size_t instance, VirtualTime listedAt, VirtualTime now)
{
    m_verdict.check(Rule::Leaving, now - listedAt <= leavingAllowance, now, [&] {
        return fmt::format("server={} instance={} listed_before_s={:.3f}", server, instance, toSeconds(now - listedAt));
    });
}

void Judge::versionSeen(std::size_t instance, std::uint64_t incarnation, std::uint64_t version, VirtualTime now)
{
    SeenVersion& seen = m_seenVersions[instance];
    if (seen.incarnation != incarnation)
        seen = { incarnation, 0 };
    m_verdict.check(Rule::RevertedConfiguration, version >= seen.version, now,
        [&] { return fmt::format("instance={} from={} to={}", instance, seen.version, version); });
    seen.version = version;
}

void Judge::undisturbedInstance(std::size_t instance, std::uint64_t version, VirtualTime now)
{
    const auto newer = std::find_if(
        m_versions.begin(), m_versions.end(), [&](const auto& accepted) { return accepted.first > version; });
    const Duration stale = newer == m_versions.end() ? Duration { 0 } : now - newer->second;
    m_verdict.check(Rule::StaleConfiguration, stale <= configurationAllowance, now, [&] {
        return fmt::format("undisturbed instance={} version={} stale_s={:.3f}", instance, version, toSeconds(stale));
    });
}

void Judge::stopped(std::size_t instance, bool isPlanned, const std::vector<RequestIndex>& open, VirtualTime now)
{
    if (!isPlanned)
        return;
    m_verdict.check(Rule::PlannedStop, open.empty(), now, [&] {
        return fmt::format("instance={} interrupted={} first: {}", instance, open.size(), describe(open.front()));
    });
}

void Judge::drained(std::size_t, Duration took, VirtualTime)
{
    m_counts.drainMaximum = std::max(m_counts.drainMaximum, took);
}

void Judge::drainFailed(std::size_t instance, Duration took, VirtualTime now)
{
    m_verdict.violate(
        Rule::PlannedStop, now, fmt::format("instance={} has not drained after_s={:.3f}", instance, toSeconds(took)));
}

void Judge::assertionFailed(std::size_t instance, const std::string& text, VirtualTime now)
{
    m_verdict.violate(Rule::Assertion, now, fmt::format("instance={} {}", instance, text));
}

void Judge::resumed(std::size_t instance, VirtualTime now) { m_resumedAt[instance] = now; }

void Judge::checkAnswered(const Record& it, RequestIndex index, VirtualTime now)
{
    m_verdict.check(
        Rule::FinalAnswer, it.hasLeft || it.answers > 0, now, [&] { return "no answer: " + describe(index); });
}

void Judge::dropOld(VirtualTime now)
{
    while (!m_records.empty() && now - m_records.front().sent.sentAt > recordLifetime) {
        checkAnswered(m_records.front(), m_firstIndex, now);
        m_records.pop_front();
        ++m_firstIndex;
    }
}

void Judge::sample(VirtualTime now)
{
    m_load.sample(now);
    dropOld(now);
}

void Judge::checkRecovery(std::size_t workspace, const RecoveryCount& count, VirtualTime now)
{
    const std::string& name = m_deployment.workspaces[workspace].id;
    const double rate = m_accepted.workspaces.at(name).rate;
    const double offeredRate = static_cast<double>(count.offered) / toSeconds(m_recoveryLast - m_recoveryStart);
    std::uint64_t refused = 0;
    std::string codes;
    for (const auto& [code, n] : count.refusals) {
        // Above 90% of the rate a refusal for the rate may be right by the time that it is decided.
        if (isRateRefusal(code) && offeredRate > steadyDemandRatio * rate)
            continue;
        refused += n;
        codes += fmt::format(" {}={}", code, n);
    }
    const auto allowed = recoveryRefusalBase
        + static_cast<std::uint64_t>(recoveryRefusalRatio * static_cast<double>(count.withinRate));
    m_verdict.check(Rule::Recovery, refused <= allowed, now, [&] {
        return fmt::format("workspace={} offered_per_s={:.1f} rate={} within_rate={} allowed={} refused={}{}", name,
            offeredRate, rate, count.withinRate, allowed, refused, codes);
    });
}

void Judge::finish(VirtualTime now)
{
    for (const auto& [workspace, count] : m_recovery)
        checkRecovery(workspace, count, now);
    for (std::size_t n = 0; n < m_records.size(); ++n)
        checkAnswered(m_records[n], m_firstIndex + n, now);
}

}
