// Claim rows are JSON: the owner and request that wrote them, the request's fingerprint and, once known, the response.

#include "peridot/IdempotencyClaims.h"

#include "base/Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr std::size_t largestBatch = 50;
    // Two batches in flight hide the store's round trip; more would only split the batches.
    constexpr std::size_t mostCallsInFlight = 4;
    constexpr std::size_t longestIdempotencyKey = 128;
    // A claim that the store hasn't confirmed by then is refused; the request has not been dispatched.
    constexpr Duration longestClaimTime = std::chrono::seconds { 3 };
    // The row of a cancelled claim would block the caller's next attempt, so it is looked for until a delayed write
    // must have taken effect.
    constexpr Duration cancelledReadInterval = std::chrono::seconds { 1 };
    constexpr Duration longestLateWrite = std::chrono::seconds { 30 };
    // Completions and releases are given up after this many attempts. The row then stays pending, which is safe.
    constexpr std::uint32_t mostUpdateAttempts = 20;

    struct ClaimRow {
        std::string owner;
        std::string request;
        std::string fingerprint;
        std::optional<RecordedResponse> response;
    };

    std::string encodeRow(const ClaimRow& row)
    {
        nlohmann::json json { { "owner", row.owner }, { "request", row.request }, { "fingerprint", row.fingerprint } };
        if (row.response) {
            json["status"] = row.response->status;
            json["content_type"] = row.response->contentType;
            // Bodies may be any bytes; JSON strings must be UTF-8.
            json["body"] = nlohmann::json::binary_t(
                std::vector<std::uint8_t>(row.response->body.begin(), row.response->body.end()));
        }
        const auto bytes = nlohmann::json::to_cbor(json);
        return { bytes.begin(), bytes.end() };
    }

    std::optional<ClaimRow> decodeRow(const std::string& text)
    {
        const auto json = nlohmann::json::from_cbor(text, true, false);
        if (!json.is_object())
            return std::nullopt;
        try {
            ClaimRow row { json.at("owner"), json.at("request"), json.at("fingerprint"), std::nullopt };
            if (json.contains("status")) {
                const auto& body = json.at("body").get_binary();
                row.response
                    = RecordedResponse { json.at("status"), json.at("content_type"), { body.begin(), body.end() } };
            }
            return row;
        } catch (const nlohmann::json::exception&) {
            return std::nullopt;
        }
    }

}

IdempotencyClaims::IdempotencyClaims(std::string owner)
    : m_owner(std::move(owner))
{
}

bool IdempotencyClaims::isValidKey(const std::string& key) noexcept
{
    return !key.empty() && key.size() <= longestIdempotencyKey
        && std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f && c != '/'; });
}

std::string IdempotencyClaims::rowKey(const ClaimRequest& request) const
{
    return "claim/" + request.workspace.value() + "/" + request.idempotencyKey;
}

std::string IdempotencyClaims::pendingValue(const ClaimRequest& request) const
{
    return encodeRow({ m_owner, request.request.value(), request.fingerprint, std::nullopt });
}

void IdempotencyClaims::claim(const ClaimRequest& request, TimePoint now)
{
    const bool isNew = m_claims.emplace(request.request, Claim { request, now, false }).second;
    PERIDOT_ASSERT(isNew, "a request claims once");
    m_waiting.push_back(request.request);
}

void IdempotencyClaims::complete(const RequestId& request, const RecordedResponse& response)
{
    auto held = m_held.extract(request);
    if (held.empty() || response.body.size() > s_largestRecordedBody)
        return;
    auto& [key, version, fingerprint] = held.mapped();
    m_updates.push_back(
        { std::move(key), version, encodeRow({ m_owner, request.value(), std::move(fingerprint), response }), 0 });
}

void IdempotencyClaims::release(const RequestId& request)
{
    auto held = m_held.extract(request);
    if (!held.empty())
        m_updates.push_back({ std::move(held.mapped().key), held.mapped().version, std::nullopt, 0 });
}

void IdempotencyClaims::abandon(const RequestId& request) { m_held.erase(request); }

std::vector<ClaimCall> IdempotencyClaims::takeCalls(TimePoint now)
{
    std::vector<ClaimCall> calls;
    while (m_calls.size() < mostCallsInFlight) {
        auto call = nextReadBack(now);
        if (!call)
            call = nextClaimCall();
        if (!call)
            call = nextUpdateCall();
        if (!call)
            break;
        calls.push_back(std::move(*call));
    }
    return calls;
}

