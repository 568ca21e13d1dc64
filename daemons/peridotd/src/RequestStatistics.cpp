#include "RequestStatistics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace peridot {

namespace {

    namespace accumulators = boost::accumulators;

    using QuantileAccumulator
        = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::p_square_quantile>>;
    using SumAccumulator
        = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;

    QuantileAccumulator quantile(double probability)
    {
        return QuantileAccumulator(accumulators::quantile_probability = probability);
    }

    std::string labelled(const std::string& name, const std::string& labels, const std::string& value)
    {
        return name + '{' + labels + "} " + value + '\n';
    }

}

struct RequestStatistics::Quantiles {
    QuantileAccumulator median = quantile(0.5);
    QuantileAccumulator p99 = quantile(0.99);
    SumAccumulator sum;
};

RequestStatistics::RequestStatistics() = default;

RequestStatistics::~RequestStatistics() = default;

void RequestStatistics::countRequest(const std::string& service, const std::string& outcome, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    ++m_requests[{ service, outcome }];
    if (outcome != "completed")
        return;
    auto& quantiles = m_latency[service];
    if (!quantiles)
        quantiles = std::make_unique<Quantiles>();
    const double seconds = toSeconds(latency);
    quantiles->median(seconds);
    quantiles->p99(seconds);
    quantiles->sum(seconds);
}

void RequestStatistics::countLookup(const std::string& outcome)
{
    const std::lock_guard lock(m_mutex);
    ++m_lookups[outcome];
}

void RequestStatistics::countStoreCall(bool isSuccessful)
{
    const std::lock_guard lock(m_mutex);
    ++m_storeCalls;
    if (!isSuccessful)
        ++m_failedStoreCalls;
}

void RequestStatistics::write(std::string& page) const
{
    const std::lock_guard lock(m_mutex);
    page += "# TYPE peridot_requests_total counter\n";
    for (const auto& [key, count] : m_requests) {
        page += labelled("peridot_requests_total", "service=\"" + key.first + "\",outcome=\"" + key.second + '"',
            std::to_string(count));
    }
    page += "# TYPE peridot_request_seconds summary\n";
    for (const auto& [service, quantiles] : m_latency) {
        const std::string label = "service=\"" + service + '"';
        page += labelled("peridot_request_seconds", label + ",quantile=\"0.5\"",
            std::to_string(accumulators::p_square_quantile(quantiles->median)));
        page += labelled("peridot_request_seconds", label + ",quantile=\"0.99\"",
            std::to_string(accumulators::p_square_quantile(quantiles->p99)));
        page += labelled("peridot_request_seconds_sum", label, std::to_string(accumulators::sum(quantiles->sum)));
        page += labelled("peridot_request_seconds_count", label, std::to_string(accumulators::count(quantiles->sum)));
    }
    page += "# TYPE peridot_lookups_total counter\n";
    for (const auto& [outcome, count] : m_lookups)
        page += labelled("peridot_lookups_total", "outcome=\"" + outcome + '"', std::to_string(count));
    writeMetric(page, "peridot_store_calls_total", "counter", m_storeCalls);
    writeMetric(page, "peridot_store_calls_failed_total", "counter", m_failedStoreCalls);
}

void writeMetric(std::string& page, const std::string& name, const char* type, std::uint64_t value)
{
    page += "# TYPE " + name + ' ' + type + '\n' + name + ' ' + std::to_string(value) + '\n';
}

}
