// Budget units are spent before the claim, so that a workspace above its rate costs the store nothing.

#include "RequestAdmission.h"

#include "base/Assert.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridot {

namespace {

    // Ledgers that an instance asks for units of a workspace: its own region's, and others if that has none, because
    // the demand has moved or its holder has failed. Each one more costs a demand per round trip and instance.
    constexpr std::size_t lenderCount = 3;
    constexpr Duration claimTimeout = std::chrono::seconds { 1 };
    constexpr Duration contactRetry = std::chrono::seconds { 2 };
    constexpr Duration duplicateRetry = std::chrono::seconds { 1 };
    // Part of the class target that a request may wait for units; the rest is needed for queue and backend server.
    constexpr int unitWaitShare = 4;

    BudgetKey rateKey(const WorkspaceId& workspace) { return { BudgetKind::WorkspaceRate, workspace.value() }; }

    Refusal keyRefusal(KeyRefusal reason)
    {
        switch (reason) {
        case KeyRefusal::Malformed:
            return makeRefusal(RefusalCode::MalformedKey);
        case KeyRefusal::Unknown:
            return makeRefusal(RefusalCode::UnknownKey);
        case KeyRefusal::Withdrawn:
            return makeRefusal(RefusalCode::WithdrawnKey);
        }
        return makeRefusal(RefusalCode::UnknownKey);
    }

}

RequestAdmission::RequestAdmission(
    const NodeSettings& settings, BudgetHolders& budgets, DecisionHistory& history, StoreCallTable& calls)
    : m_history(history)
    , m_calls(calls)
    , m_claims(settings.self.id.value() + "/" + std::to_string(settings.self.incarnation))
{
    const auto& regions = settings.regions;
    const auto own = std::find(regions.begin(), regions.end(), settings.self.region);
    PERIDOT_ASSERT(own != regions.end(), "the own region is among the regions");
    const auto first = static_cast<std::size_t>(own - regions.begin());
    for (std::size_t i = 0; i < std::min(regions.size(), lenderCount); ++i)
        m_lenders.push_back(budgets.find(regions[(first + i) % regions.size()]));
}

RequestOutput RequestAdmission::begin(const RequestHead& head, const ServingView& view, TimePoint now)
{
    RequestOutput output;
    if (!view.configuration) {
        refuse(head, {}, makeRefusal(RefusalCode::Starting, RunState::NotRun, std::chrono::seconds { 1 }), output);
        return output;
    }
    auto request = classify(head, view, now);
    if (!request) {
        refuse(head, {}, request.error(), output);
        return output;
    }
    return request->workspace.isEmpty() ? route(std::move(*request), view, now) : spend(std::move(*request), view, now);
}

RequestAdmission::Classified RequestAdmission::classify(
    const RequestHead& head, const ServingView& view, TimePoint now) const
{
    const auto& configuration = *view.configuration;
    const auto segmentEnd = head.path.find('/', 1);
    if (head.path.empty() || head.path[0] != '/')
        return tl::make_unexpected(makeRefusal(RefusalCode::UnknownService));
    const ServiceId service(head.path.substr(1, segmentEnd == std::string::npos ? segmentEnd : segmentEnd - 1));
    if (!configuration.hasService(service))
        return tl::make_unexpected(makeRefusal(RefusalCode::UnknownService));
    const auto rest = segmentEnd == std::string::npos ? std::string("/") : head.path.substr(segmentEnd);
    const auto* trafficClass = configuration.findClass(service, head.method, rest);
    if (!trafficClass)
        return tl::make_unexpected(makeRefusal(RefusalCode::UnknownRoute));

    AdmittedRequest request;
    request.head = head;
    // Keys are not needed any more and must not travel further.
    request.head.presentedKeys.clear();
    request.service = service;
    request.trafficClass = *trafficClass;
    request.arrived = now;
    request.deadline = now + head.timeout;
    if (trafficClass->isOpen)
        return request;
    auto key = authenticate(head, configuration);
    if (!key)
        return tl::make_unexpected(key.error());
    if (!view.isEvidenceFresh(now))
        return tl::make_unexpected(makeRefusal(RefusalCode::NoContact, RunState::NotRun, contactRetry));
    if (!trafficClass->isIdempotent && !head.idempotencyKey.empty()
        && !IdempotencyClaims::isValidKey(head.idempotencyKey))
        return tl::make_unexpected(makeRefusal(RefusalCode::InvalidIdempotencyKey));
    request.workspace = key->workspace;
    request.key = key->key;
    return request;
}

