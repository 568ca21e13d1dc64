// Admits requests of workspaces at one instance, by the part of the demand that the rate of all instances covers.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "steering/RouteTable.h"

#include <tl/expected.hpp>

#include <map>
#include <random>
#include <vector>

namespace peridot {

/** What QuotaController decides for one workspace at one instance. */
struct QuotaAdmission {
    double probability = 1; // Of admitting a request, 0 to 1.
    // Requests that this instance may admit per QuotaGate::s_window. It bounds a surge that others don't know of yet.
    double allowance = 4;
    Duration retryAfter = std::chrono::seconds { 1 }; // For requests that the probability refuses.
};

/** Not thread-safe. */
class QuotaGate {
public:
    static constexpr Duration s_window = std::chrono::milliseconds { 1'500 };

    explicit QuotaGate(std::uint64_t randomSeed)
        : m_random(randomSeed)
    {
    }

    /** Workspaces that stay keep their admission and what they have used. */
    void configure(const std::vector<WorkspaceQuota>&);
    void setAdmission(const WorkspaceId&, const QuotaAdmission&);

    /** Admits a request, or returns the time after which the caller should come back. */
    tl::expected<void, Duration> tryAdmit(const WorkspaceId&, TimePoint now);
    /** Takes back the admission of a request that was not sent to any server. */
    void refund(const WorkspaceId&);

    /** Requests asked for since the last call, by workspace, refused ones included. */
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
        double rate = 0; // Of all instances, per second; 0 means no limit.
        QuotaAdmission admission;
        Usage usage;
        std::uint64_t demand = 0;
    };

    std::map<WorkspaceId, Entry> m_entries;
    std::mt19937_64 m_random;
};

}