std::optional<ClaimCall> IdempotencyClaims::nextClaimCall()
{
    TableCommit commit;
    ClaimBatch batch;
    std::set<std::string> keys;
    std::deque<RequestId> later;
    while (!m_waiting.empty() && batch.requests.size() < largestBatch) {
        auto id = m_waiting.front();
        m_waiting.pop_front();
        auto it = m_claims.find(id);
        if (it == m_claims.end())
            continue;
        const auto& request = it->second.request;
        // Two requests with one key must not share a transaction: the second would overwrite the first one's row.
        if (!keys.insert(rowKey(request)).second) {
            later.push_back(id);
            continue;
        }
        commit.conditions.push_back({ rowKey(request), 0 });
        commit.writes.push_back({ rowKey(request), pendingValue(request) });
        batch.requests.push_back(id);
    }
    m_waiting.insert(m_waiting.end(), later.begin(), later.end());
    if (batch.requests.empty())
        return std::nullopt;
    const auto token = m_nextToken++;
    m_calls.emplace(token, std::move(batch));
    return ClaimCall { token, std::move(commit) };
}

std::optional<ClaimCall> IdempotencyClaims::nextReadBack(TimePoint now)
{
    TableRead read;
    ClaimBatch batch;
    batch.isReadBack = true;
    std::deque<RequestId> later;
    while (!m_unresolved.empty() && batch.requests.size() < largestBatch) {
        auto id = m_unresolved.front();
        m_unresolved.pop_front();
        auto it = m_claims.find(id);
        if (it == m_claims.end())
            continue;
        if (it->second.nextReadBack > now) {
            later.push_back(std::move(id));
            continue;
        }
        read.keys.push_back(rowKey(it->second.request));
        batch.requests.push_back(std::move(id));
    }
    m_unresolved.insert(m_unresolved.end(), later.begin(), later.end());
    if (batch.requests.empty())
        return std::nullopt;
    const auto token = m_nextToken++;
    m_calls.emplace(token, std::move(batch));
    return ClaimCall { token, std::move(read) };
}

std::optional<ClaimCall> IdempotencyClaims::nextUpdateCall()
{
    TableCommit commit;
    UpdateBatch batch;
    while (!m_updates.empty() && batch.updates.size() < largestBatch) {
        auto update = std::move(m_updates.front());
        m_updates.pop_front();
        commit.conditions.push_back({ update.key, update.version });
        commit.writes.push_back({ update.key, update.value });
        batch.updates.push_back(std::move(update));
    }
    if (batch.updates.empty())
        return std::nullopt;
    const auto token = m_nextToken++;
    m_calls.emplace(token, std::move(batch));
    return ClaimCall { token, std::move(commit) };
}

std::vector<ClaimOutcome> IdempotencyClaims::completed(std::uint64_t token, const StoreResult& result, TimePoint now)
{
    std::vector<ClaimOutcome> outcomes;
    auto node = m_calls.extract(token);
    if (node.empty())
        return outcomes;
    if (auto* claims = std::get_if<ClaimBatch>(&node.mapped()))
        completedClaims(*claims, result, now, outcomes);
    else
        completedUpdates(std::get<UpdateBatch>(node.mapped()), result);
    return outcomes;
}

void IdempotencyClaims::completedClaims(
    const ClaimBatch& batch, const StoreResult& result, TimePoint now, std::vector<ClaimOutcome>& outcomes)
{
    if (!result) {
        for (const auto& id : batch.requests) {
            auto it = m_claims.find(id);
            if (it == m_claims.end())
                continue;
            if (!batch.isReadBack && result.error().code == ErrorCode::OutcomeUnknown)
                it->second.mayBeWritten = true;
            retryOrRefuse(id, now, outcomes);
        }
        return;
    }
    std::map<std::string, const TableRow*> rows;
    bool isCommitted = false;
    if (const auto* commit = std::get_if<CommitResult>(&*result)) {
        isCommitted = commit->isCommitted;
        for (const auto& row : commit->current)
            rows[row.key] = &row;
    } else if (const auto* read = std::get_if<TableRows>(&*result)) {
        for (const auto& row : read->rows)
            rows[row.key] = &row;
    }
    for (const auto& id : batch.requests) {
        auto it = m_claims.find(id);
        if (it == m_claims.end())
            continue;
        auto row = rows.find(rowKey(it->second.request));
        if (isCommitted)
            grant(id, row == rows.end() ? 0 : row->second->version, outcomes);
        else
            resolveRow(id, row == rows.end() ? nullptr : row->second, now, outcomes);
    }
}

