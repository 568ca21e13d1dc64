// The spdlog implementation of EventLog.

#include "base/EventLog.h"

#include <spdlog/async.h>
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

namespace {

    void useLogger(const std::shared_ptr<spdlog::logger>& logger, LogLevel lowest)
    {
        logger->set_level(toSpdlog(lowest));
        logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=%n %v");
        spdlog::set_default_logger(logger);
    }

}

bool SpdlogEventLog::isEnabled(LogLevel level) const noexcept { return spdlog::should_log(toSpdlog(level)); }

void SpdlogEventLog::write(LogLevel level, const LogLine& line) { spdlog::log(toSpdlog(level), "{}", line.text()); }

void configureLogging(const std::string& program, LogLevel lowest)
{
    spdlog::drop(program);
    useLogger(spdlog::stderr_logger_mt(program), lowest);
}

void configureQueuedLogging(const std::string& program, LogLevel lowest, std::size_t queuedLines)
{
    spdlog::drop(program);
    spdlog::init_thread_pool(queuedLines, 1);
    useLogger(spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(program), lowest);
}

std::size_t lostLogLines()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

}
