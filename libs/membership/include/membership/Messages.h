// Messages that keep the live view: heartbeats from members to the relays of their failure domain, and digests between
// the relays of different domains. All of them are pulls: a reply answers one request by its sequence number.

#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

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

    bool operator==(const MemberInfo&) const = default;
};

/** Version of one domain's member list. It rises within an epoch; each relay that takes over starts a new epoch. */
struct ViewVersion {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;

    auto operator<=>(const ViewVersion&) const = default;
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

    bool operator==(const ServiceLoad&) const = default;
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
    Duration age { 0 };
};

struct Heartbeat {
    MemberInfo sender;
    std::uint64_t sequence = 0;
    ConfigurationVersion configurationVersion = 0;
    StoreAttestation store;
    EvidenceStatement evidence; // The sender's own, so that a relay that is no reader learns from its members.
    std::vector<KnownView> known;
    std::vector<ServiceLoad> loads;
};

struct HeartbeatReply {
    std::uint64_t sequence = 0;
    EvidenceStatement evidence;
    std::vector<DomainSummary> domains; // Only domains that changed since the versions in the heartbeat.
};

struct DigestPull {
    InstanceId sender;
    std::uint64_t sequence = 0;
    std::vector<KnownView> known;
};

struct Digest {
    std::uint64_t sequence = 0;
    EvidenceStatement evidence;
    std::vector<DomainSummary> domains; // The answering relay's own domain.
};

}
