// Counters and latency quantiles for the metrics page.

#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace peridot {

/** Thread-safe. */
class RequestStatistics {
public:
    RequestStatistics();
    ~RequestStatistics();
    RequestStatistics(const RequestStatistics&) = delete;
    RequestStatistics& operator=(const RequestStatistics&) = delete;

    /**
     * Counts a finished request. @p outcome is "completed" or a refusal code. Requests that no backend server has seen
     * are counted without service, since their first path segment is the caller's free choice.
     */
    void countRequest(const std::string& service, const std::string& outcome, Duration latency);
    void countLookup(const std::string& outcome);
    void countStoreCall(bool isSuccessful);

    /** Appends the counters in the Prometheus text format. */
    void write(std::string& page) const;

private:
    struct Quantiles;

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_requests; // By service and outcome.
    std::map<std::string, std::unique_ptr<Quantiles>> m_latency; // Of completed requests, by service.
    std::map<std::string, std::uint64_t> m_lookups; // By outcome.
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_failedStoreCalls = 0;
};

/** Appends one sample with its type line. */
void writeMetric(std::string& page, const std::string& name, const char* type, std::uint64_t value);

}
