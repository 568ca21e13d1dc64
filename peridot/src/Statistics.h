// Counts and latencies of this instance by class and by workspace, for operators.

#pragma once

#include "AdmittedRequest.h"
#include "LatencyWindow.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace peridot {

/** Thread-safe. */
class Statistics {
public:
    void ended(const std::vector<EndedRequest>&, TimePoint now);
    void refused(const std::string& code);
    void lookedUp();
    void begun();

    /** Requests per lookup since the start; 1 before there are enough of both. */
    double requestsPerLookup() const;

    /** Classes with target, p99 and whether the target is met; workspaces with the worst served first. */
    nlohmann::json describe(const Configuration&, TimePoint now);

private:
    struct Counts {
        std::uint64_t completed = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        LatencyWindow latency;
    };

    static void count(Counts&, const EndedRequest&, TimePoint now);

    mutable std::mutex m_mutex;
    std::map<ClassId, Counts> m_classes;
    std::map<WorkspaceId, Counts> m_workspaces;
    std::map<std::string, std::uint64_t> m_refusals; // By code.
    std::uint64_t m_lookups = 0;
    std::uint64_t m_requests = 0;
};

}
