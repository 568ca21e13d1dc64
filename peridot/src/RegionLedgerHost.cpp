// The ledger's lease decides who grants; everything else here runs only while the lease is held.

#include "RegionLedgerHost.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    // A write that takes longer leaves too little of the lease.
    constexpr Duration storeTimeout = std::chrono::milliseconds { 2500 };
    // Instances of the region that compete for a lapsed lease, so that one without a path to the store doesn't block
    // it.
    constexpr int candidateCount = 3;
    constexpr Duration capacityInterval = std::chrono::milliseconds { 500 };
    constexpr Duration watchInterval = std::chrono::seconds { 1 };
    // A ledger whose row stands still has stopped granting after the lease, and its units are gone after their
    // lifetime.
    constexpr Duration lapseTime = withDrift(leaseLifetime + unitLifetime) + std::chrono::milliseconds { 500 };
    // Part of the free capacity that other regions may use. The rest absorbs changes within one update interval.
    constexpr double spillShare = 0.5;
    constexpr double spillReserve = 0.1;
    // Part of a link that spilled requests may fill; control traffic and the platform's own use the rest.
    constexpr double linkShare = 0.8;
    constexpr double burstSeconds = 0.2;
    // Lookups per second accepted from a home region that had not asked before, so that the first ones of a shift don't
    // wait for the ramp's next update.
    constexpr double firstShiftRate = 5;

    std::uint64_t rankHash(const RegionId& region, const InstanceId& instance)
    {
        const auto text = region.value() + "\n" + instance.value();
        return XXH3_64bits(text.data(), text.size());
    }

    BudgetShare shareOf(double perSecond)
    {
        const auto bounded = std::max(perSecond, 0.0);
        return { static_cast<MilliRate>(bounded * 1000),
            std::max<Units>(1, static_cast<Units>(bounded * burstSeconds)) };
    }

}

RegionLedgerHost::RegionLedgerHost(
    const NodeSettings& settings, Membership& membership, StoreCallTable& calls, EventLog& log)
    : m_settings(settings)
    , m_membership(membership)
    , m_calls(calls)
    , m_log(log)
    , m_ledger(settings.self.region, log)
    , m_lease(settings.self.region, settings.self.id, settings.self.incarnation, log)
    , m_shares(settings.self.region, settings.regions, m_ledger, log)
{
}

void RegionLedgerHost::setConfiguration(const Configuration& configuration, TimePoint now)
{
    std::map<WorkspaceId, BudgetShare> workspaces;
    for (const auto& [id, workspace] : configuration.data().workspaces)
        workspaces[id] = { static_cast<MilliRate>(workspace.ratePerSecond) * 1000, workspace.burst };
    for (const auto& [id, total] : workspaces)
        m_shares.setWorkspace(id, total, configuration.version(), now);
    for (const auto& [id, total] : m_workspaces) {
        if (!workspaces.contains(id))
            m_shares.removeWorkspace(id, now);
    }
    m_workspaces = std::move(workspaces);
}

void RegionLedgerHost::setCapacity(std::vector<RegionCapacity> capacity, double requestsPerLookup)
{
    m_capacity = std::move(capacity);
    m_requestsPerLookup = requestsPerLookup;
}

bool RegionLedgerHost::isCandidate() const
{
    if (m_isLeaving)
        return false;
    const auto own = rankHash(m_settings.self.region, m_settings.self.id);
    int better = 0;
    m_membership.view().forEachLive([&](const MemberInfo& member) {
        if (member.region == m_settings.self.region && member.id != m_settings.self.id
            && member.state == InstanceState::Ready && rankHash(member.region, member.id) > own)
            ++better;
    });
    return better < candidateCount;
}

bool RegionLedgerHost::hasLiveMembers(const RegionId& region) const
{
    bool hasMember = false;
    m_membership.view().forEachLive([&](const MemberInfo& member) { hasMember |= member.region == region; });
    return hasMember;
}

