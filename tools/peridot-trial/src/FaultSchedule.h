// Draws faults at random times, and runs the planned course of events of a scenario.

#pragma once

#include "BackendFarm.h"
#include "CallerPopulation.h"
#include "EntryFleet.h"
#include "EventLoop.h"
#include "Network.h"
#include "Platform.h"
#include "Random.h"
#include "TrialOptions.h"

#include <vector>

namespace peridot::trial {

/** Time after the end of the schedule by which each fault is over. */
constexpr Duration longestFault = std::chrono::seconds { 40 };

class FaultSchedule {
public:
    FaultSchedule(const TrialOptions&, const Deployment&, EventLoop&, Network&, Platform&, BackendFarm&, EntryFleet&,
        CallerPopulation&);

    /** Draws faults from @p begin to @p end, and starts the scenario. All faults are over some time after @p end. */
    void start(VirtualTime begin, VirtualTime end);

private:
    void scheduleNext();
    void inject(Fault);
    void injectMessageFault(Fault);
    void injectStoreFault(Fault);
    void injectBackendFault(Fault);
    void injectInstanceFault(Fault);
    void injectDemandFault(Fault);
    void startScenario(VirtualTime begin, VirtualTime end);

    void cutRegions(std::size_t a, std::size_t b, Duration length);
    void loseRegion(std::size_t region, Duration length);
    void stopStore(Duration length);
    void lieEverywhere(VirtualTime end);
    void replaceNext(std::size_t n, VirtualTime end);
    void shiftColdly(VirtualTime begin);
    Duration shortTime() { return m_random.between(std::chrono::milliseconds { 300 }, std::chrono::seconds { 4 }); }
    Duration longTime() { return m_random.between(std::chrono::seconds { 2 }, std::chrono::seconds { 25 }); }

    const TrialOptions& m_options;
    const Deployment& m_deployment;
    EventLoop& m_loop;
    Network& m_network;
    Platform& m_platform;
    BackendFarm& m_farm;
    EntryFleet& m_fleet;
    CallerPopulation& m_callers;
    Random m_random;
    std::vector<Fault> m_faults; // Those that are drawn; OperatorChanges is run by Operators.
    VirtualTime m_end { 0 };
};

}
