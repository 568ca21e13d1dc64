#include "Trial.h"

#include "BackendFarm.h"
#include "BaselineInstance.h"
#include "CallerPopulation.h"
#include "ConfigurationWatch.h"
#include "EntryFleet.h"
#include "FaultSchedule.h"
#include "FileEventLog.h"
#include "Mutator.h"
#include "Network.h"
#include "NodeInstance.h"
#include "Operators.h"
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
    constexpr Duration statusInterval = seconds { 5 };
    // Demand counts as steady once it has been there for this long.
    constexpr Duration steadyAfter = seconds { 10 };
    // Burst of a workspace at full size, as seconds of its rate. A run with fewer requests keeps the number of units:
    // the chance that random arrivals use up a burst depends on that number.
    constexpr double fullSizeBurstSeconds = 1;
    // Faults end this long before the last request: the longest one, the time to heal, and the time that is judged.
    constexpr Duration healTime = longestFault + seconds { 20 };
    constexpr Duration judgedTime = seconds { 20 };

    /** Wires one run. Members are in the order in which they are built. */
    class Run {
    public:
        explicit Run(const TrialOptions&);

        TrialResult result();

    private:
        EntryFleet::InstanceFactory factory();
        void installConfiguration();
        EventLog& logOf(const NodeSettings&);
        void sample();
        void logStatus();
        void startFaults(VirtualTime end);

        TrialOptions m_options;
        Deployment m_deployment;
        EventLoop m_loop;
        NullEventLog m_noLog;
        std::map<std::string, std::unique_ptr<FileEventLog>> m_logs; // By instance.
        Verdict m_verdict;
        Judge m_judge;
        Network m_network;
        Platform m_platform;
        BackendFarm m_farm;
        ConfigurationWatch m_watch;
        Mutator m_mutator;
        CallerKeys m_keys;
        BaselineKnowledge m_knowledge;
        EntryFleet m_fleet;
        CallerPopulation m_callers;
        FaultSchedule m_faults;
        Operators m_operators;
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
        , m_watch(m_platform, m_judge, m_verdict)
        , m_mutator(options.mutation, m_loop)
        , m_keys(m_deployment.workspaces.size())
        , m_knowledge { m_deployment, m_judge.accepted(), 0, [this] { return m_loop.now(); }, homeRegionOf }
        , m_fleet(m_deployment, m_loop, m_network, m_platform, m_farm, m_judge, m_mutator, factory(),
              CallerPopulation::blocks(m_deployment), options.seed)
        , m_callers(m_deployment, m_loop, m_network, m_fleet, m_judge, m_keys, m_options)
        , m_faults(options, m_deployment, m_loop, m_network, m_platform, m_farm, m_fleet, m_callers)
        , m_operators(
              m_deployment, m_loop, m_network, m_fleet, m_callers, m_keys, m_watch, m_judge, m_verdict, options.seed)
    {
        m_knowledge.instances = m_fleet.size();
    }

    EventLog& Run::logOf(const NodeSettings& settings)
    {
        if (m_options.logPath.empty())
            return m_noLog;
        const std::string& name = settings.self.id.value();
        return *m_logs.try_emplace(name, std::make_unique<FileEventLog>(m_options.logPath, name, m_loop)).first->second;
    }

    EntryFleet::InstanceFactory Run::factory()
    {
        return [this](const NodeSettings& settings) -> std::unique_ptr<SteeringInstance> {
            if (m_options.policy == Policy::Node)
                return std::make_unique<NodeInstance>(settings, logOf(settings));
            return std::make_unique<BaselineInstance>(baselinePolicy(m_options.policy), m_knowledge, settings);
        };
    }

    void Run::installConfiguration()
    {
        const auto limitOf = [this](std::size_t workspace) {
            const double rate = std::ceil(m_callers.demand(workspace) * rateOverDemand);
            const double burstSeconds = m_options.burstSeconds > 0
                ? m_options.burstSeconds
                : fullSizeBurstSeconds / (m_options.load * m_options.slotScale);
            return AcceptedConfiguration::Limit { rate, std::max(10.0, std::ceil(rate * burstSeconds)) };
        };
        m_watch.install(firstConfiguration(m_deployment, limitOf), m_loop.now());
        m_platform.observeCommits(
            [this](const TableCommit& commit, VirtualTime now) { m_watch.committed(commit, now); });
        for (std::size_t n = 0; n < m_deployment.workspaces.size(); ++n)
            m_keys.setCurrent(n, fmt::format("k-{}-1", m_deployment.workspaces[n].id));
    }

    void Run::sample()
    {
        m_fleet.sample();
        m_judge.sample(m_loop.now());
        m_loop.after(sampleInterval, [this] { sample(); });
    }

    void Run::logStatus()
    {
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            FileEventLog log(m_options.logPath, m_fleet.process(n).name, m_loop);
            log.write(LogLevel::Info, LogLine("status").add("body", m_fleet.status(n)));
        }
        m_loop.after(statusInterval, [this] { logStatus(); });
    }

    void Run::startFaults(VirtualTime end)
    {
        const VirtualTime lastFault = end - healTime - judgedTime;
        const bool hasTimeToHeal = !m_options.faults.empty() && lastFault > startUp + judgedTime;
        const VirtualTime faultEnd = hasTimeToHeal ? lastFault : end;
        m_faults.start(startUp, faultEnd);
        if (m_options.policy == Policy::Node && m_options.faults.count(Fault::OperatorChanges) > 0)
            m_operators.start(startUp, faultEnd);
        if (hasTimeToHeal)
            m_loop.at(end - judgedTime, [this] { m_judge.expectRecovery(m_loop.now()); });
    }

    TrialResult Run::result()
    {
        installConfiguration();
        m_farm.start();
        m_fleet.start();
        sample();
        if (!m_options.logPath.empty())
            logStatus();
        const VirtualTime end = startUp + m_options.length;
        m_loop.at(startUp, [this, end] { m_callers.start(end); });
        startFaults(end);
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
        it.changesAccepted = m_operators.counts().accepted;
        it.changesRefused = m_operators.counts().refused;
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
