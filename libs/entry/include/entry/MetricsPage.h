// Text of the metrics endpoint, in the Prometheus text exposition format.

#pragma once

#include "steering/TrafficSteering.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot {

/** Collects samples and renders them as text. Metric families appear in the order of their first sample. */
class MetricsPage {
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    void counter(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    void gauge(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    void histogram(
        const std::string& name, const std::string& help, const LatencyHistogram&, const Labels& labels = {});
    /** Adds all counters and gauges of @p steering. */
    void add(const TrafficSteering& steering);

    std::string text() const;

private:
    struct Family {
        std::string name;
        std::string header; // The HELP and TYPE lines.
        std::string samples; // One line for each sample.
    };

    /** Returns the family with this name, and adds it first if there is none. */
    Family& findOrAddFamily(const std::string& name, const std::string& help, const char* type);
    static void addSample(Family&, const std::string& name, const Labels&, double value);

    std::vector<Family> m_families;
};

}
