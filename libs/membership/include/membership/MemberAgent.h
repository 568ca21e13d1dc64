// The member's side: heartbeats to the relays of the own failure domain, and what their replies teach.

#pragma once

#include "base/EventLog.h"
#include "membership/Evidence.h"
#include "membership/LiveView.h"
#include "membership/MembershipSettings.h"
#include "membership/Messages.h"
#include "membership/RelayRank.h"
#include "membership/StoreContact.h"

#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace peridot {

class MemberAgent {
public:
    struct Send {
        InstanceId to;
        std::string address;
        Heartbeat message;
    };

    MemberAgent(const MembershipSettings&, MemberInfo self, LiveView&, Evidence&, const StoreContact&,
        std::uint64_t randomSeed, EventLog&);

    /** @p wantsView is false where this instance is a relay and keeps the view by its own pulls. */
    std::vector<Send> tick(bool wantsView, TimePoint now);
    void receive(const InstanceId& relay, const HeartbeatReply&, bool takesView, TimePoint now);
    /** This process was paused; unanswered heartbeats say nothing about the relays. */
    void resumed() noexcept;
    /** Sends the next heartbeats with the next tick. */
    void hurry() noexcept { m_next = TimePoint {}; }

    void setState(InstanceState state) { m_self.state = state; }
    void setDetached(bool isDetached) noexcept { m_self.isDetached = isDetached; }
    void setLedgerEpoch(std::uint64_t epoch) noexcept { m_self.ledgerEpoch = epoch; }
    void setLoads(std::vector<ServiceLoad> loads) { m_loads = std::move(loads); }
    void setDemands(std::vector<WorkspaceDemand> demands) { m_demands = std::move(demands); }
    void setServerReports(std::vector<ServerReport> serverReports, TimePoint now)
    {
        m_serverReports = std::move(serverReports);
        m_reportsSetAt = now;
    }
    void setVersionInForce(ConfigurationVersion version) noexcept { m_inForce = version; }
    void heard(const StorePosition& position) noexcept { m_highest = std::max(m_highest, position); }

    const MemberInfo& self() const noexcept { return m_self; }
    const StorePosition& highest() const noexcept { return m_highest; }
    /** Lowest version in force everywhere, as the relays report it. */
    ConfigurationVersion lowestVersion() const noexcept { return m_lowest; }
    SilentRelays silentRelays() const;
    /** Whether all relays that this instance talks to have had @p version confirmed by another domain. */
    bool isKnownToPeers(ConfigurationVersion version, TimePoint now) const;

private:
    struct Sent {
        TimePoint time;
        bool saidReachable = false;
    };

    struct Relay {
        std::uint64_t answered = 0; // Highest answered sequence.
        std::map<std::uint64_t, Sent> open; // Heartbeats without an answer, from the last seconds.
        std::uint64_t token = 0;
        std::optional<TimePoint> unansweredSince; // Send time of the first heartbeat after the last answered one.
        std::optional<TimePoint> lastAnswer;
        std::optional<TimePoint> silentSince;
        TimePoint nextRetry; // While silent.
        ConfigurationVersion witnessed = 0;
        bool namesKnown = false; // The next heartbeat names the versions of all domains.
    };

    void updateSilence(TimePoint now);
    void introduce(TimePoint now, std::vector<Send>&);
    void addSend(const InstanceId& relay, bool wantsView, TimePoint now, std::vector<Send>&);
    Heartbeat makeHeartbeat(Relay&, bool wantsView, TimePoint now);
    void takeView(Relay&, const HeartbeatReply&, TimePoint now);

    MembershipSettings m_settings;
    MemberInfo m_self;
    LiveView& m_view;
    Evidence& m_evidence;
    const StoreContact& m_contact;
    EventLog& m_log;
    std::mt19937_64 m_random;
    std::map<InstanceId, Relay> m_relays; // Asked now or earlier.
    std::vector<InstanceId> m_current; // The relays of the last heartbeats; the first one is asked for the view.
    std::vector<ServiceLoad> m_loads;
    std::vector<WorkspaceDemand> m_demands;
    std::vector<ServerReport> m_serverReports; // Ages are those at m_reportsSetAt.
    TimePoint m_reportsSetAt;
    ConfigurationVersion m_inForce = 0;
    StorePosition m_highest;
    ConfigurationVersion m_lowest = 0;
    bool m_saidReachable = false;
    // Rises over all relays: one that is asked again after it left the view must not take heartbeats for repeated ones.
    std::uint64_t m_sequence = 0;
    TimePoint m_next;
    std::optional<TimePoint> m_introduced; // Start of the introduction.
};

}
