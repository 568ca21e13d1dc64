// Open loop: arrivals are a Poisson process that does not wait for responses. Closed loop: each caller sends its next
// request after the outcome of the last one and its think time.

#include "WorkspaceCallers.h"

#include "HttpClients.h"
#include "ResponseCheck.h"
#include "program/CheckedBody.h"
#include "program/Clocks.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    std::discrete_distribution<std::size_t> distribution(const std::vector<RequestKind>& mix)
    {
        std::vector<double> weights;
        weights.reserve(mix.size());
        for (const auto& kind : mix)
            weights.push_back(kind.weight);
        return { weights.begin(), weights.end() };
    }

    std::vector<std::shared_ptr<LookupCache>> makeClients(
        const std::vector<std::string>& entryAddresses, const std::vector<std::string>& clientAddresses)
    {
        if (clientAddresses.empty())
            return { std::make_shared<LookupCache>(entryAddresses, "") };
        std::vector<std::shared_ptr<LookupCache>> clients;
        clients.reserve(clientAddresses.size());
        for (const auto& address : clientAddresses)
            clients.push_back(std::make_shared<LookupCache>(entryAddresses, address));
        return clients;
    }

}

std::string WorkspaceCallers::Work::echo() const
{
    // A repeated request with an idempotency key may get the response to its first attempt.
    return kind->hasIdempotencyKey ? id : id + "." + std::to_string(attempt);
}

WorkspaceCallers::WorkspaceCallers(
    const LoadSettings& settings, const CallerSettings& caller, const CallerRun& run, RunAudit& audit, EventLog& log)
    : m_audit(audit)
    , m_log(log)
    , m_runId(run.id)
    , m_settings(settings)
    , m_caller(caller)
    , m_clients(makeClients(settings.entryAddresses, caller.clientAddresses))
    , m_random(run.randomSeed)
    , m_mix(distribution(caller.mix))
    , m_reference(caller.ratePerSecond, caller.burst, monotonicTime())
{
}

void WorkspaceCallers::start()
{
    const auto now = monotonicTime();
    {
        std::lock_guard lock(m_mutex);
        m_end = now + m_settings.duration;
        m_nextArrival = now;
        m_isArriving = m_caller.closedLoopCallers == 0;
    }
    if (m_caller.closedLoopCallers == 0)
        return scheduleArrival();
    for (std::uint32_t i = 0; i < m_caller.closedLoopCallers; ++i)
        begin();
}

void WorkspaceCallers::scheduleArrival()
{
    Duration delay { 0 };
    {
        std::lock_guard lock(m_mutex);
        delay = std::max(m_nextArrival - monotonicTime(), Duration { 0 });
    }
    callLater(delay, [self = shared_from_this()] { self->arrivalsDue(); });
}

void WorkspaceCallers::arrivalsDue()
{
    for (;;) {
        {
            std::lock_guard lock(m_mutex);
            if (m_nextArrival >= m_end) {
                m_isArriving = false;
                m_ended.notify_all();
                return;
            }
            if (m_nextArrival > monotonicTime())
                break;
            std::exponential_distribution<double> seconds { m_caller.ratePerSecond * m_caller.multiple };
            m_nextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(m_random)));
        }
        begin();
    }
    scheduleArrival();
}

void WorkspaceCallers::begin()
{
    auto work = std::make_shared<Work>();
    {
        std::lock_guard lock(m_mutex);
        if (m_open >= m_settings.openRequests) {
            m_statistics.addSkipped();
            return;
        }
        ++m_open;
        work->kind = &drawKind();
        work->lookups = m_clients[std::uniform_int_distribution<std::size_t> { 0, m_clients.size() - 1 }(m_random)];
        work->id = m_caller.workspace + "-" + m_runId + "-" + std::to_string(++m_count);
    }
    startAttempt(work);
}

const RequestKind& WorkspaceCallers::drawKind() { return m_caller.mix[m_mix(m_random)]; }

void WorkspaceCallers::startAttempt(const WorkPointer& work)
{
    work->started = monotonicTime();
    work->reconnects = 0;
    work->lookups->find(
        work->kind->service, [self = shared_from_this(), work](const Result<std::vector<std::string>>& addresses) {
            if (!addresses)
                return self->finishAttempt(work, Outcome::Failed, "no_lookup");
            {
                std::lock_guard lock(self->m_mutex);
                work->isInsideRate = self->m_reference.take(monotonicTime());
            }
            self->send(work, addresses->front());
        });
}

