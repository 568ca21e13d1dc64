#include "Trial.h"

#include "BackendFarm.h"
#include "BaselineInstance.h"
#include "CallerPopulation.h"
#include "EntryFleet.h"
#include "FaultSchedule.h"
#include "Mutator.h"
#include "Network.h"
#include "Platform.h"

#include <fmt/format.h>

#include <cmath>
#include <limits>
#include <stdexcept>

namespace peridot::trial {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Instances get this long to start before the first request: a first ledger waits 4 s before it grants.
    constexpr Duration startUp = seconds { 8 };
    constexpr Duration sampleInterval = milliseconds { 100 };
    // After the last request: the longest fault, the longest timeout of a request, and the time to recover.
    constexpr Duration settleTime = longestFault + seconds { 20 };
    // Demand counts as steady once it has been there for this long.
    constexpr Duration steadyAfter = seconds { 10 };
    // Burst of a workspace, as seconds of its rate.
    constexpr double burstSeconds = 1;

    /** Wires one run. Members are in the order in which they are built. */
    class Run {
    public:
        explicit Run(const TrialOptions&);

        TrialResult result();

    private:
        EntryFleet::InstanceFactory factory();
        AcceptedConfiguration firstConfiguration();
        void sample();

        TrialOptions m_options;
        Deployment m_deployment;
        EventLoop m_loop;
        Verdict m_verdict;
        Judge m_judge;
        Network m_network;
        Platform m_platform;
        BackendFarm m_farm;
        Mutator m_mutator;
        CallerKeys m_keys;
        BaselineKnowledge m_knowledge;
        EntryFleet m_fleet;
        CallerPopulation m_callers;
        FaultSchedule m_faults;
    };

    std::size_t homeRegionOf(const std::string& address)
    {
        // Callers' addresses are 20.<region>.<site>.<host>.
        return static_cast<std::size_t>(std::stoul(address.substr(address.find('.') + 1)));
    }

    double shiftCapOf(const TrialOptions& options) { return options.shiftCap > 0 ? options.shiftCap : defaultShiftCap; }

    Deployment deploymentOf(const TrialOptions& options)
    {
        auto deployment = deploymentByName(options.deployment, options.slotScale);
        if (!deployment)
            throw std::invalid_argument("unknown deployment " + options.deployment);
        return *deployment;
    }

    Run::Run(const TrialOptions& options)
        : m_options(options)
        , m_deployment(deploymentOf(options))
        , m_verdict(options.isVerbose ? std::numeric_limits<std::size_t>::max() : 3)
        , m_judge(m_deployment, m_verdict, shiftCapOf(options))
        , m_network(m_deployment, options.seed)
        , m_platform(m_loop, m_network, options.seed)
        , m_farm(m_deployment, m_loop, m_network, m_platform, m_judge, options.seed)
        , m_mutator(options.mutation)
        , m_keys(m_deployment.workspaces.size())
        , m_knowledge { m_deployment, m_judge.accepted(), 0, [this] { return m_loop.now(); }, homeRegionOf }
        , m_fleet(m_deployment, m_loop, m_network, m_platform, m_farm, m_judge, m_mutator, factory(),
              CallerPopulation::blocks(m_deployment), options.seed)
        , m_callers(m_deployment, m_loop, m_network, m_fleet, m_judge, m_keys, m_options)
        , m_faults(options, m_deployment, m_loop, m_network, m_platform, m_farm, m_fleet, m_callers)
    {
        m_knowledge.instances = m_fleet.size();
    }

    EntryFleet::InstanceFactory Run::factory()
    {
        return [this](const NodeSettings& settings) -> std::unique_ptr<SteeringInstance> {
            return std::make_unique<BaselineInstance>(baselinePolicy(m_options.policy), m_knowledge, settings);
        };
    }

    AcceptedConfiguration Run::firstConfiguration()
    {
        AcceptedConfiguration configuration;
        configuration.version = 1;
        for (std::size_t n = 0; n < m_deployment.workspaces.size(); ++n) {
            const std::string& workspace = m_deployment.workspaces[n].id;
            const double rate = std::ceil(m_callers.demand(n) * rateOverDemand);
            configuration.workspaces[workspace] = { rate, std::max(10.0, std::ceil(rate * burstSeconds)) };
            for (int key = 1; key <= 2; ++key)
                configuration.keys[fmt::format("k-{}-{}", workspace, key)] = workspace;
            m_keys.setCurrent(n, fmt::format("k-{}-1", workspace));
        }
        return configuration;
    }

