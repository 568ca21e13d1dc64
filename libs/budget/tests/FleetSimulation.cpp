// Event loop, faults and the outside check.

#include "FleetSimulation.h"

#include <algorithm>
#include <deque>

namespace peridot {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds { 10 };
    constexpr Duration storeTimeout = std::chrono::seconds { 1 };
    constexpr std::int64_t nanoPerUnit = 1'000'000'000;

    BudgetKey keyOf(std::size_t workspace) { return { BudgetKind::WorkspaceRate, "w" + std::to_string(workspace) }; }
    WorkspaceId idOf(std::size_t workspace) { return WorkspaceId("w" + std::to_string(workspace)); }

}

ReferenceBucket::ReferenceBucket(const BudgetShare& total)
    : m_total(total)
    , m_nanoUnits(total.burst * nanoPerUnit)
{
}

void ReferenceBucket::advance(Duration now)
{
    m_nanoUnits = std::min(m_total.burst * nanoPerUnit, m_nanoUnits + m_total.rate * (now - m_time).count());
    m_time = now;
}

void ReferenceBucket::setTotal(const BudgetShare& total, Duration now)
{
    advance(now);
    m_total = total;
    advance(now);
}

bool ReferenceBucket::takeAlways(Duration now)
{
    advance(now);
    m_nanoUnits -= nanoPerUnit;
    return m_nanoUnits >= 0;
}

bool ReferenceBucket::take(Duration now)
{
    advance(now);
    if (m_nanoUnits < nanoPerUnit)
        return false;
    m_nanoUnits -= nanoPerUnit;
    return true;
}

struct FleetSimulation::Clock {
    Duration offset { 0 };
    double rate = 1;

    TimePoint read(Duration time) const
    {
        return TimePoint { offset + Duration { static_cast<Duration::rep>(static_cast<double>(time.count()) * rate) } };
    }
};

struct FleetSimulation::Request {
    std::size_t workspace = 0;
    bool isWrongIfRefused = false;
    Duration deadline { 0 };
};

struct FleetSimulation::Holder {
    std::size_t region = 0;
    InstanceId id;
    Clock clock;
    Duration pausedUntil { 0 };
    std::unique_ptr<BudgetHolder> units;
    std::deque<Request> waiting;
};

struct FleetSimulation::Host {
    Host(const RegionId& region, const InstanceId& id, std::uint64_t incarnation, const std::vector<RegionId>& regions,
        EventLog& log)
        : incarnation(incarnation)
        , ledger(region, log)
        , lease(region, id, incarnation, log)
        , shares(region, regions, ledger, log)
    {
    }

    std::uint64_t incarnation;
    RegionLedger ledger;
    LedgerLease lease;
    ShareTable shares;
    std::size_t region = 0;
    std::size_t index = 0;
    Clock clock;
    Duration pausedUntil { 0 };
    std::uint64_t activeTerm = 0;
    bool isLeaving = false;
};

