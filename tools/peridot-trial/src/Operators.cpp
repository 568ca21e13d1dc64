#include "Operators.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace peridot::trial {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration meanInterval = seconds { 8 };
    constexpr Duration answerTimeout = seconds { 12 };
    constexpr int longestTries = 5;

}

Operators::Operators(const Deployment& deployment, EventLoop& loop, Network& network, EntryFleet& fleet,
    CallerPopulation& callers, CallerKeys& keys, ConfigurationWatch& watch, Judge& judge, Verdict& verdict,
    std::uint64_t seed)
    : m_deployment(deployment)
    , m_loop(loop)
    , m_network(network)
    , m_fleet(fleet)
    , m_callers(callers)
    , m_keys(keys)
    , m_watch(watch)
    , m_judge(judge)
    , m_verdict(verdict)
    , m_random(seed, "operators")
{
}

void Operators::start(VirtualTime begin, VirtualTime end)
{
    m_end = end;
    m_loop.at(begin, [this] { scheduleNext(); });
}

void Operators::scheduleNext()
{
    const Duration wait = m_random.exponential(meanInterval);
    if (m_loop.now() + wait > m_end)
        return;
    m_loop.after(wait, [this] {
        act();
        scheduleNext();
    });
}

void Operators::act()
{
    const std::size_t workspace = m_random.below(m_deployment.workspaces.size());
    switch (m_random.below(10)) {
    case 0:
    case 1:
    case 2:
        changeRate(workspace);
        break;
    case 3:
    case 4:
        changeTarget();
        break;
    case 5:
    case 6:
    case 7:
        replaceKey(workspace);
        break;
    case 8:
        race(workspace);
        break;
    default:
        drainRegion();
        break;
    }
}

Change Operators::rateChange(std::size_t workspace)
{
    const double rate = std::ceil(m_callers.demand(workspace) * rateOverDemand * m_random.uniform(0.4, 1.5));
    SetRate change;
    change.workspace = WorkspaceId { m_deployment.workspaces[workspace].id };
    change.ratePerSecond = static_cast<std::uint32_t>(rate);
    const double burst = m_judge.accepted().workspaces.at(m_deployment.workspaces[workspace].id).burst;
    change.burst = static_cast<std::uint32_t>(std::max(10.0, burst * m_random.uniform(0.6, 1.6)));
    return change;
}

void Operators::changeRate(std::size_t workspace) { submit(rateChange(workspace), 0, nullptr); }

void Operators::changeTarget()
{
    const ClassShape& shape = m_deployment.classes[m_random.below(m_deployment.classes.size())];
    const Duration target = std::chrono::duration_cast<milliseconds>(shape.target * m_random.uniform(0.7, 2));
    submit(SetTarget { ClassId { shape.id }, target }, 0, nullptr);
}

void Operators::replaceKey(std::size_t workspace)
{
    const std::string oldKey = m_keys.current(workspace);
    const std::string newKey = fmt::format("k-{}-{}", m_deployment.workspaces[workspace].id, ++m_lastKey);
    AccessKey key { KeyId { newKey }, hashKey(presentedKey(newKey)),
        WorkspaceId { m_deployment.workspaces[workspace].id } };
    const bool isSudden = m_random.chance(0.5);
    submit(IssueKey { key }, 0, [this, workspace, oldKey, newKey, isSudden](bool isIssued) {
        if (!isIssued)
            return;
        // After a sudden withdrawal the callers notice some seconds later that their key is refused.
        const Duration switchAfter = isSudden ? seconds { 15 } : seconds { 6 };
        const Duration withdrawAfter = isSudden ? seconds { 1 } : seconds { 12 };
        m_loop.after(switchAfter, [this, workspace, newKey] { m_keys.setCurrent(workspace, newKey); });
        m_loop.after(withdrawAfter, [this, oldKey] { submit(WithdrawKey { KeyId { oldKey } }, 0, nullptr); });
    });
}

void Operators::drainRegion()
{
    const Drain drain { DrainKind::Region, m_deployment.regions[m_random.below(m_deployment.regions.size())] };
    submit(SetDrain { drain, true }, 0, [this, drain](bool isAccepted) {
        if (isAccepted)
            m_loop.after(m_random.between(seconds { 5 }, seconds { 25 }), [this, drain] {
                submit(SetDrain { drain, false }, 0, nullptr);
            });
    });
}

void Operators::race(std::size_t workspace)
{
    // Both operators looked at the same version, so at most one of them may win the field.
    const std::uint64_t base = m_judge.accepted().version;
    auto accepted = std::make_shared<int>(0);
    for (int n = 0; n < 2; ++n) {
        submit(rateChange(workspace), base, [this, accepted, base](bool isAccepted) {
            *accepted += isAccepted ? 1 : 0;
            m_verdict.check(Rule::LostChange, *accepted < 2, m_loop.now(),
                [&] { return fmt::format("two changes of one field with base_version={} were accepted", base); });
        });
    }
}

void Operators::submit(const Change& change, std::uint64_t baseVersion, std::function<void(bool isAccepted)> done)
{
    auto it = std::make_shared<Submission>();
    it->id = fmt::format("change-{}", ++m_lastId);
    nlohmann::json body { { "changes", nlohmann::json::array({ changeToJson(change) }) } };
    if (baseVersion > 0)
        body["base_version"] = baseVersion;
    it->body = body.dump();
    it->done = std::move(done);
    attempt(it);
}

void Operators::attempt(const SubmissionRef& it)
{
    if (++it->tries > longestTries) {
        ++m_counts.unknown;
        it->isOver = true;
        return;
    }
    const std::size_t instance = m_random.below(m_fleet.size());
    const int currentTry = it->tries;
    const auto retry = [this, it, currentTry] {
        if (!it->isOver && it->tries == currentTry)
            attempt(it);
    };
    m_loop.after(answerTimeout, retry);
    m_loop.after(m_network.clientDelay(0, m_fleet.process(instance).domain), [this, it, instance, retry] {
        m_fleet.operate(
            instance, { it->id, "POST", "/changes", it->body },
            [this, it](const AnswerOperator& answer) { answered(it, answer); },
            [this, retry] { m_loop.after(seconds { 1 }, retry); });
    });
}

void Operators::answered(const SubmissionRef& it, const AnswerOperator& answer)
{
    if (it->isOver)
        return;
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status == 200) {
        const std::uint64_t version = body.is_object() ? body.value("version", std::uint64_t { 0 }) : 0;
        m_verdict.check(Rule::LostChange, version > 0 && m_watch.versionOf(it->id) == version, m_loop.now(), [&] {
            return fmt::format("answered with version={} but the store has version={} change={}", version,
                m_watch.versionOf(it->id), it->id);
        });
        finish(it, true);
        return;
    }
    const bool isUnknown = body.is_object() && body.value("applied", "") == "unknown";
    if (isUnknown) {
        m_loop.after(seconds { 1 }, [this, it, currentTry = it->tries] {
            if (!it->isOver && it->tries == currentTry)
                attempt(it);
        });
        return;
    }
    // After a repetition an earlier try may still be under way at another instance.
    if (it->tries == 1)
        m_watch.refused(it->id, m_loop.now());
    finish(it, false);
}

void Operators::finish(const SubmissionRef& it, bool isAccepted)
{
    it->isOver = true;
    ++(isAccepted ? m_counts.accepted : m_counts.refused);
    if (it->done)
        it->done(isAccepted);
}

}
