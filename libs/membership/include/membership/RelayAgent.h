// The relay's side: collects the heartbeats of the own failure domain, exchanges digests with the fellow relay and with
// one relay of each other domain, and answers members with evidence and with what changed.

#pragma once

#include "base/EventLog.h"
#include "membership/Evidence.h"
#include "membership/LiveView.h"
#include "membership/MembershipSettings.h"
#include "membership/Messages.h"

#include <map>
#include <optional>
#include <set>
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
    std::vector<Send> tick(const std::set<InstanceId>& silent, TimePoint now);
    HeartbeatReply receive(const Heartbeat&, TimePoint now);
    Digest receive(const DigestPull&, TimePoint now);
    void receive(const InstanceId& from, const Digest&, TimePoint now);

    /** Whether this instance is one of the relays of its domain by its own view. */
    bool isActive() const noexcept { return m_activeSince.has_value(); }
    void heard(ConfigurationVersion version) noexcept { m_highest = std::max(m_highest, version); }
    ConfigurationVersion highestVersion() const noexcept { return m_highest; }

private:
    struct Member {
        std::uint64_t incarnation = 0;
        TimePoint lastHeard;
        std::optional<TimePoint> asOf; // The newest statements were made after this time.
        bool isReachable = false;
        ConfigurationVersion version = 0; // In force.
        std::vector<ServiceLoad> loads;
        std::uint64_t sequence = 0;
    };

    /** Of one domain, by a relay of it other than this instance. */
    struct Attestation {
        bool isReachable = false;
        TimePoint asOf;
    };

    struct OpenPull {
        InstanceId to;
        TimePoint sent;
        ConfigurationVersion highest = 0;
        bool saidReachable = false;
    };

    struct Peer { // Another domain, or the own one for the fellow relay.
        InstanceId target;
        std::map<std::uint64_t, OpenPull> open;
        std::uint64_t answered = 0;
        std::optional<TimePoint> lastAnswer;
        std::optional<TimePoint> askedSince; // The target, without an answer so far.
        std::set<InstanceId> passedOver; // Targets that did not answer, until all of them were tried.
        std::optional<Attestation> attestation;
    };

    void activate(const std::set<InstanceId>& silent, TimePoint now);
    void removeSilentMembers(const std::set<InstanceId>& silent, TimePoint now);
    void markSilentDomains(TimePoint now);
    void chooseTarget(const FailureDomainId&, Peer&, const std::set<InstanceId>& silent, TimePoint now);
    std::optional<Send> pull(const FailureDomainId&, Peer&, TimePoint now);
    std::optional<Attestation> ownAttestation(TimePoint now) const;
    void concludeStoreState(TimePoint now);
    bool isOwnDomainReachable(TimePoint now) const;
    bool isPeerReachable(TimePoint now) const;
    bool hasOtherDomains() const;
    void updateOwnReport();

    MembershipSettings m_settings;
    const MemberInfo& m_self;
    LiveView& m_view;
    Evidence& m_evidence;
    EventLog& m_log;
    std::optional<TimePoint> m_activeSince;
    std::size_t m_rank = 0; // Among the relays of the own domain; chooses the partner in other domains.
    std::optional<TimePoint> m_started; // Of the first call; tokens from before are of an earlier incarnation.
    std::map<InstanceId, Member> m_members; // Of the own domain, by their heartbeats.
    std::map<FailureDomainId, Peer> m_peers;
    std::map<InstanceId, TimePoint> m_heardReachable; // Relays of other domains whose last pull said "reachable".
    std::uint64_t m_nextSequence = 1;
    TimePoint m_nextPulls;
    ConfigurationVersion m_highest = 0;
    ConfigurationVersion m_witnessedVersion = 0;
    std::optional<TimePoint> m_reachabilityWitnessed; // Send time of the newest answered pull that said "reachable".
    bool m_isStoreUnavailable = false;
};

}
