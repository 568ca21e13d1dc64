#include "Measures.h"

#include <algorithm>
#include <cmath>

namespace peridot::trial {

namespace {

    constexpr double bucketRatio = 1.02;

}

void LatencyHistogram::add(Duration latency)
{
    const auto micros = static_cast<double>(std::max<Duration::rep>(1, latency.count()));
    const auto n = static_cast<std::size_t>(std::ceil(std::log(micros) / std::log(bucketRatio)));
    if (m_buckets.size() <= n)
        m_buckets.resize(n + 1);
    ++m_buckets[n];
    ++m_count;
}

void LatencyHistogram::merge(const LatencyHistogram& other)
{
    if (m_buckets.size() < other.m_buckets.size())
        m_buckets.resize(other.m_buckets.size());
    for (std::size_t n = 0; n < other.m_buckets.size(); ++n)
        m_buckets[n] += other.m_buckets[n];
    m_count += other.m_count;
}

double LatencyHistogram::quantileMs(double quantile) const
{
    const double wanted = quantile * static_cast<double>(m_count);
    std::uint64_t seen = 0;
    for (std::size_t n = 0; n < m_buckets.size(); ++n) {
        seen += m_buckets[n];
        if (m_buckets[n] > 0 && static_cast<double>(seen) >= wanted)
            return std::pow(bucketRatio, static_cast<double>(n)) / 1000;
    }
    return 0;
}

Measures::Measures(const Deployment& deployment)
    : m_deployment(deployment)
    , m_workspaces(deployment.workspaces.size())
    , m_classes(deployment.classes.size())
{
}

void Measures::completed(std::size_t workspace, std::size_t trafficClass, Duration latency)
{
    m_workspaces[workspace].add(latency);
    m_classes[trafficClass].add(latency);
}

LatencyHistogram Measures::all() const
{
    LatencyHistogram result;
    for (const LatencyHistogram& it : m_workspaces)
        result.merge(it);
    return result;
}

double Measures::worstWorkspaceP99Ms() const
{
    double worst = 0;
    for (const LatencyHistogram& it : m_workspaces)
        worst = std::max(worst, it.quantileMs(0.99));
    return worst;
}

int Measures::classesThatMissedTheirTarget() const
{
    int missed = 0;
    for (std::size_t n = 0; n < m_classes.size(); ++n) {
        if (m_classes[n].quantileMs(0.99) > static_cast<double>(m_deployment.classes[n].target.count()) / 1000)
            ++missed;
    }
    return missed;
}

}