tl::expected<AuthenticatedKey, Refusal> RequestAdmission::authenticate(
    const RequestHead& head, const Configuration& configuration) const
{
    const std::set<std::string> keys(head.presentedKeys.begin(), head.presentedKeys.end());
    if (keys.empty())
        return tl::make_unexpected(makeRefusal(RefusalCode::MissingKey));
    if (keys.size() > 1)
        return tl::make_unexpected(makeRefusal(RefusalCode::AmbiguousKey));
    auto key = configuration.authenticate(*keys.begin());
    if (!key)
        return tl::make_unexpected(keyRefusal(key.error()));
    return *key;
}

RequestOutput RequestAdmission::spend(AdmittedRequest request, const ServingView& view, TimePoint now)
{
    SpendOutcome outcome;
    if (!m_waiters.hasWaiting(request.workspace)) {
        outcome = trySpend(request.workspace, now);
        if (outcome.isSpent)
            return claim(std::move(request), view, now);
    }
    RequestOutput output;
    const auto patience = std::min(request.trafficClass.targetLatency, request.head.timeout) / unitWaitShare;
    const auto retryAfter = std::max(outcome.retryAfter, Duration { std::chrono::milliseconds { 20 } });
    const auto head = request.head;
    const auto workspace = request.workspace;
    if (outcome.retryAfter <= patience && m_waiters.add({ std::move(request), now + patience, retryAfter }))
        return output;
    refuse(head, workspace, makeRefusal(RefusalCode::RateExceeded, RunState::NotRun, retryAfter), output);
    return output;
}

SpendOutcome RequestAdmission::trySpend(const WorkspaceId& workspace, TimePoint now)
{
    const auto key = rateKey(workspace);
    SpendOutcome outcome;
    outcome.retryAfter = Duration::max();
    for (auto* lender : m_lenders) {
        const auto attempt = lender->trySpend(key, 1, now);
        if (attempt.isSpent)
            return attempt;
        outcome.retryAfter = std::min(outcome.retryAfter, attempt.retryAfter);
    }
    return outcome;
}

bool RequestAdmission::trySpendHeld(const WorkspaceId& workspace, TimePoint now)
{
    // A refused attempt counts as demand, so only holders that have units are tried.
    const auto key = rateKey(workspace);
    return std::any_of(m_lenders.begin(), m_lenders.end(),
        [&](auto* lender) { return lender->held(key, now) > 0 && lender->trySpend(key, 1, now).isSpent; });
}

RequestOutput RequestAdmission::claim(AdmittedRequest request, const ServingView& view, TimePoint now)
{
    if (request.trafficClass.isIdempotent || request.head.idempotencyKey.empty())
        return route(std::move(request), view, now);
    RequestOutput output;
    ClaimRequest claim { request.head.id, request.workspace, request.head.idempotencyKey,
        request.head.method + " " + request.head.path };
    {
        std::lock_guard lock(m_claimMutex);
        m_claiming.emplace(request.head.id, std::move(request));
        m_claims.claim(claim, now);
    }
    output.actions = takeClaimCalls(now);
    return output;
}

RequestOutput RequestAdmission::route(AdmittedRequest request, const ServingView& view, TimePoint now)
{
    auto it = view.routers.find(request.service);
    if (it != view.routers.end())
        return it->second->enqueue(std::move(request), now);
    RequestOutput output;
    refuse(request.head, request.workspace, makeRefusal(RefusalCode::UnknownService), output);
    output.ended.push_back({ std::move(request), NotRunRequest {} });
    return output;
}

Actions RequestAdmission::takeClaimCalls(TimePoint now)
{
    Actions actions;
    std::lock_guard lock(m_claimMutex);
    for (auto& call : m_claims.takeCalls(now))
        actions.emplace_back(m_calls.add(StoreCaller::Claims, call.token, std::move(call.request), claimTimeout, now));
    return actions;
}

