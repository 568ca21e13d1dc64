// The decisions on recent requests, for operators who ask why a request went where it went.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/LogLine.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridot {

/** Writes each decision to the event log and keeps those of the last requests. Thread-safe. */
class DecisionHistory {
public:
    explicit DecisionHistory(EventLog&);

    void record(const RequestId&, LogLevel, const LogLine&);
    /** The decisions on one request, oldest first; empty if it is unknown or too long ago. */
    std::vector<std::string> explain(const RequestId&) const;

private:
    static constexpr std::size_t s_keptRequests = 4096;

    EventLog& m_log;
    mutable std::mutex m_mutex;
    std::deque<RequestId> m_order; // Oldest first; holds the keys of m_lines.
    std::unordered_map<RequestId, std::vector<std::string>> m_lines;
};

}
