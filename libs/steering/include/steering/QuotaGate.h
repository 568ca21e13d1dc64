// Admits or refuses requests of workspaces at one instance, by the admission that QuotaController sets for each
// workspace.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "steering/RouteTable.h"

#include <tl/expected.hpp>

#include <map>
#include <random>
#include <vector>

namespace peridot {

/** Limits on the requests of one workspace at one instance, set by QuotaController. */
struct QuotaAdmission {
    double probability = 1; // Probability of admitting a request, 0 to 1.
    // Number of requests that this instance may admit per QuotaGate::s_window. It limits a surge that the other
    // instances have not yet been informed of.
    double allowance = 4;
    // Time stated to callers whose requests are refused by the probability.
    Duration retryAfter = std::chrono::seconds { 1 };
};

/** Not thread-safe. */
class QuotaGate {
public:
    static constexpr Duration s_window = std::chrono::milliseconds { 1'500 };

    explicit QuotaGate(std::uint64_t randomSeed)
        : m_random(randomSeed)
    {
    }

    /** Replaces the set of workspaces. Workspaces that remain keep their admission and their usage. */
    void configure(const std::vector<WorkspaceQuota>&);
    void setAdmission(const WorkspaceId&, const QuotaAdmission&);

    /** Admits a request, or returns the time after which the caller should retry. Unknown workspaces are admitted.
     * While a workspace exceeds its quota, its late attempts (LateAttemptDetector) are admitted only if the quota
     * covers all of its other requests, because each of them would take the place of a request that can still be in
     * time. */
    tl::expected<void, Duration> tryAdmit(const WorkspaceId&, TimePoint now, bool isLateAttempt = false);
    /** Removes the admission of a request that was not sent to any server from the usage. */
    void refund(const WorkspaceId&);

    /** Number of requests since the last call by workspace, including refused ones. Resets the counts. */
    std::map<WorkspaceId, std::uint64_t> takeDemand();

private:
    /** Counts admissions in a sliding window, approximated by the current and the previous fixed window. */
    struct Usage {
        TimePoint windowStart {};
        double current = 0;
        double previous = 0;

        void advance(TimePoint now) noexcept;
        double inWindow(TimePoint now) const noexcept;
    };

    struct Entry {
        double rate = 0; // Requests per second over all instances; 0 means no limit.
        QuotaAdmission admission;
        Usage usage;
        std::uint64_t demand = 0; // Requests since the last takeDemand(), including refused ones.
        double lateShare = 0; // Smoothed share of late attempts among the requests.

        double probability(bool isLateAttempt) const noexcept;
    };

    std::map<WorkspaceId, Entry> m_entries;
    std::mt19937_64 m_random;
};

}
