// Latency measures of one run, as callers see them.

#pragma once

#include "Deployment.h"

#include <cstdint>
#include <vector>

namespace peridot::trial {

/** Counts durations in logarithmic buckets, 2% apart. */
class LatencyHistogram {
public:
    void add(Duration);
    void merge(const LatencyHistogram&);
    std::uint64_t count() const noexcept { return m_count; }
    /** Upper end of the bucket that holds @p quantile, in milliseconds; 0 if nothing was counted. */
    double quantileMs(double quantile) const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
};

class Measures {
public:
    explicit Measures(const Deployment&);

    void completed(std::size_t workspace, std::size_t trafficClass, Duration latency);

    LatencyHistogram all() const;
    const LatencyHistogram& workspace(std::size_t n) const { return m_workspaces[n]; }
    double worstWorkspaceP99Ms() const;
    /** Classes whose p99 lies above their target. */
    int classesThatMissedTheirTarget() const;

private:
    const Deployment& m_deployment;
    std::vector<LatencyHistogram> m_workspaces;
    std::vector<LatencyHistogram> m_classes;
};

}
