// The first decisions on a request: service, class, key, evidence, budget and idempotency claim.

#pragma once

#include "AdmittedRequest.h"
#include "BudgetHolders.h"
#include "DecisionHistory.h"
#include "Refusals.h"
#include "ServiceRouter.h"
#include "ServingView.h"
#include "StoreCallTable.h"
#include "UnitWaiters.h"
#include "peridot/IdempotencyClaims.h"
#include "peridot/Node.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace peridot {

/**
 * Thread-safe: claims have one lock, waiters another; held units are sharded. Inside the lock of the claims only the
 * call table's is taken, inside that of the waiters only those of held units.
 */
class RequestAdmission {
public:
    RequestAdmission(const NodeSettings&, BudgetHolders&, DecisionHistory&, StoreCallTable&);

    RequestOutput begin(const RequestHead&, const ServingView&, TimePoint now);
    /** Serves waiting requests from new units and refuses those whose time is over. */
    RequestOutput tick(const ServingView&, TimePoint now);
    RequestOutput claimCompleted(std::uint64_t token, const StoreResult&, const ServingView&, TimePoint now);
    /** The caller went away. Empty if the request isn't here. */
    bool abandoned(const RequestId&, TimePoint now);
    /** Records, releases or abandons the claims of requests that ended. */
    Actions ended(const std::vector<EndedRequest>&, TimePoint now);

    bool isIdle() const;

private:
    using Classified = tl::expected<AdmittedRequest, Refusal>;

    Classified classify(const RequestHead&, const ServingView&, TimePoint now) const;
    tl::expected<AuthenticatedKey, Refusal> authenticate(const RequestHead&, const Configuration&) const;
    RequestOutput spend(AdmittedRequest, const ServingView&, TimePoint now);
    /** Spends a unit of the own region's ledger or, if it has none, of another region's. */
    SpendOutcome trySpend(const WorkspaceId&, TimePoint now);
    bool trySpendHeld(const WorkspaceId&, TimePoint now);
    RequestOutput claim(AdmittedRequest, const ServingView&, TimePoint now);
    RequestOutput route(AdmittedRequest, const ServingView&, TimePoint now);
    Actions takeClaimCalls(TimePoint now);
    void refuseExpiredClaims(TimePoint now, RequestOutput&);
    void refuse(const RequestHead&, const WorkspaceId&, const Refusal&, RequestOutput&);

    std::vector<BudgetHolder*> m_lenders; // That of the own region first.
    DecisionHistory& m_history;
    StoreCallTable& m_calls;
    UnitWaiters m_waiters;

    mutable std::mutex m_claimMutex;
    IdempotencyClaims m_claims;
    std::map<RequestId, AdmittedRequest> m_claiming; // Requests whose claim is open.
};

}
