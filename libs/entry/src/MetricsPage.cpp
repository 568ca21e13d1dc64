#include "entry/MetricsPage.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridot {

MetricsPage::Family& MetricsPage::findOrAddFamily(const std::string& name, const std::string& help, const char* type)
{
    const auto it
        = std::find_if(m_families.begin(), m_families.end(), [&](const auto& family) { return family.name == name; });
    if (it != m_families.end())
        return *it;
    m_families.push_back({ name, fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type), {} });
    return m_families.back();
}

void MetricsPage::addSample(Family& family, const std::string& name, const Labels& labels, double value)
{
    family.samples += name;
    char separator = '{';
    for (const auto& [key, labelValue] : labels) {
        family.samples += separator + key + "=\"";
        for (const char c : labelValue) {
            if (c == '"' || c == '\\')
                family.samples += '\\';
            family.samples += c == '\n' ? ' ' : c;
        }
        family.samples += '"';
        separator = ',';
    }
    if (!labels.empty())
        family.samples += '}';
    family.samples += fmt::format(" {}\n", value);
}

void MetricsPage::counter(const std::string& name, const std::string& help, double value, const Labels& labels)
{
    addSample(findOrAddFamily(name, help, "counter"), name, labels, value);
}

void MetricsPage::gauge(const std::string& name, const std::string& help, double value, const Labels& labels)
{
    addSample(findOrAddFamily(name, help, "gauge"), name, labels, value);
}

void MetricsPage::histogram(
    const std::string& name, const std::string& help, const LatencyHistogram& histogram, const Labels& labels)
{
    auto& target = findOrAddFamily(name, help, "histogram");
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i <= LatencyHistogram::s_bounds.size(); ++i) {
        cumulativeCount += histogram.counts[i];
        auto bucketLabels = labels;
        bucketLabels.emplace_back("le",
            i < LatencyHistogram::s_bounds.size() ? fmt::format("{}", toSeconds(LatencyHistogram::s_bounds[i]))
                                                  : "+Inf");
        addSample(target, name + "_bucket", bucketLabels, static_cast<double>(cumulativeCount));
    }
    addSample(target, name + "_sum", labels, histogram.seconds);
    addSample(target, name + "_count", labels, static_cast<double>(cumulativeCount));
}

void MetricsPage::add(const TrafficSteering& steering)
{
    const auto& counters = steering.counters();
    counter("peridot_requests_total", "Requests of callers.", static_cast<double>(counters.begun));
    counter("peridot_sends_total", "Requests sent to backend servers.", static_cast<double>(counters.sends));
    counter("peridot_warm_sends_total", "Sends to a server that should hold the object.",
        static_cast<double>(counters.warmSends));
    counter("peridot_spills_total", "Sends to another region.", static_cast<double>(counters.spills));
    counter("peridot_retries_total", "Requests sent again.", static_cast<double>(counters.retries));
    counter("peridot_passed_total", "Requests passed to other instances.", static_cast<double>(counters.passed));
    counter("peridot_callers_gone_total", "Callers that left before their answer.",
        static_cast<double>(counters.callerDisconnects));
    for (const auto& [reason, count] : counters.rejected)
        counter("peridot_rejected_total", "Requests answered by the instance itself.", static_cast<double>(count),
            { { "reason", std::string(enumName(reason)) } });
    for (const auto& [result, count] : counters.results)
        counter("peridot_send_results_total", "Ends of sends.", static_cast<double>(count),
            { { "result", std::string(enumName(result)) } });
    for (const auto& [target, histogram] : counters.latencies)
        this->histogram("peridot_response_seconds", "Time to a delivered response, by target latency of its route.",
            histogram, { { "target_ms", std::to_string(toMilliseconds(target)) } });
    gauge("peridot_open_requests", "Requests without an answer.", static_cast<double>(steering.openRequests()));
    gauge("peridot_configuration_version", "Version in force; 0 before the first one.",
        static_cast<double>(steering.routes() ? steering.routes()->version() : 0));
}

std::string MetricsPage::text() const
{
    std::string result;
    for (const auto& family : m_families)
        result += family.header + family.samples;
    return result;
}

}
