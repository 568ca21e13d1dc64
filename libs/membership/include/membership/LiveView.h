// The members of all failure domains as one instance knows them, with the changes between recent states, so that peers
// can be told only what changed.

#pragma once

#include "membership/Messages.h"
#include "store/StoreTypes.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridot {

class LiveView {
public:
    struct Domain {
        RegionId region;
        std::map<InstanceId, MemberInfo> members;
        ViewVersion version;
        std::optional<TimePoint> silentSince; // Set exactly while version.isSilent.
        ConfigurationVersion lowestVersion = 0;
        std::vector<ServiceLoad> loads;
        std::vector<WorkspaceDemand> demands;
        std::vector<ServerReport> serverReports;
        std::optional<TimePoint> reportTime; // Of lowestVersion, loads, demands and server reports.
        // False while members come from the platform's list only.
        bool isConfirmed = false;
    };

    // A silent domain is kept for the attestations until the platform's list has dropped it, see Evidence.h. The list
    // lags, so a domain that is merely missing from it for a shorter time is kept as well.
    static constexpr Duration s_forgetAfter = std::chrono::seconds { 30 };

    /** Adds a member or changes it. For the relay of the member's domain. */
    void put(const MemberInfo&);
    /** For the relay of the domain. */
    void remove(const FailureDomainId&, const InstanceId&, TimePoint now);
    void setSilent(const FailureDomainId&, bool isSilent, TimePoint now);
    /** Names a domain before any of its members is known. */
    void addDomain(const FailureDomainId&, const RegionId&);
    void setReport(const FailureDomainId&, ConfigurationVersion lowest, std::vector<ServiceLoad> loads, TimePoint asOf,
        std::vector<WorkspaceDemand> demands = {}, std::vector<ServerReport> serverReports = {});

    /** Takes the sums over a region's domains, as relays tell them to members. */
    void setRegionLoads(const RegionId&, std::vector<ServiceLoad> loads, std::vector<WorkspaceDemand> demands,
        std::vector<ServerReport> serverReports, TimePoint asOf);

    /** Takes what a relay said. The list may still differ afterwards; then the next request names what is known. */
    void apply(const DomainSummary&, TimePoint now);
    /**
     * Adds domains, and members of domains that no relay has confirmed yet or of which this instance is a relay. Drops
     * domains that are gone for good.
     */
    void applyPlatformList(
        const std::vector<PlatformInstance>&, const std::optional<FailureDomainId>& relayedDomain, TimePoint now);
    bool hasPlatformList() const noexcept { return m_hasPlatformList; }

    const std::map<FailureDomainId, Domain>& domains() const noexcept { return m_domains; }
    const Domain* findDomain(const FailureDomainId&) const;
    /** A live member: listed, and its domain is not silent. */
    const MemberInfo* find(const InstanceId&) const;
    void forEachLive(const std::function<void(const MemberInfo&)>&) const;
    std::size_t liveCount() const noexcept;
    /** Load of the live domains of a region, summed by service: as a relay told it, or by newer reports of domains. */
    std::vector<ServiceLoad> loads(const RegionId&) const;
    /** Demand on the live domains of a region, summed by workspace, from the same source as loads(). */
    std::vector<WorkspaceDemand> demands(const RegionId&) const;
    /** Newest report on each server from the live domains of a region, from the same source as loads(). Its age is the
     *  one at @p asOf. */
    std::vector<ServerReport> serverReports(const RegionId&, TimePoint asOf) const;
    /** Lowest version in force over the live domains that report one; 0 if one of them reports none. */
    ConfigurationVersion lowestVersion() const noexcept;

    /** Hash over the versions of all domains. */
    std::uint64_t hash() const noexcept { return m_hash; }
    std::vector<KnownView> known() const;
    KnownView known(const FailureDomainId&) const;
    /** A summary without members, for the parts that are no list. */
    DomainSummary report(const FailureDomainId&, TimePoint now) const;
    /** The changes of a domain since @p known, or its full list if that state is too old. */
    DomainSummary changesSince(const KnownView& known) const;
    /** The changes since the state with this hash(); empty if that state is too old. */
    std::optional<std::vector<DomainSummary>> changesSince(std::uint64_t hash) const;

private:
    // A relay sees some changes per second at most (230 restarts a day, bursts at deployments), and peers ask twice a
    // second.
    static constexpr std::size_t s_historyLimit = 256;
    // The platform's list names a dead instance for some time; it must not bring the instance back.
    static constexpr Duration s_removalMemory = std::chrono::minutes { 10 };

    struct RegionLoads {
        std::vector<ServiceLoad> loads;
        std::vector<WorkspaceDemand> demands;
        std::vector<ServerReport> serverReports;
        TimePoint asOf;
    };

    std::vector<const Domain*> liveDomains(const RegionId&) const;
    /** The sums told by a relay if they are newer than the reports of the region's domains. */
    const RegionLoads* toldLoads(const RegionId&) const;

    struct HistoryEntry {
        std::uint64_t hashBefore = 0; // Of all domains.
        ViewVersion versionBefore; // Of the domain.
        FailureDomainId domain;
        InstanceId member; // Empty if the domain became silent or answered again.
    };

    Domain& domain(const FailureDomainId&, const RegionId&);
    void record(const FailureDomainId&, const Domain&, const InstanceId& member);
    void setVersion(const FailureDomainId&, Domain&, const ViewVersion&);
    void erase(const FailureDomainId&, Domain&, const InstanceId&);
    void addListed(const PlatformInstance&, const std::optional<FailureDomainId>& relayedDomain);
    void forgetAbsentDomains(const std::set<FailureDomainId>& listed, TimePoint now);
    DomainSummary summarise(const FailureDomainId&, std::size_t firstEntry) const;

    std::map<FailureDomainId, Domain> m_domains;
    std::map<RegionId, RegionLoads> m_regionLoads;
    std::map<InstanceId, FailureDomainId> m_domainOf;
    std::map<InstanceId, TimePoint> m_removed; // By this instance as a relay.
    std::deque<HistoryEntry> m_history; // Oldest first.
    std::uint64_t m_hash = 0; // Equals the sum over m_domains of the hashes of name and version.
    bool m_hasPlatformList = false;
};

}
