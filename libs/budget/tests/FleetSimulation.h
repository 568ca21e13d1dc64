// A fleet of holders, ledgers and a store in virtual time, with faults. Admitted requests are checked from outside
// against one token bucket per workspace; a second one that sees all requests tells which refusals were wrongful.

#pragma once

#include "budget/BudgetHolder.h"
#include "budget/LedgerLease.h"
#include "budget/RegionLedger.h"
#include "budget/ShareTable.h"
#include "store/MemoryTable.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace peridot {

/** Faults of the test doubles by which a run shows that its check finds overspending. */
enum class Sabotage {
    None,
    HolderIgnoresExpiry, // The holders' clocks run at a tenth of the time.
    HolderHidesHeldUnits, // Demands say that nothing is held, so the ledger grants the same units again.
    GrantsDoubled, // As if the ledger did not subtract half of what it grants.
    GrowthBeforeWrite, // The store confirms share commits that it does not make.
    SnapshotHidesOutstanding, // A handover passes a full bucket on, whatever was granted.
};

struct FaultRates {
    double loss = 0; // Of messages between holders and ledgers.
    double duplication = 0;
    double longDelay = 0; // Up to 1.5 s, so that messages overtake each other.
    double storeAnswerLoss = 0;
    double storeLongDelay = 0; // Up to 3 s, beyond the timeout.
    double clockRateError = 0; // Largest deviation of a clock's rate, up to 0.005 each way.
    double eventsPerSecond = 0; // Deaths, pauses, crashes and handovers.
};

struct FleetOptions {
    std::uint64_t seed = 1;
    std::vector<BudgetShare> workspaces;
    std::vector<std::size_t> holdersPerRegion { 4, 4, 3 };
    FaultRates faults;
    Sabotage sabotage = Sabotage::None;
    Duration longestWait { 0 }; // That a refused request waits for units.
};

/** A token bucket in true time. */
class ReferenceBucket {
public:
    explicit ReferenceBucket(const BudgetShare&);
    void setTotal(const BudgetShare&, Duration now);
    /** Takes a unit even if there is none; returns false in that case. */
    bool takeAlways(Duration now);
    /** Takes a unit if there is one. */
    bool take(Duration now);

private:
    void advance(Duration now);

    BudgetShare m_total;
    std::int64_t m_nanoUnits;
    Duration m_time { 0 };
};

struct WorkspaceFigures {
    std::int64_t requests = 0;
    std::int64_t admitted = 0;
    std::int64_t refused = 0;
    std::int64_t wronglyRefused = 0; // The single bucket would have admitted them.
    std::int64_t overspent = 0; // Admitted beyond rate and burst. Must be 0.
};

/** Requests per second of a workspace in a region at a time. */
using DemandPattern = std::function<double(Duration time, std::size_t workspace, std::size_t region)>;

class FleetSimulation {
public:
    explicit FleetSimulation(FleetOptions);
    ~FleetSimulation();

    void run(Duration, const DemandPattern&);
    void setTotal(std::size_t workspace, const BudgetShare&);
    void beginOutage();
    void endOutage();
    void killRegion(std::size_t region);
    void reviveRegion(std::size_t region);
    void stopFaults();
    /** Planned stops of all ledgers at once. */
    void handOverAll();

    const std::vector<WorkspaceFigures>& figures() const noexcept { return m_figures; }
    void resetFigures();
    std::int64_t overspent() const;
    std::int64_t demands() const noexcept { return m_demands; }
    std::int64_t demandItems() const noexcept { return m_demandItems; }
    std::int64_t storeWrites() const noexcept { return m_storeWrites; }
    std::int64_t acquisitions() const noexcept { return m_acquisitions; }
    std::int64_t committedShareChanges() const noexcept { return m_shareChanges; }
    Duration now() const noexcept { return m_now; }
    BudgetShare share(std::size_t region, std::size_t workspace) const;

private:
    struct Clock;
    struct Holder;
    struct Host;
    struct Request;
    struct Event {
        Duration time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
    };

    void at(Duration time, std::function<void()>);
    double uniform(double from, double to);
    bool chance(double probability) { return probability > 0 && uniform(0, 1) < probability; }
    Duration milliseconds(double from, double to);
    Duration messageDelay();
    Clock makeClock(double slowdown);
    BudgetShare limitFor(const BudgetShare& total) const;

    void startHolder(std::size_t);
    void tickHolder(std::size_t);
    void sendDemand(Holder&, BudgetDemand);
    void deliverDemand(Holder&, const BudgetDemand&);
    void deliverGrant(Holder&, const BudgetGrant&);
    void arrive(std::size_t workspace, std::size_t region, const DemandPattern&, std::uint64_t run);
    bool serve(Holder&, Request&, bool isLast);
    void retryWaiting(Holder&);

    void startHost(std::size_t);
    void tickHost(std::size_t);
    void followLease(Host&);
    void callStore(Host&, StoreRequest, bool isLease);
    StoreResult applyRequest(const StoreRequest&, std::size_t region, bool isLease);
    void finishCall(std::size_t host, std::uint64_t incarnation, const StoreResult&, bool isLease);
    std::vector<LapsedRegion> lapsedRegions(std::size_t region) const;
    void handOver(Host&);
    void causeEvent();

    FleetOptions m_options;
    std::mt19937_64 m_random;
    bool m_hasClockErrors;
    NullEventLog m_log;
    Duration m_now { 0 };
    std::uint64_t m_events = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_incarnations = 0;
    std::priority_queue<Event> m_queue;
    std::vector<RegionId> m_regions;
    std::vector<Duration> m_deadSince; // Of each region; maximum if it lives.
    std::vector<std::unique_ptr<Holder>> m_holders;
    std::vector<std::unique_ptr<Host>> m_hosts; // Two for each region.
    MemoryTable m_table;
    std::map<std::size_t, std::map<std::string, TableRow>> m_forged; // Rows that a region takes for committed.
    Duration m_outageSince = Duration::max();
    std::uint64_t m_configurationVersion = 1;
    std::vector<BudgetShare> m_totals;
    std::vector<ReferenceBucket> m_limits;
    std::vector<ReferenceBucket> m_singles;
    std::vector<WorkspaceFigures> m_figures;
    std::int64_t m_demands = 0;
    std::int64_t m_demandItems = 0;
    std::int64_t m_storeWrites = 0;
    std::int64_t m_shareChanges = 0;
    std::int64_t m_acquisitions = 0;
};

}
