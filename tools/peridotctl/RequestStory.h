// What log files tell about one request: its own lines, and what the instances believed around it.

#pragma once

#include <chrono>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** One line of a program of this project. */
struct LogRecord {
    LogTime time;
    std::string source; // The file that it stands in.
    std::string event;
    std::map<std::string, std::string> fields; // Unquoted; without the time.
    std::string text; // From the event on, as it was written.
};

/** Nothing if the line is not one of this project's. What stands before its time is passed over. */
std::optional<LogRecord> parseLogLine(std::string_view line, const std::string& source);

class RequestStory {
public:
    explicit RequestStory(std::string requestId);

    /** Reads a log. Call it for the files of all instances: a repeated attempt may have come to another one. */
    void read(std::istream&, const std::string& source);
    bool isKnown() const noexcept { return !m_lines.empty(); }
    /** Times are relative to the request's first line. Clocks of instances may differ. */
    void print(std::ostream&) const;

private:
    void printContext(std::ostream&, LogTime from, LogTime to) const;
    void printServers(std::ostream&, LogTime from, LogTime to) const;

    const std::string m_requestId;
    std::vector<LogRecord> m_lines; // Of the request.
    std::vector<LogRecord> m_context; // Lines that are about no request.
    std::vector<LogRecord> m_failures; // Failed sends of other requests.
};

}
