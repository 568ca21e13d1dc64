// Keeps the last requests' log lines in the order of their first decision.

#include "DecisionHistory.h"

namespace peridot {

DecisionHistory::DecisionHistory(EventLog& log)
    : m_log(log)
{
}

void DecisionHistory::record(const RequestId& request, LogLevel level, const LogLine& line)
{
    m_log.write(level, line);
    std::lock_guard lock(m_mutex);
    auto [it, isNew] = m_lines.try_emplace(request);
    it->second.push_back(line.text());
    if (!isNew)
        return;
    m_order.push_back(request);
    if (m_order.size() > s_keptRequests) {
        m_lines.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<std::string> DecisionHistory::explain(const RequestId& request) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_lines.find(request);
    return it == m_lines.end() ? std::vector<std::string> {} : it->second;
}

}
