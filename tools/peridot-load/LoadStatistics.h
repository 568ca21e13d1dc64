// What became of the requests of one workspace.

#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot {

enum class Outcome {
    Completed, // A whole response of its own.
    RefusedInside, // Refused as not run although the workspace was within its rate.
    RefusedAbove, // Refused as not run while the workspace was above its rate.
    Unknown, // The request may have run.
    Failed, // An error response or a broken connection for an idempotent request.
    Wrong, // A damaged response, or that of another request.
};

template <>
inline constexpr EnumNameTable<Outcome, 6> enumNames<Outcome> { {
    { Outcome::Completed, "completed" },
    { Outcome::RefusedInside, "refused_inside_rate" },
    { Outcome::RefusedAbove, "refused_above_rate" },
    { Outcome::Unknown, "unknown" },
    { Outcome::Failed, "failed" },
    { Outcome::Wrong, "wrong" },
} };

/** Not thread-safe. */
class LoadStatistics {
public:
    /** @p code is that of the refusal or error, empty for a completed request. */
    void add(Outcome, const std::string& code, Duration latency);
    void addSkipped() noexcept { ++m_skipped; }
    void addRetry() noexcept { ++m_retries; }
    void merge(const LoadStatistics&);

    std::uint64_t count(Outcome outcome) const { return m_counts.at(static_cast<std::size_t>(outcome)); }
    std::uint64_t sent() const noexcept;
    /** Latency of completed requests; 0 if there are none. */
    Duration percentile(double percent) const;

    nlohmann::json toJson() const;

private:
    std::array<std::uint64_t, 6> m_counts {};
    std::map<std::string, std::map<std::string, std::uint64_t>> m_codes; // By outcome and code.
    std::uint64_t m_skipped = 0; // Not sent, because too many requests were open.
    std::uint64_t m_retries = 0;
    std::vector<std::uint32_t> m_latencies; // Of completed requests, in microseconds.
};

}
