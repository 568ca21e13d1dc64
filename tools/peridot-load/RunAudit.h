// Compares what callers were told with what the backend servers' stand-ins counted: no request that is not idempotent
// ran twice, and none ran that was refused as not run.

#pragma once

#include "LoadStatistics.h"
#include "base/Error.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace peridot {

struct AuditResult {
    std::uint64_t runs = 0; // Of this program's requests.
    std::vector<std::string> ranTwice; // Ids of requests that are not idempotent.
    std::vector<std::string> ranAlthoughRefused; // Every attempt was refused as not run.
    std::vector<std::string> completedWithoutRun;

    bool isClean() const noexcept
    {
        return ranTwice.empty() && ranAlthoughRefused.empty() && completedWithoutRun.empty();
    }
    nlohmann::json toJson() const;
};

/** Thread-safe. */
class RunAudit {
public:
    /** Records the outcome of an attempt. Attempts with one idempotency key share their @p echo. */
    void record(const std::string& echo, bool isIdempotent, Outcome);

    /** @p runs holds the number of runs by echo, summed over all backend servers. */
    AuditResult compare(const std::map<std::string, std::uint64_t>& runs) const;

private:
    struct Told {
        bool isIdempotent = false;
        bool mayHaveRun = false; // An attempt ended otherwise than by a refusal as not run.
        bool isCompleted = false;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Told> m_told; // By echo. Guarded by m_mutex.
};

/** Reads the runs by echo from the control endpoints of all backend server processes. */
Result<std::map<std::string, std::uint64_t>> fetchRuns(const std::vector<std::string>& controlAddresses);

}
