// The member's side: heartbeats to the relays of the own failure domain, and what their replies teach.

#pragma once

#include "base/EventLog.h"
#include "membership/Evidence.h"
#include "membership/LiveView.h"
#include "membership/MembershipSettings.h"
#include "membership/Messages.h"
#include "membership/StoreContact.h"

#include <map>
#include <optional>
#include <random>
#include <set>
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

    std::vector<Send> tick(TimePoint now);
    /** @p takesView is false where this instance is a relay and keeps the view by its own pulls. */
    void receive(const InstanceId& relay, const HeartbeatReply&, bool takesView, TimePoint now);
    /** Sends the next heartbeats with the next tick. */
    void hurry() noexcept { m_next = TimePoint {}; }

    void setState(InstanceState state) { m_self.state = state; }
    void setLoads(std::vector<ServiceLoad> loads) { m_loads = std::move(loads); }
    void setVersionInForce(ConfigurationVersion version) noexcept { m_inForce = version; }
    void heard(ConfigurationVersion version) noexcept { m_highest = std::max(m_highest, version); }

    const MemberInfo& self() const noexcept { return m_self; }
    ConfigurationVersion highestVersion() const noexcept { return m_highest; }
    /** Lowest version in force everywhere, as the relays report it. */
    ConfigurationVersion lowestVersion() const noexcept { return m_lowest; }
    /** Relays of the own domain that do not answer, with the time of their last answer. */
    std::set<InstanceId> silentRelays() const;
    std::optional<TimePoint> lastAnswer(const InstanceId& relay) const;
    /** Whether all relays that this instance talks to have had @p version confirmed by another domain. */
    bool isKnownToPeers(ConfigurationVersion version, TimePoint now) const;

private:
    struct Relay {
        std::uint64_t sequence = 0; // Of the newest heartbeat.
        std::map<std::uint64_t, std::pair<TimePoint, bool>> open; // Send time and whether it said "reachable".
        std::uint64_t answered = 0; // Highest answered sequence; older replies are dropped.
        std::uint64_t token = 0;
        std::optional<TimePoint> firstUnanswered;
        std::optional<TimePoint> lastAnswer;
        std::optional<TimePoint> silentSince;
        ConfigurationVersion witnessed = 0;
        bool namesKnown = false; // The next heartbeat names the versions of all domains.
    };

    void updateSilence(TimePoint now);
    Heartbeat makeHeartbeat(Relay&, bool wantsView, TimePoint now);

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
    ConfigurationVersion m_inForce = 0;
    ConfigurationVersion m_highest = 0; // Never below m_inForce.
    ConfigurationVersion m_lowest = 0;
    bool m_saidReachable = false;
    TimePoint m_next;
};

}
