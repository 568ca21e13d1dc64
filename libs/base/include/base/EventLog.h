// Where the decision libraries write their log lines. The daemon passes spdlog, tests keep the lines or drop them.

#pragma once

#include "base/LogLine.h"

#include <cstddef>
#include <string>
#include <vector>

namespace peridot {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

class EventLog {
public:
    virtual ~EventLog() = default;
    virtual bool isEnabled(LogLevel) const noexcept = 0;
    virtual void write(LogLevel, const LogLine&) = 0;
};

/** Drops every line. */
class NullEventLog final : public EventLog {
public:
    bool isEnabled(LogLevel) const noexcept override { return false; }
    void write(LogLevel, const LogLine&) override { }
};

/** Writes to spdlog's default logger. Thread-safe. */
class SpdlogEventLog final : public EventLog {
public:
    bool isEnabled(LogLevel) const noexcept override;
    void write(LogLevel, const LogLine&) override;
};

/** Sets up spdlog's default logger: one line per event on standard error with time and level. */
void configureLogging(const std::string& program, LogLevel lowest);

/**
 * As configureLogging, but on standard output through a queue of @p queuedLines. A reader that stops reading costs the
 * oldest lines, never time.
 */
void configureQueuedLogging(const std::string& program, LogLevel lowest, std::size_t queuedLines);
/** Lines that the queue has lost. */
std::size_t lostLogLines();

}
