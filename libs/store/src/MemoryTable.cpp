// Table semantics.

#include "store/MemoryTable.h"

#include <algorithm>
#include <set>

namespace peridot {

namespace {

    template <typename Item> bool haveDistinctKeys(const std::vector<Item>& items)
    {
        std::set<std::string_view> keys;
        return std::all_of(items.begin(), items.end(),
            [&keys](const Item& item) { return !item.key.empty() && keys.insert(item.key).second; });
    }

}

Result<TableRows> MemoryTable::read(const TableRead& request) const
{
    TableRows result;
    for (const auto& key : request.keys) {
        if (auto it = m_rows.find(key); it != m_rows.end())
            result.rows.push_back({ key, it->second.value, it->second.version });
    }
    return result;
}

Result<TableRows> MemoryTable::scan(const TableScan& request) const
{
    TableRows result;
    for (auto it = m_rows.lower_bound(request.prefix); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(request.prefix) || result.rows.size() >= request.limit)
            break;
        result.rows.push_back({ it->first, it->second.value, it->second.version });
    }
    return result;
}

Result<CommitResult> MemoryTable::commit(const TableCommit& request)
{
    if (!haveDistinctKeys(request.conditions))
        return makeError(ErrorCode::InvalidArgument, "commit", "", "a condition's key is empty or named twice");
    if (!haveDistinctKeys(request.writes))
        return makeError(ErrorCode::InvalidArgument, "commit", "", "a write's key is empty or named twice");

    const bool holds = std::all_of(request.conditions.begin(), request.conditions.end(),
        [this](const TableCondition& condition) { return versionOf(condition.key) == condition.expectedVersion; });
    if (!holds)
        return CommitResult { false, conditionRows(request) };

    const RowVersion version = ++m_lastVersion;
    for (const auto& write : request.writes) {
        if (write.value)
            m_rows[write.key] = { *write.value, version };
        else
            m_rows.erase(write.key);
    }
    return CommitResult { true, conditionRows(request) };
}

RowVersion MemoryTable::versionOf(const std::string& key) const noexcept
{
    auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

std::vector<TableRow> MemoryTable::conditionRows(const TableCommit& request) const
{
    std::vector<TableRow> rows;
    for (const auto& condition : request.conditions) {
        auto it = m_rows.find(condition.key);
        // A row that does not exist is reported with version 0.
        rows.push_back(it == m_rows.end() ? TableRow { condition.key, "", 0 }
                                          : TableRow { condition.key, it->second.value, it->second.version });
    }
    return rows;
}

}
