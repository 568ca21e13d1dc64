// Limits retries to a share of the requests of one class, so that a full outage does not multiply the load.

#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace peridot {

struct RetryBudgetOptions {
    double share = 0.1; // Retries per request.
    double allowance = 0; // Retries in each window beside the share.
    Duration window = std::chrono::seconds(10);
};

/** Retries of one class over a sliding window. Not thread-safe.
 *  Invariant: in the window, retries are at most `share` times the requests plus `allowance`; without an allowance the
 *  same holds since the start. */
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions);

    /** Counts the first attempt of a request. */
    void requestStarted(TimePoint now);

    /** Takes a retry from the budget if one is left. */
    bool tryRetry(TimePoint now);
    void setLimits(double share, double allowance) noexcept
    {
        m_options.share = share;
        m_options.allowance = allowance;
    }

private:
    static constexpr std::size_t s_bucketCount = 20;
    struct Bucket {
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    void advance(TimePoint now);

    RetryBudgetOptions m_options;
    std::array<Bucket, s_bucketCount> m_buckets;
    std::int64_t m_position = 0; // Number of the current bucket since time 0.
    Bucket m_total; // Sum of all buckets.
};

}
