// The spdlog implementation of EventLog.

#include "base/EventLog.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace peridot {

namespace {

    spdlog::level::level_enum toSpdlog(LogLevel level) noexcept
    {
        switch (level) {
        case LogLevel::Debug:
            return spdlog::level::debug;
        case LogLevel::Info:
            return spdlog::level::info;
        case LogLevel::Warning:
            return spdlog::level::warn;
        case LogLevel::Error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

}

bool SpdlogEventLog::isEnabled(LogLevel level) const noexcept { return spdlog::should_log(toSpdlog(level)); }

void SpdlogEventLog::write(LogLevel level, const LogLine& line) { spdlog::log(toSpdlog(level), "{}", line.text()); }

void configureLogging(const std::string& program, LogLevel lowest)
{
    spdlog::drop(program);
    auto logger = spdlog::stderr_logger_mt(program);
    logger->set_level(toSpdlog(lowest));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=%n %v");
    spdlog::set_default_logger(logger);
}

}