RequestOutput RequestAdmission::claimCompleted(
    std::uint64_t token, const StoreResult& result, const ServingView& view, TimePoint now)
{
    std::vector<std::pair<AdmittedRequest, ClaimOutcome>> outcomes;
    {
        std::lock_guard lock(m_claimMutex);
        for (auto& outcome : m_claims.completed(token, result, now)) {
            auto node = m_claiming.extract(outcome.request);
            PERIDOT_ASSERT(!node.empty(), "an open claim belongs to a waiting request");
            outcomes.emplace_back(std::move(node.mapped()), std::move(outcome));
        }
    }
    RequestOutput output;
    struct Visitor {
        RequestAdmission& self;
        AdmittedRequest& request;
        const ServingView& view;
        TimePoint now;
        RequestOutput& output;

        void operator()(const ClaimGranted&)
        {
            request.hasClaim = true;
            output.append(self.route(std::move(request), view, now));
        }

        void operator()(RecordedResponse& response)
        {
            LogLine line("replay");
            line.add("request", request.head.id).add("workspace", request.workspace).add("status", response.status);
            self.m_history.record(request.head.id, LogLevel::Info, line);
            output.actions.emplace_back(ReplayResponse { request.head.id, std::move(response) });
        }

        void operator()(ClaimRefusal refusal)
        {
            // This request has not run; the one that holds the claim may have, and that is what the caller must know.
            auto answer = makeRefusal(RefusalCode::DuplicateRequest, RunState::Unknown, duplicateRetry);
            if (refusal == ClaimRefusal::FingerprintMismatch)
                answer = makeRefusal(RefusalCode::IdempotencyKeyReused);
            else if (refusal == ClaimRefusal::StoreUnavailable)
                answer = makeRefusal(RefusalCode::StoreUnavailable, RunState::NotRun, contactRetry);
            self.refuse(request.head, request.workspace, answer, output);
        }
    };
    for (auto& [request, outcome] : outcomes)
        std::visit(Visitor { *this, request, view, now, output }, outcome.result);
    auto calls = takeClaimCalls(now);
    std::move(calls.begin(), calls.end(), std::back_inserter(output.actions));
    return output;
}

RequestOutput RequestAdmission::tick(const ServingView& view, TimePoint now)
{
    RequestOutput output;
    for (const auto& workspace : m_waiters.workspaces()) {
        while (auto waiting = m_waiters.takeFirstIf(workspace, [&] { return trySpendHeld(workspace, now); }))
            output.append(claim(std::move(waiting->request), view, now));
    }
    for (const auto& waiting : m_waiters.takeExpired(now)) {
        refuse(waiting.request.head, waiting.request.workspace,
            makeRefusal(RefusalCode::RateExceeded, RunState::NotRun, waiting.retryAfter), output);
    }
    refuseExpiredClaims(now, output);
    auto calls = takeClaimCalls(now);
    std::move(calls.begin(), calls.end(), std::back_inserter(output.actions));
    return output;
}

void RequestAdmission::refuseExpiredClaims(TimePoint now, RequestOutput& output)
{
    std::vector<AdmittedRequest> expired;
    {
        std::lock_guard lock(m_claimMutex);
        for (auto it = m_claiming.begin(); it != m_claiming.end();) {
            if (it->second.deadline > now) {
                ++it;
                continue;
            }
            m_claims.cancel(it->first, now);
            expired.push_back(std::move(it->second));
            it = m_claiming.erase(it);
        }
    }
    for (const auto& request : expired) {
        refuse(request.head, request.workspace,
            makeRefusal(RefusalCode::StoreUnavailable, RunState::NotRun, contactRetry), output);
    }
}

bool RequestAdmission::abandoned(const RequestId& id, TimePoint now)
{
    if (m_waiters.remove(id))
        return true;
    std::lock_guard lock(m_claimMutex);
    if (m_claiming.erase(id) == 0)
        return false;
    m_claims.cancel(id, now);
    return true;
}

Actions RequestAdmission::ended(const std::vector<EndedRequest>& requests, TimePoint now)
{
    bool hasClaims = false;
    {
        std::lock_guard lock(m_claimMutex);
        struct Visitor {
            IdempotencyClaims& claims;
            const RequestId& id;

            void operator()(const CompletedRequest& completed) { claims.complete(id, completed.response); }
            void operator()(const NotRunRequest&) { claims.release(id); }
            void operator()(const UnknownRequest&) { claims.abandon(id); }
        };
        for (const auto& [request, ending] : requests) {
            if (!request.hasClaim)
                continue;
            hasClaims = true;
            std::visit(Visitor { m_claims, request.head.id }, ending);
        }
    }
    return hasClaims ? takeClaimCalls(now) : Actions {};
}

bool RequestAdmission::isIdle() const
{
    if (!m_waiters.isEmpty())
        return false;
    std::lock_guard lock(m_claimMutex);
    return m_claiming.empty() && m_claims.isIdle();
}

void RequestAdmission::refuse(
    const RequestHead& head, const WorkspaceId& workspace, const Refusal& refusal, RequestOutput& output)
{
    LogLine line("refuse");
    line.add("request", head.id)
        .add("workspace", workspace)
        .add("method", head.method)
        .add("path", head.path)
        .add("code", refusal.code)
        .add("run", enumName(refusal.run))
        .add("retry_after_ms", refusal.retryAfter);
    m_history.record(head.id, LogLevel::Info, line);
    output.actions.emplace_back(RefuseRequest { head.id, refusal });
}

}
