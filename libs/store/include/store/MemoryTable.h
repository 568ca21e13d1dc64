// The transactional table in memory: rows with versions and multi-row compare-and-set.

#pragma once

#include "store/StoreTypes.h"

#include <map>

namespace peridot {

/** Not thread-safe. */
class MemoryTable {
public:
    /** Returns the rows that exist, in the order of the request. */
    Result<TableRows> read(const TableRead&) const;
    /** Returns the rows with the prefix in key order, at most `limit` of them. */
    Result<TableRows> scan(const TableScan&) const;
    /** Fails with InvalidArgument if a key is empty or named twice among the conditions or among the writes. */
    Result<CommitResult> commit(const TableCommit&);

    std::size_t size() const noexcept { return m_rows.size(); }

private:
    struct StoredRow {
        std::string value;
        RowVersion version = 0;
    };

    RowVersion versionOf(const std::string& key) const noexcept;
    std::vector<TableRow> conditionRows(const TableCommit&) const;

    std::map<std::string, StoredRow> m_rows;
    // Versions come from one counter, so that a row that is deleted and written again never repeats a version.
    RowVersion m_lastVersion = 0;
};

}
