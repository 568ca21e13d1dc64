// Claims on idempotency keys. A request with such a key is dispatched only after its claim row is in the table, so that
// a caller's retry through another instance cannot run it a second time.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "peridot/Actions.h"
#include "store/StoreTypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

/** What names a claim, and what the request was, so that a key used for another request is told. */
struct ClaimRequest {
    RequestId request;
    WorkspaceId workspace;
    std::string idempotencyKey;
    std::string fingerprint;
};

enum class ClaimRefusal {
    InProgress, // Another request holds the claim; whether it ran is not known.
    FingerprintMismatch, // The key was used for a different request.
    StoreUnavailable,
};

struct ClaimGranted { };

/** The outcome of a claim: dispatch, replay the recorded response, or refuse. */
struct ClaimOutcome {
    RequestId request;
    std::variant<ClaimGranted, RecordedResponse, ClaimRefusal> result;
};

/** A store request of this class; its result goes to completed() under the same token. */
struct ClaimCall {
    std::uint64_t token = 0;
    StoreRequest request;
};

/**
 * Batches claims, completions and releases into few transactions. Not thread-safe.
 *
 * Invariant: a claim is granted only after a commit that created its row with this request's id was confirmed, by its
 * result or by reading the row back.
 */
class IdempotencyClaims {
public:
    /** @p owner tells apart the rows of different starts of all instances. */
    explicit IdempotencyClaims(std::string owner);

    void claim(const ClaimRequest&, TimePoint now);
    /** The caller waits no longer. The claim is released if its row was or will be written. */
    void cancel(const RequestId&, TimePoint now);
    /** Records the response, so that a repeated request is answered with it. */
    void complete(const RequestId&, const RecordedResponse&);
    /** Deletes the claim of a request that has not run and will not run. */
    void release(const RequestId&);
    /** Marks a claim whose request may have run without a known response. The row stays. */
    void abandon(const RequestId&);

    std::vector<ClaimCall> takeCalls(TimePoint now);
    std::vector<ClaimOutcome> completed(std::uint64_t token, const StoreResult&, TimePoint now);

    /** Claims that wait for the store, cancelled ones included. */
    std::size_t pendingCount() const noexcept { return m_claims.size(); }
    /** True if no completion or release waits to be written. */
    bool isIdle() const noexcept { return m_updates.empty() && m_calls.empty() && m_waiting.empty(); }

    static bool isValidKey(const std::string&) noexcept;

    static constexpr std::size_t s_largestRecordedBody = 16'384;

private:
    struct Claim {
        ClaimRequest request;
        TimePoint startedAt;
        bool mayBeWritten = false; // A commit with this claim had an unknown outcome.
        bool isCancelled = false; // Nobody waits for the outcome; only the row is to be removed.
        TimePoint nextReadBack {};
    };

    struct HeldClaim {
        std::string key;
        RowVersion version = 0;
        std::string fingerprint;
    };

    struct Update {
        std::string key;
        RowVersion version = 0; // Version of the claim row that this update replaces.
        std::optional<std::string> value; // No value deletes the row.
        std::uint32_t attempts = 0;
    };

    struct ClaimBatch {
        std::vector<RequestId> requests;
        bool isReadBack = false;
    };

    struct UpdateBatch {
        std::vector<Update> updates;
    };

    using Call = std::variant<ClaimBatch, UpdateBatch>;

    std::string rowKey(const ClaimRequest&) const;
    std::string pendingValue(const ClaimRequest&) const;
    std::optional<ClaimCall> nextClaimCall();
    std::optional<ClaimCall> nextReadBack(TimePoint now);
    std::optional<ClaimCall> nextUpdateCall();
    void completedClaims(const ClaimBatch&, const StoreResult&, TimePoint now, std::vector<ClaimOutcome>&);
    void completedUpdates(const UpdateBatch&, const StoreResult&);
    void resolveRow(const RequestId&, const TableRow*, TimePoint now, std::vector<ClaimOutcome>&);
    void grant(const RequestId&, RowVersion, std::vector<ClaimOutcome>&);
    void end(const RequestId&, decltype(ClaimOutcome::result), std::vector<ClaimOutcome>&);
    void keepAsCancelled(const RequestId&, TimePoint now);
    void retryOrRefuse(const RequestId&, TimePoint now, std::vector<ClaimOutcome>&);

    std::string m_owner;
    std::uint64_t m_nextToken = 1;
    std::map<RequestId, Claim> m_claims; // Asked for, not yet granted or refused.
    std::deque<RequestId> m_waiting; // Subset of m_claims to be written with the next commit.
    std::deque<RequestId> m_unresolved; // Subset of m_claims whose rows must be read back.
    std::map<RequestId, HeldClaim> m_held; // Granted.
    std::deque<Update> m_updates;
    std::map<std::uint64_t, Call> m_calls;
};

}