    void Run::sample()
    {
        m_fleet.sample();
        m_judge.sample(m_loop.now());
        m_loop.after(sampleInterval, [this] { sample(); });
    }

    TrialResult Run::result()
    {
        m_judge.configurationAccepted(firstConfiguration(), m_loop.now());
        m_farm.start();
        m_fleet.start();
        sample();
        const VirtualTime end = startUp + m_options.length;
        m_loop.at(startUp, [this, end] { m_callers.start(end); });
        m_faults.start(startUp, end);
        if (m_options.scenario == Scenario::Steady && m_options.faults.empty())
            m_loop.at(startUp + steadyAfter, [this] { m_judge.expectNoWrongfulRefusals(); });
        try {
            m_loop.runUntil(end + settleTime);
            m_judge.finish(m_loop.now());
        } catch (const std::exception& error) {
            m_verdict.violate(Rule::Assertion, m_loop.now(), fmt::format("the run broke off: {}", error.what()));
        }

        TrialResult it;
        it.options = m_options;
        it.checks = m_verdict.checks();
        it.violations = m_verdict.violations();
        it.isOk = it.violations == 0;
        it.counts = m_judge.counts();
        const CallerCounts& callers = m_callers.counts();
        it.callerRequests = callers.requests;
        it.callerCompleted = callers.completed;
        it.callersWithoutInstance = callers.withoutInstance;
        it.lookups = callers.lookups;
        it.lookupsRefused = callers.lookupsRefused;
        it.storeReads = m_platform.reads();
        it.storeWrites = m_platform.writes();
        it.events = m_loop.executed();
        const LatencyHistogram latency = m_judge.measures().all();
        it.p50Ms = latency.quantileMs(0.5);
        it.p99Ms = latency.quantileMs(0.99);
        it.worstWorkspaceP99Ms = m_judge.measures().worstWorkspaceP99Ms();
        it.targetMissedClasses = m_judge.measures().classesThatMissedTheirTarget();
        it.headroomMin = m_judge.load().lowestHeadroom();
        it.regionOverloadSeconds = m_judge.load().overloadSeconds();
        it.linkExcess = m_judge.load().linkExcess();
        it.linkUseMax = m_judge.load().highestLinkUse();
        it.shiftCapExcess = m_judge.shifts().excess();
        it.violationTexts = m_verdict.texts();
        for (const auto& [rule, name] : enumNames<Rule>) {
            if (const auto count = m_verdict.violations(rule); count > 0)
                it.violationsByRule[rule] = count;
        }
        return it;
    }

}

std::string TrialResult::detailLine() const
{
    std::string line
        = fmt::format("requests={} completed={} without_instance={} sent={} attempts={} broken={} lookups={} "
                      "lookups_refused={} rate_refusals={} other_refusals={} store_reads={} store_writes={} "
                      "changes_accepted={} changes_refused={} link_use_max={:.3f} events={}",
            callerRequests, callerCompleted, callersWithoutInstance, counts.sent, counts.attempts, counts.broken,
            lookups, lookupsRefused, counts.rateRefusals, counts.otherRefusals, storeReads, storeWrites,
            changesAccepted, changesRefused, linkUseMax, events);
    for (const auto& [code, count] : counts.refusals)
        line += fmt::format(" refused_{}={}", code, count);
    for (const auto& [rule, count] : violationsByRule)
        line += fmt::format(" violations_{}={}", enumName(rule), count);
    return line;
}

std::string TrialResult::summaryLine() const
{
    return fmt::format(
        "result={} seed={} checks={} violations={} admitted={} overspent={} double_runs={} false_not_run={} "
        "wrongful_refusals={} p50_ms={:.1f} p99_ms={:.1f} worst_workspace_p99_ms={:.1f} headroom_min={:.3f} "
        "drain_s={:.2f} key_withdrawal_max_s={:.2f} config_in_force_max_s={:.2f} shift_cap_excess={} "
        "region_overload_s={:.1f} link_excess={} target_missed_classes={}",
        isOk ? "ok" : "violated", options.seed, checks, violations, counts.admitted, counts.overspent,
        counts.doubleRuns, counts.falseNotRun, counts.wrongfulRefusals, p50Ms, p99Ms, worstWorkspaceP99Ms, headroomMin,
        toSeconds(counts.drainMaximum), toSeconds(counts.keyWithdrawalMaximum),
        toSeconds(counts.configurationInForceMaximum), shiftCapExcess, regionOverloadSeconds, linkExcess,
        targetMissedClasses);
}

TrialResult runTrial(const TrialOptions& options) { return Run(options).result(); }

}