FleetSimulation::FleetSimulation(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_hasClockErrors(m_options.faults.clockRateError > 0)
{
    m_totals = m_options.workspaces;
    for (const auto& total : m_totals)
        m_limits.emplace_back(limitFor(total));
    m_singles = m_limits;
    m_figures.resize(m_totals.size());
    for (std::size_t region = 0; region < m_options.holdersPerRegion.size(); ++region) {
        m_regions.emplace_back("r" + std::to_string(region));
        m_deadSince.push_back(Duration::max());
    }
    m_hosts.resize(m_regions.size() * 2);
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        at(milliseconds(0, 10), [this, i] { startHost(i), tickHost(i); });
    for (std::size_t region = 0; region < m_regions.size(); ++region) {
        for (std::size_t n = 0; n < m_options.holdersPerRegion[region]; ++n) {
            const auto i = m_holders.size();
            m_holders.push_back(std::make_unique<Holder>());
            m_holders[i]->region = region;
            m_holders[i]->id = InstanceId("h" + std::to_string(i));
            startHolder(i);
            at(milliseconds(0, 10), [this, i] { tickHolder(i); });
        }
    }
    if (m_options.faults.eventsPerSecond > 0)
        at(milliseconds(500, 2000), [this] { causeEvent(); });
}

FleetSimulation::~FleetSimulation() = default;

/** Without clock errors, ledgers keep within a rate that is lower by the drift they allow for: a sharper check. */
BudgetShare FleetSimulation::limitFor(const BudgetShare& total) const
{
    if (m_hasClockErrors)
        return total;
    return { total.rate * 100 / (100 + maximumClockDriftPercent) + 1, total.burst };
}

void FleetSimulation::at(Duration time, std::function<void()> action)
{
    m_queue.push({ std::max(time, m_now), ++m_events, std::move(action) });
}

double FleetSimulation::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

Duration FleetSimulation::milliseconds(double from, double to)
{
    return Duration { static_cast<Duration::rep>(uniform(from, to) * 1000) };
}

Duration FleetSimulation::messageDelay()
{
    return chance(m_options.faults.longDelay) ? milliseconds(5, 1500) : milliseconds(0.5, 1.5);
}

FleetSimulation::Clock FleetSimulation::makeClock(double slowdown)
{
    const auto error = m_options.faults.clockRateError;
    return { milliseconds(1e3, 1e9), (1 + uniform(-error, error)) / slowdown };
}

void FleetSimulation::run(Duration duration, const DemandPattern& pattern)
{
    const auto end = m_now + duration;
    const auto run = ++m_runs;
    for (std::size_t workspace = 0; workspace < m_totals.size(); ++workspace) {
        for (std::size_t region = 0; region < m_regions.size(); ++region)
            arrive(workspace, region, pattern, run);
    }
    while (!m_queue.empty() && m_queue.top().time < end) {
        auto event = m_queue.top();
        m_queue.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

void FleetSimulation::resetFigures() { m_figures.assign(m_figures.size(), {}); }

std::int64_t FleetSimulation::overspent() const
{
    std::int64_t sum = 0;
    for (const auto& figures : m_figures)
        sum += figures.overspent;
    return sum;
}

BudgetShare FleetSimulation::share(std::size_t region, std::size_t workspace) const
{
    BudgetShare best;
    for (const auto& host : m_hosts) {
        if (host && host->region == region && host->lease.isHeld(host->clock.read(m_now)))
            best = host->shares.share(idOf(workspace));
    }
    return best;
}

void FleetSimulation::setTotal(std::size_t workspace, const BudgetShare& total)
{
    const auto version = ++m_configurationVersion;
    const auto old = m_totals[workspace];
    m_totals[workspace] = total;
    // Until every ledger knows and the units of the old share have expired, the higher of both holds.
    m_limits[workspace].setTotal(limitFor({ std::max(old.rate, total.rate), std::max(old.burst, total.burst) }), m_now);
    m_singles[workspace].setTotal(total, m_now);
    at(m_now + std::chrono::milliseconds { 5100 }, [this, workspace, total, version] {
        if (version == m_configurationVersion)
            m_limits[workspace].setTotal(limitFor(total), m_now);
    });
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        at(m_now + milliseconds(0, 4000), [this, i, workspace, total, version] {
            if (auto& host = m_hosts[i])
                host->shares.setWorkspace(idOf(workspace), total, version, host->clock.read(m_now));
        });
    }
}

void FleetSimulation::beginOutage() { m_outageSince = m_now; }
void FleetSimulation::endOutage() { m_outageSince = Duration::max(); }
void FleetSimulation::stopFaults() { m_options.faults = {}; }

void FleetSimulation::killRegion(std::size_t region)
{
    m_deadSince[region] = m_now;
    for (auto& host : m_hosts) {
        if (host && host->region == region)
            host.reset();
    }
    for (std::size_t i = 0; i < m_holders.size(); ++i) {
        if (m_holders[i]->region == region)
            startHolder(i);
    }
}

void FleetSimulation::reviveRegion(std::size_t region)
{
    m_deadSince[region] = Duration::max();
    for (std::size_t i = region * 2; i < region * 2 + 2; ++i)
        startHost(i);
}

// Holders

void FleetSimulation::startHolder(std::size_t i)
{
    auto& holder = *m_holders[i];
    const bool isSlow = m_options.sabotage == Sabotage::HolderIgnoresExpiry;
    holder.clock = makeClock(isSlow ? 10 : 1);
    holder.waiting.clear();
    holder.units = std::make_unique<BudgetHolder>(holder.id, ++m_incarnations, m_regions[holder.region], m_log);
}

void FleetSimulation::tickHolder(std::size_t i)
{
    auto& holder = *m_holders[i];
    if (m_now >= holder.pausedUntil && m_deadSince[holder.region] == Duration::max()) {
        if (auto demand = holder.units->nextDemand(holder.clock.read(m_now)))
            sendDemand(holder, std::move(*demand));
        retryWaiting(holder);
    }
    at(std::max(m_now + tickInterval, holder.pausedUntil), [this, i] { tickHolder(i); });
}

void FleetSimulation::sendDemand(Holder& holder, BudgetDemand demand)
{
    ++m_demands;
    m_demandItems += static_cast<std::int64_t>(demand.items.size());
    if (m_options.sabotage == Sabotage::HolderHidesHeldUnits) {
        for (auto& item : demand.items)
            item.held = 0;
    }
    const int copies = chance(m_options.faults.loss) ? 0 : chance(m_options.faults.duplication) ? 2 : 1;
    for (int n = 0; n < copies; ++n)
        at(m_now + messageDelay(), [this, &holder, demand] { deliverDemand(holder, demand); });
}

void FleetSimulation::deliverDemand(Holder& holder, const BudgetDemand& demand)
{
    for (auto& host : m_hosts) {
        if (!host || host->region != holder.region)
            continue;
        if (m_now < host->pausedUntil) {
            if (host->activeTerm != 0) {
                at(host->pausedUntil, [this, &holder, demand] { deliverDemand(holder, demand); });
                return;
            }
            continue;
        }
        followLease(*host);
        if (host->activeTerm == 0)
            continue;
        auto grant = host->ledger.answer(demand, host->clock.read(m_now));
        if (m_options.sabotage == Sabotage::GrantsDoubled) {
            for (auto& item : grant.items)
                item.granted *= 2;
        }
        const int copies = chance(m_options.faults.loss) ? 0 : chance(m_options.faults.duplication) ? 2 : 1;
        for (int n = 0; n < copies; ++n)
            at(m_now + messageDelay(), [this, &holder, grant] { deliverGrant(holder, grant); });
    }
}

void FleetSimulation::deliverGrant(Holder& holder, const BudgetGrant& grant)
{
    if (m_now < holder.pausedUntil) {
        at(holder.pausedUntil, [this, &holder, grant] { deliverGrant(holder, grant); });
        return;
    }
    const auto local = holder.clock.read(m_now);
    if (!holder.units->accept(grant, local))
        return;
    retryWaiting(holder);
    if (auto demand = holder.units->nextDemand(local))
        sendDemand(holder, std::move(*demand));
}

void FleetSimulation::arrive(std::size_t workspace, std::size_t region, const DemandPattern& pattern, std::uint64_t run)
{
    if (run != m_runs)
        return;
    constexpr double longestGap = 0.02; // The rate is looked up again at least this often.
    const auto rate = pattern(m_now, workspace, region);
    const auto gap = rate > 0 ? std::exponential_distribution<double>(rate)(m_random) : longestGap;
    const auto next = m_now + Duration { static_cast<Duration::rep>(std::min(gap, longestGap) * 1e6) };
    at(next, [this, workspace, region, &pattern, run, gap] {
        if (gap < longestGap && run == m_runs && m_deadSince[region] == Duration::max()) {
            std::size_t first = 0;
            for (std::size_t i = 0; i < region; ++i)
                first += m_options.holdersPerRegion[i];
            auto& holder = *m_holders[first + m_random() % m_options.holdersPerRegion[region]];
            ++m_figures[workspace].requests;
            Request request { workspace, m_singles[workspace].take(m_now), m_now + m_options.longestWait };
            if (m_now < holder.pausedUntil || !serve(holder, request, m_options.longestWait.count() == 0))
                holder.waiting.push_back(request);
        }
        arrive(workspace, region, pattern, run);
    });
}

/** Returns true if the request was admitted or finally refused. */
bool FleetSimulation::serve(Holder& holder, Request& request, bool isLast)
{
    const auto local = holder.clock.read(m_now);
    const auto outcome = holder.units->trySpend(keyOf(request.workspace), 1, local);
    auto& figures = m_figures[request.workspace];
    if (outcome.isSpent) {
        ++figures.admitted;
        if (!m_limits[request.workspace].takeAlways(m_now))
            ++figures.overspent;
    } else if (isLast) {
        ++figures.refused;
        figures.wronglyRefused += request.isWrongIfRefused;
    }
    if (outcome.isDemandDue) {
        if (auto demand = holder.units->nextDemand(local))
            sendDemand(holder, std::move(*demand));
    }
    return outcome.isSpent || isLast;
}

void FleetSimulation::retryWaiting(Holder& holder)
{
    for (auto n = holder.waiting.size(); n > 0; --n) {
        auto request = holder.waiting.front();
        holder.waiting.pop_front();
        const bool hasUnits = holder.units->held(keyOf(request.workspace), holder.clock.read(m_now)) > 0;
        const bool isLast = m_now >= request.deadline;
        if ((!hasUnits && !isLast) || !serve(holder, request, isLast))
            holder.waiting.push_back(request);
    }
}

// Ledgers and the store

void FleetSimulation::startHost(std::size_t i)
{
    const auto region = i / 2;
    const InstanceId id("l" + std::to_string(i));
    auto host = std::make_unique<Host>(m_regions[region], id, ++m_incarnations, m_regions, m_log);
    host->region = region;
    host->index = i;
    host->clock = makeClock(1);
    for (std::size_t workspace = 0; workspace < m_totals.size(); ++workspace) {
        host->shares.setWorkspace(
            idOf(workspace), m_totals[workspace], m_configurationVersion, host->clock.read(m_now));
    }
    m_hosts[i] = std::move(host);
}

void FleetSimulation::tickHost(std::size_t i)
{
    at(m_now + tickInterval, [this, i] { tickHost(i); });
    if (!m_hosts[i] || m_now < m_hosts[i]->pausedUntil)
        return;
    auto& host = *m_hosts[i];
    const auto local = host.clock.read(m_now);
    const bool isOutage = m_outageSince != Duration::max();
    // Evidence is as old as the oldest attestation, and a request may be under way until its timeout.
    const auto evidence = m_now - milliseconds(500, 1500);
    if (isOutage && evidence >= m_outageSince)
        host.lease.extend(host.clock.read(evidence), local);
    LeaseInputs inputs;
    const auto& partner = m_hosts[i ^ 1];
    inputs.isCandidate
        = !host.isLeaving && (i % 2 == 0 || !partner || partner->isLeaving || m_now < partner->pausedUntil);
    inputs.mayWrite = !isOutage;
    if (auto request = host.lease.next(inputs, local))
        callStore(host, std::move(*request), true);
    followLease(host);
    if (host.activeTerm == 0) {
        if (host.isLeaving && host.lease.isHandedOver())
            startHost(i);
        return;
    }
    ShareInputs shareInputs;
    shareInputs.isHeld = host.lease.isHeld(local);
    shareInputs.leaseTerm = host.lease.term();
    shareInputs.leaseRowVersion = host.lease.confirmedRowVersion();
    shareInputs.mayWrite = inputs.mayWrite;
    shareInputs.lapsedRegions = lapsedRegions(host.region);
    if (auto request = host.shares.next(shareInputs, local))
        callStore(host, std::move(*request), false);
}

void FleetSimulation::followLease(Host& host)
{
    const auto local = host.clock.read(m_now);
    const bool isHeld = host.lease.isHeld(local);
    if (host.activeTerm != 0 && (!isHeld || host.lease.term() != host.activeTerm)) {
        host.ledger.deactivate();
        host.activeTerm = 0;
    }
    if (!isHeld || host.activeTerm != 0)
        return;
    ++m_acquisitions;
    host.activeTerm = host.lease.term();
    host.ledger.activate(host.lease.epoch(), host.lease.grantsFrom(), local);
    if (const auto snapshot = ledgerSnapshotFromText(host.lease.inheritedSnapshot()))
        host.ledger.restore(*snapshot, local);
}

std::vector<LapsedRegion> FleetSimulation::lapsedRegions(std::size_t region) const
{
    std::vector<LapsedRegion> lapsed;
    for (std::size_t other = 0; other < m_regions.size(); ++other) {
        if (other == region || m_deadSince[other] == Duration::max()
            || m_now < m_deadSince[other] + std::chrono::seconds { 8 })
            continue;
        const auto rows = m_table.read({ { ledgerRowKey(m_regions[other]) } });
        if (rows && !rows->rows.empty())
            lapsed.push_back({ m_regions[other], rows->rows.front().version });
    }
    return lapsed;
}

void FleetSimulation::callStore(Host& host, StoreRequest request, bool isLease)
{
    m_storeWrites += std::holds_alternative<TableCommit>(request) ? 1 : 0;
    const auto timeout = m_now + storeTimeout;
    const auto isLong = chance(m_options.faults.storeLongDelay);
    const auto arrival = m_now + (isLong ? milliseconds(20, 3000) : milliseconds(1, 10));
    auto isOpen = std::make_shared<bool>(true);
    auto finish
        = [this, isOpen, index = host.index, incarnation = host.incarnation, isLease](const StoreResult& result) {
              if (std::exchange(*isOpen, false))
                  finishCall(index, incarnation, result, isLease);
          };
    at(timeout, [finish] { finish(makeError(ErrorCode::OutcomeUnknown, "call the store", "store", "timeout")); });
    at(arrival, [this, request = std::move(request), finish, region = host.region, isLease] {
        // Requests that were under way when an outage began are lost.
        if (m_outageSince != Duration::max())
            return;
        auto result = applyRequest(request, region, isLease);
        if (!chance(m_options.faults.storeAnswerLoss))
            at(m_now + milliseconds(1, 10), [finish, result = std::move(result)] { finish(result); });
    });
}

StoreResult FleetSimulation::applyRequest(const StoreRequest& request, std::size_t region, bool isLease)
{
    if (const auto* read = std::get_if<TableRead>(&request))
        return m_table.read(*read).map([](TableRows rows) { return StoreValue(std::move(rows)); });
    auto& forged = m_forged[region];
    if (const auto* scan = std::get_if<TableScan>(&request)) {
        auto rows = *m_table.scan(*scan);
        for (auto& row : rows.rows) {
            if (const auto it = forged.find(row.key); it != forged.end() && it->second.version == row.version)
                row = it->second;
        }
        return StoreValue(std::move(rows));
    }
    const auto& commit = std::get<TableCommit>(request);
    if (!isLease && m_options.sabotage == Sabotage::GrowthBeforeWrite && chance(0.5)) {
        const auto& row = commit.conditions.front();
        forged[row.key] = { row.key, *commit.writes.front().value, row.expectedVersion };
        return StoreValue(CommitResult { true, { forged[row.key] } });
    }
    auto committed = *m_table.commit(commit);
    m_shareChanges += committed.isCommitted && !isLease;
    return StoreValue(std::move(committed));
}

void FleetSimulation::finishCall(std::size_t index, std::uint64_t incarnation, const StoreResult& result, bool isLease)
{
    auto& host = m_hosts[index];
    if (!host || host->incarnation != incarnation)
        return;
    if (m_now < host->pausedUntil) {
        at(host->pausedUntil,
            [this, index, incarnation, result, isLease] { finishCall(index, incarnation, result, isLease); });
        return;
    }
    const auto local = host->clock.read(m_now);
    if (!isLease) {
        host->shares.completed(result, local);
        return;
    }
    host->lease.completed(result, local);
    followLease(*host);
}

void FleetSimulation::handOver(Host& host)
{
    followLease(host);
    if (host.activeTerm == 0 || host.isLeaving)
        return;
    const auto local = host.clock.read(m_now);
    auto snapshot = host.ledger.snapshot(local);
    if (m_options.sabotage == Sabotage::SnapshotHidesOutstanding) {
        for (auto& item : snapshot.items)
            item = { item.key, m_totals.front().burst * nanoPerUnit, 0 };
    }
    host.isLeaving = true;
    host.lease.handOver(toText(snapshot), local);
    followLease(host);
}

void FleetSimulation::handOverAll()
{
    for (auto& host : m_hosts) {
        if (host && m_now >= host->pausedUntil)
            handOver(*host);
    }
}

/** One random fault of a process. */
void FleetSimulation::causeEvent()
{
    if (m_options.faults.eventsPerSecond <= 0)
        return;
    at(m_now + milliseconds(0, 2000 / m_options.faults.eventsPerSecond), [this] { causeEvent(); });
    const auto holder = m_random() % m_holders.size();
    const auto index = m_random() % m_hosts.size();
    auto& host = m_hosts[index];
    const auto region = host ? host->region : 0;
    switch (m_random() % 6) {
    case 0:
        startHolder(holder);
        break;
    case 1:
    case 2:
        m_holders[holder]->pausedUntil = m_now + milliseconds(50, 5000);
        break;
    case 3:
        if (host)
            host->pausedUntil = m_now + milliseconds(50, 8000);
        break;
    case 4:
        if (host)
            handOver(*host);
        break;
    case 5:
        if (!host)
            break;
        host.reset();
        at(m_now + milliseconds(500, 8000), [this, index, region] {
            if (!m_hosts[index] && m_deadSince[region] == Duration::max())
                startHost(index);
        });
        break;
    }
}

}
