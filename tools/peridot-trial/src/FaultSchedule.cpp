#include "FaultSchedule.h"

#include <algorithm>

namespace peridot::trial {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr double flashFactor = 10;

}

FaultSchedule::FaultSchedule(const TrialOptions& options, const Deployment& deployment, EventLoop& loop,
    Network& network, Platform& platform, BackendFarm& farm, EntryFleet& fleet, CallerPopulation& callers)
    : m_options(options)
    , m_deployment(deployment)
    , m_loop(loop)
    , m_network(network)
    , m_platform(platform)
    , m_farm(farm)
    , m_fleet(fleet)
    , m_callers(callers)
    , m_random(options.seed, "faults")
{
    for (const Fault fault : options.faults) {
        if (fault != Fault::OperatorChanges)
            m_faults.push_back(fault);
    }
}

void FaultSchedule::start(VirtualTime begin, VirtualTime end)
{
    m_end = end;
    if (!m_faults.empty())
        m_loop.at(begin, [this] { scheduleNext(); });
    startScenario(begin, end);
    if (m_options.mutation == Mutation::CutStop || m_options.mutation == Mutation::RevertConfiguration) {
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            m_loop.at(begin + seconds { 5 + 5 * static_cast<int>(n) }, [this, n] {
                if (m_options.mutation == Mutation::CutStop)
                    m_fleet.stopPlanned(n, seconds { 2 });
                else
                    m_fleet.replaceSecretly(n);
            });
        }
    }
}

void FaultSchedule::scheduleNext()
{
    const Duration wait = m_random.exponential(Duration { static_cast<Duration::rep>(m_options.faultInterval * 1e6) });
    if (m_loop.now() + wait > m_end)
        return;
    m_loop.after(wait, [this] {
        inject(m_faults[m_random.below(m_faults.size())]);
        scheduleNext();
    });
}

void FaultSchedule::inject(Fault fault)
{
    switch (fault) {
    case Fault::MessageLoss:
    case Fault::MessageDuplication:
    case Fault::MessageReordering:
    case Fault::RegionCut:
    case Fault::Isolation:
        injectMessageFault(fault);
        break;
    case Fault::StoreOutage:
    case Fault::StorePartialOutage:
    case Fault::StoreSlow:
    case Fault::StoreLostAnswers:
        injectStoreFault(fault);
        break;
    case Fault::BackendDeath:
    case Fault::BackendDrain:
    case Fault::BackendSlow:
    case Fault::ReportsLie:
    case Fault::ReportsStop:
        injectBackendFault(fault);
        break;
    case Fault::InstanceDeath:
    case Fault::InstancePause:
    case Fault::PlannedStop:
    case Fault::ClockDrift:
        injectInstanceFault(fault);
        break;
    case Fault::RegionLoss:
    case Fault::DemandShift:
    case Fault::FlashDemand:
    case Fault::OperatorChanges:
        injectDemandFault(fault);
        break;
    }
}

void FaultSchedule::cutRegions(std::size_t a, std::size_t b, Duration length)
{
    if (a == b)
        return;
    m_network.cut(a, b);
    m_loop.after(length, [this, a, b] { m_network.restore(a, b); });
}

void FaultSchedule::injectMessageFault(Fault fault)
{
    MessageFaults& faults = m_network.faults();
    const Duration length = longTime();
    const double part = m_random.uniform(0.01, 0.2);
    const std::size_t regions = m_deployment.regions.size();
    if (fault == Fault::RegionCut) {
        const std::size_t a = m_random.below(regions);
        const std::size_t b = (a + 1 + m_random.below(regions - 1)) % regions;
        cutRegions(a, b, length);
        if (m_random.chance(0.4)) // One region loses all others.
            cutRegions(a, 3 - a - b, length);
        return;
    }
    if (fault == Fault::Isolation) {
        const std::size_t n = m_random.below(m_fleet.size());
        m_fleet.isolate(n);
        m_loop.after(length, [this, n] { m_fleet.rejoin(n); });
        return;
    }
    double* value = fault == Fault::MessageLoss ? &faults.loss
        : fault == Fault::MessageDuplication    ? &faults.duplication
                                                : &faults.reordering;
    *value = part;
    m_loop.after(length, [value] { *value = 0; });
}

void FaultSchedule::stopStore(Duration length)
{
    ++m_platform.faults().outages;
    m_loop.after(length, [this] { --m_platform.faults().outages; });
}

void FaultSchedule::injectStoreFault(Fault fault)
{
    PlatformFaults& faults = m_platform.faults();
    const Duration length = longTime();
    switch (fault) {
    case Fault::StoreOutage:
        stopStore(length);
        break;
    case Fault::StorePartialOutage: {
        const std::size_t region = m_random.below(m_deployment.regions.size());
        ++faults.blockedRegions[region];
        m_loop.after(length, [this, region] {
            auto& blocked = m_platform.faults().blockedRegions;
            if (--blocked[region] == 0)
                blocked.erase(region);
        });
        break;
    }
    case Fault::StoreSlow:
        faults.slowness = m_random.between(milliseconds { 100 }, seconds { 4 });
        m_loop.after(length, [this] { m_platform.faults().slowness = Duration { 0 }; });
        break;
    default:
        faults.lostAnswers = m_random.uniform(0.05, 0.5);
        m_loop.after(length, [this] { m_platform.faults().lostAnswers = 0; });
        break;
    }
}

