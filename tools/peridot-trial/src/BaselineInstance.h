// The policies that the product is compared with. They know the accepted configuration at once and without messages,
// which flatters them, and have no idempotency claims.

#pragma once

#include "Judge.h"
#include "SteeringInstance.h"
#include "TrialOptions.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot::trial {

enum class BaselineAdmission {
    StaticSplit, // Each instance has an equal part of rate and burst.
    LocalCounters, // Each instance allows the whole rate and burst.
    StoreWrite, // One compare-and-set of the workspace's row per request.
};

enum class BaselineChoice {
    LeastInFlight, // By the instance's own count.
    RoundRobin,
    LeastReported, // By the load that backend servers report.
};

struct BaselinePolicy {
    BaselineAdmission admission = BaselineAdmission::StaticSplit;
    BaselineChoice choice = BaselineChoice::LeastInFlight;
    bool usesOtherRegions = true; // Once the local servers of a service are full.
};

BaselinePolicy baselinePolicy(Policy);

/** What all baseline instances of a run know without messages. */
struct BaselineKnowledge {
    const Deployment& deployment;
    const AcceptedConfiguration& accepted;
    std::size_t instances = 0;
    std::function<VirtualTime()> now; // A clock that is the same everywhere.
    std::function<std::size_t(const std::string& clientAddress)> homeRegion;
};

class BaselineInstance final : public SteeringInstance {
public:
    BaselineInstance(BaselinePolicy, const BaselineKnowledge&, const NodeSettings&);

    Actions tick(TimePoint now) override;
    Actions receive(const Envelope&, TimePoint) override { return {}; }
    Actions storeCompleted(std::uint64_t id, const StoreResult&, TimePoint now) override;
    Actions probeCompleted(const BackendServerId&, const ProbeResult&, TimePoint now) override;
    LookupResult lookup(const LookupQuery&, TimePoint now) override;
    Actions begin(const RequestHead&, TimePoint now) override;
    Actions finished(const RequestId&, const DispatchOutcome&, TimePoint now) override;
    Actions abandoned(const RequestId&, TimePoint now) override;
    Actions operate(const OperatorRequest&, TimePoint now) override;
    Actions leave(TimePoint now) override;
    bool hasDrained(TimePoint now) const override;
    InstanceState state() const override { return m_leftAt ? InstanceState::Leaving : InstanceState::Ready; }
    ConfigurationVersion configurationVersion() const override { return m_knowledge.accepted.version; }

private:
    struct Server {
        PlatformInstance listed;
        std::uint32_t inFlight = 0; // Own requests.
        std::uint32_t reported = 0;
    };
    struct OpenRequest {
        std::size_t trafficClass = 0;
        std::string workspace;
        TimePoint deadline;
        std::uint32_t attempts = 0;
        std::string server;
        int conflicts = 0; // Of the compare-and-set.
    };
    struct Bucket {
        double level = 0;
        VirtualTime time { 0 };
        bool isNew = true;
    };

    std::optional<std::string> workspaceOf(const RequestHead&) const;
    std::optional<std::size_t> classOf(const RequestHead&) const;
    bool takeLocally(const std::string& workspace);
    Actions claimInStore(const RequestId&);
    Actions claimed(const RequestId&, const StoreResult&, TimePoint now);
    Actions dispatch(const RequestId&, TimePoint now);
    Server* choose(const std::string& service);
    Server* chooseFrom(const std::vector<Server*>&);
    Actions refuse(const RequestId&, std::string code, RunState);
    void listed(const InstanceList&);

    BaselinePolicy m_policy;
    const BaselineKnowledge& m_knowledge;
    NodeSettings m_settings;
    std::map<std::string, Server> m_servers;
    std::vector<PlatformInstance> m_entries;
    std::map<RequestId, OpenRequest> m_open;
    std::map<std::string, Bucket> m_buckets; // By workspace.
    std::map<std::string, TableRow> m_rows; // Last known rows of StoreWrite, by workspace.
    std::map<std::uint64_t, RequestId> m_claims; // Open store calls.
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_listCall = 0;
    std::optional<TimePoint> m_nextList;
    std::optional<TimePoint> m_leftAt;
    std::size_t m_turn = 0;
};

}
