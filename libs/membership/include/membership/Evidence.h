// What an instance knows about the newest accepted configuration, and since when (contact rule).
//
// A statement (version v, time t) says: all changes accepted before t have versions of at most v. An instance serves
// keyed requests only while it holds such a statement, not older than 4 s, for the version that it has in force.
// Argument that a withdrawn key is refused everywhere 5 s after the withdrawal was accepted:
//  1. A confirmed statement is a read of the head row that started at t. Accepted changes are in the head row.
//  2. A reply bounds its age by the request that it answers; a heartbeat, by the relay's token that it echoes. Delayed
//     and duplicated messages therefore only make statements older. Ages are prolonged by 1% for clock drift.
//  3. A writer reports "accepted" only after a relay that knew the version had it confirmed by a relay of another
//     domain, and after all of its own relays that answer have this in their replies (ConfigurationWriter::AwaitPeers).
//  4. A relay says storeUnavailable as of t only with statements made after t by every live member of its own domain,
//     by its fellow relay, and by a relay of every other domain that it has ever known. Each carries the highest
//     version known there, and v is the highest of all. With 3, every change accepted before t is known to one of them.
//  5. One instance that alone reaches the store says so in its heartbeats: no relay says storeUnavailable while its
//     domain or the witness in another domain answers. If neither answers, domains are missing for 4. If its own relays
//     do not answer, it cannot report "accepted" (3) or write (rule W), and by itself it vouches for nobody else.
//  6. An instance, domain or region cut off from its peers lacks attestations for 4: silent domains stay required until
//     the platform's list, which is read from the store's side, has dropped them. It can still read the store itself,
//     which is evidence by 1; otherwise it has no evidence after 4 s.
//  7. Members take storeUnavailable from relays only, and relays never from members.
// 4 s plus drift plus the time of one request's decision is below 5 s.

#pragma once

#include "membership/Messages.h"

#include <optional>
#include <vector>

namespace peridot {

class Evidence {
public:
    static constexpr Duration s_freshFor = std::chrono::seconds { 4 };
    static constexpr Duration s_attestationLimit = std::chrono::seconds { 2 };
    static constexpr Duration s_writeWindow = std::chrono::seconds { 1 };

    /** A read of the head row that was started at @p readStart returned @p version. */
    void confirmed(ConfigurationVersion version, TimePoint readStart);
    /** For the relay that has the attestations of all domains, the oldest of them made after @p asOf. */
    void storeUnavailable(ConfigurationVersion version, TimePoint asOf);
    /** Takes a peer's statement. @p requestSent is when this instance sent the request that the statement answers. */
    void learn(const EvidenceStatement&, TimePoint requestSent);
    /** This version is in force here. */
    void adopted(ConfigurationVersion) noexcept;
    /** A heartbeat sent at @p sent that said "reachable" was answered, and another domain is known to know. */
    void reachabilityWitnessed(TimePoint sent) noexcept;

    /** Whether a statement not older than 4 s covers the version in force. */
    bool isFresh(TimePoint now) const noexcept;
    /** Time of the newest statement that covers the version in force. */
    std::optional<TimePoint> time() const noexcept;
    /** The highest version of all statements. It has to be fetched if it is newer than the one in force. */
    ConfigurationVersion version() const noexcept { return m_highest; }
    /** Kind of the statement that covers the version in force; None if it is not fresh. */
    EvidenceKind kind(TimePoint now) const noexcept;
    /** The newest statement, for peers. */
    EvidenceStatement statement(TimePoint now) const noexcept;

    /** Rule W: whether this instance may write a lease or configuration row now. */
    bool mayWrite(TimePoint now) const noexcept;

private:
    struct Entry {
        ConfigurationVersion version = 0;
        TimePoint time;
        EvidenceKind kind = EvidenceKind::None;
    };

    void add(Entry);

    // Rising in version and in time: an entry that another one covers (no higher version, no earlier time) is dropped.
    std::vector<Entry> m_entries;
    ConfigurationVersion m_inForce = 0; // Never falls.
    ConfigurationVersion m_highest = 0;
    std::optional<TimePoint> m_witnessed;
};

}
