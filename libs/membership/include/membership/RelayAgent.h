// The relay's side: collects the heartbeats of the own failure domain, exchanges digests with the fellow relay and with
// one relay of each other domain, and answers members with evidence and with what changed.

#pragma once

#include "base/EventLog.h"
#include "membership/Evidence.h"
#include "membership/LiveView.h"
#include "membership/MembershipSettings.h"
#include "membership/Messages.h"
#include "membership/RelayRank.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridot {

class RelayAgent {
public:
    struct Send {
        InstanceId to;
        std::string address;
        DigestPull message;
    };

    RelayAgent(const MembershipSettings&, const MemberInfo& self, LiveView&, Evidence&, EventLog&);

    /** @p silent are the relays of the own domain that do not answer this instance as a member. */
    std::vector<Send> tick(const SilentRelays& silent, TimePoint now);
    HeartbeatReply receive(const Heartbeat&, TimePoint now);
    /** @p address is where the sender takes messages. */
    Digest receive(const DigestPull&, const std::string& address, TimePoint now);
    void receive(const Digest&, TimePoint now);
    /** A member of the own domain has answered, which shows that it lives even if it sends its heartbeats elsewhere. */
    void answered(const InstanceId& member, TimePoint now);
    /** This process was paused; silence during the pause says nothing about others. */
    void resumed(TimePoint now);

    /** Whether this instance is one of the relays of its domain by its own view. */
    bool isActive() const noexcept { return m_activeSince.has_value(); }
    void heard(const StorePosition& position) noexcept { m_highest = std::max(m_highest, position); }
    const StorePosition& highest() const noexcept { return m_highest; }

private:
    /** The newest heartbeat of a member. Kept for a while after the member was removed: a late one must not revive it.
     */
    struct Member {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastHeard;
        std::optional<TimePoint> asOf; // Its statements were made after this time.
        bool isReachable = false;
        ConfigurationVersion version = 0; // In force.
        std::vector<ServiceLoad> loads;
        std::vector<WorkspaceDemand> demands;
        std::vector<ServerReport> serverReports; // Ages are those at lastHeard.
        std::uint64_t viewReplies = 0; // Counts towards MembershipSettings::loadsEvery.
    };

    /** What a relay said about the store on behalf of its domain. */
    struct Attestation {
        bool isReachable = false;
        TimePoint asOf;
    };

    struct OpenPull {
        FailureDomainId domain;
        TimePoint sent;
        ConfigurationVersion highest = 0;
        bool saidReachable = false;
        InstanceId target;
        bool isProbe = false; // Only asks whether a removed member is back.
    };

    /** A removed member. It may have been cut off with relays of its own, which then do not know this one either. */
    struct Lost {
        MemberInfo info;
        TimePoint since;
        TimePoint nextProbe;
    };

    /** The relay that is pulled in another domain, or the fellow relay in the own one. */
    struct Peer {
        InstanceId target;
        std::optional<TimePoint> unansweredSince;
        TimePoint lastPull;
        std::optional<TimePoint> lastAnswer; // Of any target in this domain.
        std::uint64_t answered = 0;
        std::map<InstanceId, TimePoint> passedOver; // Targets that did not answer, and since when.
        std::optional<Attestation> attestation;
    };

    void activate(const SilentRelays&, TimePoint now);
    void removeSilentMembers(const SilentRelays&, TimePoint now);
    void markSilentDomains(TimePoint now);
    void updateOwnReport(TimePoint now);
    void pullAll(const SilentRelays&, TimePoint now, std::vector<Send>&);
    InstanceId chooseTarget(const FailureDomainId&, Peer&, const SilentRelays&, TimePoint now) const;
    void pull(const FailureDomainId&, const MemberInfo& target, bool isProbe, TimePoint now, std::vector<Send>&);
    void pullChanged(TimePoint now, std::vector<Send>&);
    /** While the own domain cannot reach the store: asks again for attestations that are getting old. */
    void refreshAttestations(TimePoint now);
    void repeatUnanswered(TimePoint now);
    void probeLost(TimePoint now, std::vector<Send>&);
    /** Pulls from the sender from now on if the relay that is pulled does not answer. */
    void followTakeover(const DigestPull&, TimePoint now);
    /** Lists a member that has not sent a heartbeat yet; it has the usual time to do so. */
    void meet(const MemberInfo&, TimePoint now);
    void meetMembersOf(const DomainSummary&, TimePoint now);
    void meetFellow(const DigestPull&, const std::string& address, TimePoint now);
    /** Pulls soon, at most ten times per second. */
    void hurry(TimePoint now) noexcept;
    void recordHeartbeat(const Heartbeat&, TimePoint now);
    std::vector<DomainSummary> viewFor(const Heartbeat&, TimePoint now);
    void addRegionLoads(std::map<FailureDomainId, DomainSummary>&, TimePoint now) const;
    bool isOwnDomainReachable() const;
    bool isPeerReachable(TimePoint now) const;
    /** By the heartbeats of the members; empty if one of them has made no statement yet. */
    std::optional<Attestation> ownAttestation() const;
    /** By the heartbeats and by the fellow relay. */
    std::optional<Attestation> domainAttestation() const;
    /** The oldest attestation, if those of all domains are recent and none reaches the store. */
    std::optional<TimePoint> storeUnavailableAsOf(TimePoint now) const;
    void concludeStoreState(TimePoint now);
    void updateReachability(TimePoint now);

    MembershipSettings m_settings;
    const MemberInfo& m_self;
    LiveView& m_view;
    Evidence& m_evidence;
    EventLog& m_log;
    std::optional<TimePoint> m_activeSince;
    std::size_t m_rank = 0; // Among the relays of the own domain; the partner in other domains has the same one.
    std::optional<TimePoint> m_started; // Of the first call; earlier tokens are of an earlier incarnation.
    TimePoint m_resumed; // Silence before this time was this process's own.
    std::map<InstanceId, Member> m_members; // Of the own domain, by their heartbeats.
    std::map<FailureDomainId, Peer> m_peers;
    std::map<std::uint64_t, OpenPull> m_open;
    std::map<InstanceId, Lost> m_lost;
    std::set<FailureDomainId> m_changed; // Domains that are pulled with the next tick.
    std::set<FailureDomainId> m_tellFellow; // Other domains whose lists have changed since the fellow was pulled.
    std::map<InstanceId, TimePoint> m_heardReachable; // Relays of other domains whose last pull said "reachable".
    std::uint64_t m_nextSequence = 1;
    TimePoint m_nextPulls;
    TimePoint m_lastPulls;
    ViewVersion m_toldVersion; // Of the own domain, with the last pulls.
    StorePosition m_highest;
    ConfigurationVersion m_witnessedVersion = 0;
    std::optional<TimePoint> m_reachabilityWitnessed; // Send time of the newest answered pull that said "reachable".
    bool m_wasReachable = false;
    bool m_isStoreUnavailable = false;
};

}
