// Watches the load of services per region and of the links between regions.

#pragma once

#include "Deployment.h"
#include "Verdict.h"

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace peridot::trial {

/** Overload margin on the slots: this part of them, plus a constant for small regions. */
constexpr double overloadMarginRatio = 0.25;
constexpr int overloadMarginRequests = 4;
/** Overload that steering causes may last this long. */
constexpr Duration overloadAllowance = std::chrono::seconds { 1 };

class LoadWatch {
public:
    LoadWatch(const Deployment&, Verdict&);

    void slotsChanged(std::size_t service, std::size_t region, int slots, VirtualTime now);
    /** @p isSteered tells that a look-up sent the caller to another region than its home region. */
    void began(std::size_t service, std::size_t fromRegion, std::size_t toRegion, bool isSteered, std::uint64_t bytes,
        VirtualTime now);
    void ended(std::size_t service, std::size_t fromRegion, std::size_t toRegion, bool isSteered,
        std::uint64_t responseBytes, VirtualTime now);
    /** Takes one sample; call it every 100 ms. */
    void sample(VirtualTime now);

    /** Lowest mean of (slots - in flight) / slots over one second, of the fullest region of each service. */
    double lowestHeadroom() const noexcept { return m_lowestHeadroom; }
    double overloadSeconds() const noexcept { return m_overloadSeconds; }
    /** Seconds in which a link carried more than its capacity. */
    std::uint64_t linkExcess() const noexcept { return m_linkExcess; }
    /** Highest traffic of a link within one second as a part of its capacity. */
    double highestLinkUse() const noexcept { return m_highestLinkUse; }

private:
    struct Pool {
        std::size_t service = 0;
        std::size_t region = 0;
        int inFlight = 0;
        int steered = 0; // Of inFlight, those that steering brought from another region.
        std::deque<std::pair<VirtualTime, int>> slots; // Recent values; the last one is current.
        VirtualTime overloadedSince { -1 }; // Negative: not overloaded.
        bool isReported = false; // This overload was counted as a violation.
        double headroomSum = 0;
        int samples = 0;
    };
    struct Link {
        std::uint64_t current = 0; // Bytes since the last sample.
        std::deque<std::uint64_t> recent; // Bytes per sample, one second of them.
        std::uint64_t recentSum = 0;
        bool isOver = false;
    };

    Pool& pool(std::size_t service, std::size_t region) { return m_pools[service * m_regions + region]; }
    Link& link(std::size_t from, std::size_t to) { return m_links[from * m_regions + to]; }
    void samplePool(Pool&, VirtualTime now);
    void sampleLink(std::size_t from, std::size_t to, VirtualTime now);

    const Deployment& m_deployment;
    Verdict& m_verdict;
    std::size_t m_regions;
    std::vector<Pool> m_pools;
    std::vector<Link> m_links;
    VirtualTime m_lastSample { 0 };
    double m_lowestHeadroom = 1;
    double m_overloadSeconds = 0;
    std::uint64_t m_linkExcess = 0;
    double m_highestLinkUse = 0;
};

}
