// The callers: sites of each workspace in each region that look up instances, cache the answers, send requests and
// retry them as careless scripts do.

#pragma once

#include "CallerKeys.h"
#include "Deployment.h"
#include "EntryFleet.h"
#include "EventLoop.h"
#include "Judge.h"
#include "Network.h"
#include "Random.h"
#include "TrialOptions.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridot::trial {

/** What callers count for themselves. */
struct CallerCounts {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t withoutInstance = 0; // Given up before any instance took the request.
    std::uint64_t lookups = 0;
    std::uint64_t lookupsRefused = 0;
};

class CallerPopulation {
public:
    CallerPopulation(const Deployment&, EventLoop&, Network&, EntryFleet&, Judge&, CallerKeys&, const TrialOptions&);

    /** Sends requests until @p end. */
    void start(VirtualTime end);

    /** Requests per second of one workspace, before its demand factor. */
    double demand(std::size_t workspace) const;
    void setDemandFactor(std::size_t workspace, double factor) { m_demandFactors[workspace] = factor; }
    /** Relative demand of a workspace by region. */
    void setRegionWeights(std::size_t workspace, std::vector<double> weights);
    /** No caller in the region sends while it is silent. */
    void setRegionSilent(std::size_t region, bool isSilent) { m_silentRegions[region] = isSilent; }

    const CallerCounts& counts() const noexcept { return m_counts; }
    /** The address block of each site, with its home region and the order of the others. */
    static std::vector<ClientBlockRegions> blocks(const Deployment&);

private:
    struct CachedLookup {
        VirtualTime validUntil { -1 };
        std::vector<std::size_t> instances;
    };
    struct Site {
        std::size_t workspace = 0;
        std::size_t homeRegion = 0;
        std::string address;
        std::vector<CachedLookup> lookups; // By service.
    };
    /** One request as its caller sees it, over all its tries. */
    struct Errand {
        std::size_t site = 0;
        std::size_t trafficClass = 0;
        VirtualTime startedAt { 0 };
        KeyUse keyUse = KeyUse::Valid;
        std::vector<std::string> keys;
        std::string keyId;
        std::string idempotencyKey;
        Duration timeout { 0 };
        int lookupTries = 0;
        int sendTries = 0;
        int retries = 0;
        bool hasRepeated = false; // Sent again after it succeeded.
        std::size_t nextInstance = 0; // Position in the cached list.
    };
    using ErrandRef = std::shared_ptr<Errand>;

    void scheduleNext(std::size_t workspace);
    void startErrand(std::size_t workspace);
    void chooseKeys(Errand&);
    void findInstance(const ErrandRef&);
    void lookUp(const ErrandRef&);
    void lookedUp(const ErrandRef&, const LookupResult&);
    void send(const ErrandRef&);
    void arrive(const ErrandRef&, std::size_t instance, bool isSteered);
    void connectionFailed(const ErrandRef&);
    void answered(const ErrandRef&, std::size_t instance, RequestIndex, const Answer&);
    void maybeRepeat(const ErrandRef&);
    void maybeRetry(const ErrandRef&);
    std::size_t chooseInstance(Errand&, const CachedLookup&);
    Site& siteOf(const Errand& errand) { return m_sites[errand.site]; }
    const ClassShape& classOf(const Errand& errand) const { return m_deployment.classes[errand.trafficClass]; }

    const Deployment& m_deployment;
    EventLoop& m_loop;
    Network& m_network;
    EntryFleet& m_fleet;
    Judge& m_judge;
    CallerKeys& m_keys;
    const TrialOptions& m_options;
    Random m_random;
    VirtualTime m_end { 0 };
    std::vector<Site> m_sites;
    std::vector<double> m_demandFactors; // By workspace.
    std::vector<std::vector<double>> m_regionWeights; // By workspace, summing to 1.
    std::vector<bool> m_silentRegions;
    std::vector<double> m_classWeights; // Cumulative.
    CallerCounts m_counts;
    std::uint64_t m_lastIdempotencyKey = 0;
};

/** Demand at load 1, as a part of the capacity of all slots. */
constexpr double plannedUtilisation = 0.6;
/** A workspace buys this much more than its mean demand. */
constexpr double rateOverDemand = 1.3;

}
