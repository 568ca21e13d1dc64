// Bounds the number of log lines of each kind, so that load does not turn into log volume.

#pragma once

#include "base/EventLog.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridot {

struct LogBudget {
    double linesPerSecond = 100;
    double burst = 200;
};

/**
 * Passes on lines within the budget of their event and counts the others; once a second, a line `log_suppressed` tells
 * how many were left out. Warnings and errors have a budget of their own. Not thread-safe.
 */
class LimitedEventLog final : public EventLog {
public:
    using Clock = std::function<TimePoint()>;

    /** @p budgets by event; events without one get @p otherwise. */
    LimitedEventLog(EventLog& target, Clock, std::map<std::string, LogBudget> budgets, LogBudget otherwise);

    bool isEnabled(LogLevel level) const noexcept override { return m_target.isEnabled(level); }
    void write(LogLevel, const LogLine&) override;

    std::uint64_t suppressed() const noexcept { return m_suppressed; }

private:
    struct Bucket {
        LogBudget budget;
        double units = 0; // At most budget.burst.
        TimePoint updated {};
        std::uint64_t suppressed = 0; // Since the last line about it.
        TimePoint reported {};
    };

    Bucket& bucketOf(const std::string& event, TimePoint now);

    EventLog& m_target;
    Clock m_clock;
    std::map<std::string, LogBudget> m_budgets;
    LogBudget m_otherwise;
    std::map<std::string, Bucket> m_buckets;
    std::uint64_t m_suppressed = 0;
};

}
