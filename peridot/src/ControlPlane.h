// The part of a node that runs at the pace of heartbeats: membership, evidence, configuration, ledger, budget demands,
// the platform's list, and the serving view that the request path reads.

#pragma once

#include "BudgetHolders.h"
#include "DecisionHistory.h"
#include "Published.h"
#include "RegionLedgerHost.h"
#include "ServiceRouter.h"
#include "ServingView.h"
#include "StoreCallTable.h"
#include "config/ConfigurationReader.h"
#include "config/ConfigurationWriter.h"
#include "membership/Membership.h"
#include "peridot/Node.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** Not thread-safe; the node calls it under its control lock. */
class ControlPlane {
public:
    ControlPlane(const NodeSettings&, BudgetHolders&, DecisionHistory&, StoreCallTable&, EventLog&);

    Actions tick(TimePoint now);
    Actions receive(const Envelope&, TimePoint now);
    Actions storeCompleted(const StoreCallTable::Entry&, const StoreResult&, TimePoint now);

    /** Submits a change; its AnswerOperator goes to @p answerTo. */
    Actions submit(const std::string& answerTo, ChangeRequest, TimePoint now);
    Actions bootstrap(const std::string& id, const std::string& document, TimePoint now);

    void leave(TimePoint now);
    /** Nothing is left to hand over or to give back. */
    bool hasDrained() const noexcept { return m_ledger.hasLeft(); }

    /** Requests per lookup as the request path has counted them. */
    void setRequestsPerLookup(double ratio) noexcept { m_requestsPerLookup = ratio; }

    const Published<ServingView>& view() const noexcept { return m_published; }
    const Membership& membership() const noexcept { return m_membership; }
    RegionLedgerHost& ledger() noexcept { return m_ledger; }
    std::string ledgerHolder(const RegionId&) const;

private:
    void take(ConfigurationReader::Output, TimePoint now, Actions&);
    void take(ConfigurationWriter::Output, TimePoint now, Actions&);
    void adoptConfiguration(TimePoint now, Actions&);
    void takeInstanceList(const InstanceList&, TimePoint now);
    void send(std::vector<MembershipSend>, Actions&);
    void sendDemands(TimePoint now, Actions&);
    void sendDemand(const RegionId&, const BudgetDemand&, TimePoint now, Actions&);
    const MemberInfo* findLedger(const RegionId&) const;
    void updateLedgers();
    void noteLedger(const Envelope&, const BudgetGrant&);
    void pollInstanceList(TimePoint now, Actions&);
    void updateOwnState(TimePoint now);
    void updateRouters(TimePoint now);
    void updateLoads(TimePoint now);
    LookupInputs lookupInputs(TimePoint now) const;
    void publish(TimePoint now);
    std::vector<RegionServers> serversOf(const ServiceId&) const;

    /** Load of one service in one region, from the platform's list and the regions' digests. */
    struct RegionLoad {
        double slots = 0;
        double inFlight = 0;
        double queued = 0;

        double headroom() const noexcept { return slots > 0 ? std::max(0.0, 1 - (inFlight + queued) / slots) : 0; }
    };
    RegionLoad regionLoad(const RegionId&, const ServiceId&) const;

    const NodeSettings& m_settings;
    BudgetHolders& m_budgets;
    DecisionHistory& m_history;
    StoreCallTable& m_calls;
    EventLog& m_log;
    Membership m_membership;
    ConfigurationReader m_reader;
    ConfigurationWriter m_writer;
    RegionLedgerHost m_ledger;

    std::map<std::string, std::string> m_answerTo; // Open changes to the operator requests that wait for them.
    std::map<RegionId, MemberInfo> m_ledgers; // Members that run the ledger of a region.
    std::vector<PlatformInstance> m_instances; // The platform's list as last read.
    std::map<ServiceId, std::shared_ptr<ServiceRouter>> m_routers;
    std::shared_ptr<const LookupPlan> m_plan;
    InstanceState m_state = InstanceState::Starting;
    std::optional<TimePoint> m_unreadySince; // While a condition for Ready doesn't hold.
    double m_requestsPerLookup = 1;
    bool m_isLeaving = false;
    bool m_isListCallOpen = false;
    bool m_areRoutersStale = false;
    std::uint64_t m_plannedViewHash = 0;
    TimePoint m_nextListPoll {};
    TimePoint m_nextLoadUpdate {};
    Published<ServingView> m_published;
};

}
