#include "base/LimitedEventLog.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration reportInterval = std::chrono::seconds { 1 };
    constexpr std::string_view eventPrefix = "event=";

    std::string eventOf(const LogLine& line)
    {
        const std::string_view text = line.text();
        return std::string(text.substr(eventPrefix.size(), text.find(' ') - eventPrefix.size()));
    }

}

LimitedEventLog::LimitedEventLog(
    EventLog& target, Clock clock, std::map<std::string, LogBudget> budgets, LogBudget otherwise)
    : m_target(target)
    , m_clock(std::move(clock))
    , m_budgets(std::move(budgets))
    , m_otherwise(otherwise)
{
}

LimitedEventLog::Bucket& LimitedEventLog::bucketOf(const std::string& event, TimePoint now)
{
    const auto [it, isNew] = m_buckets.try_emplace(event);
    auto& bucket = it->second;
    if (isNew) {
        const auto budget = m_budgets.find(event);
        bucket.budget = budget == m_budgets.end() ? m_otherwise : budget->second;
        bucket.units = bucket.budget.burst;
        bucket.updated = now;
        bucket.reported = now;
    }
    bucket.units
        = std::min(bucket.budget.burst, bucket.units + bucket.budget.linesPerSecond * toSeconds(now - bucket.updated));
    bucket.updated = now;
    return bucket;
}

void LimitedEventLog::write(LogLevel level, const LogLine& line)
{
    if (!m_target.isEnabled(level))
        return;
    const auto now = m_clock();
    const auto event = eventOf(line);
    auto& bucket = bucketOf(event, now);
    if (bucket.units >= 1) {
        bucket.units -= 1;
        m_target.write(level, line);
    } else {
        ++bucket.suppressed;
        ++m_suppressed;
    }
    if (bucket.suppressed > 0 && now - bucket.reported >= reportInterval) {
        m_target.write(LogLevel::Info,
            LogLine("log_suppressed").add("kind", event).add("count", std::exchange(bucket.suppressed, 0)));
        bucket.reported = now;
    }
}

}