void IdempotencyClaims::resolveRow(
    const RequestId& id, const TableRow* row, TimePoint now, std::vector<ClaimOutcome>& outcomes)
{
    const auto& claim = m_claims.at(id);
    if ((!row || row->version == 0) && claim.isCancelled) {
        keepAsCancelled(id, now);
        return;
    }
    if (!row || row->version == 0) {
        // The row is free, so another claim of the batch failed it.
        m_claims.at(id).mayBeWritten = false;
        retryOrRefuse(id, now, outcomes);
        return;
    }
    const auto value = decodeRow(row->value);
    if (!value) {
        end(id, ClaimRefusal::InProgress, outcomes);
        return;
    }
    if (value->owner == m_owner && value->request == id.value()) {
        grant(id, row->version, outcomes);
        return;
    }
    if (value->fingerprint != claim.request.fingerprint) {
        end(id, ClaimRefusal::FingerprintMismatch, outcomes);
        return;
    }
    if (value->response) {
        end(id, *value->response, outcomes);
        return;
    }
    end(id, ClaimRefusal::InProgress, outcomes);
}

void IdempotencyClaims::grant(const RequestId& id, RowVersion version, std::vector<ClaimOutcome>& outcomes)
{
    auto claim = m_claims.extract(id);
    PERIDOT_ASSERT(!claim.empty(), "only an open claim is granted");
    const auto& request = claim.mapped().request;
    m_held.emplace(id, HeldClaim { rowKey(request), version, request.fingerprint });
    if (claim.mapped().isCancelled)
        release(id);
    else
        outcomes.push_back({ id, ClaimGranted {} });
}

/** Ends a claim that this request doesn't get. Nobody is told of a cancelled one. */
void IdempotencyClaims::end(
    const RequestId& id, decltype(ClaimOutcome::result) result, std::vector<ClaimOutcome>& outcomes)
{
    auto claim = m_claims.extract(id);
    if (!claim.mapped().isCancelled)
        outcomes.push_back({ id, std::move(result) });
}

void IdempotencyClaims::cancel(const RequestId& id, TimePoint now)
{
    auto it = m_claims.find(id);
    if (it == m_claims.end())
        return;
    it->second.isCancelled = true;
    it->second.nextReadBack = now + cancelledReadInterval;
    // A claim that waits for its first commit is dropped; one in a commit is settled by the result.
    if (std::erase(m_waiting, id) > 0 && !it->second.mayBeWritten)
        m_claims.erase(it);
}

void IdempotencyClaims::keepAsCancelled(const RequestId& id, TimePoint now)
{
    auto& claim = m_claims.at(id);
    if (!claim.mayBeWritten || now - claim.startedAt > longestLateWrite) {
        m_claims.erase(id);
        return;
    }
    claim.nextReadBack = now + cancelledReadInterval;
    m_unresolved.push_back(id);
}

void IdempotencyClaims::retryOrRefuse(const RequestId& id, TimePoint now, std::vector<ClaimOutcome>& outcomes)
{
    auto& claim = m_claims.at(id);
    if (!claim.isCancelled && now - claim.startedAt > longestClaimTime) {
        outcomes.push_back({ id, ClaimRefusal::StoreUnavailable });
        claim.isCancelled = true;
    }
    if (claim.isCancelled)
        keepAsCancelled(id, now);
    else if (claim.mayBeWritten)
        m_unresolved.push_back(id);
    else
        m_waiting.push_back(id);
}

void IdempotencyClaims::completedUpdates(const UpdateBatch& batch, const StoreResult& result)
{
    const CommitResult* commit = result ? std::get_if<CommitResult>(&*result) : nullptr;
    if (commit && commit->isCommitted)
        return;
    std::map<std::string, RowVersion> versions;
    if (commit) {
        for (const auto& row : commit->current)
            versions[row.key] = row.version;
    }
    for (auto update : batch.updates) {
        // A row with another version was changed by an earlier attempt whose result was lost; nobody else writes it.
        if (commit && versions[update.key] != update.version)
            continue;
        if (++update.attempts < mostUpdateAttempts)
            m_updates.push_back(std::move(update));
    }
}

}