Actions RegionLedgerHost::tick(TimePoint now)
{
    Actions actions;
    const auto& evidence = m_membership.evidence();
    if (evidence.kind(now) == EvidenceKind::StoreUnavailable)
        m_lease.extend(*evidence.time(), now);

    LeaseInputs inputs;
    inputs.isCandidate = isCandidate();
    inputs.mayWrite = evidence.mayWrite(now);
    if (auto request = m_lease.next(inputs, now)) {
        // An acquisition may take effect until its timeout; no one may conclude before that nobody can take the row. A
        // renewal changes no holder, and holding "reachable" for it would hide every outage.
        if (std::holds_alternative<TableCommit>(*request) && !m_lease.isHeld(now))
            m_membership.holdReachable(now + storeTimeout);
        actions.emplace_back(m_calls.add(StoreCaller::LedgerLease, 0, std::move(*request), storeTimeout, now));
    }
    followLease(now);
    if (m_activeTerm == 0)
        return actions;
    if (std::exchange(m_isAnnouncementDue, false))
        announce(actions);

    ShareInputs shareInputs;
    shareInputs.isHeld = m_lease.isHeld(now);
    shareInputs.leaseTerm = m_lease.term();
    shareInputs.leaseRowVersion = m_lease.confirmedRowVersion();
    shareInputs.mayWrite = inputs.mayWrite;
    shareInputs.lapsedRegions = lapsedRegions();
    if (auto request = m_shares.next(shareInputs, now))
        actions.emplace_back(m_calls.add(StoreCaller::ShareTable, 0, std::move(*request), storeTimeout, now));

    if (now >= m_nextCapacityUpdate) {
        m_nextCapacityUpdate = now + capacityInterval;
        updateCapacityBudgets(now);
        updateShiftBudgets(now);
    }
    watchLostRegions(now, actions);
    return actions;
}

void RegionLedgerHost::followLease(TimePoint now)
{
    const bool isHeld = m_lease.isHeld(now);
    if (m_activeTerm != 0 && (!isHeld || m_lease.term() != m_activeTerm)) {
        m_ledger.deactivate();
        m_activeTerm = 0;
        m_log.write(LogLevel::Warning, LogLine("ledger_stopped").add("region", m_settings.self.region));
    }
    if (!isHeld || m_activeTerm != 0)
        return;
    m_activeTerm = m_lease.term();
    m_ledger.activate(m_lease.epoch(), m_lease.grantsFrom(), now);
    m_isAnnouncementDue = true;
    if (const auto& text = m_lease.inheritedSnapshot(); !text.empty()) {
        if (auto snapshot = ledgerSnapshotFromText(text))
            m_ledger.restore(*snapshot, now);
    }
    m_log.write(LogLevel::Info,
        LogLine("ledger_started")
            .add("region", m_settings.self.region)
            .add("epoch", m_lease.epoch())
            .add("grants_in_ms", m_lease.grantsFrom() - now));
}

void RegionLedgerHost::announce(Actions& actions)
{
    // An empty grant names the region and the epoch. The live view says the same up to 1.5 s later, and until then the
    // region's instances would ask a ledger that grants nothing.
    BudgetGrant grant;
    grant.region = m_settings.self.region;
    grant.epoch = m_lease.epoch();
    m_membership.view().forEachLive([&](const MemberInfo& member) {
        if (member.region == m_settings.self.region && member.id != m_settings.self.id)
            actions.emplace_back(SendMessage { member.id, member.peerAddress, grant });
    });
}

void RegionLedgerHost::updateCapacityBudgets(TimePoint now)
{
    for (const auto& capacity : m_capacity) {
        const auto usable = capacity.freeSlots - spillReserve * capacity.slots;
        const auto perSecond = spillShare * std::max(usable, 0.0) / std::max(capacity.meanSeconds, 0.001);
        m_ledger.setShare({ BudgetKind::SpillIn, capacity.service.value() }, shareOf(perSecond), now);
    }
    const auto kilobytesPerSecond = linkShare * static_cast<double>(m_settings.linkMegabitsPerSecond) * 1000 / 8;
    for (const auto& region : m_settings.regions) {
        if (region == m_settings.self.region)
            continue;
        const auto subject = m_settings.self.region.value() + ">" + region.value();
        m_ledger.setShare({ BudgetKind::Link, subject }, shareOf(kilobytesPerSecond), now);
    }
}