void WorkspaceCallers::send(const WorkPointer& work, const std::string& address)
{
    const auto& kind = *work->kind;
    HttpCall exchange;
    exchange.method = kind.method;
    exchange.target = "/" + kind.service + kind.path + "?echo=" + work->echo();
    if (kind.responseBytes > 0)
        exchange.target += "&bytes=" + std::to_string(kind.responseBytes);
    if (!m_caller.key.empty())
        exchange.headers["Authorization"] = "Bearer " + m_caller.key;
    exchange.headers["Request-Timeout-Ms"] = std::to_string(toMilliseconds(m_settings.requestTimeout));
    if (kind.hasIdempotencyKey)
        exchange.headers["Idempotency-Key"] = work->id;
    if (kind.requestBytes > 0) {
        exchange.body = makeCheckedBody({ "", work->echo(), "" }, kind.requestBytes);
        exchange.headers["X-Content-Checksum"] = contentChecksum(exchange.body);
    }
    exchange.mayRunTwice = kind.isIdempotent;
    // Leaves the answer at the deadline time to arrive.
    exchange.timeout = m_settings.requestTimeout + std::chrono::seconds { 1 };
    sendHttp(address, exchange, [self = shared_from_this(), work, address](const HttpOutcome& response) {
        self->responded(work, address, response);
    });
}

void WorkspaceCallers::responded(const WorkPointer& work, const std::string& address, const HttpOutcome& response)
{
    const auto judgement = judgeResponse(response, *work->kind, work->echo());
    if (judgement.outcome != Outcome::Completed && judgement.outcome != Outcome::RefusedInside)
        logOutcome(*work, address, judgement, response);
    if (judgement.code == "not_connected") {
        work->lookups->demote(work->kind->service, address);
        // Nothing was sent, so the next address of the look-up answer may be tried for any kind of request.
        constexpr std::uint32_t mostReconnects = 3;
        if (work->reconnects++ < mostReconnects) {
            work->lookups->find(work->kind->service,
                [self = shared_from_this(), work](const Result<std::vector<std::string>>& addresses) {
                    if (addresses)
                        self->send(work, addresses->front());
                    else
                        self->finishAttempt(work, Outcome::Failed, "no_lookup");
                });
            return;
        }
    }
    finishAttempt(work, judgement.outcome, judgement.code);
}

void WorkspaceCallers::logOutcome(
    const Work& work, const std::string& address, const Judgement& judgement, const HttpOutcome& response)
{
    if (!m_log.isEnabled(LogLevel::Debug))
        return;
    m_log.write(LogLevel::Debug,
        LogLine("request_not_completed")
            .add("workspace", m_caller.workspace)
            .add("echo", work.echo())
            .add("address", address)
            .add("method", work.kind->method)
            .add("path", "/" + work.kind->service + work.kind->path)
            .add("outcome", enumName(judgement.outcome))
            .add("code", judgement.code)
            .add("status", response.status)
            .add("error", response.error)
            .add("latency_ms", monotonicTime() - work.started));
}

void WorkspaceCallers::finishAttempt(const WorkPointer& work, Outcome outcome, const std::string& code)
{
    const auto now = monotonicTime();
    bool isRepeated = false;
    {
        std::lock_guard lock(m_mutex);
        if (outcome == Outcome::RefusedInside) {
            if (work->isInsideRate)
                m_reference.giveBack(now);
            else
                outcome = Outcome::RefusedAbove;
        }
        m_audit.record(work->echo(), work->kind->isIdempotent, outcome);
        m_statistics.add(outcome, code, now - work->started);
        isRepeated = outcome != Outcome::Completed && work->attempt < m_caller.attempts;
        if (isRepeated)
            m_statistics.addRetry();
    }
    if (!isRepeated)
        return end();
    auto next = std::make_shared<Work>(*work);
    ++next->attempt;
    startAttempt(next);
}

void WorkspaceCallers::end()
{
    std::unique_lock lock(m_mutex);
    --m_open;
    if (m_caller.closedLoopCallers > 0 && monotonicTime() + m_caller.thinkTime < m_end) {
        // Counts as open while it thinks, so that wait() goes on.
        ++m_open;
        lock.unlock();
        callLater(m_caller.thinkTime, [self = shared_from_this()] {
            {
                std::lock_guard inner(self->m_mutex);
                --self->m_open;
            }
            self->begin();
        });
        return;
    }
    m_ended.notify_all();
}

void WorkspaceCallers::wait()
{
    std::unique_lock lock(m_mutex);
    m_ended.wait(lock, [this] { return m_open == 0 && !m_isArriving; });
}

LoadStatistics WorkspaceCallers::statistics() const
{
    std::lock_guard lock(m_mutex);
    return m_statistics;
}

nlohmann::json WorkspaceCallers::toJson() const
{
    auto object = statistics().toJson();
    object["rate_per_second"] = m_caller.ratePerSecond;
    object["burst"] = m_caller.burst;
    object["multiple"] = m_caller.multiple;
    std::uint64_t lookups = 0;
    std::uint64_t failedLookups = 0;
    for (const auto& client : m_clients) {
        lookups += client->lookups();
        failedLookups += client->failedLookups();
    }
    object["lookups"] = lookups;
    object["failed_lookups"] = failedLookups;
    return object;
}

}
