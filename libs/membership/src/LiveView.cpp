#include "membership/LiveView.h"

#include <xxhash.h>

#include <algorithm>

namespace peridot {

namespace {

    std::uint64_t hashText(const std::string& text, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

    std::uint64_t hashNumber(std::uint64_t number, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(&number, sizeof number, seed);
    }

    std::uint64_t hashMember(const MemberInfo& info)
    {
        auto hash = hashText(info.id.value(), 0);
        hash = hashText(info.region.value(), hash);
        hash = hashText(info.failureDomain.value(), hash);
        hash = hashText(info.callerAddress, hash);
        hash = hashText(info.peerAddress, hash);
        hash = hashNumber(info.incarnation, hash);
        hash = hashNumber(static_cast<std::uint64_t>(info.state), hash);
        hash = hashNumber(info.ledgerEpoch, hash);
        // Versions that don't know the member compute the same hash while it isn't set. The rate of the link, which
        // they don't know either, doesn't change within an incarnation.
        return info.isDetached ? hashNumber(1, hash) : hash;
    }

    /** A domain without members counts nothing, so that a peer that has never heard of it agrees. */
    std::uint64_t hashDomain(const FailureDomainId& id, const ViewVersion& version)
    {
        if (version == ViewVersion {})
            return 0;
        return hashNumber(version.contentHash, hashText(id.value(), version.isSilent ? 1 : 0));
    }

}

LiveView::Domain& LiveView::domain(const FailureDomainId& id, const RegionId& region)
{
    auto& result = m_domains[id];
    if (result.region.isEmpty())
        result.region = region;
    return result;
}

void LiveView::addDomain(const FailureDomainId& id, const RegionId& region) { domain(id, region); }

void LiveView::record(const FailureDomainId& id, const Domain& domain, const InstanceId& member)
{
    m_history.push_back({ m_hash, domain.version, id, member });
    if (m_history.size() > s_historyLimit)
        m_history.pop_front();
}

void LiveView::setVersion(const FailureDomainId& id, Domain& domain, const ViewVersion& version)
{
    m_hash -= hashDomain(id, domain.version);
    domain.version = version;
    m_hash += hashDomain(id, domain.version);
}

void LiveView::put(const MemberInfo& info)
{
    auto& target = domain(info.failureDomain, info.region);
    auto version = target.version;
    const auto it = target.members.find(info.id);
    if (it != target.members.end()) {
        if (it->second == info)
            return;
        version.contentHash -= hashMember(it->second);
    }
    record(info.failureDomain, target, info.id);
    m_removed.erase(info.id);
    version.contentHash += hashMember(info);
    target.members.insert_or_assign(info.id, info);
    m_domainOf.insert_or_assign(info.id, info.failureDomain);
    setVersion(info.failureDomain, target, version);
}

void LiveView::erase(const FailureDomainId& id, Domain& domain, const InstanceId& member)
{
    const auto it = domain.members.find(member);
    if (it == domain.members.end())
        return;
    record(id, domain, member);
    auto version = domain.version;
    version.contentHash -= hashMember(it->second);
    domain.members.erase(it);
    if (const auto index = m_domainOf.find(member); index != m_domainOf.end() && index->second == id)
        m_domainOf.erase(index);
    setVersion(id, domain, version);
}

void LiveView::remove(const FailureDomainId& id, const InstanceId& member, TimePoint now)
{
    if (const auto it = m_domains.find(id); it != m_domains.end()) {
        erase(id, it->second, member);
        m_removed[member] = now;
    }
}

void LiveView::setSilent(const FailureDomainId& id, bool isSilent, TimePoint now)
{
    const auto it = m_domains.find(id);
    if (it == m_domains.end() || it->second.version.isSilent == isSilent)
        return;
    record(id, it->second, {});
    auto version = it->second.version;
    version.isSilent = isSilent;
    setVersion(id, it->second, version);
    if (isSilent)
        it->second.silentSince = now;
    else
        it->second.silentSince.reset();
}

void LiveView::setReport(const FailureDomainId& id, ConfigurationVersion lowest, std::vector<ServiceLoad> loads,
    TimePoint asOf, std::vector<WorkspaceDemand> demands, std::vector<ServerReport> serverReports)
{
    const auto it = m_domains.find(id);
    if (it == m_domains.end())
        return;
    it->second.lowestVersion = lowest;
    it->second.loads = std::move(loads);
    it->second.demands = std::move(demands);
    it->second.serverReports = std::move(serverReports);
    it->second.reportTime = asOf;
}

void LiveView::setRegionLoads(const RegionId& region, std::vector<ServiceLoad> loads,
    std::vector<WorkspaceDemand> demands, std::vector<ServerReport> serverReports, TimePoint asOf)
{
    m_regionLoads.insert_or_assign(
        region, RegionLoads { std::move(loads), std::move(demands), std::move(serverReports), asOf });
}

void LiveView::apply(const DomainSummary& summary, TimePoint now)
{
    const auto& id = summary.failureDomain;
    auto& target = domain(id, summary.region);
    target.isConfirmed = true;
    if (summary.isFull) {
        std::set<InstanceId> gone;
        for (const auto& [member, info] : target.members)
            gone.insert(member);
        for (const auto& info : summary.members)
            gone.erase(info.id);
        for (const auto& member : gone)
            erase(id, target, member);
    }
    for (const auto& info : summary.members) {
        if (info.failureDomain == id)
            put(info);
    }
    for (const auto& member : summary.removed)
        erase(id, target, member);
    setSilent(id, summary.version.isSilent, now);
    if (summary.lowestVersion != 0 || !summary.loads.empty() || !summary.demands.empty()
        || !summary.serverReports.empty())
        setReport(id, summary.lowestVersion, summary.loads, now - summary.age, summary.demands, summary.serverReports);
}

void LiveView::applyPlatformList(
    const std::vector<PlatformInstance>& instances, const std::optional<FailureDomainId>& relayedDomain, TimePoint now)
{
    std::erase_if(m_removed, [&](const auto& item) { return now - item.second > s_removalMemory; });
    std::set<FailureDomainId> listed;
    for (const auto& instance : instances) {
        if (instance.kind != PlatformInstanceKind::Entry)
            continue;
        listed.insert(instance.failureDomain);
        addListed(instance, relayedDomain);
    }
    forgetAbsentDomains(listed, now);
    m_hasPlatformList = true;
}

void LiveView::addListed(const PlatformInstance& instance, const std::optional<FailureDomainId>& relayedDomain)
{
    auto& target = domain(instance.failureDomain, instance.region);
    const InstanceId id(instance.name);
    // All instances of a silent domain may have been replaced meanwhile, so the list's are tried as well.
    const bool isListUseful = !target.isConfirmed || target.version.isSilent || instance.failureDomain == relayedDomain;
    if (!isListUseful || target.members.contains(id) || m_removed.contains(id))
        return;
    MemberInfo info;
    info.id = id;
    info.region = instance.region;
    info.failureDomain = instance.failureDomain;
    info.callerAddress = instance.address;
    info.peerAddress = instance.peerAddress;
    info.state = instance.state == PlatformInstanceState::Leaving ? InstanceState::Leaving : InstanceState::Starting;
    put(info);
}

void LiveView::forgetAbsentDomains(const std::set<FailureDomainId>& listed, TimePoint now)
{
    std::vector<FailureDomainId> absent;
    for (const auto& [id, domain] : m_domains) {
        if (!listed.contains(id) && domain.silentSince && now - *domain.silentSince >= s_forgetAfter)
            absent.push_back(id);
    }
    for (const auto& id : absent) {
        auto& domain = m_domains.at(id);
        for (const auto& [member, info] : domain.members) {
            if (const auto it = m_domainOf.find(member); it != m_domainOf.end() && it->second == id)
                m_domainOf.erase(it);
        }
        setVersion(id, domain, {});
        m_domains.erase(id);
        m_history.clear();
    }
}

const LiveView::Domain* LiveView::findDomain(const FailureDomainId& id) const
{
    const auto it = m_domains.find(id);
    return it == m_domains.end() ? nullptr : &it->second;
}

const MemberInfo* LiveView::find(const InstanceId& id) const
{
    const auto index = m_domainOf.find(id);
    if (index == m_domainOf.end())
        return nullptr;
    const auto& domain = m_domains.at(index->second);
    const auto it = domain.members.find(id);
    return domain.version.isSilent || it == domain.members.end() ? nullptr : &it->second;
}

void LiveView::forEachLive(const std::function<void(const MemberInfo&)>& function) const
{
    for (const auto& [id, domain] : m_domains) {
        if (domain.version.isSilent)
            continue;
        for (const auto& [member, info] : domain.members)
            function(info);
    }
}

std::size_t LiveView::liveCount() const noexcept
{
    std::size_t count = 0;
    for (const auto& [id, domain] : m_domains)
        count += domain.version.isSilent ? 0 : domain.members.size();
    return count;
}

std::vector<const LiveView::Domain*> LiveView::liveDomains(const RegionId& region) const
{
    std::vector<const Domain*> domains;
    for (const auto& [id, domain] : m_domains) {
        if (domain.region == region && !domain.version.isSilent)
            domains.push_back(&domain);
    }
    return domains;
}

const LiveView::RegionLoads* LiveView::toldLoads(const RegionId& region) const
{
    std::optional<TimePoint> newest;
    for (const auto* domain : liveDomains(region))
        newest = std::max(newest, domain->reportTime);
    const auto told = m_regionLoads.find(region);
    return told != m_regionLoads.end() && told->second.asOf >= newest ? &told->second : nullptr;
}

std::vector<ServerReport> LiveView::serverReports(const RegionId& region, TimePoint asOf) const
{
    std::map<BackendServerId, ServerReport> newest;
    const auto add = [&](std::vector<ServerReport> serverReports, TimePoint reportTime) {
        for (auto& report : serverReports) {
            report.age = std::max(report.age + (asOf - reportTime), Duration { 0 });
            const auto [it, isNew] = newest.try_emplace(report.server, report);
            if (!isNew && report.age < it->second.age)
                it->second = report;
        }
    };
    if (const auto* told = toldLoads(region)) {
        add(told->serverReports, told->asOf);
    } else {
        for (const auto* domain : liveDomains(region)) {
            if (domain->reportTime)
                add(domain->serverReports, *domain->reportTime);
        }
    }
    std::vector<ServerReport> result;
    result.reserve(newest.size());
    for (auto& [server, report] : newest)
        result.push_back(std::move(report));
    return result;
}

std::vector<WorkspaceDemand> LiveView::demands(const RegionId& region) const
{
    if (const auto* told = toldLoads(region))
        return told->demands;
    std::map<WorkspaceId, double> sums;
    for (const auto* domain : liveDomains(region)) {
        for (const auto& demand : domain->demands)
            sums[demand.workspace] += demand.requestsPerSecond;
    }
    std::vector<WorkspaceDemand> result;
    result.reserve(sums.size());
    for (const auto& [workspace, sum] : sums)
        result.push_back({ workspace, sum });
    return result;
}

std::vector<ServiceLoad> LiveView::loads(const RegionId& region) const
{
    if (const auto* told = toldLoads(region))
        return told->loads;
    std::map<ServiceId, ServiceLoad> sums;
    for (const auto* domain : liveDomains(region)) {
        for (const auto& load : domain->loads) {
            auto& sum = sums[load.service];
            sum.service = load.service;
            sum.slots += load.slots;
            sum.inFlight += load.inFlight;
            sum.queued += load.queued;
            sum.offered += load.offered;
        }
    }
    std::vector<ServiceLoad> result;
    result.reserve(sums.size());
    for (auto& [service, sum] : sums)
        result.push_back(std::move(sum));
    return result;
}

ConfigurationVersion LiveView::lowestVersion() const noexcept
{
    std::optional<ConfigurationVersion> lowest;
    for (const auto& [id, domain] : m_domains) {
        if (!domain.version.isSilent && !domain.members.empty())
            lowest = std::min(lowest.value_or(domain.lowestVersion), domain.lowestVersion);
    }
    return lowest.value_or(0);
}

std::vector<KnownView> LiveView::known() const
{
    std::vector<KnownView> result;
    result.reserve(m_domains.size());
    for (const auto& [id, domain] : m_domains)
        result.push_back({ id, domain.version });
    return result;
}

KnownView LiveView::known(const FailureDomainId& id) const
{
    const auto* domain = findDomain(id);
    return { id, domain ? domain->version : ViewVersion {} };
}

DomainSummary LiveView::report(const FailureDomainId& id, TimePoint now) const
{
    DomainSummary summary;
    summary.failureDomain = id;
    if (const auto* domain = findDomain(id)) {
        summary.region = domain->region;
        summary.version = domain->version;
        summary.lowestVersion = domain->lowestVersion;
        summary.loads = domain->loads;
        summary.demands = domain->demands;
        summary.serverReports = domain->serverReports;
        summary.age = domain->reportTime ? now - *domain->reportTime : Duration { 0 };
    }
    return summary;
}

DomainSummary LiveView::summarise(const FailureDomainId& id, std::size_t firstEntry) const
{
    DomainSummary summary;
    summary.failureDomain = id;
    const auto* domain = findDomain(id);
    if (!domain)
        return summary;
    summary.region = domain->region;
    summary.version = domain->version;
    std::set<InstanceId> changed;
    for (auto i = firstEntry; i < m_history.size(); ++i) {
        if (m_history[i].domain == id && !m_history[i].member.isEmpty())
            changed.insert(m_history[i].member);
    }
    for (const auto& member : changed) {
        if (const auto it = domain->members.find(member); it != domain->members.end())
            summary.members.push_back(it->second);
        else
            summary.removed.push_back(member);
    }
    return summary;
}

DomainSummary LiveView::changesSince(const KnownView& known) const
{
    const auto* domain = findDomain(known.failureDomain);
    if (domain && domain->version.contentHash == known.version.contentHash)
        return summarise(known.failureDomain, m_history.size());
    if (domain && known.version.contentHash != 0) {
        for (auto i = m_history.size(); i-- > 0;) {
            const auto& entry = m_history[i];
            if (entry.domain == known.failureDomain && entry.versionBefore.contentHash == known.version.contentHash)
                return summarise(known.failureDomain, i);
        }
    }
    auto summary = summarise(known.failureDomain, m_history.size());
    summary.isFull = true;
    if (domain) {
        for (const auto& [member, info] : domain->members)
            summary.members.push_back(info);
    }
    return summary;
}

std::optional<std::vector<DomainSummary>> LiveView::changesSince(std::uint64_t hash) const
{
    std::vector<DomainSummary> result;
    if (hash == m_hash)
        return result;
    for (auto i = m_history.size(); i-- > 0;) {
        if (m_history[i].hashBefore != hash)
            continue;
        std::set<FailureDomainId> changed;
        for (auto j = i; j < m_history.size(); ++j)
            changed.insert(m_history[j].domain);
        for (const auto& id : changed)
            result.push_back(summarise(id, i));
        return result;
    }
    return std::nullopt;
}

}