void RegionLedgerHost::updateShiftBudgets(TimePoint now)
{
    std::map<RegionId, double> demand;
    for (const auto& region : m_settings.regions) {
        if (region == m_settings.self.region)
            continue;
        const auto use = m_ledger.usage({ BudgetKind::ShiftIn, region.value() }, now);
        if (use.demandPerSecond > 0)
            demand[region] = use.demandPerSecond;
    }
    double requestsPerSecond = 0;
    for (const auto& capacity : m_capacity)
        requestsPerSecond += std::max(capacity.freeSlots - spillReserve * capacity.slots, 0.0) / capacity.meanSeconds;
    m_shiftRamp.update(now, demand, spillShare * requestsPerSecond / std::max(m_requestsPerLookup, 0.1));
    for (const auto& region : m_settings.regions) {
        if (region == m_settings.self.region)
            continue;
        const auto rate = std::max(m_shiftRamp.rate(region), requestsPerSecond > 0 ? firstShiftRate : 0);
        m_ledger.setShare({ BudgetKind::ShiftIn, region.value() }, shareOf(rate), now);
    }
}

void RegionLedgerHost::watchLostRegions(TimePoint now, Actions& actions)
{
    if (now < m_nextWatch)
        return;
    m_nextWatch = now + watchInterval;
    TableRead read;
    for (const auto& region : m_settings.regions) {
        if (region == m_settings.self.region || hasLiveMembers(region))
            m_watched.erase(region);
        else
            read.keys.push_back(ledgerRowKey(region));
    }
    if (!read.keys.empty())
        actions.emplace_back(m_calls.add(StoreCaller::LapsedRegions, 0, std::move(read), storeTimeout, now));
}

Actions RegionLedgerHost::lapsedRegionsCompleted(const StoreResult& result, TimePoint readStart, TimePoint)
{
    const auto* rows = result ? std::get_if<TableRows>(&*result) : nullptr;
    if (!rows)
        return {};
    for (const auto& row : rows->rows) {
        for (const auto& region : m_settings.regions) {
            if (row.key != ledgerRowKey(region) || hasLiveMembers(region))
                continue;
            auto [it, isNew] = m_watched.try_emplace(region);
            // A gap between reads could hide an outage in which the region extended its lease.
            const bool hasGap = readStart - it->second.lastRead > 3 * watchInterval;
            if (isNew || hasGap || it->second.version != row.version)
                it->second = { row.version, readStart, readStart };
            it->second.lastRead = readStart;
        }
    }
    return {};
}

std::vector<LapsedRegion> RegionLedgerHost::lapsedRegions() const
{
    std::vector<LapsedRegion> lapsed;
    for (const auto& [region, watched] : m_watched) {
        if (watched.lastRead - watched.unchangedSince >= lapseTime)
            lapsed.push_back({ region, watched.version });
    }
    return lapsed;
}

Actions RegionLedgerHost::leaseCompleted(const StoreResult& result, TimePoint now)
{
    m_lease.completed(result, now);
    followLease(now);
    return {};
}

Actions RegionLedgerHost::sharesCompleted(const StoreResult& result, TimePoint now)
{
    m_shares.completed(result, now);
    return {};
}

std::optional<BudgetGrant> RegionLedgerHost::answer(const BudgetDemand& demand, TimePoint now)
{
    followLease(now);
    if (m_activeTerm == 0 || m_isLeaving)
        return std::nullopt;
    const auto* holder = m_membership.view().find(demand.holder);
    const bool isForeign = holder && holder->region != m_settings.self.region;
    return m_ledger.answer(demand, now, isForeign ? DemandOrigin::OtherRegion : DemandOrigin::OwnRegion);
}

void RegionLedgerHost::leave(TimePoint now)
{
    if (m_isLeaving)
        return;
    followLease(now);
    m_isLeaving = true;
    if (m_activeTerm == 0)
        return;
    m_isHandingOver = true;
    m_lease.handOver(toText(m_ledger.snapshot(now)), now);
}

bool RegionLedgerHost::hasLeft() const noexcept { return m_isLeaving && (!m_isHandingOver || m_lease.isHandedOver()); }

std::uint64_t RegionLedgerHost::epoch(TimePoint now) const noexcept
{
    return m_activeTerm != 0 && !m_isLeaving && m_lease.isHeld(now) ? m_lease.epoch() : 0;
}

}