void FaultSchedule::injectBackendFault(Fault fault)
{
    const std::size_t n = m_random.below(m_farm.servers().size());
    const Duration length = longTime();
    BackendFarm::Server& server = m_farm.server(n);
    switch (fault) {
    case Fault::BackendDeath:
        m_farm.kill(n);
        m_loop.after(length, [this, n] { m_farm.revive(n); });
        break;
    case Fault::BackendDrain:
        m_farm.leave(n);
        m_loop.after(length + seconds { 15 }, [this, n] { m_farm.revive(n); });
        break;
    case Fault::BackendSlow:
        server.slowness = m_random.uniform(2, 10);
        server.shedsAll = m_random.chance(0.2);
        m_loop.after(length, [&server] {
            server.slowness = 1;
            server.shedsAll = false;
        });
        break;
    default:
        server.report = fault == Fault::ReportsLie ? ReportMode::Lying : ReportMode::Silent;
        m_loop.after(length, [&server] { server.report = ReportMode::Lagging; });
        break;
    }
}

void FaultSchedule::injectInstanceFault(Fault fault)
{
    const std::size_t n = m_random.below(m_fleet.size());
    switch (fault) {
    case Fault::InstanceDeath:
        m_fleet.kill(n);
        m_loop.after(shortTime(), [this, n] { m_fleet.restart(n); });
        break;
    case Fault::InstancePause:
        m_fleet.pause(n, m_random.chance(0.3) ? longTime() : shortTime());
        break;
    case Fault::PlannedStop:
        m_fleet.stopPlanned(n, shortTime());
        break;
    default:
        m_fleet.setClockRate(n, m_random.uniform(0.99, 1.01));
        break;
    }
}

void FaultSchedule::loseRegion(std::size_t region, Duration length)
{
    for (std::size_t n = 0; n < m_fleet.size(); ++n) {
        if (m_fleet.process(n).region() != region)
            continue;
        m_fleet.kill(n);
        m_loop.after(length, [this, n] { m_fleet.restart(n); });
    }
    for (std::size_t n = 0; n < m_farm.servers().size(); ++n) {
        if (m_farm.servers()[n].region() != region)
            continue;
        m_farm.kill(n);
        m_loop.after(length, [this, n] { m_farm.revive(n); });
    }
    // The platform's service is not part of the region's failure domains, so it stays reachable for the others.
}

void FaultSchedule::injectDemandFault(Fault fault)
{
    const std::size_t workspace = m_random.below(m_deployment.workspaces.size());
    switch (fault) {
    case Fault::RegionLoss:
        loseRegion(m_random.below(m_deployment.regions.size()), m_random.between(seconds { 5 }, longestFault));
        break;
    case Fault::DemandShift: {
        std::vector<double> weights;
        for (std::size_t n = 0; n < m_deployment.regions.size(); ++n)
            weights.push_back(m_random.uniform(0.02, 1));
        m_callers.setRegionWeights(workspace, weights);
        break;
    }
    case Fault::FlashDemand:
        m_callers.setDemandFactor(workspace, m_random.uniform(2, flashFactor));
        m_loop.after(longTime(), [this, workspace] { m_callers.setDemandFactor(workspace, 1); });
        break;
    default:
        break;
    }
}

void FaultSchedule::lieEverywhere(VirtualTime end)
{
    // A third of the servers is slow and says that it is idle.
    for (std::size_t n = 0; n < m_farm.servers().size(); n += 3) {
        m_farm.server(n).report = ReportMode::Lying;
        m_farm.server(n).slowness = 4;
        m_loop.at(end, [this, n] {
            m_farm.server(n).report = ReportMode::Lagging;
            m_farm.server(n).slowness = 1;
        });
    }
}

void FaultSchedule::replaceNext(std::size_t n, VirtualTime end)
{
    if (n >= m_fleet.size() || m_loop.now() > end)
        return;
    m_fleet.stopPlanned(n, seconds { 1 });
    m_loop.after(seconds { 8 }, [this, n, end] { replaceNext(n + 1, end); });
}

void FaultSchedule::shiftColdly(VirtualTime begin)
{
    // All demand of the first region moves to the others, whose caches know nothing of it.
    m_loop.at(begin, [this] {
        for (std::size_t n = 0; n < m_farm.servers().size(); ++n) {
            if (m_farm.servers()[n].region() != 0)
                m_farm.setWarmth(n, 0.0);
        }
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            if (m_fleet.process(n).region() == 0)
                m_fleet.stopPlanned(n, longestFault);
        }
    });
}

void FaultSchedule::startScenario(VirtualTime begin, VirtualTime end)
{
    const VirtualTime third = begin + (end - begin) / 3;
    const Duration length = std::min<Duration>((end - begin) / 3, longestFault);
    switch (m_options.scenario) {
    case Scenario::Steady:
        break;
    case Scenario::Flash:
        m_loop.at(third, [this] { m_callers.setDemandFactor(0, flashFactor); });
        m_loop.at(third + length, [this] { m_callers.setDemandFactor(0, 1); });
        break;
    case Scenario::RegionLoss:
        m_loop.at(third, [this, length] { loseRegion(1, length); });
        break;
    case Scenario::StoreOutage:
        m_loop.at(third, [this, length] { stopStore(length); });
        break;
    case Scenario::RegionCut:
        m_loop.at(third, [this, length] {
            cutRegions(2, 0, length);
            cutRegions(2, 1, length);
        });
        break;
    case Scenario::RollingReplacement:
        m_loop.at(third, [this, end] { replaceNext(0, end); });
        break;
    case Scenario::LyingReports:
        m_loop.at(third, [this, end] { lieEverywhere(end); });
        break;
    case Scenario::ColdShift:
        shiftColdly(third);
        break;
    }
}

}
