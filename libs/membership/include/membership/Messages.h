// Messages that keep the live view: heartbeats from members to the relays of their failure domain, and digests between
// the relays of different domains. All of them are pulls: a reply answers one request by its sequence number.

#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "store/StorePosition.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

using ConfigurationVersion = std::uint64_t;

enum class InstanceState {
    Starting,
    Ready,
    Leaving,
};

template <>
inline constexpr EnumNameTable<InstanceState, 3> enumNames<InstanceState> { {
    { InstanceState::Starting, "starting" },
    { InstanceState::Ready, "ready" },
    { InstanceState::Leaving, "leaving" },
} };

struct MemberInfo {
    InstanceId id;
    std::uint64_t incarnation = 0; // Differs at each start of the process.
    RegionId region;
    FailureDomainId failureDomain;
    std::string callerAddress;
    std::string peerAddress;
    InstanceState state = InstanceState::Starting;
    // Lease epoch of the region's budget ledger if this member holds it, else 0. Of two holders in the view, the one
    // with the higher epoch is asked.
    std::uint64_t ledgerEpoch = 0;
    bool isDetached = false; // It reaches no backend server and passes its requests on to other instances.
    // Rate of its link, constant for an incarnation. 0 if it doesn't state one, as in earlier builds.
    std::uint32_t linkMegabits = 0;

    bool operator==(const MemberInfo&) const = default;
};

/**
 * Version of one domain's member list. It is made from the content, so that two relays with the same members have the
 * same version and a member that changes its relay needs no full list.
 */
struct ViewVersion {
    std::uint64_t contentHash = 0; // Sum of the hashes of the members; 0 for an empty list.
    bool isSilent = false; // None of the domain's relays answers; its members are kept but not live.

    bool operator==(const ViewVersion&) const = default;
};

struct KnownView {
    FailureDomainId failureDomain;
    ViewVersion version;
};

/** Whether an instance, or a set of them, can reach the store. */
struct StoreAttestation {
    bool isReachable = false;
    Duration age { 0 }; // Age of the statement; of the oldest one for a set.
};

/** Load of one service as seen by one instance, or summed over a region. */
struct ServiceLoad {
    ServiceId service;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    double offered = 0; // Slots that the callers' requests would fill if all were served, rejected ones included.

    bool operator==(const ServiceLoad&) const = default;
};

/** What callers of one workspace ask of an instance or a region, refused requests included. */
struct WorkspaceDemand {
    WorkspaceId workspace;
    double requestsPerSecond = 0;

    bool operator==(const WorkspaceDemand&) const = default;
};

/** What a backend server has stated to an instance that concerns all of them. */
struct ServerReport {
    BackendServerId server;
    std::int64_t incarnation = 0; // Of the server.
    double requestsPerSecond = 0; // That it takes from all instances together. Infinite if it names no limit.
    Duration age { 0 }; // Of the statement, when the message or the summary that carries it was made.
    bool isLeaving = false; // It takes no new requests.

    bool operator==(const ServerReport&) const = default;
};

enum class EvidenceKind {
    None,
    Confirmed, // The store's head row said this version.
    StoreUnavailable, // No instance reaches the store, so no change can have been accepted.
};

template <>
inline constexpr EnumNameTable<EvidenceKind, 3> enumNames<EvidenceKind> { {
    { EvidenceKind::None, "none" },
    { EvidenceKind::Confirmed, "confirmed" },
    { EvidenceKind::StoreUnavailable, "store_unavailable" },
} };

/** "All changes accepted up to `age` ago have versions of at most `version`." */
struct EvidenceStatement {
    EvidenceKind kind = EvidenceKind::None;
    ConfigurationVersion version = 0;
    Duration age { 0 };
};

struct DomainSummary {
    FailureDomainId failureDomain;
    RegionId region;
    ViewVersion version;
    bool isFull = false; // The members replace the known list; otherwise they are changes to it.
    std::vector<MemberInfo> members;
    std::vector<InstanceId> removed;
    ConfigurationVersion lowestVersion = 0; // In force at every live member of the domain.
    StoreAttestation store;
    std::vector<ServiceLoad> loads;
    std::vector<WorkspaceDemand> demands;
    std::vector<ServerReport> serverReports;
    Duration age { 0 }; // Of the lowest version, loads, demands and server reports.
};

struct Heartbeat {
    MemberInfo sender;
    std::uint64_t sequence = 0;
    // The token of the newest reply from this relay. All statements of the heartbeat were made after that reply was
    // sent, which bounds their age on the relay's clock.
    std::uint64_t replyToken = 0;
    ConfigurationVersion configurationVersion = 0; // In force at the sender.
    StorePosition highest; // That the sender has heard of or written.
    StoreAttestation store;
    EvidenceStatement evidence; // The sender's own, so that a relay that is no reader learns from its members.
    bool wantsView = false; // Only one of the sender's relays is asked for members and loads.
    std::uint64_t viewHash = 0; // Over the versions of all domains.
    std::vector<KnownView> known; // Only if the last reply showed another view hash.
    std::vector<ServiceLoad> loads;
    std::vector<WorkspaceDemand> demands;
    std::vector<ServerReport> serverReports; // That the servers stated to the sender.
};

struct HeartbeatReply {
    std::uint64_t sequence = 0;
    std::uint64_t token = 0; // The relay's time; opaque to the member.
    EvidenceStatement evidence;
    StorePosition highest; // That the relay has heard of.
    ConfigurationVersion witnessedVersion = 0; // Highest version that a relay of another domain has confirmed to know.
    ConfigurationVersion lowestVersion = 0; // In force at every live member of all domains.
    bool isReachabilityWitnessed = false; // Another domain has just confirmed to know that this one reaches the store.
    std::uint64_t viewHash = 0;
    // Only domains that changed since the versions in the heartbeat. In some replies, one domain of each region carries
    // loads, demands and server reports; in these summaries they are those of the whole region.
    std::vector<DomainSummary> domains;
};

struct DigestPull {
    InstanceId sender;
    RegionId region;
    FailureDomainId failureDomain;
    std::uint64_t sequence = 0;
    StorePosition highest;
    bool isStoreReachable = false; // By a member of the sender's domain.
    // Of the receiver's domain, which the answer brings up to date, and of the sender's, so that the receiver knows
    // when to pull. For the fellow relay also of domains whose lists have just changed.
    std::vector<KnownView> known;
};

struct Digest {
    std::uint64_t sequence = 0;
    EvidenceStatement evidence;
    StorePosition highest;
    bool isPeerReachable = false; // A relay of another domain has just said that its domain reaches the store.
    std::vector<DomainSummary> domains; // The answering relay's own domain.
};

}
